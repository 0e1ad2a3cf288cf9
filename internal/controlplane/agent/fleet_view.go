package agent

import (
	"net/http"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/lease/outlierboard"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/process/monotone"
)

// FleetView is the fleet as an agent sees it.
type FleetView struct {
	Agent          string                   `json:"agent"`
	Leads          bool                     `json:"leads"`  // a majority has just confirmed it
	AgeMs          int64                    `json:"age_ms"` // since it last heard of the leader: how old the view may be
	QuotaConfig    quota.Config             `json:"doc"`
	Members        []allocator.MemberStatus `json:"members"`
	Ledger         []allocator.LedgerLine   `json:"lines,omitempty"` // of the leader only
	RecoveryWaitMs int64                    `json:"wait_ms"`         // until a new term may allocate anything new
	LeaseConfig    lease.Config             `json:"tasks"`
	Leases         []lessor.LeaseStatus     `json:"leases,omitempty"`
	Board          []outlierboard.Entry     `json:"board,omitempty"` // of the leader only
}

// leaderContactMs is how many milliseconds ago this agent last led or heard of the leader; -1: never.
func (s *leaderService) leaderContactMs() int64 {
	s.mu.Lock()
	led := s.lastLedAt
	s.mu.Unlock()
	age := int64(-1)
	if heard := s.agent.raft.LastContact(); !heard.IsZero() {
		age = time.Since(heard).Milliseconds()
	}
	if since := (monotone.Now() - led).Milliseconds(); led > 0 && (age < 0 || since < age) {
		age = since
	}
	return age
}

// livenessUnknown is the state of members at an agent that does not lead.
const livenessUnknown allocator.Liveness = "unknown"

// handleShowFleet answers GET /v1/fleet: the leader's view, or with stale this agent's, as far as its
// log goes.
func (s *leaderService) handleShowFleet(w http.ResponseWriter, r *http.Request) {
	if !allowsStale(r) && s.redirectUnlessLeading(w, r) {
		return
	}
	reg, _ := s.agent.store.registry()
	v := FleetView{Agent: s.agent.opt.ID, QuotaConfig: reg.QuotaConfig, LeaseConfig: reg.LeaseConfig}
	s.mu.Lock()
	if s.allocator != nil {
		now := monotone.Now()
		v.Members, v.Ledger = s.allocator.Members(now), s.allocator.Ledger(now, "")
		v.Leases, v.Board = s.lessor.Status(now), s.board.Entries(now)
		for i := range reg.QuotaConfig.Budgets {
			v.RecoveryWaitMs = max(v.RecoveryWaitMs, s.allocator.RecoveryWait(now, &reg.QuotaConfig.Budgets[i]).Milliseconds())
		}
		v.Leads = s.confirmLeadership(r.Context())
	} else {
		s.mu.Unlock()
	}
	if !v.Leads {
		if !allowsStale(r) {
			writeError(w, errNotLeading)
			return
		}
		v.Members, v.Ledger, v.Leases, v.Board = nil, nil, nil, nil
		for _, m := range reg.Members {
			v.Members = append(v.Members, allocator.MemberStatus{Member: m, Liveness: livenessUnknown, LastHeardMs: -1})
		}
		for _, l := range reg.Leases {
			v.Leases = append(v.Leases, lessor.LeaseStatus{Lease: l, State: string(livenessUnknown), SinceMs: -1, UntilMs: -1, ProgressMs: -1})
		}
		v.AgeMs = s.leaderContactMs()
	}
	writeJSON(w, v)
}
