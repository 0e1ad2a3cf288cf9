package agent

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/watchstream"
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/monotone"
)

const (
	reportEvery = time.Second
	mostPage    = 1000
	mostReport  = 4 << 20 // bytes: the most readers with long names
	latest      = "latest"
)

// feedDesk is the edge of the feed at an agent: changes go through the log, readers are served from what the log says, and where this
// agent leads, it sums up what is in force.
type feedDesk struct {
	a      *Agent
	server *edge.Server
	ctx    context.Context
	end    context.CancelFunc
	work   sync.WaitGroup

	mu    sync.Mutex
	term  uint64 // of the tally
	tally *watchstream.Tally
	epoch string // what the tally knows to be committed
	known uint64
}

func newFeedDesk(a *Agent) *feedDesk {
	d := &feedDesk{a: a}
	d.server = edge.NewServer(d, 0)
	d.ctx, d.end = context.WithCancel(context.Background())
	d.work.Go(d.report)
	return d
}

func (d *feedDesk) stop() {
	d.end()
	d.work.Wait()
}

func (d *feedDesk) routes(mux *http.ServeMux) {
	d.server.Routes(mux)
	mux.HandleFunc("POST /v1/feed/changes", d.put)
	mux.HandleFunc("POST /v1/feed/report", d.hear)
	mux.HandleFunc("GET /v1/feed/versions/{version}", d.versions)
	mux.HandleFunc("GET /v1/feed/records", d.records)
	mux.HandleFunc("GET /v1/feed", d.show)
}

// Do implements the origin of a server: what the log says, as far as this agent has it.
func (d *feedDesk) Do(do func(now time.Duration, s *watchstream.Source)) (<-chan struct{}, bool) {
	age, now := d.a.heardAgo()
	s := d.a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed.source == nil {
		return s.changed, false
	}
	if age >= 0 {
		s.feed.source.Fresh(now - age)
	}
	do(now, s.feed.source)
	return s.changed, true
}

// heardAgo is how long ago this agent led or heard of the one that does; below 0: never.
func (a *Agent) heardAgo() (age, now time.Duration) {
	now = monotone.Now()
	if a.raft.State() == raft.Leader {
		return 0, now
	}
	if heard := a.raft.LastContact(); !heard.IsZero() {
		return max(0, time.Since(heard)), now
	}
	return -1, now
}

// put has a change made through the log.
func (d *feedDesk) put(w http.ResponseWriter, r *http.Request) {
	if d.a.elsewhere(w, r) {
		return
	}
	c, ok := read[watchstream.Change](w, r)
	if !ok {
		return
	}
	if c.Epoch == "" {
		c.Epoch = rand.Text() // taken by the first change of all, and by no other
	}
	if err := c.Check(); err != nil {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	if err := d.ready(r.Context()); err != nil {
		refuse(w, err)
		return
	}
	v, err := d.a.apply(change{Feed: &c, ID: r.Header.Get("Change-Id")})
	if no, is := v.(error); is && err == nil {
		err = no
	}
	var clash *watchstream.Conflict
	var foreign *watchstream.Refusal
	var field *watchstream.FieldError
	switch e, _ := v.(Entry); {
	case err == nil:
		reply(w, http.StatusOK, Put{Version: e.Version})
	case errors.As(err, &clash), errors.As(err, &foreign):
		refuse(w, &Refusal{http.StatusConflict, err.Error()})
	case errors.As(err, &field):
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
	default:
		refuse(w, err)
	}
}

// ready tells whether a change may go into the log. An agent of before the feed passes over its entries and would have none of them after its
// next snapshot, so the first of all waits until every agent has told that it knows of them; snapshots keep older programs out from then on.
func (d *feedDesk) ready(ctx context.Context) error {
	s := d.a.store
	s.mu.Lock()
	begun := s.feed.store != nil
	s.mu.Unlock()
	if begun {
		return nil
	}
	c := &Client{}
	for _, p := range d.a.opt.Peers {
		if p.ID == d.a.opt.ID {
			continue
		}
		_, answer, err := c.once(ctx, p.API, call{method: http.MethodGet, path: "/v1/status"}, statusWithin)
		status, err := decode[Status](answer, err)
		if err != nil {
			return fmt.Errorf("the first change of the feed waits until all agents are up: %s: %w", p.ID, err)
		}
		if status.Format < feedFormat {
			return &Refusal{http.StatusConflict, fmt.Sprintf("agent %s is of a program from before the feed: replace it before the first change", p.ID)}
		}
	}
	return nil
}

// Put answers a change.
type Put struct {
	Version uint64 `json:"version"`
}

// lead returns the tally, with mu held and the newest commits in it; nil where this agent doesn't lead, and then mu isn't held.
func (d *feedDesk) lead() *watchstream.Tally {
	if d.a.raft.State() != raft.Leader {
		return nil
	}
	term := d.a.raft.CurrentTerm()
	d.mu.Lock()
	s := d.a.store
	s.mu.Lock()
	fleet := ""
	if s.feed.store != nil {
		fleet = s.feed.store.Fleet()
	}
	if fleet != "" && (d.tally == nil || d.term != term) {
		d.term, d.tally, d.epoch, d.known = term, watchstream.NewTally(fleet, watchstream.TallyOptions{}), "", 0
		d.a.opt.Log.Info("counting begins", slog.String("reason", "FEED_TALLY"), slog.Uint64("term", term))
	}
	commits := s.feed.since(d.epoch, d.known)
	s.mu.Unlock()
	if fleet == "" {
		d.mu.Unlock()
		return nil
	}
	for _, c := range commits {
		d.tally.Committed(c.at, c.epoch, c.version)
		d.epoch, d.known = c.epoch, c.version
	}
	return d.tally
}

// hear takes a relay's report.
func (d *feedDesk) hear(w http.ResponseWriter, r *http.Request) {
	if d.a.elsewhere(w, r) {
		return
	}
	rep, ok := readUpTo[watchstream.Report](w, r, mostReport)
	if !ok {
		return
	}
	answer, err := d.count(rep)
	var no *watchstream.Refusal
	var field *watchstream.FieldError
	switch {
	case err == nil:
		reply(w, http.StatusOK, answer)
	case errors.As(err, &no):
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
	case errors.As(err, &field):
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
	default:
		refuse(w, err)
	}
}

var errNoTally = errors.New("nothing is counted at the moment")

func (d *feedDesk) count(rep watchstream.Report) (watchstream.ReportAnswer, error) {
	t := d.lead()
	if t == nil {
		return watchstream.ReportAnswer{}, errNoTally
	}
	defer d.mu.Unlock()
	return t.Take(monotone.Now(), rep)
}

// report tells the leader of initiators that follow this agent itself, as groups without relays have it.
func (d *feedDesk) report() {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	c := &Client{}
	for _, p := range d.a.opt.Peers {
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
		d.Do(func(now time.Duration, s *watchstream.Source) { rep = s.Report(now, "agent/"+d.a.opt.ID, "") })
		if ever = ever || len(rep.Readers) > 0; !ever {
			continue
		}
		answer, err := d.count(rep)
		if errors.Is(err, errNoTally) {
			ctx, done := context.WithTimeout(d.ctx, 2*reportEvery)
			answer, err = c.Report(ctx, rep)
			done()
		}
		if err == nil {
			d.Do(func(_ time.Duration, s *watchstream.Source) { s.Reported(answer) })
		}
	}
}

// InForce is who has a version, as an agent sees it.
type InForce struct {
	watchstream.Status
	Agent  string `json:"agent"`
	Leads  bool   `json:"leads"`         // and a majority has just agreed; else nothing is known of readers
	OldMs  int64  `json:"old_ms"`        // since it heard of the leader; -1: never
	Head   uint64 `json:"head"`          // the newest version there
	Fleet  string `json:"fleet"`         // whose stream it is
	Floor  uint64 `json:"floor"`         // readers behind it go by digests
	Count  int    `json:"targets"`       // live ones
	Layer  int    `json:"configuration"` // layers of it
	Graves int    `json:"tombstones"`
	Bytes  int    `json:"bytes"` // of keys and values
}

// head is what an agent's log says, without what is known of readers.
func (d *feedDesk) head() (v InForce, ok bool) {
	age, _ := d.a.heardAgo()
	v = InForce{Agent: d.a.opt.ID, OldMs: -1}
	if age >= 0 {
		v.OldMs = age.Milliseconds()
	}
	s := d.a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.feed.store
	if st == nil {
		return v, false
	}
	v.Status = watchstream.Status{Epoch: st.Epoch(), Version: st.Head(), SinceMs: -1, HalfMs: -1, MostMs: -1, AllMs: -1}
	v.Fleet, v.Head, v.Floor = st.Fleet(), st.Head(), st.Floor()
	v.Count, v.Layer, v.Graves = st.Count(watchstream.Targets), st.Count(watchstream.Config), st.Tombstones(watchstream.Targets)
	v.Bytes = st.Bytes(watchstream.Targets) + st.Bytes(watchstream.Config)
	return v, true
}

var errNothing = &Refusal{http.StatusNotFound, "no change has come yet"}

// versions tells who has a version: from the leader; or with stale only how far this agent's log goes.
func (d *feedDesk) versions(w http.ResponseWriter, r *http.Request) {
	old := stale(r)
	if !old && d.a.elsewhere(w, r) {
		return
	}
	v, ok := d.head()
	if !ok {
		refuse(w, errNothing)
		return
	}
	if text := r.PathValue("version"); text != latest {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			refuse(w, &Refusal{http.StatusUnprocessableEntity, fmt.Sprintf("version: %q is not a number from 1 on", text)})
			return
		}
		v.Version = n
	}
	if !old {
		t := d.lead()
		if t == nil {
			refuse(w, errNoTally)
			return
		}
		v.Status, v.Leads = t.Status(monotone.Now(), v.Version), true
		d.mu.Unlock()
	}
	if v.Version > v.Head {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, fmt.Sprintf("version: %d is not there yet, the newest is %d", v.Version, v.Head)})
		return
	}
	reply(w, http.StatusOK, v)
}

func (d *feedDesk) show(w http.ResponseWriter, r *http.Request) {
	if !stale(r) && d.a.elsewhere(w, r) {
		return
	}
	v, ok := d.head()
	if !ok {
		refuse(w, errNothing)
		return
	}
	v.Leads = !stale(r)
	reply(w, http.StatusOK, v)
}

// records answers with a page of the live records of a kind, in order of version and whole versions alone: a key that changes while
// pages are asked for comes again, later.
func (d *feedDesk) records(w http.ResponseWriter, r *http.Request) {
	if !stale(r) && d.a.elsewhere(w, r) {
		return
	}
	q := r.URL.Query()
	var k watchstream.Kind
	if err := k.UnmarshalText([]byte(q.Get("kind"))); err != nil {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, "kind: " + err.Error()})
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	reply(w, http.StatusOK, d.page(k, q.Get("key"), after))
}

func (d *feedDesk) page(k watchstream.Kind, key string, after uint64) []watchstream.Record {
	page := []watchstream.Record{}
	s := d.a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.feed.store
	if st == nil {
		return page
	}
	if key != "" {
		if one, found := st.Get(k, key); found && !one.Gone {
			page = append(page, one)
		}
		return page
	}
	for _, x := range st.Records(k) {
		switch {
		case x.Version <= after:
		case len(page) >= mostPage && x.Version != page[len(page)-1].Version:
			return page
		default:
			page = append(page, x)
		}
	}
	return page
}
