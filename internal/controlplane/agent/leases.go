package agent

import (
	"errors"
	"net/http"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/process/monotonic"
)

// renewLeases handles a lease renewal: it renews the member's leases at the lessor and exchanges probe
// targets and results. It returns nil if the renewal is older than the last one. The caller holds mu.
func (s *leaderService) renewLeases(now time.Duration, id string, req *lease.RenewalRequest) *lease.RenewalResponse {
	resp, err := s.lessor.Renew(now, id, *req)
	if err != nil {
		return nil
	}
	config := s.lessor.Config()
	s.board.SetEjected(id, req.Ejected)
	for i := range config.Tasks {
		t := &config.Tasks[i]
		if t.Kind != lease.EndpointProbe {
			continue
		}
		for _, r := range req.Results {
			if r.Task == t.Name && s.lessor.IsCurrent(lease.Key{Task: t.Name, Shard: t.ShardOf(r.Target)}, id, r.Token) {
				s.board.AddResult(now, r)
			}
		}
		heldShards := map[int]bool{}
		for _, ref := range resp.Leases {
			if ref.Task == t.Name {
				heldShards[ref.Shard] = true
			}
		}
		resp.ProbeTargets = append(resp.ProbeTargets, s.board.ProbeTargets(func(target string) bool { return heldShards[t.ShardOf(target)] })...)
	}
	resp.ProbeResults = s.board.ResultsFor(now, id)
	if len(req.Released) > 0 || len(req.Held) == 0 {
		select {
		case s.lessorWake <- struct{}{}:
		default:
		}
	}
	return &resp
}

// handleSetTasks serves PUT /v1/leases.
func (s *leaderService) handleSetTasks(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	newConfig, ok := readBody[lease.Config](w, r)
	if !ok {
		return
	}
	s.proposeAndReply(w, command{LeaseConfig: &newConfig})
}

// handleMigrateLease serves POST /v1/leases/move. The planned migration goes through the log;
// the holder then releases the lease.
func (s *leaderService) handleMigrateLease(w http.ResponseWriter, r *http.Request) {
	if s.redirectIfNoAllocator(w, r) {
		return
	}
	migration, ok := readBody[migrateRequest](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	var e lease.Event
	err := errNotLeading
	if s.lessor != nil {
		e, err = s.lessor.Migrate(monotonic.Now(), migration.Key, migration.Member)
	}
	s.mu.Unlock()
	var rejected lease.RejectionError
	switch {
	case errors.As(err, &rejected):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	case err != nil:
		writeError(w, err)
	default:
		s.proposeAndReply(w, command{LeaseEvents: []lease.Event{e}})
	}
}

// handleLeaseChanges serves GET /v1/leases/changed/{id}, a long poll: it responds with the log index of
// the last change of a lease of the member, once that is greater than the after parameter or the wait
// is over. Any agent serves it, since the response is only a hint to renew.
func (s *leaderService) handleLeaseChanges(w http.ResponseWriter, r *http.Request) {
	after, wait := parsePoll(r)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		index, changed := s.agent.store.lastLeaseChange(r.PathValue("id"))
		if index <= after {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-s.ctx.Done():
			case <-timer.C:
			}
		}
		writeJSON(w, index)
		return
	}
}

// migrateRequest is the body of POST /v1/leases/move.
type migrateRequest struct {
	lease.Key
	Member string `json:"to"`
}
