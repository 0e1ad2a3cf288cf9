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
	Agent           string `json:"agent"`
	Leads           bool   `json:"leads"`   // a majority has just confirmed it; else nothing is known of readers
	LeaderContactMs int64  `json:"old_ms"`  // since it heard of the leader; -1: never
	Head            uint64 `json:"head"`    // newest version
	Fleet           string `json:"fleet"`   // whose stream it is
	Floor           uint64 `json:"floor"`   // readers behind it resync by digests
	Targets         int    `json:"targets"` // live
	ConfigLayers    int    `json:"configuration"`
	Tombstones      int    `json:"tombstones"`
	Bytes           int    `json:"bytes"` // of keys and values
}

// logStatus is what the log says, without the readers; false: there was no change yet.
func (d *streamService) logStatus() (v StreamStatus, ok bool) {
	age, _ := d.agent.leaderContactAge()
	v = StreamStatus{Agent: d.agent.opt.ID, LeaderContactMs: -1}
	if age >= 0 {
		v.LeaderContactMs = age.Milliseconds()
	}
	s := d.agent.store
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream.store
	if st == nil {
		return v, false
	}
	v.Status = watchstream.Status{Epoch: st.Epoch(), Version: st.Head(), SinceMs: -1, HalfMs: -1, P99Ms: -1, AllMs: -1}
	v.Fleet, v.Head, v.Floor = st.Fleet(), st.Head(), st.TombstoneFloor()
	v.Targets, v.ConfigLayers, v.Tombstones = st.Count(watchstream.Targets), st.Count(watchstream.Config), st.Tombstones(watchstream.Targets)
	v.Bytes = st.Bytes(watchstream.Targets) + st.Bytes(watchstream.Config)
	return v, true
}

// errNoChanges answers operators before the first change.
var errNoChanges = &RejectedError{http.StatusNotFound, "no change has come yet"}

// handleVersions answers GET /v1/feed/versions/{version}: where a version is applied, or with stale
// only how far this agent's log goes.
func (d *streamService) handleVersions(w http.ResponseWriter, r *http.Request) {
	old := allowsStale(r)
	if !old && d.agent.redirectUnlessLeader(w, r) {
		return
	}
	v, ok := d.logStatus()
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
		v.Version = n
	}
	if !old {
		t := d.lockTracker()
		if t == nil {
			writeError(w, errNotTracking)
			return
		}
		v.Status, v.Leads = t.Status(monotone.Now(), v.Version), true
		d.mu.Unlock()
	}
	if v.Version > v.Head {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, fmt.Sprintf("version: %d is not there yet, the newest is %d", v.Version, v.Head)})
		return
	}
	writeJSON(w, v)
}

// handleShow answers GET /v1/feed.
func (d *streamService) handleShow(w http.ResponseWriter, r *http.Request) {
	if !allowsStale(r) && d.agent.redirectUnlessLeader(w, r) {
		return
	}
	v, ok := d.logStatus()
	if !ok {
		writeError(w, errNoChanges)
		return
	}
	v.Leads = !allowsStale(r)
	writeJSON(w, v)
}

// handleRecords answers GET /v1/feed/records with a page of the live records of a kind, in order of
// version and in whole versions: a key that changes between two pages is returned again.
func (d *streamService) handleRecords(w http.ResponseWriter, r *http.Request) {
	if !allowsStale(r) && d.agent.redirectUnlessLeader(w, r) {
		return
	}
	q := r.URL.Query()
	var k watchstream.Kind
	if err := k.UnmarshalText([]byte(q.Get("kind"))); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, "kind: " + err.Error()})
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	writeJSON(w, d.recordsPage(k, q.Get("key"), after))
}

// recordsPage returns one key's record, or the records after a version.
func (d *streamService) recordsPage(k watchstream.Kind, key string, after uint64) []watchstream.Record {
	page := []watchstream.Record{}
	s := d.agent.store
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream.store
	if st == nil {
		return page
	}
	if key != "" {
		if one, found := st.Get(k, key); found && !one.Deleted {
			page = append(page, one)
		}
		return page
	}
	for _, x := range st.Records(k) {
		switch {
		case x.Version <= after:
		case len(page) >= maxPageRecords && x.Version != page[len(page)-1].Version:
			return page
		default:
			page = append(page, x)
		}
	}
	return page
}
