package agent

import (
	"context"
	"net/http"
	"net/url"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"strconv"
)

// Join asks for a seat. A fleet.Reason as error says that there is none, or not for it.
func (c *Client) Join(ctx context.Context, m quota.Member) (quota.Member, quota.Config, error) {
	j, err := sendJSON[joinResponse](ctx, c, http.MethodPost, "/v1/fleet/members", m)
	return j.Member, j.QuotaConfig, err
}

// Renew sends a renewal, with a claim where the member runs tasks, and brings the answers; the award is nil where there is none.
func (c *Client) Renew(ctx context.Context, r quota.RenewalRequest, claim *lease.RenewalRequest) (quota.RenewalResponse, *lease.RenewalResponse, error) {
	a, err := sendJSON[renewalResponse](ctx, c, http.MethodPost, "/v1/fleet/renew", renewalRequest{r, claim})
	return a.RenewalResponse, a.Leases, err
}

// WaitLeaseChange waits until a lease that a member has was changed after the log's index after, and returns the index; or until it has waited
// for long enough, or no agent answers.
func (c *Client) WaitLeaseChange(ctx context.Context, id string, after uint64) (uint64, error) {
	at := "/v1/leases/changed/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10) + "&after=" + strconv.FormatUint(after, 10)
	turn := int(c.preferred.Load())
	_, answer, err := c.callAgent(ctx, c.Addrs[turn%len(c.Addrs)], call{method: http.MethodGet, path: at}, watchWait+attemptTimeout)
	return decode[uint64](answer, err)
}

// SetLeaseConfig has the fleet go by another set of tasks.
func (c *Client) SetLeaseConfig(ctx context.Context, d lease.Config) (lease.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[lease.Config](ctx, c, http.MethodPut, "/v1/leases", d)
}

// MigrateLease has a shard go to a member, by its id or its instance's name; with lease.Anyone, away from its holder.
func (c *Client) MigrateLease(ctx context.Context, k lease.Key, to string) error {
	ctx, done := withCallTimeout(ctx)
	defer done()
	_, err := sendJSON[[]lease.Event](ctx, c, http.MethodPost, "/v1/leases/move", migrateRequest{k, to})
	return err
}

// Leave gives a seat back, of a member that uses nothing any more.
func (c *Client) Leave(ctx context.Context, id string) error {
	_, err := sendJSON[struct{}](ctx, c, http.MethodDelete, "/v1/fleet/members/"+url.PathEscape(id), nil)
	return err
}

// SetQuotaConfig has the fleet go by another set of budgets.
func (c *Client) SetQuotaConfig(ctx context.Context, d quota.Config) (quota.Config, error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	return sendJSON[quota.Config](ctx, c, http.MethodPut, "/v1/fleet", d)
}

// Fleet shows the fleet as its leader sees it. Where there is none, or none that a majority agrees with, it is what some agent's
// log says: Leads is false then, and AgeMs says how old it may be.
func (c *Client) Fleet(ctx context.Context) (FleetView, error) {
	fresh, done := context.WithTimeout(ctx, callTimeout/2)
	v, err := decode[FleetView](c.do(fresh, call{method: http.MethodGet, path: "/v1/fleet"}))
	done()
	if err == nil {
		return v, nil
	}
	ctx, done = context.WithTimeout(ctx, callTimeout/2)
	defer done()
	return decode[FleetView](c.do(ctx, call{method: http.MethodGet, path: "/v1/fleet?stale"}))
}
