package agent

import (
	"context"
	"net/http"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/lease/outlierboard"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/process/monotonic"
)

// FleetView is the response to GET /v1/fleet: the fleet's state at one agent.
type FleetView struct {
	Agent          string                   `json:"agent"`
	Leads          bool                     `json:"leads"`  // the agent is the leader, as a majority has just confirmed
	AgeMs          int64                    `json:"age_ms"` // how old the view may be; -1: the agent had no contact with a leader yet
	QuotaConfig    quota.Config             `json:"doc"`
	Members        []allocator.MemberStatus `json:"members"`
	Ledger         []allocator.LedgerLine   `json:"lines,omitempty"` // only from the leader
	RecoveryWaitMs int64                    `json:"wait_ms"`         // until a new term may allocate more of every budget
	LeaseConfig    lease.Config             `json:"tasks"`
	Leases         []lessor.LeaseStatus     `json:"leases,omitempty"`
	Board          []outlierboard.Entry     `json:"board,omitempty"` // only from the leader
}

// livenessUnknown is the state of members and leases in the view of an agent that does not lead.
const livenessUnknown allocator.Liveness = "unknown"

// handleShowFleet serves GET /v1/fleet: the leader's view, or with the stale parameter this agent's
// view of the state that it has applied.
func (s *leaderService) handleShowFleet(w http.ResponseWriter, r *http.Request) {
	var leads bool
	if allowsStale(r) {
		leads = s.isConfirmedLeader(r.Context())
	} else if _, leads = s.agent.beginRead(w, r); !leads {
		return
	}
	view, ok := s.fleetView(leads)
	if !ok && allowsStale(r) {
		view, ok = s.fleetView(false)
	}
	if !ok {
		writeError(w, errNotLeading)
		return
	}
	writeJSON(w, view)
}

// isConfirmedLeader reports whether this agent leads in a term that has begun, as a majority has just
// confirmed. It does not wait for a term to begin.
func (s *leaderService) isConfirmedLeader(ctx context.Context) bool {
	s.mu.Lock()
	if s.term == 0 {
		s.mu.Unlock()
		return false
	}
	return s.confirmLeadership(ctx)
}

// fleetView returns the leader's view, or if leads is false that of any agent. ok is false if the
// leader's term has ended meanwhile.
func (s *leaderService) fleetView(leads bool) (v FleetView, ok bool) {
	age, _ := s.agent.stateAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	reg, _ := s.agent.store.registry()
	v = FleetView{Agent: s.agent.opt.ID, Leads: leads, QuotaConfig: reg.QuotaConfig, LeaseConfig: reg.LeaseConfig}
	if leads {
		if s.allocator == nil {
			return v, false
		}
		s.addLeaderState(&v)
		return v, true
	}
	for _, m := range reg.Members {
		v.Members = append(v.Members, allocator.MemberStatus{Member: m, Liveness: livenessUnknown, LastSeenMs: -1})
	}
	for _, l := range reg.Leases {
		v.Leases = append(v.Leases, lessor.LeaseStatus{Lease: l, State: string(livenessUnknown), SinceMs: -1, UntilMs: -1, ProgressMs: -1})
	}
	v.AgeMs = ageMs(age)
	return v, true
}

// addLeaderState adds the state of the allocator, the lessor and the probe results, which only the
// leader has. The caller holds mu.
func (s *leaderService) addLeaderState(v *FleetView) {
	now := monotonic.Now()
	v.Members, v.Ledger = s.allocator.Members(now), s.allocator.Ledger(now, "")
	v.Leases, v.Board = s.lessor.Status(now), s.board.Entries(now)
	for i := range v.QuotaConfig.Budgets {
		v.RecoveryWaitMs = max(v.RecoveryWaitMs, s.allocator.RecoveryWait(now, &v.QuotaConfig.Budgets[i]).Milliseconds())
	}
}
