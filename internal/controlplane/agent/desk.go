package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/lease/outlierboard"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotone"
)

const (
	maxRenewal = 1 << 20
	askWithin  = 500 * time.Millisecond // for another agent to tell its term
	sweepEvery = 250 * time.Millisecond
	boardFor   = 10 * time.Minute // what was found out about a target is kept
)

// fleetDesk is the edge of the fleet's giver and keeper at an agent: it begins them for each term that this agent leads, brings them
// renewals with their claims, and lets answers go once a majority of the agents has told that no later term has begun.
type fleetDesk struct {
	a      *Agent
	client http.Client
	ctx    context.Context
	end    context.CancelFunc
	work   sync.WaitGroup
	wake   chan struct{} // something waits to be asked for
	nudge  chan struct{} // leases may be granted

	mu     sync.Mutex
	term   uint64 // of the giver; 0: this agent does not lead
	giver  *allocator.Giver
	keeper *lessor.Keeper // as long as there is a giver
	board  *outlierboard.Board
	desk   allocator.Desk[chan<- bool]
	led    time.Duration // when this agent last led; 0: never
}

func newFleetDesk(a *Agent) *fleetDesk {
	d := &fleetDesk{a: a, wake: make(chan struct{}, 1), nudge: make(chan struct{}, 1)}
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
	mux.HandleFunc("PUT /v1/leases", d.setTasks)
	mux.HandleFunc("POST /v1/leases/move", d.move)
	mux.HandleFunc("GET /v1/leases/changed/{id}", d.changed)
}

// lead follows who leads and keeps the giver to the log.
func (d *fleetDesk) lead() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		_, changed := d.a.store.register()
		d.follow()
		if d.order() {
			continue // what was changed is known before anything else is
		}
		select {
		case <-d.ctx.Done():
			return
		case <-d.a.raft.LeaderCh():
		case <-changed:
		case <-d.nudge:
		case <-tick.C:
		}
	}
}

// order has the log changed as the keeper wants it; true where it was.
func (d *fleetDesk) order() bool {
	d.mu.Lock()
	var orders []lease.Order
	var seen uint64
	if d.keeper != nil {
		orders, seen = d.keeper.Orders(monotone.Now())
	}
	d.mu.Unlock()
	if len(orders) == 0 && seen == 0 {
		return false
	}
	failpoint.Hit("agent.orders")
	v, err := d.a.apply(change{Orders: orders, Seen: seen})
	failpoint.Hit("agent.ordered")
	if err != nil {
		return false // whether they are in the log is not known: they are asked for again
	}
	done, _ := v.([]lease.Order)
	for _, o := range done {
		d.a.opt.Log.Info("lease changed", slog.String("reason", "LEASE_"+strings.ToUpper(string(o.Do))), slog.String("lease", o.Key.String()),
			slog.String("member", o.To), slog.Uint64("over", o.Over))
	}
	return true
}

// follow begins a giver where this agent has begun to lead, ends it where it does not any more, tells it what the log says,
// and has seats taken back that have ended.
func (d *fleetDesk) follow() {
	leads, term := d.a.raft.State() == raft.Leader, d.a.raft.CurrentTerm()
	d.mu.Lock()
	had := d.term
	if had != 0 && (!leads || term != had) {
		d.term, d.giver, d.keeper, d.board = 0, nil, nil, nil
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
		d.giver, d.term = allocator.New(now, reg.Doc, reg.Members), term
		d.keeper, d.board = lessor.New(now, &reg), &outlierboard.Board{}
		d.a.opt.Log.Info("giving begins", slog.String("reason", "FLEET_GIVER"), slog.Uint64("term", term), slog.Int("members", len(reg.Members)))
	} else {
		d.giver.Update(now, reg.Doc, reg.Members)
		d.keeper.Update(now, &reg)
		d.board.Keep(now, boardFor, d.keeper.Known)
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
		if allocator.Majority(term, terms, agents) {
			break
		}
		if t := <-told; t > 0 {
			terms = append(terms, t)
		}
	}
	return allocator.Majority(term, terms, agents)
}

func (d *fleetDesk) termOf(ctx context.Context, p config.Peer) (uint64, error) {
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
	return readUpTo[T](w, r, maxRenewal)
}

func readUpTo[T any](w http.ResponseWriter, r *http.Request, most int64) (v T, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
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
	var no quota.Reason
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
	ren, ok := read[renewal](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	if d.giver == nil {
		d.mu.Unlock()
		refuse(w, errNoGiver)
		return
	}
	now := monotone.Now()
	a, err := d.giver.Renew(now, ren.Renewal)
	answer := renewed{Answer: a}
	if err == nil && ren.Claim != nil {
		answer.Award = d.claim(now, ren.ID, ren.Claim)
	}
	if errors.Is(err, quota.UnknownMember) || err == nil {
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
	failpoint.Hit("agent.awarded")
	reply(w, http.StatusOK, answer)
}

// claim has the keeper and the board answer a claim; nil where it is too old. Its caller holds mu.
func (d *fleetDesk) claim(now time.Duration, id string, c *lease.Claim) *lease.Award {
	a, err := d.keeper.Claim(now, id, *c)
	if err != nil {
		return nil
	}
	tasks := d.keeper.Tasks()
	d.board.Note(id, c.Avoids)
	for i := range tasks.Tasks {
		t := &tasks.Tasks[i]
		if t.Kind != lease.Watch {
			continue
		}
		for _, r := range c.Results {
			if r.Task == t.Name && d.keeper.Current(lease.Key{Task: t.Name, Shard: t.ShardOf(r.Target)}, id, r.Token) {
				d.board.Take(now, r)
			}
		}
		mine := map[int]bool{}
		for _, b := range a.Leases {
			if b.Task == t.Name {
				mine[b.Shard] = true
			}
		}
		a.Work = append(a.Work, d.board.Work(func(target string) bool { return mine[t.ShardOf(target)] })...)
	}
	a.News = d.board.News(now, id)
	if len(c.Gives) > 0 || len(c.Holds) == 0 {
		select {
		case d.nudge <- struct{}{}:
		default:
		}
	}
	return &a
}

func (d *fleetDesk) join(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	m, ok := read[quota.Member](w, r)
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
	doc, ok := read[quota.Doc](w, r)
	if !ok {
		return
	}
	if err := doc.Check(); err != nil {
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.change(w, change{Set: &doc})
}

func (d *fleetDesk) setTasks(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	doc, ok := read[lease.Doc](w, r)
	if !ok {
		return
	}
	d.change(w, change{Tasks: &doc})
}

// move has a lease go to a member, or to anyone: the plan for it goes through the log, the hand-over comes after that.
func (d *fleetDesk) move(w http.ResponseWriter, r *http.Request) {
	if d.elsewhere(w, r) {
		return
	}
	m, ok := read[moved](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	var o lease.Order
	err := error(errNoGiver)
	if d.keeper != nil {
		o, err = d.keeper.Move(monotone.Now(), m.Key, m.To)
	}
	d.mu.Unlock()
	var no lease.Reason
	switch {
	case errors.As(err, &no):
		refuse(w, &Refusal{http.StatusUnprocessableEntity, err.Error()})
	case err != nil:
		refuse(w, err)
	default:
		d.change(w, change{Orders: []lease.Order{o}})
	}
}

// changed answers once a lease that a member has was changed after the index that it knows, or the time is over. Any agent may be asked: it
// is a reason to renew, and no more.
func (d *fleetDesk) changed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(min(time.Duration(max(ms, 0))*time.Millisecond, maxWait))
	defer end.Stop()
	for {
		index, changed := d.a.store.changedFor(r.PathValue("id"))
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
		reply(w, http.StatusOK, index)
		return
	}
}

// View is the fleet as an agent sees it.
type View struct {
	Agent   string              `json:"agent"`
	Leads   bool                `json:"leads"`  // and a majority has just agreed
	AgeMs   int64               `json:"age_ms"` // since it heard of the leader last; how old this may be
	Doc     quota.Doc           `json:"doc"`
	Members []allocator.Seen    `json:"members"`
	Lines   []allocator.Line    `json:"lines,omitempty"` // only where it leads
	WaitMs  int64               `json:"wait_ms"`         // until a new giver gives anything new
	Tasks   lease.Doc           `json:"tasks"`
	Leases  []lessor.Seen       `json:"leases,omitempty"`
	Board   []outlierboard.Line `json:"board,omitempty"` // only where it leads
}

// renewal is a renewal with the claim of a member that runs tasks; renewed answers both.
type renewal struct {
	quota.Renewal
	Claim *lease.Claim `json:"claim,omitempty"`
}

type renewed struct {
	quota.Answer
	Award *lease.Award `json:"award,omitempty"`
}

// moved asks for a move.
type moved struct {
	lease.Key
	To string `json:"to"`
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
const unknown allocator.State = "unknown"

// show answers with the fleet; with stale also where this agent does not lead, as far as its log goes.
func (d *fleetDesk) show(w http.ResponseWriter, r *http.Request) {
	if !stale(r) && d.elsewhere(w, r) {
		return
	}
	reg, _ := d.a.store.register()
	v := View{Agent: d.a.opt.ID, Doc: reg.Doc, Tasks: reg.Tasks}
	d.mu.Lock()
	if d.giver != nil {
		now := monotone.Now()
		v.Members, v.Lines = d.giver.Members(now), d.giver.Lines(now, "")
		v.Leases, v.Board = d.keeper.Leases(now), d.board.Lines(now)
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
		v.Members, v.Lines, v.Leases, v.Board = nil, nil, nil, nil
		for _, m := range reg.Members {
			v.Members = append(v.Members, allocator.Seen{Member: m, State: unknown, AgoMs: -1})
		}
		for _, l := range reg.Leases {
			v.Leases = append(v.Leases, lessor.Seen{Lease: l, State: string(unknown), SinceMs: -1, UntilMs: -1, ProgressMs: -1})
		}
		v.AgeMs = d.age()
	}
	reply(w, http.StatusOK, v)
}
