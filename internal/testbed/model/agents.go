package model

import (
	"errors"
	"math/rand/v2"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/controlplane/readindex"
	"spindlehitch/internal/controlplane/registry"
)

// agents are the few that agree on a log. Raft itself is not modelled: an entry is in the log once a majority is up and hears the leader,
// after a way there and back and a disk's time; a leader that a majority doesn't hear for a time-out is replaced. The giver, the keeper and
// their question to a majority are the real ones.
type agents struct {
	s        *Sim
	rng      *rand.Rand
	all      []*agentState
	reg      registry.Registry
	index    uint64
	term     uint64
	leader   int           // -1: none
	silent   time.Duration // so long no majority has heard the leader
	patience float64       // of the agent that waits least, in time-outs
	flight   bool          // an order is on its way into the log
}

type agentState struct {
	up     bool
	paused time.Duration
	alone  bool // it hears no other agent
	inbox  []func()
	lead   *lead // it believes that it leads
	rate   float64
	busy   time.Duration // with renewals, until then
}

// lead is what an agent that believes to lead has.
type lead struct {
	term   uint64
	giver  *allocator.Allocator
	keeper *lessor.Lessor
	desk   readindex.Queue[func(bool)]
}

type renewed struct {
	answer quota.RenewalResponse
	award  *lease.RenewalResponse
}

const sweep = 250 * time.Millisecond

func newAgents(s *Sim) *agents {
	g := &agents{s: s, rng: s.stream("agents", 0), leader: -1}
	for i := range s.spec.Agents.Count {
		g.all = append(g.all, &agentState{up: true, rate: s.clockRate(i)})
	}
	g.index = 1
	if err := g.reg.SetQuotaConfig(g.index, *s.spec.Budgets); err != nil {
		panic(err) // checked before
	}
	if s.spec.Tasks != nil {
		g.index++
		if err := g.reg.SetLeaseConfig(g.index, *s.spec.Tasks); err != nil {
			panic(err)
		}
	}
	g.elect(0)
	s.after(sweep, "agents sweep", 0, g.tick)
	return g
}

func (g *agents) clock(i int) time.Duration {
	return time.Duration(float64(g.s.now) * g.all[i].rate)
}

func (g *agents) runs(i int) bool { return g.all[i].up && g.s.now >= g.all[i].paused }

// heard is how many agents, itself included, hear the one of that number now.
func (g *agents) heard(i int) (n int) {
	for j := range g.all {
		if j == i || g.runs(j) && !g.all[j].alone && !g.all[i].alone {
			n++
		}
	}
	return n
}

func (g *agents) majority(i int) bool { return g.runs(i) && 2*g.heard(i) > len(g.all) }

// elect has an agent lead: it begins after a barrier, with all that is in the log.
func (g *agents) elect(i int) {
	g.term++
	g.leader, g.flight = i, false
	g.s.point.Elections++
	r := g.reg.Clone()
	a := g.all[i]
	a.lead = &lead{term: g.term, giver: allocator.New(g.clock(i), r.QuotaConfig, r.Members), keeper: lessor.New(g.clock(i), &r)}
}

// tick looks after who leads, and has the log changed as the leader wants it.
func (g *agents) tick() {
	g.s.after(sweep, "agents sweep", 0, g.tick)
	if g.leader >= 0 && g.majority(g.leader) {
		g.silent = 0
		g.order()
		return
	}
	if g.silent += sweep; g.silent == sweep {
		// Each other agent waits for once to twice the time-out; the first asks for votes.
		g.patience = 2
		for range len(g.all) - 1 {
			g.patience = min(g.patience, 1+g.rng.Float64())
		}
	}
	if g.silent < millis(g.s.spec.Agents.TimeoutMs*g.patience)+sweep {
		return
	}
	for _, i := range g.rng.Perm(len(g.all)) {
		if g.majority(i) && i != g.leader {
			g.silent = 0
			g.elect(i)
			return
		}
	}
	if g.leader >= 0 && !g.all[g.leader].up {
		g.leader = -1
	}
}

// at has something reach an agent; what reaches one that stands still waits, one that is dead or cut off from the zone hears nothing. It is
// told which agent leads, as far as this one knows.
func (g *agents) at(i int, do func(leads int)) {
	a := g.all[i]
	if !a.up {
		return
	}
	g.when(i, func() {
		switch {
		case a.lead != nil:
			do(i)
		case a.alone:
			do(-1)
		default:
			do(g.leader)
		}
	})
}

func (g *agents) when(i int, do func()) {
	a := g.all[i]
	if g.s.now < a.paused {
		a.inbox = append(a.inbox, do)
		return
	}
	do()
}

func (g *agents) pause(i int, until time.Duration) {
	a := g.all[i]
	if until <= a.paused {
		return
	}
	a.paused = until
	g.s.at(until, "agent goes on", i, func() {
		if a.paused != until || !a.up {
			return
		}
		box := a.inbox
		a.inbox = nil
		for _, do := range box {
			do()
		}
	})
}

func (g *agents) kill(i int) {
	a := g.all[i]
	a.up, a.lead, a.inbox, a.paused = false, nil, nil, 0
	if g.leader == i {
		g.leader = -1
	}
}

// commit has the log changed by the agent that leads, and then tells whether it was. One that no longer leads can't.
func (g *agents) commit(by int, change func(index uint64), then func(bool)) {
	l := g.all[by].lead
	g.s.after(2*g.s.way(g.rng)+millis(g.s.spec.Agents.DiskMs), "log entry", by, func() {
		if g.leader != by || l == nil || l.term != g.term || !g.majority(by) {
			then(false)
			return
		}
		g.index++
		change(g.index)
		r := g.reg.Clone()
		l.giver.Update(g.clock(by), r.QuotaConfig, r.Members)
		l.keeper.Update(g.clock(by), &r)
		then(true)
	})
}

// order is what the leader does by itself: seats that have ended, leases that go on.
func (g *agents) order() {
	l := g.all[g.leader].lead
	if l == nil || g.flight {
		return
	}
	now := g.clock(g.leader)
	if gone := l.giver.Expire(now); len(gone) > 0 {
		g.flight = true
		g.commit(g.leader, func(uint64) { g.reg.Leave(gone...) }, func(bool) { g.flight = false })
		return
	}
	orders, seen := l.keeper.PendingEvents(now)
	if len(orders) == 0 && seen == 0 {
		return
	}
	g.flight = true
	g.commit(g.leader, func(index uint64) {
		for _, o := range g.reg.ApplyEvents(index, seen, orders) {
			if o.Kind == lease.EventGrant {
				g.s.point.Grants++
				g.s.heeds(o.Member)
			}
			if o.Kind == lease.EventPlan {
				if x := g.reg.Lease(o.Key); x != nil {
					g.s.heeds(x.Holder)
				}
			}
		}
	}, func(bool) { g.flight = false })
}

// join gives a process a seat, or says why not.
func (g *agents) join(by int, m quota.Member, back func(any)) {
	l := g.all[by].lead
	if l == nil {
		back(nil)
		return
	}
	if err := l.giver.Admit(g.clock(by), m); err != nil {
		back(err)
		return
	}
	var answer any
	g.commit(by, func(index uint64) {
		if _, err := g.reg.Join(index, m); err != nil {
			answer = err
		} else {
			answer = g.reg.QuotaConfig
		}
	}, func(done bool) {
		if !done {
			answer = nil
		}
		back(answer)
	})
}

// renew has the leader that was reached decide, and answers once a majority has told that no later term has begun.
func (g *agents) renew(by int, r quota.RenewalRequest, c *lease.RenewalRequest, back func(any)) {
	a := g.all[by]
	l := a.lead
	if l == nil {
		back(nil)
		return
	}
	// One renewal after the other: a leader is one process.
	a.busy = max(a.busy, g.s.now) + time.Duration(g.s.spec.Agents.RenewUs*1000)
	g.s.after(a.busy-g.s.now, "renewal decided", by, func() {
		g.when(by, func() {
			if a.lead != l {
				back(nil)
				return
			}
			answer, err := l.giver.Renew(g.clock(by), r)
			x := renewed{answer: answer}
			if err == nil && c != nil {
				if award, err := l.keeper.Renew(g.clock(by), r.ID, *c); err == nil {
					x.award = &award
				}
				if len(c.Released) > 0 && by == g.leader {
					g.order()
				}
			}
			if errors.Is(err, quota.ErrStaleRenewal) {
				back(err)
				return
			}
			l.desk.Add(l.term, func(agreed bool) {
				switch {
				case !agreed:
					back(nil)
				case err != nil:
					back(err)
				default:
					back(x)
				}
			})
			g.ask(by, l)
		})
	})
}

// ask has a majority tell their terms, one question at a time.
func (g *agents) ask(by int, l *lead) {
	round, due := l.desk.StartRound(l.term)
	if !due {
		return
	}
	g.s.after(2*g.s.way(g.rng), "terms told", by, func() {
		g.when(by, func() {
			agreed := g.majority(by) && readindex.MajorityAgrees(l.term, []uint64{g.term}, 3)
			done, void := l.desk.FinishRound(round)
			for _, k := range done {
				k(agreed)
			}
			for _, k := range void {
				k(false)
			}
			if !agreed && g.leader != by {
				g.all[by].lead = nil // it has heard of a later term, or will be told nothing more
			}
			g.ask(by, l)
		})
	})
}
