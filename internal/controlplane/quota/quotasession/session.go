// Package quotasession is an instance's edge of the fleet: it keeps a seat at the agents by renewals, and answers the module and the
// targets' pools from the holder, on the clock that counts sleep. All decisions are the holder's (internal/controlplane/quota/quotaclient).
package quotasession

import (
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/quotaclient"
)

// Options set up an instance's part in the fleet.
type Options struct {
	Name           string
	Addr           string // where it takes clients: two processes at one address are an upgrade
	Agents         []string
	FallbackAgents func() []string // agents that others know, where none of these answers; nil: nobody knows any
	Weight         float64
	Governed       []quota.Resource // nothing of these is used before the fleet's budgets are known
	Log            *slog.Logger
	LeaseWorker    LeaseWorker // nil: the instance runs no tasks
	AccountsAddr   string      // where it tells its latency accounts; empty: nowhere
}

// LeaseWorker is what an instance does for the whole fleet (internal/controlplane/lease/leasework): its claims go with the renewals of its seat.
type LeaseWorker interface {
	BeginRenewal(now time.Duration) *lease.RenewalRequest
	AcceptRenewal(now time.Duration, a *lease.RenewalResponse)
	DropAll()                       // the seat is lost
	Stop(within time.Duration) bool // gives everything back; whether nothing is done any more
}

// Session is an instance's. All of it is safe for concurrent use.
type Session struct {
	opt      Options
	agents   agent.Client
	onChange func() // told when parts have changed
	wake     chan struct{}

	mu       sync.Mutex
	client   *quotaclient.Client
	renewNow bool   // the next renewal is due at once
	status   string // why there is no seat, or nothing beyond the floor; empty: there is
	counts   struct{ renewed, failed, lapsed, denied int64 }
}

// New returns one that has no seat yet; Run gets it one.
func New(opt Options) *Session {
	return &Session{opt: opt, agents: agent.Client{Addrs: opt.Agents, FallbackAddrs: opt.FallbackAgents}, client: quotaclient.New(opt.Governed), status: "JOINING",
		wake: make(chan struct{}, 1), onChange: func() {}}
}

// ReachableAgent is an agent that has answered lately; empty: none has.
func (r *Session) ReachableAgent() string { return r.agents.LastAnswered(agentFreshness) }

// OnChange has f called whenever parts have changed. It must be called before Run, and f must not wait.
func (r *Session) OnChange(f func()) { r.onChange = f }

// wakeRenewal has a renewal sent early, where the holder wants one. Its caller holds mu.
func (r *Session) wakeRenewal() {
	if r.client.HasUnmetDemand() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// RenewNow has the next renewal sent at once.
func (r *Session) RenewNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewNow = true
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
