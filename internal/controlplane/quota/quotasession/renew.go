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
	"spindlehitch/internal/process/monotonic"
)

// Times of joining and leaving.
const (
	agentFreshness         = 5 * time.Second        // how long an agent counts as reachable after its last answer
	joinRetryMin           = 200 * time.Millisecond // first retry delay of a join, doubled up to joinRetryMax
	joinRetryMax           = 5 * time.Second
	connectionCloseTimeout = time.Second // how long Leave waits for operations, and for connections, to end
)

// Run joins and renews until ctx ends, and joins again if the session is lost. Leave then ends the
// session.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.register(ctx) {
			s.renewUntilLost(ctx)
		}
	}
}

// register joins until it has a session, and reports false if ctx ended. Each session has a new random
// id. A join is repeated with the same id, since the response may have been lost and the session exist,
// until the agents report that a session of that id has ended.
func (s *Session) register(ctx context.Context) bool {
	id := rand.Text()
	retryBackoff := backoff.ExponentialBackOff{InitialInterval: joinRetryMin, RandomizationFactor: 0.25, Multiplier: 2, MaxInterval: joinRetryMax}
	for {
		startedAt := monotonic.Now()
		m, quotaConfig, err := s.agents.Join(ctx, quota.Member{ID: id, Name: s.opt.Name, Addr: s.opt.Addr, Weight: s.opt.Weight, Accounts: s.opt.AccountsAddr})
		if err == nil {
			s.mu.Lock()
			s.client.Register(startedAt, m.ID, quotaConfig)
			s.status = ""
			s.mu.Unlock()
			s.opt.Log.Info("joined the fleet", slog.String("reason", "FLEET_JOINED"), slog.String("member", m.ID),
				slog.Uint64("incarnation", m.Incarnation), slog.Uint64("version", quotaConfig.Version))
			s.onChange()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		reason := "NO_AGENT"
		var rejected quota.RejectionError
		if errors.As(err, &rejected) {
			reason = string(rejected)
		}
		s.mu.Lock()
		alreadyLogged := s.status == reason
		s.status = reason
		s.mu.Unlock()
		if !alreadyLogged {
			s.opt.Log.Warn("join rejected", slog.String("reason", "FLEET_"+reason), slog.Any("error", err))
		}
		if rejected == quota.ErrUnknownMember {
			id = rand.Text()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

// watchLeases requests a renewal whenever the agents' log changes a lease of this member. It returns
// when ctx ends.
func (s *Session) watchLeases(ctx context.Context, id string) {
	var known uint64
	for ctx.Err() == nil {
		index, err := s.agents.WaitLeaseChange(ctx, id, known)
		if err == nil && index > known {
			known = index
			s.RenewNow()
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

// renewUntilLost renews until the session is lost or ctx ends. Meanwhile it runs watchLeases.
func (s *Session) renewUntilLost(ctx context.Context) {
	if s.opt.LeaseWorker != nil {
		watchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.mu.Lock()
		id := s.client.MemberID()
		s.mu.Unlock()
		go s.watchLeases(watchCtx, id)
	}
	allocationsExpired := false
	for s.waitForRenewal(ctx) {
		lost := s.renewOnce(ctx, &allocationsExpired)
		s.onChange()
		if lost {
			return
		}
	}
}

// waitForRenewal waits until the next renewal is due, and reports false if ctx ended.
func (s *Session) waitForRenewal(ctx context.Context) bool {
	for ctx.Err() == nil {
		s.mu.Lock()
		due := s.client.NextRenewal() - monotonic.Now()
		if s.renewNow {
			due = 0
		}
		s.mu.Unlock()
		if due <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(due):
			return true
		case <-s.wake: // it may be due sooner now
		}
	}
	return false
}

// renewOnce sends one renewal and processes the response. It reports whether the session is lost. allocationsExpired is
// whether all allocations have expired because renewals failed, which is logged once.
func (s *Session) renewOnce(ctx context.Context, allocationsExpired *bool) (lost bool) {
	s.mu.Lock()
	if !s.client.Registered(monotonic.Now()) {
		s.loseSession("SEAT_ENDED")
		s.mu.Unlock()
		return true
	}
	startedAt := monotonic.Now() // before it is sent: the allocation's TTL counts from here
	request := s.client.BeginRenewal(startedAt)
	timeout := s.client.RenewTimeout()
	s.renewNow = false
	s.mu.Unlock()
	response, err := s.sendRenewal(ctx, startedAt, timeout, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, quota.ErrUnknownMember):
		s.loseSession(err.Error())
		return true
	case err == nil && s.client.AcceptRenewal(monotonic.Now(), response):
		s.counts.renewed++
		if *allocationsExpired {
			*allocationsExpired, s.status = false, ""
			s.opt.Log.Info("renewals succeed again", slog.String("reason", "FLEET_HEARD"))
		}
	default:
		s.counts.failed++
		if !*allocationsExpired && monotonic.Now() >= s.client.AllocationsEnd() && ctx.Err() == nil {
			*allocationsExpired, s.status = true, "CUT_OFF"
			s.opt.Log.Warn("allocations expired: only the floor is left", slog.String("reason", "FLEET_CUT_OFF"), slog.Any("error", err))
		}
	}
	return false
}

// sendRenewal sends a session renewal together with the lease renewal, and passes the lease response to the LeaseWorker.
func (s *Session) sendRenewal(ctx context.Context, startedAt, timeout time.Duration, request quota.RenewalRequest) (quota.RenewalResponse, error) {
	var leaseRequest *lease.RenewalRequest
	if s.opt.LeaseWorker != nil {
		leaseRequest = s.opt.LeaseWorker.BeginRenewal(startedAt)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, leaseResponse, err := s.agents.Renew(ctx, request, leaseRequest)
	if err == nil && leaseResponse != nil && s.opt.LeaseWorker != nil {
		s.opt.LeaseWorker.AcceptRenewal(monotonic.Now(), leaseResponse)
	}
	return response, err
}

// loseSession drops the session and all leases. The caller holds mu.
func (s *Session) loseSession(reason string) {
	s.status = reason
	s.client.Unregister()
	if s.opt.LeaseWorker != nil {
		s.opt.LeaseWorker.DropAll()
	}
	s.opt.Log.Warn("session lost", slog.String("reason", "FLEET_SEAT_LOST"), slog.String("why", reason))
}

// Leave stops all use and, once no operation is running and no connection is open, ends the session. If
// either takes longer than connectionCloseTimeout, the session is left to expire. Run must have ended.
func (s *Session) Leave(ctx context.Context) {
	s.mu.Lock()
	registered, id := s.client.Registered(monotonic.Now()), s.client.MemberID()
	s.client.Leave()
	s.mu.Unlock()
	if s.opt.LeaseWorker != nil && !s.opt.LeaseWorker.Stop(connectionCloseTimeout) {
		s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.String("why", "an operation is still running"))
		return
	}
	for deadline := time.Now().Add(connectionCloseTimeout); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		open := s.client.OpenConnections()
		s.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Int("connections", open))
			return
		}
	}
	if !registered {
		return
	}
	if err := s.agents.Leave(ctx, id); err != nil {
		s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Any("error", err))
		return
	}
	s.opt.Log.Info("left the fleet", slog.String("reason", "FLEET_LEFT"))
}
