package agent

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Join registers a session. If it is rejected, the error is a quota.RejectionError with the reason.
func (c *Client) Join(ctx context.Context, m quota.Member) (quota.Member, quota.Config, error) {
	joined, err := sendJSON[joinResponse](ctx, c, http.MethodPost, "/v1/fleet/members", m)
	return joined.Member, joined.QuotaConfig, err
}

// Renew renews a session, and the member's leases if it runs tasks (leases is not nil). The lease
// response is nil if leases is nil or older than the last renewal.
func (c *Client) Renew(ctx context.Context, req quota.RenewalRequest, leases *lease.RenewalRequest) (quota.RenewalResponse, *lease.RenewalResponse, error) {
	resp, err := sendJSON[renewalResponse](ctx, c, http.MethodPost, "/v1/fleet/renew", renewalRequest{req, leases})
	return resp.RenewalResponse, resp.Leases, err
}

// WaitLeaseChange waits until a lease of the member has changed after the given log index, and returns
// the index of the last change. It returns an unchanged index after watchWait, and an error if the
// preferred agent does not respond.
func (c *Client) WaitLeaseChange(ctx context.Context, id string, after uint64) (uint64, error) {
	pollPath := "/v1/leases/changed/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10) + "&after=" + strconv.FormatUint(after, 10)
	preferred := int(c.preferred.Load())
	_, respBody, err := c.callAgent(ctx, c.Addrs[preferred%len(c.Addrs)], call{method: http.MethodGet, path: pollPath}, watchWait+attemptTimeout)
	return decode[uint64](respBody, err)
}

// SetLeaseConfig replaces the fleet's task configuration and returns it with its new version.
func (c *Client) SetLeaseConfig(ctx context.Context, config lease.Config) (lease.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[lease.Config](ctx, c, http.MethodPut, "/v1/leases", config)
}

// MigrateLease migrates the lease of a shard to a member, given by id or instance, or with
// lease.AnyMember from its holder to any other member.
func (c *Client) MigrateLease(ctx context.Context, k lease.Key, to string) error {
	ctx, done := withCallTimeout(ctx)
	defer done()
	_, err := sendJSON[[]lease.Event](ctx, c, http.MethodPost, "/v1/leases/move", migrateRequest{k, to})
	return err
}

// Leave ends the session of a member that no longer uses its allocations.
func (c *Client) Leave(ctx context.Context, id string) error {
	_, err := sendJSON[struct{}](ctx, c, http.MethodDelete, "/v1/fleet/members/"+url.PathEscape(id), nil)
	return err
}

// SetQuotaConfig replaces the fleet's budgets and returns them with their new version.
func (c *Client) SetQuotaConfig(ctx context.Context, config quota.Config) (quota.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[quota.Config](ctx, c, http.MethodPut, "/v1/fleet", config)
}

// Fleet returns the leader's view of the fleet. Without a confirmed leader it returns the state that some
// agent has applied: Leads is false then, and AgeMs is how old the state may be.
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
