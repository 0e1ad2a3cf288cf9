package agent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"spindlehitch/internal/controlplane/watchstream"
)

// PutChange makes a change of the watch stream and returns its version. Retries apply it once, by its request
// id. A *RejectedError means that it was not made; after other errors this is unknown.
func (c *Client) PutChange(ctx context.Context, change watchstream.Change) (uint64, error) {
	text, err := json.Marshal(change)
	if err != nil {
		return 0, err
	}
	resp, err := fetch[ChangeResponse](ctx, c, call{method: http.MethodPost, path: "/v1/feed/changes", id: rand.Text(), body: text})
	return resp.Version, err
}

// SendReport sends a relay's report to the leader.
func (c *Client) SendReport(ctx context.Context, report watchstream.Report) (watchstream.ReportResponse, error) {
	return sendJSON[watchstream.ReportResponse](ctx, c, http.MethodPost, "/v1/feed/report", report)
}

// StreamStatus returns which readers have applied a version; 0: the newest. Without a leader it returns
// the state that some agent has applied, without readers, and Leads is false.
func (c *Client) StreamStatus(ctx context.Context, version uint64) (StreamStatus, error) {
	versionPath := "/v1/feed/versions/" + latestVersion
	if version > 0 {
		versionPath = "/v1/feed/versions/" + strconv.FormatUint(version, 10)
	}
	leaderCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
	s, err := decode[StreamStatus](c.callAny(leaderCtx, call{method: http.MethodGet, path: versionPath}))
	cancel()
	if isConclusive(err) {
		return s, err
	}
	ctx, cancel = context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	return decode[StreamStatus](c.callAny(ctx, call{method: http.MethodGet, path: versionPath + "?stale"}))
}

// Records returns the live records of a kind from the leader, in order of version, or if key is not empty
// the record with that key. A key that changes between two pages is returned with its later record.
func (c *Client) Records(ctx context.Context, kind watchstream.Kind, key string) (all []watchstream.Record, err error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	after := uint64(0)
	for {
		pagePath := "/v1/feed/records?kind=" + kind.String() + "&key=" + url.QueryEscape(key) + "&after=" + strconv.FormatUint(after, 10)
		page, err := decode[[]watchstream.Record](c.callAny(ctx, call{method: http.MethodGet, path: pagePath}))
		if err != nil {
			return nil, err
		}
		changed := make(map[string]bool, len(page))
		for i := range page {
			changed[page[i].Key] = true
		}
		all = append(slices.DeleteFunc(all, func(r watchstream.Record) bool { return changed[r.Key] }), page...)
		if len(page) < maxPageRecords {
			return all, nil
		}
		after = page[len(page)-1].Version
	}
}
