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
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotone"
)

// Times of the leader's service.
const (
	termQueryTimeout = 500 * time.Millisecond // for another agent to tell its term
	expiryInterval   = 250 * time.Millisecond // between checks for expired sessions and leases
	probeResultTTL   = 10 * time.Minute       // for which a probe result is kept
)

// leaderService runs the allocator and the lessor while this agent leads: it starts them for each
// term, passes them renewals, and sends their answers once a majority of the agents has confirmed that
// no later term has begun.
type leaderService struct {
	agent            *Agent
	client           http.Client
	ctx              context.Context
	cancel           context.CancelFunc
	loops            sync.WaitGroup
	confirmRequested chan struct{} // an answer waits for confirmation
	lessorWake       chan struct{} // leases may be granted

	mu                   sync.Mutex
	term                 uint64               // of the allocator; 0: this agent does not lead
	allocator            *allocator.Allocator // nil: this agent does not lead
	lessor               *lessor.Lessor       // as long as there is an allocator
	board                *outlierboard.Board
	awaitingConfirmation readindex.Queue[chan<- bool]
	lastLedAt            time.Duration // 0: never
}

// newLeaderService starts the service's goroutines.
func newLeaderService(a *Agent) *leaderService {
	d := &leaderService{agent: a, confirmRequested: make(chan struct{}, 1), lessorWake: make(chan struct{}, 1)}
	d.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.loops.Go(d.run)
	d.loops.Go(d.confirmLoop)
	return d
}

// stop ends the goroutines and waits for them.
func (d *leaderService) stop() {
	d.cancel()
	d.loops.Wait()
	d.client.CloseIdleConnections()
}

// routes registers the service's routes.
func (d *leaderService) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/term", d.handleTerm)
	mux.HandleFunc("POST /v1/fleet/renew", d.handleRenew)
	mux.HandleFunc("POST /v1/fleet/members", d.handleJoin)
	mux.HandleFunc("DELETE /v1/fleet/members/{id}", d.handleLeave)
	mux.HandleFunc("GET /v1/fleet", d.handleShowFleet)
	mux.HandleFunc("PUT /v1/fleet", d.handleSetQuotas)
	mux.HandleFunc("PUT /v1/leases", d.handleSetTasks)
	mux.HandleFunc("POST /v1/leases/move", d.handleMigrateLease)
	mux.HandleFunc("GET /v1/leases/changed/{id}", d.handleLeaseChanges)
}

// run keeps the service in step with the term and the log.
func (d *leaderService) run() {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		_, changed := d.agent.store.registry()
		d.syncWithTerm()
		if d.applyPendingEvents() {
			continue // take over the change before anything else
		}
		select {
		case <-d.ctx.Done():
			return
		case <-d.agent.raft.LeaderCh():
		case <-changed:
		case <-d.lessorWake:
		case <-tick.C:
		}
	}
}

// applyPendingEvents proposes the lessor's events, and reports whether that succeeded.
func (d *leaderService) applyPendingEvents() bool {
	d.mu.Lock()
	var orders []lease.Event
	var seen uint64
	if d.lessor != nil {
		orders, seen = d.lessor.PendingEvents(monotone.Now())
	}
	d.mu.Unlock()
	if len(orders) == 0 && seen == 0 {
		return false
	}
	failpoint.Hit("agent.orders")
	v, err := d.agent.propose(command{LeaseEvents: orders, HighestToken: seen})
	failpoint.Hit("agent.ordered")
	if err != nil {
		return false // it is unknown whether they are in the log: the lessor returns them again
	}
	done, _ := v.([]lease.Event)
	for _, o := range done {
		d.agent.opt.Log.Info("lease changed", slog.String("reason", "LEASE_"+strings.ToUpper(string(o.Kind))), slog.String("lease", o.String()),
			slog.String("member", o.Member), slog.Uint64("over", o.ExpectedToken))
	}
	return true
}

// syncWithTerm starts the allocator and the lessor once this agent leads, drops them once it does not,
// passes them the registry's state, and removes expired sessions.
func (d *leaderService) syncWithTerm() {
	leads, term := d.agent.raft.State() == raft.Leader, d.agent.raft.CurrentTerm()
	d.mu.Lock()
	had := d.term
	if had != 0 && (!leads || term != had) {
		d.term, d.allocator, d.lessor, d.board = 0, nil, nil, nil
		had = 0
	}
	d.mu.Unlock()
	if !leads {
		return
	}
	if had == 0 {
		// Everything that earlier terms have committed must be applied before anything is decided.
		if d.agent.raft.Barrier(applyTimeout).Error() != nil || d.agent.raft.CurrentTerm() != term {
			return
		}
	}
	d.mu.Lock()
	reg, _ := d.agent.store.registry() // with mu held, so that two calls cannot pass older state after newer
	now := monotone.Now()
	if had == 0 {
		d.allocator, d.term = allocator.New(now, reg.QuotaConfig, reg.Members), term
		d.lessor, d.board = lessor.New(now, &reg), &outlierboard.Board{}
		d.agent.opt.Log.Info("allocator started", slog.String("reason", "FLEET_GIVER"), slog.Uint64("term", term), slog.Int("members", len(reg.Members)))
	} else {
		d.allocator.Update(now, reg.QuotaConfig, reg.Members)
		d.lessor.Update(now, &reg)
		d.board.Prune(now, probeResultTTL, d.lessor.IsMember)
	}
	d.lastLedAt = now
	gone := d.allocator.Expire(now)
	d.mu.Unlock()
	if len(gone) > 0 {
		if _, err := d.agent.propose(command{Leave: gone}); err == nil {
			d.agent.opt.Log.Info("sessions expired", slog.String("reason", "FLEET_GONE"), slog.Any("members", gone))
		}
	}
}

// errNotLeading says that there is no leader to answer; the caller retries.
var errNotLeading = errors.New("this agent does not lead at the moment")

// redirectUnlessLeading redirects the caller to the leader, and returns false if this agent has an
// allocator.
func (d *leaderService) redirectUnlessLeading(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	here := d.allocator != nil
	d.mu.Unlock()
	if here {
		return false
	}
	d.agent.redirectToLeader(w, r)
	return true
}
