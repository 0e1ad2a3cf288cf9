package agent

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/process/monotone"
)

// renewLeases answers a lease renewal; nil if it is older than the last one. The caller holds mu.
func (d *leaderService) renewLeases(now time.Duration, id string, c *lease.RenewalRequest) *lease.RenewalResponse {
	a, err := d.lessor.Renew(now, id, *c)
	if err != nil {
		return nil
	}
	tasks := d.lessor.Config()
	d.board.SetEjected(id, c.Ejected)
	for i := range tasks.Tasks {
		t := &tasks.Tasks[i]
		if t.Kind != lease.EndpointProbe {
			continue
		}
		for _, r := range c.Results {
			if r.Task == t.Name && d.lessor.IsCurrent(lease.Key{Task: t.Name, Shard: t.ShardOf(r.Target)}, id, r.Token) {
				d.board.AddResult(now, r)
			}
		}
		mine := map[int]bool{}
		for _, b := range a.Leases {
			if b.Task == t.Name {
				mine[b.Shard] = true
			}
		}
		a.ProbeTargets = append(a.ProbeTargets, d.board.ProbeTargets(func(target string) bool { return mine[t.ShardOf(target)] })...)
	}
	a.ProbeResults = d.board.ResultsFor(now, id)
	if len(c.Released) > 0 || len(c.Held) == 0 {
		select {
		case d.lessorWake <- struct{}{}:
		default:
		}
	}
	return &a
}

// handleSetTasks answers PUT /v1/leases.
func (d *leaderService) handleSetTasks(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	doc, ok := readBody[lease.Config](w, r)
	if !ok {
		return
	}
	d.proposeAndReply(w, command{LeaseConfig: &doc})
}

// handleMigrateLease answers POST /v1/leases/move. The plan goes through the log; the holder then
// releases the lease.
func (d *leaderService) handleMigrateLease(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	m, ok := readBody[migrateRequest](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	var o lease.Event
	err := errNotLeading
	if d.lessor != nil {
		o, err = d.lessor.Migrate(monotone.Now(), m.Key, m.Member)
	}
	d.mu.Unlock()
	var no lease.RejectionError
	switch {
	case errors.As(err, &no):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	case err != nil:
		writeError(w, err)
	default:
		d.proposeAndReply(w, command{LeaseEvents: []lease.Event{o}})
	}
}

// handleLeaseChanges answers GET /v1/leases/changed/{id} once a lease of the member was changed after
// the index that it knows, or the wait is over. Any agent may be asked: the answer is only a hint to
// renew.
func (d *leaderService) handleLeaseChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(min(time.Duration(max(ms, 0))*time.Millisecond, maxPollWait))
	defer end.Stop()
	for {
		index, changed := d.agent.store.lastLeaseChange(r.PathValue("id"))
		if index <= after {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-d.ctx.Done():
			case <-end.C:
			}
		}
		writeJSON(w, index)
		return
	}
}

// migrateRequest asks for the migration of a lease.
type migrateRequest struct {
	lease.Key
	Member string `json:"to"`
}
