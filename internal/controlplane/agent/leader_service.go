package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/lease/outlierboard"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/controlplane/readindex"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotonic"
)

// Timeouts and intervals of the leader's service.
const (
	termQueryTimeout = 500 * time.Millisecond // for another agent to return its term
	expiryInterval   = 250 * time.Millisecond // between checks for expired sessions and leases
	probeResultTTL   = 10 * time.Minute       // how long a probe result is kept
)

// leaderService runs the allocator and the lessor while this agent leads: it creates them for each
// term, passes renewals to them, and sends their responses once a majority of the agents has confirmed
// that no later term has begun.
type leaderService struct {
	agent            *Agent
	client           http.Client
	ctx              context.Context // cancelled by stop; ends the loops
	cancel           context.CancelFunc
	loops            sync.WaitGroup
	confirmRequested chan struct{} // a response waits for confirmation; holds one signal, never closed
	lessorWake       chan struct{} // the lessor may have new events; holds one signal, never closed

	mu            sync.Mutex                   // guards the fields below
	term          uint64                       // the allocator's term; 0: this agent does not lead, or has not applied the entries of earlier terms
	termChanged   chan struct{}                // closed and replaced when term changes, and by each syncWithTerm while this agent does not lead
	allocator     *allocator.Allocator         // nil if term is 0
	lessor        *lessor.Lessor               // nil if term is 0
	board         *outlierboard.Board          // nil if term is 0
	confirmations readindex.Queue[chan<- bool] // one channel per response that waits; gets at most one result, never closed
}

// newLeaderService returns the service. Its loops do not run until start.
func newLeaderService(a *Agent) *leaderService {
	s := &leaderService{agent: a, confirmRequested: make(chan struct{}, 1), lessorWake: make(chan struct{}, 1), termChanged: make(chan struct{})}
	s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// start starts the loops; stop ends them.
func (s *leaderService) start() {
	s.loops.Go(s.run)
	s.loops.Go(s.runConfirmationRounds)
}

// stop ends the loops and waits for them.
func (s *leaderService) stop() {
	s.cancel()
	s.loops.Wait()
	s.client.CloseIdleConnections()
}

// routes registers the service's routes.
func (s *leaderService) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/term", s.handleTerm)
	mux.HandleFunc("POST /v1/fleet/renew", s.handleRenew)
	mux.HandleFunc("POST /v1/fleet/members", s.handleJoin)
	mux.HandleFunc("DELETE /v1/fleet/members/{id}", s.handleLeave)
	mux.HandleFunc("GET /v1/fleet", s.handleShowFleet)
	mux.HandleFunc("PUT /v1/fleet", s.handleSetQuotas)
	mux.HandleFunc("PUT /v1/leases", s.handleSetTasks)
	mux.HandleFunc("POST /v1/leases/move", s.handleMigrateLease)
	mux.HandleFunc("GET /v1/leases/changed/{id}", s.handleLeaseChanges)
}

// run synchronizes the service with Raft's term and the log after each change of either, and at least
// every expiryInterval, until the service stops.
func (s *leaderService) run() {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		_, changed := s.agent.store.registry()
		s.syncWithTerm()
		s.agent.stateAge() // records how recent the state is, even while no request needs its age
		if s.applyPendingEvents() {
			continue // pass the applied events to the lessor before waiting
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.agent.raft.LeaderCh():
		case <-changed:
		case <-s.lessorWake:
		case <-tick.C:
		}
	}
}

// applyPendingEvents proposes the lessor's pending events and its highest token. It reports whether they
// were committed; false if there are none.
func (s *leaderService) applyPendingEvents() bool {
	s.mu.Lock()
	var events []lease.Event
	var highestToken uint64
	if s.lessor != nil {
		events, highestToken = s.lessor.PendingEvents(monotonic.Now())
	}
	s.mu.Unlock()
	if len(events) == 0 && highestToken == 0 {
		return false
	}
	failpoint.Hit("agent.orders")
	v, err := s.agent.propose(command{LeaseEvents: events, HighestToken: highestToken})
	failpoint.Hit("agent.ordered")
	if err != nil {
		return false // it is unknown whether they are committed: the lessor returns them again
	}
	applied, _ := v.([]lease.Event)
	for _, e := range applied {
		s.agent.opt.Log.Info("lease changed", slog.String("reason", "LEASE_"+strings.ToUpper(string(e.Kind))), slog.String("lease", e.String()),
			slog.String("member", e.Member), slog.Uint64("over", e.ExpectedToken))
	}
	return true
}

// syncWithTerm creates the allocator and the lessor when this agent has become the leader, drops them
// when its term has ended, passes them the registry's state, and removes expired sessions. It may be
// called concurrently.
func (s *leaderService) syncWithTerm() {
	leads, term := s.agent.raft.State() == raft.Leader, s.agent.raft.CurrentTerm()
	s.mu.Lock()
	if s.term != 0 && (!leads || term != s.term) {
		s.endTerm()
	}
	if !leads {
		s.notifyTermWaiters() // a read that waits for the term to begin checks the leadership again
	}
	begun := s.term != 0
	s.mu.Unlock()
	if !leads || !begun && !s.applyEarlierTerms(term) {
		return
	}
	s.mu.Lock()
	reg, _ := s.agent.store.registry() // read with mu held, so that concurrent calls cannot pass older state after newer
	now := monotonic.Now()
	switch {
	case s.term == term:
		s.allocator.Update(now, reg.QuotaConfig, reg.Members)
		s.lessor.Update(now, &reg)
		s.board.Prune(now, probeResultTTL, s.lessor.IsMember)
	case s.term == 0 && !begun:
		s.beginTerm(now, term, &reg)
	default: // a concurrent call has ended the term or begun another
		s.mu.Unlock()
		return
	}
	expired := s.allocator.Expire(now)
	s.mu.Unlock()
	if len(expired) > 0 {
		if _, err := s.agent.propose(command{Leave: expired}); err == nil {
			s.agent.opt.Log.Info("sessions expired", slog.String("reason", "FLEET_GONE"), slog.Any("members", expired))
		}
	}
}

// applyEarlierTerms waits until all entries that earlier terms have committed are applied, and reports
// whether this agent still leads in the given term.
func (s *leaderService) applyEarlierTerms(term uint64) bool {
	return s.agent.raft.Barrier(applyTimeout).Error() == nil && s.agent.raft.CurrentTerm() == term
}

// beginTerm creates the allocator and the lessor. The caller holds mu.
func (s *leaderService) beginTerm(now time.Duration, term uint64, reg *registry.Registry) {
	s.allocator, s.term = allocator.New(now, reg.QuotaConfig, reg.Members), term
	s.lessor, s.board = lessor.New(now, reg), &outlierboard.Board{}
	s.notifyTermWaiters()
	s.agent.opt.Log.Info("allocator started", slog.String("reason", "FLEET_GIVER"), slog.Uint64("term", term), slog.Int("members", len(reg.Members)))
}

// endTerm drops the allocator and the lessor. The caller holds mu.
func (s *leaderService) endTerm() {
	s.term, s.allocator, s.lessor, s.board = 0, nil, nil, nil
	s.notifyTermWaiters()
}

// termBegun reports whether this agent leads in a term that has begun.
func (s *leaderService) termBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term != 0
}

// notifyTermWaiters wakes all goroutines that wait for a term to begin or to end. The caller holds mu.
func (s *leaderService) notifyTermWaiters() {
	close(s.termChanged)
	s.termChanged = make(chan struct{})
}

// confirmTerm waits until this agent leads in a term that has begun (see applyEarlierTerms) and a
// majority has confirmed, after this call, that no later term has begun. The returned channel is closed
// when the term ends.
func (s *leaderService) confirmTerm(ctx context.Context) (ended <-chan struct{}, err error) {
	for {
		s.mu.Lock()
		changed := s.termChanged
		if s.term != 0 {
			if !s.confirmLeadership(ctx) {
				return nil, errNotLeading
			}
			return changed, nil
		}
		s.mu.Unlock()
		if s.agent.raft.State() != raft.Leader {
			return nil, errNotLeading
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return nil, errNotLeading
		case <-ctx.Done():
			return nil, errNotApplied
		}
	}
}

// errNotApplied rejects a read at a leader that has not applied all entries of earlier terms; the caller
// retries.
var errNotApplied = errors.New("this agent leads and has not applied its log yet: try again, or read what it has with ?stale")

// errNotLeading rejects a request that only the leader can handle; the caller retries.
var errNotLeading = errors.New("this agent does not lead at the moment")

// redirectIfNoAllocator redirects the caller to the leader, and returns false if this agent has an
// allocator, so that it leads in a term that has begun.
func (s *leaderService) redirectIfNoAllocator(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	hasAllocator := s.allocator != nil
	s.mu.Unlock()
	if hasAllocator {
		return false
	}
	s.agent.redirectToLeader(w, r)
	return true
}
