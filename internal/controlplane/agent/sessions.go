package agent

import (
	"errors"
	"net/http"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotone"
)

// handleRenew answers POST /v1/fleet/renew.
func (d *leaderService) handleRenew(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	ren, ok := readBody[renewalRequest](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	if d.allocator == nil {
		d.mu.Unlock()
		writeError(w, errNotLeading)
		return
	}
	now := monotone.Now()
	a, err := d.allocator.Renew(now, ren.RenewalRequest)
	answer := renewalResponse{RenewalResponse: a}
	if err == nil && ren.Leases != nil {
		answer.Leases = d.renewLeases(now, ren.ID, ren.Leases)
	}
	if errors.Is(err, quota.ErrUnknownMember) || err == nil {
		// Only a confirmed leader may tell a member that its session is gone.
		if !d.confirmLeadership(r.Context()) {
			writeError(w, errNotLeading)
			return
		}
	} else {
		d.mu.Unlock()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	failpoint.Hit("agent.awarded")
	writeJSON(w, answer)
}

// handleJoin answers POST /v1/fleet/members.
func (d *leaderService) handleJoin(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
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
	d.mu.Lock()
	if d.allocator == nil {
		err = errNotLeading
	} else {
		err = d.allocator.Admit(monotone.Now(), m)
	}
	d.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	d.proposeAndReply(w, command{Join: &m})
}

// handleLeave answers DELETE /v1/fleet/members/{id}.
func (d *leaderService) handleLeave(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	d.proposeAndReply(w, command{Leave: []string{r.PathValue("id")}})
}

// proposeAndReply makes a change of the fleet through the log, and answers with its result.
func (d *leaderService) proposeAndReply(w http.ResponseWriter, c command) {
	v, err := d.agent.propose(c)
	if no, refused := v.(error); refused && err == nil {
		err = no
	}
	if err != nil {
		writeError(w, err)
		return
	}
	d.syncWithTerm() // the allocator must know the change before the caller does
	writeJSON(w, v)
}

// handleSetQuotas answers PUT /v1/fleet.
func (d *leaderService) handleSetQuotas(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	doc, ok := readBody[quota.Config](w, r)
	if !ok {
		return
	}
	if err := doc.Validate(); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.proposeAndReply(w, command{QuotaConfig: &doc})
}

// renewalRequest is a session renewal with the lease renewal of a member that runs tasks.
type renewalRequest struct {
	quota.RenewalRequest
	Leases *lease.RenewalRequest `json:"claim,omitempty"`
}

// renewalResponse answers both.
type renewalResponse struct {
	quota.RenewalResponse
	Leases *lease.RenewalResponse `json:"award,omitempty"`
}
