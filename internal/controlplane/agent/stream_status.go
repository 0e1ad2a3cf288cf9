package agent

import (
	"fmt"
	"net/http"
	"strconv"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
)

// StreamStatus is the response to GET /v1/feed and GET /v1/feed/versions/{version}: the stream's state at
// one agent, and at the leader which readers have applied a version.
type StreamStatus struct {
	watchstream.Status
	Agent          string `json:"agent"`
	Leads          bool   `json:"leads"`   // the agent is the leader, as a majority has just confirmed; if false, the readers are unknown
	AgeMs          int64  `json:"old_ms"`  // how old the state may be; -1: the agent had no contact with a leader yet
	Head           uint64 `json:"head"`    // newest version
	Fleet          string `json:"fleet"`   // the fleet that the stream belongs to
	TombstoneFloor uint64 `json:"floor"`   // readers behind it synchronize by digests
	Targets        int    `json:"targets"` // number of live records
	ConfigLayers   int    `json:"configuration"`
	Tombstones     int    `json:"tombstones"`
	Bytes          int    `json:"bytes"` // size of keys and values
}

// replicaStatus returns the status from the state that this agent has applied, without the readers. ok is
// false if the stream has no change yet.
func (s *streamService) replicaStatus() (status StreamStatus, ok bool) {
	age, _ := s.agent.stateAge()
	status = StreamStatus{Agent: s.agent.opt.ID, AgeMs: ageMs(age)}
	st := s.agent.store
	st.mu.Lock()
	defer st.mu.Unlock()
	streamStore := st.stream.store
	if streamStore == nil {
		return status, false
	}
	status.Status = watchstream.Status{Epoch: streamStore.Epoch(), Version: streamStore.Head(), SinceMs: -1, HalfMs: -1, P99Ms: -1, AllMs: -1}
	status.Fleet, status.Head, status.TombstoneFloor = streamStore.Fleet(), streamStore.Head(), streamStore.TombstoneFloor()
	status.Targets, status.ConfigLayers, status.Tombstones = streamStore.Count(watchstream.Targets), streamStore.Count(watchstream.Config), streamStore.Tombstones(watchstream.Targets)
	status.Bytes = streamStore.Bytes(watchstream.Targets) + streamStore.Bytes(watchstream.Config)
	return status, true
}

// errNoChanges rejects status requests before the stream's first change.
var errNoChanges = &RejectedError{http.StatusNotFound, "no change has come yet"}

// handleVersions serves GET /v1/feed/versions/{version}: which readers have applied a version, or with the
// stale parameter only the state that this agent has applied.
func (s *streamService) handleVersions(w http.ResponseWriter, r *http.Request) {
	stale := allowsStale(r)
	if !s.agent.allowRead(w, r) {
		return
	}
	status, ok := s.replicaStatus()
	if !ok {
		writeError(w, errNoChanges)
		return
	}
	if text := r.PathValue("version"); text != latestVersion {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			writeError(w, &RejectedError{http.StatusUnprocessableEntity, fmt.Sprintf("version: %q is not a number from 1 on", text)})
			return
		}
		status.Version = n
	}
	if !stale {
		t := s.lockTracker()
		if t == nil {
			writeError(w, errNotTracking)
			return
		}
		status.Status, status.Leads = t.Status(monotonic.Now(), status.Version), true
		s.mu.Unlock()
	}
	if status.Version > status.Head {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, fmt.Sprintf("version: %d is not there yet, the newest is %d", status.Version, status.Head)})
		return
	}
	writeJSON(w, status)
}

// handleShow serves GET /v1/feed.
func (s *streamService) handleShow(w http.ResponseWriter, r *http.Request) {
	if !s.agent.allowRead(w, r) {
		return
	}
	status, ok := s.replicaStatus()
	if !ok {
		writeError(w, errNoChanges)
		return
	}
	status.Leads = !allowsStale(r)
	writeJSON(w, status)
}

// handleRecords serves GET /v1/feed/records with a page of the live records of a kind, in order of
// version and in whole versions: a key that changes between two pages is returned again.
func (s *streamService) handleRecords(w http.ResponseWriter, r *http.Request) {
	if !s.agent.allowRead(w, r) {
		return
	}
	q := r.URL.Query()
	var kind watchstream.Kind
	if err := kind.UnmarshalText([]byte(q.Get("kind"))); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, "kind: " + err.Error()})
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	writeJSON(w, s.recordsPage(kind, q.Get("key"), after))
}

// recordsPage returns the live record of the key, or if it is empty a page of the live records after a
// version. A page ends only between versions.
func (s *streamService) recordsPage(kind watchstream.Kind, key string, after uint64) []watchstream.Record {
	page := []watchstream.Record{}
	st := s.agent.store
	st.mu.Lock()
	defer st.mu.Unlock()
	streamStore := st.stream.store
	if streamStore == nil {
		return page
	}
	if key != "" {
		if record, found := streamStore.Get(kind, key); found && !record.Deleted {
			page = append(page, record)
		}
		return page
	}
	for _, r := range streamStore.Records(kind) {
		switch {
		case r.Version <= after:
		case len(page) >= maxPageRecords && r.Version != page[len(page)-1].Version:
			return page
		default:
			page = append(page, r)
		}
	}
	return page
}
