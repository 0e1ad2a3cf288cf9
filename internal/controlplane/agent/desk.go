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
	maxRequestBytes  = 1 << 20
	termQueryTimeout = 500 * time.Millisecond // for another agent to tell its term
	expiryInterval   = 250 * time.Millisecond
	probeResultTTL   = 10 * time.Minute // what was found out about a target is kept
)

// leaderService is the edge of the fleet's giver and keeper at an agent: it begins them for each term that this agent leads, brings them
// renewals with their claims, and lets answers go once a majority of the agents has told that no later term has begun.
type leaderService struct {
	agent            *Agent
	client           http.Client
	ctx              context.Context
	cancel           context.CancelFunc
	loops            sync.WaitGroup
	confirmRequested chan struct{} // something waits to be asked for
	lessorWake       chan struct{} // leases may be granted

	mu                   sync.Mutex
	term                 uint64 // of the giver; 0: this agent does not lead
	allocator            *allocator.Allocator
	lessor               *lessor.Lessor // as long as there is a giver
	board                *outlierboard.Board
	awaitingConfirmation allocator.ReadIndexQueue[chan<- bool]
	lastLedAt            time.Duration // when this agent last led; 0: never
}

func newLeaderService(a *Agent) *leaderService {
	d := &leaderService{agent: a, confirmRequested: make(chan struct{}, 1), lessorWake: make(chan struct{}, 1)}
	d.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.loops.Go(d.run)
	d.loops.Go(d.confirmLoop)
	return d
}

func (d *leaderService) stop() {
	d.cancel()
	d.loops.Wait()
	d.client.CloseIdleConnections()
}

func (d *leaderService) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/term", d.handleTerm)
	mux.HandleFunc("POST /v1/fleet/renew", d.handleRenew)
	mux.HandleFunc("POST /v1/fleet/members", d.handleJoin)
	mux.HandleFunc("DELETE /v1/fleet/members/{id}", d.handleLeave)
	mux.HandleFunc("GET /v1/fleet", d.handleShowFleet)
	mux.HandleFunc("PUT /v1/fleet", d.handleSetQuotas)
	mux.HandleFunc("PUT /v1/leases", d.handleSetTasks)
	mux.HandleFunc("POST /v1/leases/move", d.handleMigrateLease)
	mux.HandleFunc("GET /v1/leases/changed/{id}", d.handleLeaseChanges)
}

// run follows who leads and keeps the giver to the log.
func (d *leaderService) run() {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		_, changed := d.agent.store.registry()
		d.syncWithTerm()
		if d.applyPendingEvents() {
			continue // what was changed is known before anything else is
		}
		select {
		case <-d.ctx.Done():
			return
		case <-d.agent.raft.LeaderCh():
		case <-changed:
		case <-d.lessorWake:
		case <-tick.C:
		}
	}
}

// applyPendingEvents has the log changed as the keeper wants it; true where it was.
func (d *leaderService) applyPendingEvents() bool {
	d.mu.Lock()
	var orders []lease.Event
	var seen uint64
	if d.lessor != nil {
		orders, seen = d.lessor.PendingEvents(monotone.Now())
	}
	d.mu.Unlock()
	if len(orders) == 0 && seen == 0 {
		return false
	}
	failpoint.Hit("agent.orders")
	v, err := d.agent.propose(command{LeaseEvents: orders, HighestToken: seen})
	failpoint.Hit("agent.ordered")
	if err != nil {
		return false // whether they are in the log is not known: they are asked for again
	}
	done, _ := v.([]lease.Event)
	for _, o := range done {
		d.agent.opt.Log.Info("lease changed", slog.String("reason", "LEASE_"+strings.ToUpper(string(o.Kind))), slog.String("lease", o.Key.String()),
			slog.String("member", o.Member), slog.Uint64("over", o.ExpectedToken))
	}
	return true
}

// syncWithTerm begins a giver where this agent has begun to lead, ends it where it does not any more, tells it what the log says,
// and has seats taken back that have ended.
func (d *leaderService) syncWithTerm() {
	leads, term := d.agent.raft.State() == raft.Leader, d.agent.raft.CurrentTerm()
	d.mu.Lock()
	had := d.term
	if had != 0 && (!leads || term != had) {
		d.term, d.allocator, d.lessor, d.board = 0, nil, nil, nil
		had = 0
	}
	d.mu.Unlock()
	if !leads {
		return
	}
	if had == 0 {
		// All that earlier terms have put into the log is known before anything is given.
		if d.agent.raft.Barrier(applyTimeout).Error() != nil || d.agent.raft.CurrentTerm() != term {
			return
		}
	}
	d.mu.Lock()
	reg, _ := d.agent.store.registry() // with mu held: two of these at a time must not take the log's word in the wrong order
	now := monotone.Now()
	if had == 0 {
		d.allocator, d.term = allocator.New(now, reg.QuotaConfig, reg.Members), term
		d.lessor, d.board = lessor.New(now, &reg), &outlierboard.Board{}
		d.agent.opt.Log.Info("giving begins", slog.String("reason", "FLEET_GIVER"), slog.Uint64("term", term), slog.Int("members", len(reg.Members)))
	} else {
		d.allocator.Update(now, reg.QuotaConfig, reg.Members)
		d.lessor.Update(now, &reg)
		d.board.Prune(now, probeResultTTL, d.lessor.IsMember)
	}
	d.lastLedAt = now
	gone := d.allocator.Expire(now)
	d.mu.Unlock()
	if len(gone) > 0 {
		if _, err := d.agent.propose(command{Leave: gone}); err == nil {
			d.agent.opt.Log.Info("seats taken back", slog.String("reason", "FLEET_GONE"), slog.Any("members", gone))
		}
	}
}

// confirmLoop asks the other agents for their terms, one question at a time, while decisions wait for it.
func (d *leaderService) confirmLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.confirmRequested:
		}
		for {
			d.mu.Lock()
			term := d.term
			round, due := d.awaitingConfirmation.StartRound(term)
			d.mu.Unlock()
			if !due {
				break
			}
			agreed := term != 0 && d.queryMajority(term)
			d.mu.Lock()
			done, void := d.awaitingConfirmation.FinishRound(round)
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

// queryMajority asks all others at once and returns as soon as enough agree.
func (d *leaderService) queryMajority(term uint64) bool {
	if d.agent.raft.CurrentTerm() != term {
		return false // this agent has heard of a later one, or voted in it
	}
	ctx, done := context.WithTimeout(d.ctx, termQueryTimeout)
	defer done()
	agents := len(d.agent.opt.Peers)
	told := make(chan uint64, agents)
	out := 0
	for _, p := range d.agent.opt.Peers {
		if p.ID == d.agent.opt.ID {
			continue
		}
		out++
		go func() {
			t, err := d.fetchTerm(ctx, p)
			if err != nil {
				t = 0
			}
			told <- t
		}()
	}
	var terms []uint64
	for range out {
		if allocator.MajorityAgrees(term, terms, agents) {
			break
		}
		if t := <-told; t > 0 {
			terms = append(terms, t)
		}
	}
	return allocator.MajorityAgrees(term, terms, agents)
}

func (d *leaderService) fetchTerm(ctx context.Context, p config.Peer) (uint64, error) {
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

// handleTerm answers another agent. A vote raises the term before it is given, so whoever tells a term has not voted in a later one.
func (d *leaderService) handleTerm(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, strconv.FormatUint(d.agent.raft.CurrentTerm(), 10))
}

var errNotLeading = errors.New("no giver at the moment")

// redirectUnlessLeading sends a caller to the leader; false where a giver is at work here.
func (d *leaderService) redirectUnlessLeading(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	here := d.allocator != nil
	d.mu.Unlock()
	if here {
		return false
	}
	d.agent.redirectToLeader(w, r)
	return true
}

func readBody[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	return readBodyUpTo[T](w, r, maxRequestBytes)
}

func readBodyUpTo[T any](w http.ResponseWriter, r *http.Request, most int64) (v T, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return v, err == nil
}

// writeError answers with the reason that is told to members and operators.
func writeError(w http.ResponseWriter, err error) {
	var no quota.RejectionError
	var r *RejectedError
	switch {
	case errors.As(err, &no):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &r):
		http.Error(w, err.Error(), r.Status)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// confirmLeadership keeps a decision back until the majority has agreed after it was taken. It is called with mu held, and gives it up.
func (d *leaderService) confirmLeadership(ctx context.Context) bool {
	agreed := make(chan bool, 1)
	d.awaitingConfirmation.Add(d.term, agreed)
	d.mu.Unlock()
	select {
	case d.confirmRequested <- struct{}{}:
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

func (d *leaderService) handleRenew(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	ren, ok := readBody[renewalRequest](w, r)
	if !ok {
		return
	}
	d.mu.Lock()
	if d.allocator == nil {
		d.mu.Unlock()
		writeError(w, errNotLeading)
		return
	}
	now := monotone.Now()
	a, err := d.allocator.Renew(now, ren.RenewalRequest)
	answer := renewalResponse{RenewalResponse: a}
	if err == nil && ren.Leases != nil {
		answer.Leases = d.renewLeases(now, ren.ID, ren.Leases)
	}
	if errors.Is(err, quota.ErrUnknownMember) || err == nil {
		// Also the word that a seat is gone must be that of an agent which really leads.
		if !d.confirmLeadership(r.Context()) {
			writeError(w, errNotLeading)
			return
		}
	} else {
		d.mu.Unlock()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	failpoint.Hit("agent.awarded")
	writeJSON(w, http.StatusOK, answer)
}

// renewLeases has the keeper and the board answer a claim; nil where it is too old. Its caller holds mu.
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

func (d *leaderService) handleJoin(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	m, ok := readBody[quota.Member](w, r)
	if !ok {
		return
	}
	err := m.Validate()
	if err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.mu.Lock()
	if d.allocator == nil {
		err = errNotLeading
	} else {
		err = d.allocator.Admit(monotone.Now(), m)
	}
	d.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	d.proposeAndReply(w, command{Join: &m})
}

func (d *leaderService) handleLeave(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	d.proposeAndReply(w, command{Leave: []string{r.PathValue("id")}})
}

// proposeAndReply has the fleet changed through the log, and answers with what the log says to it.
func (d *leaderService) proposeAndReply(w http.ResponseWriter, c command) {
	v, err := d.agent.propose(c)
	if no, refused := v.(error); refused && err == nil {
		err = no
	}
	if err != nil {
		writeError(w, err)
		return
	}
	d.syncWithTerm() // the giver knows before the caller does
	writeJSON(w, http.StatusOK, v)
}

func (d *leaderService) handleSetQuotas(w http.ResponseWriter, r *http.Request) {
	if d.redirectUnlessLeading(w, r) {
		return
	}
	doc, ok := readBody[quota.Config](w, r)
	if !ok {
		return
	}
	if err := doc.Validate(); err != nil {
		writeError(w, &RejectedError{http.StatusUnprocessableEntity, err.Error()})
		return
	}
	d.proposeAndReply(w, command{QuotaConfig: &doc})
}

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

// handleMigrateLease has a lease go to a member, or to anyone: the plan for it goes through the log, the hand-over comes after that.
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
	err := error(errNotLeading)
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

// handleLeaseChanges answers once a lease that a member has was changed after the index that it knows, or the time is over. Any agent may be asked: it
// is a reason to renew, and no more.
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
		writeJSON(w, http.StatusOK, index)
		return
	}
}

// FleetView is the fleet as an agent sees it.
type FleetView struct {
	Agent          string                   `json:"agent"`
	Leads          bool                     `json:"leads"`  // and a majority has just agreed
	AgeMs          int64                    `json:"age_ms"` // since it heard of the leader last; how old this may be
	QuotaConfig    quota.Config             `json:"doc"`
	Members        []allocator.MemberStatus `json:"members"`
	Ledger         []allocator.LedgerLine   `json:"lines,omitempty"` // only where it leads
	RecoveryWaitMs int64                    `json:"wait_ms"`         // until a new giver gives anything new
	LeaseConfig    lease.Config             `json:"tasks"`
	Leases         []lessor.LeaseStatus     `json:"leases,omitempty"`
	Board          []outlierboard.Entry     `json:"board,omitempty"` // only where it leads
}

// renewalRequest is a renewal with the claim of a member that runs tasks; renewed answers both.
type renewalRequest struct {
	quota.RenewalRequest
	Leases *lease.RenewalRequest `json:"claim,omitempty"`
}

type renewalResponse struct {
	quota.RenewalResponse
	Leases *lease.RenewalResponse `json:"award,omitempty"`
}

// migrateRequest asks for a move.
type migrateRequest struct {
	lease.Key
	Member string `json:"to"`
}

// leaderContactMs is how many milliseconds ago this agent last led or heard of the one that does; -1: never.
func (d *leaderService) leaderContactMs() int64 {
	d.mu.Lock()
	led := d.lastLedAt
	d.mu.Unlock()
	age := int64(-1)
	if heard := d.agent.raft.LastContact(); !heard.IsZero() {
		age = time.Since(heard).Milliseconds()
	}
	if since := (monotone.Now() - led).Milliseconds(); led > 0 && (age < 0 || since < age) {
		age = since
	}
	return age
}

// livenessUnknown is the state of members at an agent that does not lead.
const livenessUnknown allocator.Liveness = "unknown"

// handleShowFleet answers with the fleet; with stale also where this agent does not lead, as far as its log goes.
func (d *leaderService) handleShowFleet(w http.ResponseWriter, r *http.Request) {
	if !allowsStale(r) && d.redirectUnlessLeading(w, r) {
		return
	}
	reg, _ := d.agent.store.registry()
	v := FleetView{Agent: d.agent.opt.ID, QuotaConfig: reg.QuotaConfig, LeaseConfig: reg.LeaseConfig}
	d.mu.Lock()
	if d.allocator != nil {
		now := monotone.Now()
		v.Members, v.Ledger = d.allocator.Members(now), d.allocator.Ledger(now, "")
		v.Leases, v.Board = d.lessor.Status(now), d.board.Entries(now)
		for i := range reg.QuotaConfig.Budgets {
			v.RecoveryWaitMs = max(v.RecoveryWaitMs, d.allocator.RecoveryWait(now, &reg.QuotaConfig.Budgets[i]).Milliseconds())
		}
		v.Leads = d.confirmLeadership(r.Context())
	} else {
		d.mu.Unlock()
	}
	if !v.Leads {
		if !allowsStale(r) {
			writeError(w, errNotLeading)
			return
		}
		v.Members, v.Ledger, v.Leases, v.Board = nil, nil, nil, nil
		for _, m := range reg.Members {
			v.Members = append(v.Members, allocator.MemberStatus{Member: m, Liveness: livenessUnknown, LastHeardMs: -1})
		}
		for _, l := range reg.Leases {
			v.Leases = append(v.Leases, lessor.LeaseStatus{Lease: l, State: string(livenessUnknown), SinceMs: -1, UntilMs: -1, ProgressMs: -1})
		}
		v.AgeMs = d.leaderContactMs()
	}
	writeJSON(w, http.StatusOK, v)
}
