// Package quotasession is an instance's edge of the fleet: it keeps a seat at the agents by renewals, and answers the module and the
// targets' pools from the holder, on the clock that counts sleep. All decisions are the holder's (internal/controlplane/quota/quotaclient).
package quotasession

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"
	"github.com/cenkalti/backoff/v5"

	"spindlehitch"
	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/process/monotone"
)

// Options set up an instance's part in the fleet.
type Options struct {
	Name   string
	Addr   string // where it takes clients: two processes at one address are an upgrade
	Agents []string
	More   func() []string // agents that others know, where none of these answers; nil: nobody knows any
	Weight float64
	Uses   []quota.Use // nothing of these is used before the fleet's budgets are known
	Log    *slog.Logger
	Duties Duties // nil: the instance runs no tasks
	Tells  string // where it tells its latency accounts; empty: nowhere
}

// Duties is what an instance does for the whole fleet (internal/controlplane/lease/leasework): its claims go with the renewals of its seat.
type Duties interface {
	Claim(now time.Duration) *lease.Claim
	Accept(now time.Duration, a *lease.Award)
	Drop()                          // the seat is lost
	Stop(within time.Duration) bool // gives everything back; whether nothing is done any more
}

// Ration is an instance's. All of it is safe for concurrent use.
type Ration struct {
	opt    Options
	client agent.Client
	moved  func() // told when parts have changed
	wake   chan struct{}

	mu     sync.Mutex
	h      *quotaclient.Holder
	hurry  bool   // the next renewal is due at once
	why    string // why there is no seat, or nothing beyond the floor; empty: there is
	counts struct{ renewed, failed, lapsed, denied int64 }
}

// New returns one that has no seat yet; Run gets it one.
func New(opt Options) *Ration {
	return &Ration{opt: opt, client: agent.Client{Addrs: opt.Agents, More: opt.More}, h: quotaclient.New(opt.Uses), why: "JOINING",
		wake: make(chan struct{}, 1), moved: func() {}}
}

// Agent is an agent that has answered lately; empty: none has.
func (r *Ration) Agent() string { return r.client.Answered(agentFor) }

// OnMove has f called whenever parts have changed. It must be called before Run, and f must not wait.
func (r *Ration) OnMove(f func()) { r.moved = f }

func draw(d spindlehitch.Draw) quota.Draw {
	use := [...]quota.Use{spindlehitch.ColdWork: quota.Cold, spindlehitch.Repeats: quota.Repeat,
		spindlehitch.Connections: quota.Connection, spindlehitch.AllWork: quota.Work}[d.Use]
	return quota.Draw{Use: use, Target: d.Node, Plan: d.Plan, Class: d.Class, Units: d.Units}
}

// Wait implements spindlehitch.Ration.
func (r *Ration) Wait(d spindlehitch.Draw) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, governed := r.h.Wait(monotone.Now(), draw(d))
	if wait > 0 {
		r.counts.denied++
		r.rouse()
	}
	return wait, governed
}

// rouse has a renewal sent early, where the holder wants one. Its caller holds mu.
func (r *Ration) rouse() {
	if r.h.Hungry() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Hurry has the next renewal sent at once.
func (r *Ration) Hurry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hurry = true
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Take implements spindlehitch.Ration. The permit is good while the part that it is from lasts.
func (r *Ration) Take(draws []spindlehitch.Draw) spindlehitch.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]quota.Draw, len(draws))
	for i, d := range draws {
		all[i] = draw(d)
	}
	return permit{r, r.h.Take(monotone.Now(), all...)}
}

type permit struct {
	r     *Ration
	until time.Duration
}

// Good implements spindlehitch.Permit.
func (p permit) Good() bool {
	good := monotone.Now() < p.until
	if !good {
		p.r.mu.Lock()
		p.r.counts.lapsed++
		p.r.mu.Unlock()
	}
	return good
}

// Open counts a connection to a target; false: there may be none more.
func (r *Ration) Open(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.h.Open(monotone.Now(), target)
	if !ok {
		r.counts.denied++
		r.rouse()
	}
	return ok
}

// Close counts a connection that has ended.
func (r *Ration) Close(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Close(target)
}

// Over is how many connections to a target are to be closed.
func (r *Ration) Over(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.h.Over(monotone.Now(), target)
}

const (
	agentFor   = 5 * time.Second        // an agent that answered is told of to others
	joinAgain  = 200 * time.Millisecond // doubled up to
	mostJoin   = 5 * time.Second
	leaveAfter = time.Second // how long connections may take to close before the seat is given back
)

// Run keeps a seat until ctx ends; Leave gives it back.
func (r *Ration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.join(ctx) {
			r.keep(ctx)
		}
	}
}

// join asks for a seat until there is one. Each seat is for an id of its own; an answer that was lost is asked for again by the
// same, for as long as its seat could last.
func (r *Ration) join(ctx context.Context) bool {
	id := rand.Text()
	waits := backoff.ExponentialBackOff{InitialInterval: joinAgain, RandomizationFactor: 0.25, Multiplier: 2, MaxInterval: mostJoin}
	for {
		began := monotone.Now()
		m, doc, err := r.client.Join(ctx, quota.Member{ID: id, Name: r.opt.Name, Addr: r.opt.Addr, Weight: r.opt.Weight, Accounts: r.opt.Tells})
		if err == nil {
			r.mu.Lock()
			r.h.Seat(began, m.ID, doc)
			r.why = ""
			r.mu.Unlock()
			r.opt.Log.Info("joined the fleet", slog.String("reason", "FLEET_JOINED"), slog.String("member", m.ID),
				slog.Uint64("incarnation", m.Incarnation), slog.Uint64("version", doc.Version))
			r.moved()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		why := "NO_AGENT"
		var no quota.Reason
		if errors.As(err, &no) {
			why = string(no)
		}
		r.mu.Lock()
		again := r.why == why
		r.why = why
		r.mu.Unlock()
		if !again {
			r.opt.Log.Warn("turned away from the fleet", slog.String("reason", "FLEET_"+why), slog.Any("error", err))
		}
		if no == quota.UnknownMember {
			id = rand.Text()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// heed has a renewal sent whenever the agents' log has changed something for this member's tasks.
func (r *Ration) heed(ctx context.Context, id string) {
	var known uint64
	for ctx.Err() == nil {
		index, err := r.client.Changed(ctx, id, known)
		if err == nil && index > known {
			known = index
			r.Hurry()
			continue
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(joinAgain):
			}
		}
	}
}

// keep renews until the seat is lost or ctx ends.
func (r *Ration) keep(ctx context.Context) {
	if r.opt.Duties != nil {
		heeding, stop := context.WithCancel(ctx)
		defer stop()
		r.mu.Lock()
		id := r.h.ID()
		r.mu.Unlock()
		go r.heed(heeding, id)
	}
	cut := false
	for ctx.Err() == nil {
		r.mu.Lock()
		due := r.h.Next() - monotone.Now()
		if r.hurry {
			due = 0
		}
		r.mu.Unlock()
		if due > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(due):
			case <-r.wake:
				continue // perhaps sooner
			}
		}
		r.mu.Lock()
		if !r.h.Seated(monotone.Now()) {
			r.lost("SEAT_ENDED")
			r.mu.Unlock()
			r.moved()
			return
		}
		began := monotone.Now() // before it goes out: its part's end is reckoned from here
		ren := r.h.Renew(began)
		within := r.h.Patience()
		r.hurry = false
		r.mu.Unlock()
		var claim *lease.Claim
		if r.opt.Duties != nil {
			claim = r.opt.Duties.Claim(began)
		}
		call, done := context.WithTimeout(ctx, within)
		a, award, err := r.client.Renew(call, ren, claim)
		done()
		if err == nil && award != nil && r.opt.Duties != nil {
			r.opt.Duties.Accept(monotone.Now(), award)
		}
		r.mu.Lock()
		switch {
		case errors.Is(err, quota.UnknownMember):
			r.lost(err.Error())
			r.mu.Unlock()
			r.moved()
			return
		case err == nil && r.h.Accept(monotone.Now(), a):
			r.counts.renewed++
			if cut {
				cut, r.why = false, ""
				r.opt.Log.Info("heard the agents again", slog.String("reason", "FLEET_HEARD"))
			}
		default:
			r.counts.failed++
			if !cut && monotone.Now() >= r.h.Ended() && ctx.Err() == nil {
				cut, r.why = true, "CUT_OFF"
				r.opt.Log.Warn("cut off from the agents: the floor is all there is", slog.String("reason", "FLEET_CUT_OFF"), slog.Any("error", err))
			}
		}
		r.mu.Unlock()
		r.moved()
	}
}

// lost gives the seat up. Its caller holds mu.
func (r *Ration) lost(why string) {
	r.why = why
	r.h.Unseat()
	if r.opt.Duties != nil {
		r.opt.Duties.Drop()
	}
	r.opt.Log.Warn("seat lost", slog.String("reason", "FLEET_SEAT_LOST"), slog.String("why", why))
}

// Leave uses nothing more, and once no connection is open gives the seat back; where that takes too long it is left to end.
// Run must have ended.
func (r *Ration) Leave(ctx context.Context) {
	r.mu.Lock()
	seated, id := r.h.Seated(monotone.Now()), r.h.ID()
	r.h.Leave()
	r.mu.Unlock()
	if r.opt.Duties != nil && !r.opt.Duties.Stop(leaveAfter) {
		r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.String("why", "an act is under way"))
		return
	}
	for end := time.Now().Add(leaveAfter); ; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		out := r.h.Out()
		r.mu.Unlock()
		if out == 0 {
			break
		}
		if time.Now().After(end) {
			r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.Int("connections", out))
			return
		}
	}
	if !seated {
		return
	}
	if err := r.client.Leave(ctx, id); err != nil {
		r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.Any("error", err))
		return
	}
	r.opt.Log.Info("left the fleet", slog.String("reason", "FLEET_LEFT"))
}

// Tell tells the numbers of the fleet's budgets.
func (r *Ration) Tell(to statsd.ExtendedStatSender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotone.Now()
	seated := int64(0)
	if r.h.Seated(now) {
		seated = 1
	}
	to.Gauge("fleet.seated", seated, 1)
	to.Gauge("fleet.version", int64(r.h.Version()), 1)
	to.Inc("fleet.renewals.taken", int64(r.counts.renewed), 1)
	to.Inc("fleet.renewals.failed", int64(r.counts.failed), 1)
	to.Inc("fleet.denied", int64(r.counts.denied), 1)
	to.Inc("fleet.lapsed", int64(r.counts.lapsed), 1)
	for _, x := range r.h.All(now) {
		name := "fleet." + x.Budget
		if x.Key.Key != "" {
			name += "." + x.Key.Key
		}
		to.GaugeFloat(name+".part", x.Limit.Rate, 1)
		to.GaugeFloat(name+".used", x.InUse+x.Rate, 1)
		to.GaugeFloat(name+".ends_s", max(0, (x.Until-now).Seconds()), 1)
	}
}
