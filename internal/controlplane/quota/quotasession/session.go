// Package quotasession connects an instance to the fleet's quotas: it joins at the agents, keeps the
// session by renewals, and implements the quota interfaces of the scheduler and the connection pools by
// a quotaclient.Client, on the boot-time clock. All decisions are in quotaclient. Lease renewals are
// sent together with the session's (LeaseWorker).
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
	Addr           string // where it serves clients: two processes with one name and address are an upgrade
	Agents         []string
	FallbackAgents func() []string // agents learned from other members, used if none of Agents answers; nil: none
	Weight         float64
	Governed       []quota.Resource // resources that are blocked until the budgets are known
	Log            *slog.Logger
	LeaseWorker    LeaseWorker // nil: the instance runs no fleet-wide tasks
	AccountsAddr   string      // where it serves its latency accounts; empty: nowhere
}

// LeaseWorker runs fleet-wide tasks under leases (package leasework).
type LeaseWorker interface {
	BeginRenewal(now time.Duration) *lease.RenewalRequest
	AcceptRenewal(now time.Duration, resp *lease.RenewalResponse)
	DropAll()                       // called when the session is lost
	Stop(within time.Duration) bool // releases all leases and reports whether all operations have ended
}

// Session is an instance's session. It is safe for concurrent use.
type Session struct {
	opt      Options
	agents   agent.Client
	onChange func()        // called when allocations have changed; it must not block; set before Run
	wake     chan struct{} // signals Run that a renewal may be due earlier; never closed

	mu       sync.Mutex          // guards the fields below
	client   *quotaclient.Client // quota state, which decides
	renewNow bool                // the next renewal is due at once
	status   string              // code of why there is no session or no allocation; empty: there is
	counts   struct{ renewed, failed, lapsed, denied int64 }
}

// New returns a session that has not joined yet; Run joins and renews.
func New(opt Options) *Session {
	return &Session{opt: opt, agents: agent.Client{Addrs: opt.Agents, FallbackAddrs: opt.FallbackAgents}, client: quotaclient.New(opt.Governed), status: "JOINING",
		wake: make(chan struct{}, 1), onChange: func() {}}
}

// ReachableAgent returns an agent that answered recently; empty: none did.
func (s *Session) ReachableAgent() string { return s.agents.LastAnswered(agentFreshness) }

// OnChange sets the function that is called when allocations have changed. It must be called before Run.
func (s *Session) OnChange(f func()) { s.onChange = f }

// wakeRenewal makes Run check for an early renewal if there is unmet demand. The caller holds mu.
func (s *Session) wakeRenewal() {
	if s.client.HasUnmetDemand() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// RenewNow makes Run send the next renewal at once.
func (s *Session) RenewNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewNow = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
