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
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/monotone"
)

const (
	reportInterval = time.Second
	maxPageRecords = 1000
	maxReportBytes = 4 << 20 // bytes: the most readers with long names
	latestVersion  = "latest"
)

// streamService is the edge of the feed at an agent: changes go through the log, readers are served from what the log says, and where this
// agent leads, it sums up what is in force.
type streamService struct {
	agent  *Agent
	server *edge.Server
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mu             sync.Mutex
	term           uint64 // of the tally
	acks           *watchstream.AckTracker
	epoch          string // what the tally knows to be committed
	countedVersion uint64
}

func newStreamService(a *Agent) *streamService {
	d := &streamService{agent: a}
	d.server = edge.NewServer(d, 0)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.loops.Go(d.reportLoop)
	return d
}

func (d *streamService) stop() {
	d.cancel()
	d.loops.Wait()
}

func (d *streamService) routes(mux *http.ServeMux) {
	d.server.Routes(mux)
	mux.HandleFunc("POST /v1/feed/changes", d.handleChange)
	mux.HandleFunc("POST /v1/feed/report", d.handleReport)
	mux.HandleFunc("GET /v1/feed/versions/{version}", d.handleVersions)
	mux.HandleFunc("GET /v1/feed/records", d.handleRecords)
	mux.HandleFunc("GET /v1/feed", d.handleShow)
}

// WithSource implements the origin of a server: what the log says, as far as this agent has it.
func (d *streamService) WithSource(do func(now time.Duration, s *watchstream.Source)) (<-chan struct{}, bool) {
	age, now := d.agent.leaderContactAge()
	s := d.agent.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream.source == nil {
		return s.changed, false
	}
	if age >= 0 {
		s.stream.source.MarkFresh(now - age)
	}
	do(now, s.stream.source)
	return s.changed, true
}

// leaderContactAge is how long ago this agent led or heard of the one that does; below 0: never.
func (a *Agent) leaderContactAge() (age, now time.Duration) {
	now = monotone.Now()
	if a.raft.State() == raft.Leader {
		return 0, now
	}
	if heard := a.raft.LastContact(); !heard.IsZero() {
		return max(0, time.Since(heard)), now
	}
	return -1, now
}

// handleChange has a change made through the log.
func (d *streamService) handleChange(w http.ResponseWriter, r *http.Request) {
	if d.agent.redirectUnlessLeader(w, r) {
		return
	}
	c, ok := readBody[watchstream.Change](w, r)
	if !ok {
		return
	}
	if c.Epoch == "" {
		c.Epoch = rand.Text() // taken by the first change of all, and by no other
	}
	if err := c.Validate(); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	if err := d.checkSnapshotFormats(r.Context()); err != nil {
		writeError(w, err)
		return
	}
	v, err := d.agent.propose(command{StreamChange: &c, RequestID: r.Header.Get("Change-Id")})
	if no, is := v.(error); is && err == nil {
		err = no
	}
	var clash *watchstream.ConflictError
	var foreign *watchstream.RejectedError
	var field *watchstream.FieldError
	switch e, _ := v.(Entry); {
	case err == nil:
		writeJSON(w, http.StatusOK, ChangeResponse{Version: e.Version})
	case errors.As(err, &clash), errors.As(err, &foreign):
		writeError(w, &RejectedError{http.StatusConflict, err.Error()})
	case errors.As(err, &field):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	default:
		writeError(w, err)
	}
}

// checkSnapshotFormats tells whether a change may go into the log. An agent of before the feed passes over its entries and would have none of them after its
// next snapshot, so the first of all waits until every agent has told that it knows of them; snapshots keep older programs out from then on.
func (d *streamService) checkSnapshotFormats(ctx context.Context) error {
	s := d.agent.store
	s.mu.Lock()
	begun := s.stream.store != nil
	s.mu.Unlock()
	if begun {
		return nil
	}
	c := &Client{}
	for _, p := range d.agent.opt.Peers {
		if p.ID == d.agent.opt.ID {
			continue
		}
		_, answer, err := c.callAgent(ctx, p.API, call{method: http.MethodGet, path: "/v1/status"}, statusTimeout)
		status, err := decode[Status](answer, err)
		if err != nil {
			return fmt.Errorf("the first change of the feed waits until all agents are up: %s: %w", p.ID, err)
		}
		if status.SnapshotFormat < streamSnapshotFormat {
			return &RejectedError{http.StatusConflict, fmt.Sprintf("agent %s is of a program from before the feed: replace it before the first change", p.ID)}
		}
	}
	return nil
}

// ChangeResponse answers a change.
type ChangeResponse struct {
	Version uint64 `json:"version"`
}

// lockTracker returns the tally, with mu held and the newest commits in it; nil where this agent doesn't lead, and then mu isn't held.
func (d *streamService) lockTracker() *watchstream.AckTracker {
	if d.agent.raft.State() != raft.Leader {
		return nil
	}
	term := d.agent.raft.CurrentTerm()
	d.mu.Lock()
	s := d.agent.store
	s.mu.Lock()
	fleet := ""
	if s.stream.store != nil {
		fleet = s.stream.store.Fleet()
	}
	if fleet != "" && (d.acks == nil || d.term != term) {
		d.term, d.acks, d.epoch, d.countedVersion = term, watchstream.NewAckTracker(fleet, watchstream.AckTrackerOptions{}), "", 0
		d.agent.opt.Log.Info("counting begins", slog.String("reason", "FEED_TALLY"), slog.Uint64("term", term))
	}
	commits := s.stream.commitsSince(d.epoch, d.countedVersion)
	s.mu.Unlock()
	if fleet == "" {
		d.mu.Unlock()
		return nil
	}
	for _, c := range commits {
		d.acks.NoteCommit(c.at, c.epoch, c.version)
		d.epoch, d.countedVersion = c.epoch, c.version
	}
	return d.acks
}

// handleReport takes a relay's report.
func (d *streamService) handleReport(w http.ResponseWriter, r *http.Request) {
	if d.agent.redirectUnlessLeader(w, r) {
		return
	}
	rep, ok := readBodyUpTo[watchstream.Report](w, r, maxReportBytes)
	if !ok {
		return
	}
	answer, err := d.addReport(rep)
	var no *watchstream.RejectedError
	var field *watchstream.FieldError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.As(err, &no):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	case errors.As(err, &field):
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
	default:
		writeError(w, err)
	}
}

var errNotTracking = errors.New("nothing is counted at the moment")

func (d *streamService) addReport(rep watchstream.Report) (watchstream.ReportResponse, error) {
	t := d.lockTracker()
	if t == nil {
		return watchstream.ReportResponse{}, errNotTracking
	}
	defer d.mu.Unlock()
	return t.AddReport(monotone.Now(), rep)
}

// reportLoop tells the leader of initiators that follow this agent itself, as groups without relays have it.
func (d *streamService) reportLoop() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	c := &Client{}
	for _, p := range d.agent.opt.Peers {
		c.Addrs = append(c.Addrs, p.API)
	}
	ever := false
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
		}
		var rep watchstream.Report
		d.WithSource(func(now time.Duration, s *watchstream.Source) { rep = s.BuildReport(now, "agent/"+d.agent.opt.ID, "") })
		if ever = ever || len(rep.Readers) > 0; !ever {
			continue
		}
		answer, err := d.addReport(rep)
		if errors.Is(err, errNotTracking) {
			ctx, done := context.WithTimeout(d.ctx, 2*reportInterval)
			answer, err = c.SendReport(ctx, rep)
			done()
		}
		if err == nil {
			d.WithSource(func(_ time.Duration, s *watchstream.Source) { s.ReportAcked(answer) })
		}
	}
}
