package distribution

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/watchstream"
)

// TestServerRejectsMalformedRequests checks that each kind of malformed request is rejected with its status, and that no
// reader is admitted for it.
func TestServerRejectsMalformedRequests(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	agent.put(target(0, 0))
	good := mustJSON(t, watchstream.SubscribeRequest{Fleet: fleet, Scope: watchstream.Scope{Name: "i1"}, Generation: 1, Seq: 1})
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, err := z.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	gzipped := http.Header{encodingHeader: {gzipEncoding}}
	for _, c := range []struct {
		name string
		body []byte
		head http.Header
		want int
	}{
		{"empty body", nil, nil, http.StatusBadRequest},
		{"not JSON", []byte("hello"), nil, http.StatusBadRequest},
		{"truncated", good[:len(good)/2], nil, http.StatusBadRequest},
		{"wrong types", []byte(`{"fleet":7}`), nil, http.StatusBadRequest},
		{"too large", bytes.Repeat([]byte(" "), maxRequestBytes+1), nil, http.StatusBadRequest},
		{"decompression bomb", bomb.Bytes(), gzipped, http.StatusBadRequest},
		{"not compressed", good, gzipped, http.StatusBadRequest},
		{"no name", []byte(`{"fleet":"campus","turn":1,"seq":1}`), nil, http.StatusUnprocessableEntity},
		{"wrong number of digests", []byte(`{"fleet":"campus","name":"x","turn":1,"seq":1,"sums":"AAAAAAAAAAA="}`), nil, http.StatusUnprocessableEntity},
		{"another fleet", bytes.Replace(good, []byte(fleet), []byte("other"), 1), nil, http.StatusConflict},
		{"another epoch", bytes.Replace(good, []byte(`"turn"`), []byte(`"epoch":"other","turn"`), 1), nil, http.StatusConflict},
	} {
		status, text := post(t, agent.addr, c.body, c.head)
		require.Equal(t, c.want, status, "%s: %s", c.name, text)
		var rejected ResponseError
		require.NoError(t, json.Unmarshal(text, &rejected), c.name)
		require.NotEmpty(t, rejected.Reason, c.name)
	}
	agent.WithSource(func(_ time.Duration, s *watchstream.Source) { require.Zero(t, s.ReaderCount()) })
	status, _ := post(t, agent.addr, good, nil)
	require.Equal(t, http.StatusOK, status)
	status, _ = post(t, agent.addr, good, nil)
	require.Equal(t, http.StatusConflict, status, "a repeated request is rejected")
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(0, len(good)-1).Draw(rt, "at")
		mutated := bytes.Clone(good)
		mutated[at] = rapid.Byte().Draw(rt, "byte")
		status, _ := post(t, agent.addr, mutated, nil)
		require.Less(rt, status, 500)
	})
}

// TestFollowerRejectsMalformedAnswers has sources answer with malformed deltas, or with deltas for other readers. Each is
// rejected and counted and changes nothing, and the next valid delta is applied.
func TestFollowerRejectsMalformedAnswers(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(append(targets(5), layer("shared", `{"a":1}`))...)
	delta := func(modify func(*watchstream.Delta)) []byte {
		d := watchstream.Delta{Fleet: fleet, Epoch: "first", Scope: watchstream.Scope{Name: "i1", Region: "north"}, To: watchstream.Position{Targets: 1, Config: 1},
			Head: watchstream.Position{Targets: 1, Config: 1}, Records: []watchstream.Record{{Kind: watchstream.Targets, Key: "bad", Version: 1, Value: target(0, 0).Value}}}
		modify(&d)
		return mustJSON(t, d)
	}
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, err := z.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	for _, c := range []struct {
		name, count string
		status      int
		packed      bool
		body        []byte
	}{
		{"HTML page", "malformed", 200, false, []byte("<html>")},
		{"empty body", "malformed", 200, false, nil},
		{"truncated", "malformed", 200, false, delta(func(*watchstream.Delta) {})[:90]},
		{"decompression bomb", "failed", 200, true, bomb.Bytes()},
		{"not compressed", "failed", 200, true, []byte("{}")},
		{"unknown status", "failed", 418, false, nil},
		{"another fleet", string(watchstream.ReasonForeignFleet), 200, false, delta(func(d *watchstream.Delta) { d.Fleet = "other" })},
		{"another reader", string(watchstream.ReasonMisdirected), 200, false, delta(func(d *watchstream.Delta) { d.Scope.Region = "south" })},
		{"gap", string(watchstream.ReasonGap), 200, false, delta(func(d *watchstream.Delta) { d.From.Targets = 1 })},
		{"out of order", string(watchstream.ReasonDisorder), 200, false, delta(func(d *watchstream.Delta) { d.Records[0].Version = 2 })},
		{"layer out of scope", string(watchstream.ReasonOutOfScope), 200, false, delta(func(d *watchstream.Delta) {
			d.Records[0] = watchstream.Record{Kind: watchstream.Config, Key: "region/south", Version: 1, Value: json.RawMessage("{}")}
		})},
		{"request rejected", string(watchstream.ReasonForeignFleet), 409, false, []byte(`{"reason":"foreign","why":"not here"}`)},
	} {
		var bad sync.Once
		faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served := true
			bad.Do(func() {
				served = false
				if c.packed {
					w.Header().Set(encodingHeader, gzipEncoding)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})
			if served {
				agent.http.Config.Handler.ServeHTTP(w, r)
			}
		}))
		f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(faulty.Listener.Addr().String()), Generation: uint64(time.Now().UnixNano())})
		f.waitApplied(v)
		s := f.State()
		if c.count == "failed" {
			require.NotZero(t, s.Failed, c.name)
		} else {
			require.Equal(t, uint64(1), s.Rejected[c.count], "%s: %v", c.name, s.Rejected)
		}
		for _, r := range f.Records(watchstream.Targets) {
			require.NotEqual(t, "bad", r.Key, c.name)
		}
		f.stop()
		faulty.CloseClientConnections()
		faulty.Close()
	}
}
