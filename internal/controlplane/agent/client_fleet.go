package agent

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Join registers a session. A quota.RejectionError says why there is none.
func (c *Client) Join(ctx context.Context, m quota.Member) (quota.Member, quota.Config, error) {
	joined, err := sendJSON[joinResponse](ctx, c, http.MethodPost, "/v1/fleet/members", m)
	return joined.Member, joined.QuotaConfig, err
}

// Renew renews a session, with its leases if the member runs tasks. The lease answer is nil if there
// is none.
func (c *Client) Renew(ctx context.Context, req quota.RenewalRequest, leases *lease.RenewalRequest) (quota.RenewalResponse, *lease.RenewalResponse, error) {
	resp, err := sendJSON[renewalResponse](ctx, c, http.MethodPost, "/v1/fleet/renew", renewalRequest{req, leases})
	return resp.RenewalResponse, resp.Leases, err
}

// WaitLeaseChange waits until a lease of the member is changed after the given log index and returns
// the index of the change; or until the wait is over, or no agent answers.
func (c *Client) WaitLeaseChange(ctx context.Context, id string, after uint64) (uint64, error) {
	pollPath := "/v1/leases/changed/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10) + "&after=" + strconv.FormatUint(after, 10)
	preferred := int(c.preferred.Load())
	_, respBody, err := c.callAgent(ctx, c.Addrs[preferred%len(c.Addrs)], call{method: http.MethodGet, path: pollPath}, watchWait+attemptTimeout)
	return decode[uint64](respBody, err)
}

// SetLeaseConfig replaces the fleet's tasks.
func (c *Client) SetLeaseConfig(ctx context.Context, config lease.Config) (lease.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[lease.Config](ctx, c, http.MethodPut, "/v1/leases", config)
}

// MigrateLease migrates a shard to a member, named by id or instance; with lease.AnyMember, away from
// its holder.
func (c *Client) MigrateLease(ctx context.Context, k lease.Key, to string) error {
	ctx, done := withCallTimeout(ctx)
	defer done()
	_, err := sendJSON[[]lease.Event](ctx, c, http.MethodPost, "/v1/leases/move", migrateRequest{k, to})
	return err
}

// Leave ends the session of a member that uses nothing any more.
func (c *Client) Leave(ctx context.Context, id string) error {
	_, err := sendJSON[struct{}](ctx, c, http.MethodDelete, "/v1/fleet/members/"+url.PathEscape(id), nil)
	return err
}

// SetQuotaConfig replaces the fleet's budgets.
func (c *Client) SetQuotaConfig(ctx context.Context, config quota.Config) (quota.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[quota.Config](ctx, c, http.MethodPut, "/v1/fleet", config)
}

// Fleet returns the fleet as its leader sees it. Without a confirmed leader it is what some agent's
// log says: Leads is false then, and AgeMs is how old it may be.
func (c *Client) Fleet(ctx context.Context) (FleetView, error) {
	leaderCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
	v, err := decode[FleetView](c.callAny(leaderCtx, call{method: http.MethodGet, path: "/v1/fleet"}))
	cancel()
	if err == nil {
		return v, nil
	}
	ctx, cancel = context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	return decode[FleetView](c.callAny(ctx, call{method: http.MethodGet, path: "/v1/fleet?stale"}))
}
