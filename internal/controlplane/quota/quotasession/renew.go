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
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.register(ctx) {
			s.renewUntilLost(ctx)
		}
	}
}

// register joins until it has a session, and reports false if ctx ended. Each session has an id of its
// own; if an answer was lost, the join is repeated with the same id for as long as its session could
// last.
func (s *Session) register(ctx context.Context) bool {
	id := rand.Text()
	waits := backoff.ExponentialBackOff{InitialInterval: joinRetryMin, RandomizationFactor: 0.25, Multiplier: 2, MaxInterval: joinRetryMax}
	for {
		began := monotone.Now()
		m, doc, err := s.agents.Join(ctx, quota.Member{ID: id, Name: s.opt.Name, Addr: s.opt.Addr, Weight: s.opt.Weight, Accounts: s.opt.AccountsAddr})
		if err == nil {
			s.mu.Lock()
			s.client.Register(began, m.ID, doc)
			s.status = ""
			s.mu.Unlock()
			s.opt.Log.Info("joined the fleet", slog.String("reason", "FLEET_JOINED"), slog.String("member", m.ID),
				slog.Uint64("incarnation", m.Incarnation), slog.Uint64("version", doc.Version))
			s.onChange()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		why := "NO_AGENT"
		var rejected quota.RejectionError
		if errors.As(err, &rejected) {
			why = string(rejected)
		}
		s.mu.Lock()
		again := s.status == why
		s.status = why
		s.mu.Unlock()
		if !again {
			s.opt.Log.Warn("join rejected", slog.String("reason", "FLEET_"+why), slog.Any("error", err))
		}
		if rejected == quota.ErrUnknownMember {
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

// renewUntilLost renews until the session is lost or ctx ends.
func (s *Session) renewUntilLost(ctx context.Context) {
	if s.opt.LeaseWorker != nil {
		watching, stop := context.WithCancel(ctx)
		defer stop()
		s.mu.Lock()
		id := s.client.MemberID()
		s.mu.Unlock()
		go s.watchLeases(watching, id)
	}
	cutOff := false
	for s.waitForRenewal(ctx) {
		lost := s.renewOnce(ctx, &cutOff)
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
		due := s.client.NextRenewal() - monotone.Now()
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

// renewOnce sends one renewal and processes its answer. It reports whether the session is lost. cutOff is whether
// all allocations have expired for want of a renewal, which is logged once.
func (s *Session) renewOnce(ctx context.Context, cutOff *bool) (lost bool) {
	s.mu.Lock()
	if !s.client.Registered(monotone.Now()) {
		s.loseSession("SEAT_ENDED")
		s.mu.Unlock()
		return true
	}
	startedAt := monotone.Now() // before it is sent: the allocation's TTL counts from here
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
	case err == nil && s.client.AcceptRenewal(monotone.Now(), response):
		s.counts.renewed++
		if *cutOff {
			*cutOff, s.status = false, ""
			s.opt.Log.Info("renewals succeed again", slog.String("reason", "FLEET_HEARD"))
		}
	default:
		s.counts.failed++
		if !*cutOff && monotone.Now() >= s.client.AllocationsEnd() && ctx.Err() == nil {
			*cutOff, s.status = true, "CUT_OFF"
			s.opt.Log.Warn("allocations expired: only the floor is left", slog.String("reason", "FLEET_CUT_OFF"), slog.Any("error", err))
		}
	}
	return false
}

// sendRenewal sends a renewal together with the one of the leases, and passes the leases' answer on.
func (s *Session) sendRenewal(ctx context.Context, startedAt, timeout time.Duration, request quota.RenewalRequest) (quota.RenewalResponse, error) {
	var leases *lease.RenewalRequest
	if s.opt.LeaseWorker != nil {
		leases = s.opt.LeaseWorker.BeginRenewal(startedAt)
	}
	ctx, done := context.WithTimeout(ctx, timeout)
	defer done()
	response, renewed, err := s.agents.Renew(ctx, request, leases)
	if err == nil && renewed != nil && s.opt.LeaseWorker != nil {
		s.opt.LeaseWorker.AcceptRenewal(monotone.Now(), renewed)
	}
	return response, err
}

// loseSession gives up the session. The caller holds mu.
func (s *Session) loseSession(why string) {
	s.status = why
	s.client.Unregister()
	if s.opt.LeaseWorker != nil {
		s.opt.LeaseWorker.DropAll()
	}
	s.opt.Log.Warn("session lost", slog.String("reason", "FLEET_SEAT_LOST"), slog.String("why", why))
}

// Leave stops all use and, once no connection is open, gives up the session; if that takes too long it
// is left to expire. Run must have ended.
func (s *Session) Leave(ctx context.Context) {
	s.mu.Lock()
	seated, id := s.client.Registered(monotone.Now()), s.client.MemberID()
	s.client.Leave()
	s.mu.Unlock()
	if s.opt.LeaseWorker != nil && !s.opt.LeaseWorker.Stop(connectionCloseTimeout) {
		s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.String("why", "an act is under way"))
		return
	}
	for end := time.Now().Add(connectionCloseTimeout); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		out := s.client.OpenConnections()
		s.mu.Unlock()
		if out == 0 {
			break
		}
		if time.Now().After(end) {
			s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Int("connections", out))
			return
		}
	}
	if !seated {
		return
	}
	if err := s.agents.Leave(ctx, id); err != nil {
		s.opt.Log.Warn("session not released", slog.String("reason", "FLEET_NOT_LEFT"), slog.Any("error", err))
		return
	}
	s.opt.Log.Info("left the fleet", slog.String("reason", "FLEET_LEFT"))
}
