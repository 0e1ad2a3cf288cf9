package agent

import (
	"fmt"
	"net/http"
	"strconv"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotone"
)

// StreamStatus is where a version is applied, as an agent sees it.
type StreamStatus struct {
	watchstream.Status
	Agent          string `json:"agent"`
	Leads          bool   `json:"leads"`   // a majority has just confirmed it; else nothing is known of readers
	AgeMs          int64  `json:"old_ms"`  // how old the state may be; -1: it has never heard of a leader
	Head           uint64 `json:"head"`    // newest version
	Fleet          string `json:"fleet"`   // whose stream it is
	TombstoneFloor uint64 `json:"floor"`   // readers behind it resync by digests
	Targets        int    `json:"targets"` // live
	ConfigLayers   int    `json:"configuration"`
	Tombstones     int    `json:"tombstones"`
	Bytes          int    `json:"bytes"` // of keys and values
}

// logStatus is what the log says, without the readers; false: there was no change yet.
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

// errNoChanges answers operators before the first change.
var errNoChanges = &RejectedError{http.StatusNotFound, "no change has come yet"}

// handleVersions answers GET /v1/feed/versions/{version}: where a version is applied, or with stale
// only how far this agent's log goes.
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
		status.Status, status.Leads = t.Status(monotone.Now(), status.Version), true
		s.mu.Unlock()
	}
	if status.Version > status.Head {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, fmt.Sprintf("version: %d is not there yet, the newest is %d", status.Version, status.Head)})
		return
	}
	writeJSON(w, status)
}

// handleShow answers GET /v1/feed.
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

// handleRecords answers GET /v1/feed/records with a page of the live records of a kind, in order of
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

// recordsPage returns one key's record, or the records after a version.
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
