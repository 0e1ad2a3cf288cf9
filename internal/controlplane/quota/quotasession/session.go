// Package quotasession connects an instance to the fleet's quotas: it joins at the agents, keeps the
// session by renewals, and answers the scheduler's and the connection pools' questions from a
// quotaclient.Client, on the clock that counts sleep. All decisions are in quotaclient. The claims of
// leases travel with the renewals (LeaseWorker).
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

// Options configure an instance's session.
type Options struct {
	Name           string
	Addr           string // where it serves clients: two processes at one address are an upgrade
	Agents         []string
	FallbackAgents func() []string // agents that other members know, if none of Agents answers; nil: none
	Weight         float64
	Governed       []quota.Resource // resources that are blocked until the budgets are known
	Log            *slog.Logger
	LeaseWorker    LeaseWorker // nil: the instance runs no tasks
	AccountsAddr   string      // where it serves its latency accounts; empty: nowhere
}

// LeaseWorker runs fleet-wide tasks under leases (package leasework).
type LeaseWorker interface {
	BeginRenewal(now time.Duration) *lease.RenewalRequest
	AcceptRenewal(now time.Duration, a *lease.RenewalResponse)
	DropAll()                       // the session is lost
	Stop(within time.Duration) bool // releases everything; whether all operations have ended
}

// Session is an instance's session. It is safe for concurrent use.
type Session struct {
	opt      Options
	agents   agent.Client
	onChange func()        // called when allocations have changed; it must not block
	wake     chan struct{} // a renewal may be due earlier than planned

	mu       sync.Mutex
	client   *quotaclient.Client // the decisions
	renewNow bool                // the next renewal is due at once
	status   string              // why there is no session or no allocation; empty: all is well
	counts   struct{ renewed, failed, lapsed, denied int64 }
}

// New returns a session that has not joined yet; Run joins and renews.
func New(opt Options) *Session {
	return &Session{opt: opt, agents: agent.Client{Addrs: opt.Agents, FallbackAddrs: opt.FallbackAgents}, client: quotaclient.New(opt.Governed), status: "JOINING",
		wake: make(chan struct{}, 1), onChange: func() {}}
}

// ReachableAgent is an agent that answered recently; empty: none did.
func (s *Session) ReachableAgent() string { return s.agents.LastResponder(agentFreshness) }

// OnChange sets what is called when allocations have changed. It must be called before Run.
func (s *Session) OnChange(f func()) { s.onChange = f }

// wakeRenewal has a renewal sent early if the client wants one. The caller holds mu.
func (s *Session) wakeRenewal() {
	if s.client.HasUnmetDemand() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// RenewNow has the next renewal sent at once.
func (s *Session) RenewNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewNow = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
