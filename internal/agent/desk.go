package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/fleet"
	"spindlehitch/internal/fleet/giver"
	"spindlehitch/internal/monotone"
)

const (
	maxRenewal = 1 << 20
	askWithin  = 500 * time.Millisecond // for another agent to tell its term
	sweepEvery = 250 * time.Millisecond
)

// fleetDesk is the edge of the fleet's giver at an agent: it begins a giver for each term that this agent leads, brings it
// renewals, and lets its answers go once a majority of the agents has told that no later term has begun.
type fleetDesk struct {
	a      *Agent
	client http.Client
	ctx    context.Context
	end    context.CancelFunc
	work   sync.WaitGroup
	wake   chan struct{} // something waits to be asked for

	mu    sync.Mutex
	term  uint64 // of the giver; 0: this agent does not lead
	giver *giver.Giver
	desk  giver.Desk[chan<- bool]
	led   time.Duration // when this agent last led; 0: never
}

func newFleetDesk(a *Agent) *fleetDesk {
	d := &fleetDesk{a: a, wake: make(chan struct{}, 1)}
	d.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	d.ctx, d.end = context.WithCancel(context.Background())
	d.work.Go(d.lead)
	d.work.Go(d.ask)
	return d
}

func (d *fleetDesk) stop() {
	d.end()
	d.work.Wait()
	d.client.CloseIdleConnections()
}

func (d *fleetDesk) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/term", d.tell)
	mux.HandleFunc("POST /v1/fleet/renew", d.renew)
	mux.HandleFunc("POST /v1/fleet/members", d.join)
	mux.HandleFunc("DELETE /v1/fleet/members/{id}", d.leave)
	mux.HandleFunc("GET /v1/fleet", d.show)
	mux.HandleFunc("PUT /v1/fleet", d.set)
}

// lead follows who leads and keeps the giver to the log.
func (d *fleetDesk) lead() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		_, changed := d.a.store.register()
		d.follow()
		select {
		case <-d.ctx.Done():
			return
		case <-d.a.raft.LeaderCh():
		case <-changed:
		case <-tick.C:
		}
	}
}

// follow begins a giver where this agent has begun to lead, ends it where it does not any more, tells it what the log says,
// and has seats taken back that have ended.
func (d *fleetDesk) follow() {
	leads, term := d.a.raft.State() == raft.Leader, d.a.raft.CurrentTerm()
	d.mu.Lock()
	had := d.term
	if had != 0 && (!leads || term != had) {
		d.term, d.giver = 0, nil
		had = 0
	}
	d.mu.Unlock()
	if !leads {
		return
	}
	if had == 0 {
		// All that earlier terms have put into the log is known before anything is given.
		if d.a.raft.Barrier(applyWithin).Error() != nil || d.a.raft.CurrentTerm() != term {
			return
		}
	}
	d.mu.Lock()
	reg, _ := d.a.store.register() // with mu held: two of these at a time must not take the log's word in the wrong order
	now := monotone.Now()
	if had == 0 {
		d.giver, d.term = giver.New(now, reg.Doc, reg.Members), term
		d.a.opt.Log.Info("giving begins", slog.String("reason", "FLEET_GIVER"), slog.Uint64("term", term), slog.Int("members", len(reg.Members)))
	} else {
		d.giver.Update(now, reg.Doc, reg.Members)
	}
	d.led = now
	gone := d.giver.Gone(now)
	d.mu.Unlock()
	if len(gone) > 0 {
		if _, err := d.a.apply(change{Leave: gone}); err == nil {
			d.a.opt.Log.Info("seats taken back", slog.String("reason", "FLEET_GONE"), slog.Any("members", gone))
		}
	}
}

// ask asks the other agents for their terms, one question at a time, while decisions wait for it.
func (d *fleetDesk) ask() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.wake:
		}
		for {
			d.mu.Lock()
			term := d.term
			round, due := d.desk.Ask(term)
			d.mu.Unlock()
			if !due {
				break
			}
			agreed := term != 0 && d.majority(term)
			d.mu.Lock()
			done, void := d.desk.Hear(round)
			d.mu.Unlock()
			for _, k := range done {
				k <- agreed
			}
			for _, k := range void {
				k <- false
			}
		}
	}
}

// majority asks all others at once and returns as soon as enough agree.
func (d *fleetDesk) majority(term uint64) bool {
	if d.a.raft.CurrentTerm() != term {
		return false // this agent has heard of a later one, or voted in it
	}
	ctx, done := context.WithTimeout(d.ctx, askWithin)
	defer done()
	agents := len(d.a.opt.Peers)
	told := make(chan uint64, agents)
	out := 0
	for _, p := range d.a.opt.Peers {
		if p.ID == d.a.opt.ID {
			continue
		}
		out++
		go func() {
			t, err := d.termOf(ctx, p)
			if err != nil {
				t = 0
			}
			told <- t
		}()
	}
	var terms []uint64
	for range out {
		if giver.Majority(term, terms, agents) {
			break
		}
		if t := <-told; t > 0 {
			terms = append(terms, t)
		}
	}
	return giver.Majority(term, terms, agents)
}

func (d *fleetDesk) termOf(ctx context.Context, p Peer) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.API+"/v1/term", nil)
	if err != nil {
		return 0, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64))
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(b), 10, 64)
}

// tell answers another agent. A vote raises the term before it is given, so whoever tells a term has not voted in a later one.
func (d *fleetDesk) tell(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, strconv.FormatUint(d.a.raft.CurrentTerm(), 10))
}

var errNoGiver = errors.New("no giver at the moment")

// elsewhere sends a caller to the leader; false where a giver is at work here.
func (d *fleetDesk) elsewhere(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	here := d.giver != nil
	d.mu.Unlock()
	if here {
		return false
	}
	d.a.redirect(w, r)
	return true
}

func read[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRenewal))
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return v, err == nil
}

// refuse answers with the reason that is told to members and operators.
func refuse(w http.ResponseWriter, err error) {
	var no fleet.Reason
	var r *Refusal
	switch {
	case errors.As(err, &no):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &r):
		http.Error(w, err.Error(), r.Status)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// agree keeps a decision back until the majority has agreed after it was taken. It is called with mu held, and gives it up.
func (d *fleetDesk) agree(ctx context.Context) bool {
	agreed := make(chan bool, 1)
	d.desk.Put(d.term, agreed)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	select {
	case ok := <-agreed:
		return ok
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return false
}

func (d *fleetDesk) renew(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	ren, ok := read[fleet.Renewal](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	if d.giver == nil {
		d.mu.Unlock()
		refuse(w, errNoGiver)
		return
	}
	a, err := d.giver.Renew(monotone.Now(), ren)
	if errors.Is(err, fleet.UnknownMember) || err == nil {
		// Also the word that a seat is gone must be that of an agent which really leads.
		if !d.agree(r.Context()) {
			refuse(w, errNoGiver)
			return
		}
	} else {
		d.mu.Unlock()
	}
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, a)
}

func (d *fleetDesk) join(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	m, ok := read[fleet.Member](w, r)
	if !ok {
		return
	}
	err := m.Check()
	if err != nil {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.mu.Lock()
	if d.giver == nil {
		err = errNoGiver
	} else {
		err = d.giver.Admit(monotone.Now(), m)
	}
	d.mu.Unlock()
	if err != nil {
		refuse(w, err)
		return
	}
	d.change(w, change{Join: &m})
}

func (d *fleetDesk) leave(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	d.change(w, change{Leave: []string{r.PathValue("id")}})
}

// change has the fleet changed through the log, and answers with what the log says to it.
func (d *fleetDesk) change(w http.ResponseWriter, c change) {
	v, err := d.a.apply(c)
	if no, refused := v.(error); refused && err == nil {
		err = no
	}
	if err != nil {
		refuse(w, err)
		return
	}
	d.follow() // the giver knows before the caller does
	reply(w, http.StatusOK, v)
}

func (d *fleetDesk) set(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	doc, ok := read[fleet.Doc](w, r)
	if !ok {
		return
	}
	if err := doc.Check(); err != nil {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.change(w, change{Set: &doc})
}

// View is the fleet as an agent sees it.
type View struct {
	Agent   string       `json:"agent"`
	Leads   bool         `json:"leads"`  // and a majority has just agreed
	AgeMs   int64        `json:"age_ms"` // since it heard of the leader last; how old this may be
	Doc     fleet.Doc    `json:"doc"`
	Members []giver.Seen `json:"members"`
	Lines   []giver.Line `json:"lines,omitempty"` // only where it leads
	WaitMs  int64        `json:"wait_ms"`         // until a new giver gives anything new
}

// age is how many milliseconds ago this agent last led or heard of the one that does; -1: never.
func (d *fleetDesk) age() int64 {
	d.mu.Lock()
	led := d.led
	d.mu.Unlock()
	age := int64(-1)
	if heard := d.a.raft.LastContact(); !heard.IsZero() {
		age = time.Since(heard).Milliseconds()
	}
	if since := (monotone.Now() - led).Milliseconds(); led > 0 && (age < 0 || since < age) {
		age = since
	}
	return age
}

// unknown is the state of members at an agent that does not lead.
const unknown giver.State = "unknown"

// show answers with the fleet; with stale also where this agent does not lead, as far as its log goes.
func (d *fleetDesk) show(w http.ResponseWriter, r *http.Request) {
	if !stale(r) && d.elsewhere(w, r) {
		return
	}
	reg, _ := d.a.store.register()
	v := View{Agent: d.a.opt.ID, Doc: reg.Doc}
	d.mu.Lock()
	if d.giver != nil {
		now := monotone.Now()
		v.Members, v.Lines = d.giver.Members(now), d.giver.Lines(now, "")
		for i := range reg.Doc.Budgets {
			v.WaitMs = max(v.WaitMs, d.giver.Waits(now, &reg.Doc.Budgets[i]).Milliseconds())
		}
		v.Leads = d.agree(r.Context())
	} else {
		d.mu.Unlock()
	}
	if !v.Leads {
		if !stale(r) {
			refuse(w, errNoGiver)
			return
		}
		v.Members, v.Lines = nil, nil
		for _, m := range reg.Members {
			v.Members = append(v.Members, giver.Seen{Member: m, State: unknown, AgoMs: -1})
		}
		v.AgeMs = d.age()
	}
	reply(w, http.StatusOK, v)
}
