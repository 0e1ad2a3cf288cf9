package agent

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/monotonic"
)

// Limits and intervals of the stream service.
const (
	reportInterval = time.Second // between reports about this agent's own readers
	maxPageRecords = 1000        // records in one response, exceeded only to complete a version
	maxReportBytes = 4 << 20     // enough for the maximum number of readers with long names
	latestVersion  = "latest"    // path element that selects the newest version
)

// streamService serves the watch stream at an agent: changes go through the log, readers are served
// from the state that this agent has applied, and while this agent leads it tracks which readers have
// applied which versions.
type streamService struct {
	agent  *Agent
	server *distribution.Server
	ctx    context.Context // cancelled by stop; ends the loop
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mu             sync.Mutex // guards the fields below; locked before the store's lock
	term           uint64     // the tracker's term
	tracker        *watchstream.AckTracker
	countedEpoch   string // epoch of the last commit that was passed to the tracker
	countedVersion uint64 // version of that commit
}

// newStreamService returns the service. Its loop does not run until start.
func newStreamService(a *Agent) *streamService {
	s := &streamService{agent: a}
	s.server = distribution.NewServer(s, 0)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// start starts the loop; stop ends it.
func (s *streamService) start() { s.loops.Go(s.reportLoop) }

// stop ends the loop and waits for it.
func (s *streamService) stop() {
	s.cancel()
	s.loops.Wait()
}

// routes registers the service's routes.
func (s *streamService) routes(mux *http.ServeMux) {
	s.server.Routes(mux)
	mux.HandleFunc("POST /v1/feed/changes", s.handleChange)
	mux.HandleFunc("POST /v1/feed/report", s.handleReport)
	mux.HandleFunc("GET /v1/feed/versions/{version}", s.handleVersions)
	mux.HandleFunc("GET /v1/feed/records", s.handleRecords)
	mux.HandleFunc("GET /v1/feed", s.handleShow)
}

// WithSource implements distribution.Origin with the state that this agent has applied.
func (s *streamService) WithSource(use func(now time.Duration, src *watchstream.Source)) (<-chan struct{}, bool) {
	age, now := s.agent.stateAge()
	st := s.agent.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stream.source == nil {
		return st.changed, false
	}
	if age >= 0 {
		st.stream.source.MarkFresh(now - age)
	}
	use(now, st.stream.source)
	return st.changed, true
}

// handleChange serves POST /v1/feed/changes.
func (s *streamService) handleChange(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.agent.beginRead(w, r); !ok { // a linearizable read, since checkSnapshotFormats reads the state
		return
	}
	c, ok := readBody[watchstream.Change](w, r)
	if !ok {
		return
	}
	if c.Epoch == "" {
		c.Epoch = rand.Text() // used only if this is the stream's first change
	}
	if err := c.Validate(); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	if err := s.checkSnapshotFormats(r.Context()); err != nil {
		writeError(w, err)
		return
	}
	v, err := s.agent.propose(command{StreamChange: &c, RequestID: r.Header.Get("Change-Id")})
	if rejection, isError := v.(error); isError && err == nil {
		err = rejection
	}
	var conflict *watchstream.ConflictError
	var foreign *watchstream.RejectedError
	var field *watchstream.FieldError
	switch e, _ := v.(Entry); {
	case err == nil:
		writeJSON(w, ChangeResponse{Version: e.Version})
	case errors.As(err, &conflict), errors.As(err, &foreign):
		writeError(w, &RejectedError{http.StatusConflict, err.Error()})
	case errors.As(err, &field):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	default:
		writeError(w, err)
	}
}

// checkSnapshotFormats returns an error if the stream's first change may not be proposed yet. An agent with
// an older program would ignore the stream's log entries and lose them with its next snapshot. The first
// change is therefore rejected until every agent has reported a snapshot format with the stream; after it,
// the snapshot format keeps older programs out of the group.
func (s *streamService) checkSnapshotFormats(ctx context.Context) error {
	st := s.agent.store
	st.mu.Lock()
	hasChanges := st.stream.store != nil
	st.mu.Unlock()
	if hasChanges {
		return nil
	}
	c := &Client{}
	for _, p := range s.agent.opt.Peers {
		if p.ID == s.agent.opt.ID {
			continue
		}
		_, respBody, err := c.callAgent(ctx, p.API, call{method: http.MethodGet, path: "/v1/status"}, statusTimeout)
		status, err := decode[Status](respBody, err)
		if err != nil {
			return fmt.Errorf("the first change of the feed waits until all agents are up: %s: %w", p.ID, err)
		}
		if status.SnapshotFormat < streamSnapshotFormat {
			return &RejectedError{http.StatusConflict, fmt.Sprintf("agent %s is of a program from before the feed: replace it before the first change", p.ID)}
		}
	}
	return nil
}

// ChangeResponse is the response to POST /v1/feed/changes.
type ChangeResponse struct {
	Version uint64 `json:"version"`
}

// lockTracker returns the tracker, with the newest commits passed to it, and leaves mu locked: the caller
// unlocks it. It returns nil with mu unlocked if this agent does not lead or the stream has no change yet.
func (s *streamService) lockTracker() *watchstream.AckTracker {
	if s.agent.raft.State() != raft.Leader {
		return nil
	}
	term := s.agent.raft.CurrentTerm()
	s.mu.Lock()
	st := s.agent.store
	st.mu.Lock()
	fleet, epoch := "", ""
	if st.stream.store != nil {
		fleet, epoch = st.stream.store.Fleet(), st.stream.store.Epoch()
	}
	if fleet != "" && (s.tracker == nil || s.term != term) {
		s.term, s.tracker, s.countedEpoch, s.countedVersion = term, watchstream.NewAckTracker(fleet, watchstream.AckTrackerOptions{}), "", 0
		s.agent.opt.Log.Info("acknowledgement tracking started", slog.String("reason", "FEED_TALLY"), slog.Uint64("term", term))
	}
	commits := st.stream.commitsSince(s.countedEpoch, s.countedVersion)
	st.mu.Unlock()
	if fleet == "" {
		s.mu.Unlock()
		return nil
	}
	for _, c := range commits {
		s.tracker.NoteCommit(c.at, c.epoch, c.version)
		s.countedEpoch, s.countedVersion = c.epoch, c.version
	}
	s.tracker.SetEpoch(epoch) // a state restored from a snapshot has an epoch and no commits
	return s.tracker
}

// handleReport serves POST /v1/feed/report.
func (s *streamService) handleReport(w http.ResponseWriter, r *http.Request) {
	if s.agent.redirectIfNotLeader(w, r) {
		return
	}
	report, ok := readBodyUpTo[watchstream.Report](w, r, maxReportBytes)
	if !ok {
		return
	}
	resp, err := s.addReport(report)
	var rejected *watchstream.RejectedError
	var field *watchstream.FieldError
	switch {
	case err == nil:
		writeJSON(w, resp)
	case errors.As(err, &rejected):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	case errors.As(err, &field):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	default:
		writeError(w, err)
	}
}

// errNotTracking rejects a request that needs the tracker, which only the leader has; the caller retries.
var errNotTracking = errors.New("this agent does not track acknowledgements at the moment")

// addReport passes a report to the tracker.
func (s *streamService) addReport(report watchstream.Report) (watchstream.ReportResponse, error) {
	t := s.lockTracker()
	if t == nil {
		return watchstream.ReportResponse{}, errNotTracking
	}
	defer s.mu.Unlock()
	return t.AddReport(monotonic.Now(), report)
}

// reportLoop reports the state of the readers that follow this agent directly, as in groups without
// relays, to the leader every reportInterval. It returns when the service stops.
func (s *streamService) reportLoop() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	c := &Client{}
	for _, p := range s.agent.opt.Peers {
		c.Addrs = append(c.Addrs, p.API)
	}
	hadReaders := false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		var report watchstream.Report
		s.WithSource(func(now time.Duration, source *watchstream.Source) {
			report = source.BuildReport(now, "agent/"+s.agent.opt.ID, "")
		})
		if hadReaders = hadReaders || len(report.Readers) > 0; !hadReaders {
			continue
		}
		resp, err := s.addReport(report)
		if errors.Is(err, errNotTracking) {
			ctx, done := context.WithTimeout(s.ctx, 2*reportInterval)
			resp, err = c.SendReport(ctx, report)
			done()
		}
		if err == nil {
			s.WithSource(func(_ time.Duration, source *watchstream.Source) { source.ReportAcked(resp) })
		}
	}
}
