package quotasession

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/process/monotone"
)

// Times of joining and leaving.
const (
	agentFreshness         = 5 * time.Second        // for which an agent's last answer makes it reachable
	joinRetryMin           = 200 * time.Millisecond // doubled up to joinRetryMax
	joinRetryMax           = 5 * time.Second
	connectionCloseTimeout = time.Second // for connections to close before the session is given up
)

// Run joins and renews until ctx ends. Leave then gives up the session.
func (r *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.register(ctx) {
			r.renewUntilLost(ctx)
		}
	}
}

// register joins until it has a session, and reports false if ctx ended. Each session has an id of its
// own; if an answer was lost, the join is repeated with the same id for as long as its session could
// last.
func (r *Session) register(ctx context.Context) bool {
	id := rand.Text()
	waits := backoff.ExponentialBackOff{InitialInterval: joinRetryMin, RandomizationFactor: 0.25, Multiplier: 2, MaxInterval: joinRetryMax}
	for {
		began := monotone.Now()
		m, doc, err := r.agents.Join(ctx, quota.Member{ID: id, Name: r.opt.Name, Addr: r.opt.Addr, Weight: r.opt.Weight, Accounts: r.opt.AccountsAddr})
		if err == nil {
			r.mu.Lock()
			r.client.Register(began, m.ID, doc)
			r.status = ""
			r.mu.Unlock()
			r.opt.Log.Info("joined the fleet", slog.String("reason", "FLEET_JOINED"), slog.String("member", m.ID),
				slog.Uint64("incarnation", m.Incarnation), slog.Uint64("version", doc.Version))
			r.onChange()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		why := "NO_AGENT"
		var no quota.RejectionError
		if errors.As(err, &no) {
			why = string(no)
		}
		r.mu.Lock()
		again := r.status == why
		r.status = why
		r.mu.Unlock()
		if !again {
			r.opt.Log.Warn("join rejected", slog.String("reason", "FLEET_"+why), slog.Any("error", err))
		}
		if no == quota.ErrUnknownMember {
			id = rand.Text()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// watchLeases has a renewal sent whenever the agents' log changes a lease of this member.
func (r *Session) watchLeases(ctx context.Context, id string) {
	var known uint64
	for ctx.Err() == nil {
		index, err := r.agents.WaitLeaseChange(ctx, id, known)
		if err == nil && index > known {
			known = index
			r.RenewNow()
			continue
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(joinRetryMin):
			}
		}
	}
}

// renewUntilLost renews until the session is lost or ctx ends.
func (r *Session) renewUntilLost(ctx context.Context) {
	if r.opt.LeaseWorker != nil {
		watching, stop := context.WithCancel(ctx)
		defer stop()
		r.mu.Lock()
		id := r.client.MemberID()
		r.mu.Unlock()
		go r.watchLeases(watching, id)
	}
	cutOff := false
	for r.waitForRenewal(ctx) {
		lost := r.renewOnce(ctx, &cutOff)
		r.onChange()
		if lost {
			return
		}
	}
}

// waitForRenewal waits until the next renewal is due, and reports false if ctx ended.
func (r *Session) waitForRenewal(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		due := r.client.NextRenewal() - monotone.Now()
		if r.renewNow {
			due = 0
		}
		r.mu.Unlock()
		if due <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(due):
			return true
		case <-r.wake: // it may be due sooner now
		}
	}
	return false
}

// renewOnce sends one renewal and processes its answer. It reports whether the session is lost. cutOff is whether
// all allocations have expired for want of a renewal, which is logged once.
func (r *Session) renewOnce(ctx context.Context, cutOff *bool) (lost bool) {
	r.mu.Lock()
	if !r.client.Registered(monotone.Now()) {
		r.loseSession("SEAT_ENDED")
		r.mu.Unlock()
		return true
	}
	startedAt := monotone.Now() // before it is sent: the allocation's TTL counts from here
	request := r.client.BeginRenewal(startedAt)
	timeout := r.client.RenewTimeout()
	r.renewNow = false
	r.mu.Unlock()
	response, err := r.sendRenewal(ctx, startedAt, timeout, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.Is(err, quota.ErrUnknownMember):
		r.loseSession(err.Error())
		return true
	case err == nil && r.client.AcceptRenewal(monotone.Now(), response):
		r.counts.renewed++
		if *cutOff {
			*cutOff, r.status = false, ""
			r.opt.Log.Info("renewals succeed again", slog.String("reason", "FLEET_HEARD"))
		}
	default:
		r.counts.failed++
		if !*cutOff && monotone.Now() >= r.client.AllocationsEnd() && ctx.Err() == nil {
			*cutOff, r.status = true, "CUT_OFF"
			r.opt.Log.Warn("allocations expired: only the floor is left", slog.String("reason", "FLEET_CUT_OFF"), slog.Any("error", err))
		}
	}
	return false
}

// sendRenewal sends a renewal together with the one of the leases, and passes the leases' answer on.
func (r *Session) sendRenewal(ctx context.Context, startedAt, timeout time.Duration, request quota.RenewalRequest) (quota.RenewalResponse, error) {
	var leases *lease.RenewalRequest
	if r.opt.LeaseWorker != nil {
		leases = r.opt.LeaseWorker.BeginRenewal(startedAt)
	}
	ctx, done := context.WithTimeout(ctx, timeout)
	defer done()
	response, renewed, err := r.agents.Renew(ctx, request, leases)
	if err == nil && renewed != nil && r.opt.LeaseWorker != nil {
		r.opt.LeaseWorker.AcceptRenewal(monotone.Now(), renewed)
	}
	return response, err
}

// loseSession gives up the session. The caller holds mu.
func (r *Session) loseSession(why string) {
	r.status = why
	r.client.Unregister()
	if r.opt.LeaseWorker != nil {
		r.opt.LeaseWorker.DropAll()
	}
	r.opt.Log.Warn("session lost", slog.String("reason", "FLEET_SEAT_LOST"), slog.String("why", why))
}

// Leave stops all use and, once no connection is open, gives up the session; if that takes too long it
// is left to expire. Run must have ended.
func (r *Session) Leave(ctx context.Context) {
	r.mu.Lock()
	seated, id := r.client.Registered(monotone.Now()), r.client.MemberID()
	r.client.Leave()
	r.mu.Unlock()
	if r.opt.LeaseWorker != nil && !r.opt.LeaseWorker.Stop(connectionCloseTimeout) {
		r.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.String("why", "an act is under way"))
		return
	}
	for end := time.Now().Add(connectionCloseTimeout); ; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		out := r.client.OpenConnections()
		r.mu.Unlock()
		if out == 0 {
			break
		}
		if time.Now().After(end) {
			r.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Int("connections", out))
			return
		}
	}
	if !seated {
		return
	}
	if err := r.agents.Leave(ctx, id); err != nil {
		r.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Any("error", err))
		return
	}
	r.opt.Log.Info("left the fleet", slog.String("reason", "FLEET_LEFT"))
}
