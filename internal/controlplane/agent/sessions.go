package agent

import (
	"errors"
	"net/http"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotonic"
)

// handleRenew serves POST /v1/fleet/renew.
func (s *leaderService) handleRenew(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	renewal, ok := readBody[renewalRequest](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	if s.allocator == nil {
		s.mu.Unlock()
		writeError(w, errNotLeading)
		return
	}
	now := monotonic.Now()
	resp, err := s.allocator.Renew(now, renewal.RenewalRequest)
	combined := renewalResponse{RenewalResponse: resp}
	if err == nil && renewal.Leases != nil {
		combined.Leases = s.renewLeases(now, renewal.ID, renewal.Leases)
	}
	if errors.Is(err, quota.ErrUnknownMember) || err == nil {
		// Only a confirmed leader may grant allocations, or reject a member as unknown.
		if !s.confirmLeadership(r.Context()) {
			writeError(w, errNotLeading)
			return
		}
	} else {
		s.mu.Unlock()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	failpoint.Hit("agent.awarded")
	writeJSON(w, combined)
}

// handleJoin serves POST /v1/fleet/members.
func (s *leaderService) handleJoin(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	m, ok := readBody[quota.Member](w, r)
	if !ok {
		return
	}
	err := m.Validate()
	if err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	s.mu.Lock()
	if s.allocator == nil {
		err = errNotLeading
	} else {
		err = s.allocator.Admit(monotonic.Now(), m)
	}
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	s.proposeAndReply(w, command{Join: &m})
}

// handleLeave serves DELETE /v1/fleet/members/{id}.
func (s *leaderService) handleLeave(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	s.proposeAndReply(w, command{Leave: []string{r.PathValue("id")}})
}

// proposeAndReply makes a change of the registry through the log, and responds with its result.
func (s *leaderService) proposeAndReply(w http.ResponseWriter, c command) {
	v, err := s.agent.propose(c)
	if rejection, isError := v.(error); isError && err == nil {
		err = rejection
	}
	if err != nil {
		writeError(w, err)
		return
	}
	s.syncWithTerm() // passes the change to the allocator before the caller gets the response
	writeJSON(w, v)
}

// handleSetQuotas serves PUT /v1/fleet.
func (s *leaderService) handleSetQuotas(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	newConfig, ok := readBody[quota.Config](w, r)
	if !ok {
		return
	}
	if err := newConfig.Validate(); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	s.proposeAndReply(w, command{QuotaConfig: &newConfig})
}

// renewalRequest is the body of POST /v1/fleet/renew: a session renewal, with a lease renewal if the
// member runs tasks.
type renewalRequest struct {
	quota.RenewalRequest
	Leases *lease.RenewalRequest `json:"claim,omitempty"`
}

// renewalResponse is the response to both renewals.
type renewalResponse struct {
	quota.RenewalResponse
	Leases *lease.RenewalResponse `json:"award,omitempty"`
}
