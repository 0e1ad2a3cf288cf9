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

// agents models the agents that replicate the control state. Raft itself is simplified: an entry is committed after a round
// trip and a disk write if a majority is connected to the leader; a leader without a majority for an election timeout is
// replaced. Allocator, lessor and the read-index queue are the real ones.
type agents struct {
	sim           *Sim
	rng           *rand.Rand
	all           []*agentState
	registry      registry.Registry
	index         uint64
	term          uint64
	leader        int           // -1: none
	noMajorityFor time.Duration // how long the leader has had no majority
	electionWait  float64       // of the agent that waits least, in election timeouts
	commitPending bool          // the leader has proposed an entry that is not committed
}

// agentState is one agent.
type agentState struct {
	up          bool
	pausedUntil time.Duration
	isolated    bool // disconnected from all other agents
	inbox       []func()
	leading     *leadership // non-nil while it believes that it leads
	clockRate   float64
	busyUntil   time.Duration // processing renewals until then
}

// leadership is the state of an agent that believes to be the leader.
type leadership struct {
	term          uint64
	allocator     *allocator.Allocator
	lessor        *lessor.Lessor
	confirmations readindex.Queue[func(bool)]
}

// renewalResponse is the response to a renewal: of quotas and, for members with tasks, of leases.
type renewalResponse struct {
	quota  quota.RenewalResponse
	leases *lease.RenewalResponse
}

// agentTick is the interval at which the leader's connections are checked and pending events are committed.
const agentTick = 250 * time.Millisecond

func newAgents(s *Sim) *agents {
	g := &agents{sim: s, rng: s.stream("agents", 0), leader: -1}
	for i := range s.spec.Agents.Count {
		g.all = append(g.all, &agentState{up: true, clockRate: s.clockRate(i)})
	}
	g.index = 1
	if err := g.registry.SetQuotaConfig(g.index, *s.spec.Budgets); err != nil {
		panic(err) // Spec.Check has validated it
	}
	if s.spec.Tasks != nil {
		g.index++
		if err := g.registry.SetLeaseConfig(g.index, *s.spec.Tasks); err != nil {
			panic(err)
		}
	}
	g.elect(0)
	s.after(agentTick, "agents sweep", 0, g.tick)
	return g
}

func (g *agents) clock(i int) time.Duration {
	return time.Duration(float64(g.sim.now) * g.all[i].clockRate)
}

func (g *agents) running(i int) bool { return g.all[i].up && g.sim.now >= g.all[i].pausedUntil }

// connected returns how many agents are connected to agent i now, including itself.
func (g *agents) connected(i int) (n int) {
	for j := range g.all {
		if j == i || g.running(j) && !g.all[j].isolated && !g.all[i].isolated {
			n++
		}
	}
	return n
}

// majority reports whether agent i is running and connected to a majority.
func (g *agents) majority(i int) bool { return g.running(i) && 2*g.connected(i) > len(g.all) }

// elect makes an agent the leader. It begins with the whole log applied, as after a barrier.
func (g *agents) elect(i int) {
	g.term++
	g.leader, g.commitPending = i, false
	g.sim.point.Elections++
	r := g.registry.Clone()
	a := g.all[i]
	a.leading = &leadership{term: g.term, allocator: allocator.New(g.clock(i), r.QuotaConfig, r.Members), lessor: lessor.New(g.clock(i), &r)}
}

// tick commits the leader's pending events, or elects another leader if it has had no majority for long enough.
func (g *agents) tick() {
	g.sim.after(agentTick, "agents sweep", 0, g.tick)
	if g.leader >= 0 && g.majority(g.leader) {
		g.noMajorityFor = 0
		g.commitEvents()
		return
	}
	if g.noMajorityFor += agentTick; g.noMajorityFor == agentTick {
		// Each other agent waits for one to two election timeouts; the first to time out becomes a candidate.
		g.electionWait = 2
		for range len(g.all) - 1 {
			g.electionWait = min(g.electionWait, 1+g.rng.Float64())
		}
	}
	if g.noMajorityFor < milliseconds(g.sim.spec.Agents.TimeoutMs*g.electionWait)+agentTick {
		return
	}
	for _, i := range g.rng.Perm(len(g.all)) {
		if g.majority(i) && i != g.leader {
			g.noMajorityFor = 0
			g.elect(i)
			return
		}
	}
	if g.leader >= 0 && !g.all[g.leader].up {
		g.leader = -1
	}
}

// deliver calls do at an agent with the number of the leader that the agent knows; -1: none. At a paused agent that waits
// until it resumes; at a dead one nothing happens.
func (g *agents) deliver(i int, do func(leader int)) {
	a := g.all[i]
	if !a.up {
		return
	}
	g.whenRunning(i, func() {
		switch {
		case a.leading != nil:
			do(i)
		case a.isolated:
			do(-1)
		default:
			do(g.leader)
		}
	})
}

// whenRunning calls do now, or once a paused agent resumes.
func (g *agents) whenRunning(i int, do func()) {
	a := g.all[i]
	if g.sim.now < a.pausedUntil {
		a.inbox = append(a.inbox, do)
		return
	}
	do()
}

// pause pauses an agent; what arrives meanwhile waits in its inbox.
func (g *agents) pause(i int, until time.Duration) {
	a := g.all[i]
	if until <= a.pausedUntil {
		return
	}
	a.pausedUntil = until
	g.sim.at(until, "agent goes on", i, func() {
		if a.pausedUntil != until || !a.up {
			return
		}
		waiting := a.inbox
		a.inbox = nil
		for _, do := range waiting {
			do()
		}
	})
}

// kill ends an agent's process; it loses its leadership.
func (g *agents) kill(i int) {
	a := g.all[i]
	a.up, a.leading, a.inbox, a.pausedUntil = false, nil, nil, 0
	if g.leader == i {
		g.leader = -1
	}
}

// commit commits a change of the log by agent by, and then calls then with whether it was committed: an agent that is no
// longer the leader, or has no majority, can't commit.
func (g *agents) commit(by int, change func(index uint64), then func(bool)) {
	l := g.all[by].leading
	g.sim.after(2*g.sim.networkDelay(g.rng)+milliseconds(g.sim.spec.Agents.DiskMs), "log entry", by, func() {
		if g.leader != by || l == nil || l.term != g.term || !g.majority(by) {
			then(false)
			return
		}
		g.index++
		change(g.index)
		r := g.registry.Clone()
		l.allocator.Update(g.clock(by), r.QuotaConfig, r.Members)
		l.lessor.Update(g.clock(by), &r)
		then(true)
	})
}

// commitEvents commits what the leader does by itself: it removes expired sessions, and grants and revokes leases.
func (g *agents) commitEvents() {
	l := g.all[g.leader].leading
	if l == nil || g.commitPending {
		return
	}
	now := g.clock(g.leader)
	if expired := l.allocator.Expire(now); len(expired) > 0 {
		g.commitPending = true
		g.commit(g.leader, func(uint64) { g.registry.Leave(expired...) }, func(bool) { g.commitPending = false })
		return
	}
	events, seen := l.lessor.PendingEvents(now)
	if len(events) == 0 && seen == 0 {
		return
	}
	g.commitPending = true
	g.commit(g.leader, func(index uint64) {
		for _, o := range g.registry.ApplyEvents(index, seen, events) {
			if o.Kind == lease.EventGrant {
				g.sim.point.Grants++
				g.sim.notifyLeaseChange(o.Member)
			}
			if o.Kind == lease.EventPlan {
				if x := g.registry.Lease(o.Key); x != nil {
					g.sim.notifyLeaseChange(x.Holder)
				}
			}
		}
	}, func(bool) { g.commitPending = false })
}

// join admits a process as a member. back is called with the quota configuration, an error, or nil if agent by can't commit.
func (g *agents) join(by int, m quota.Member, back func(any)) {
	l := g.all[by].leading
	if l == nil {
		back(nil)
		return
	}
	if err := l.allocator.Admit(g.clock(by), m); err != nil {
		back(err)
		return
	}
	var answer any
	g.commit(by, func(index uint64) {
		if _, err := g.registry.Join(index, m); err != nil {
			answer = err
		} else {
			answer = g.registry.QuotaConfig
		}
	}, func(done bool) {
		if !done {
			answer = nil
		}
		back(answer)
	})
}

// renew has agent by process a renewal, and calls back with the response once a majority has confirmed that no later term
// has begun; with an error if the renewal is rejected, or with nil if the agent isn't the leader.
func (g *agents) renew(by int, r quota.RenewalRequest, c *lease.RenewalRequest, back func(any)) {
	a := g.all[by]
	l := a.leading
	if l == nil {
		back(nil)
		return
	}
	// Renewals are processed one after the other, since a leader is one process.
	a.busyUntil = max(a.busyUntil, g.sim.now) + time.Duration(g.sim.spec.Agents.RenewUs*1000)
	g.sim.after(a.busyUntil-g.sim.now, "renewal decided", by, func() {
		g.whenRunning(by, func() {
			if a.leading != l {
				back(nil)
				return
			}
			answer, err := l.allocator.Renew(g.clock(by), r)
			x := renewalResponse{quota: answer}
			if err == nil && c != nil {
				if award, err := l.lessor.Renew(g.clock(by), r.ID, *c); err == nil {
					x.leases = &award
				}
				if len(c.Released) > 0 && by == g.leader {
					g.commitEvents()
				}
			}
			if errors.Is(err, quota.ErrStaleRenewal) {
				back(err)
				return
			}
			l.confirmations.Add(l.term, func(agreed bool) {
				switch {
				case !agreed:
					back(nil)
				case err != nil:
					back(err)
				default:
					back(x)
				}
			})
			g.confirmTerm(by, l)
		})
	})
}

// confirmTerm asks a majority for their terms, one round at a time, and calls the callbacks that the round covers.
func (g *agents) confirmTerm(by int, l *leadership) {
	round, due := l.confirmations.StartRound(l.term)
	if !due {
		return
	}
	g.sim.after(2*g.sim.networkDelay(g.rng), "terms told", by, func() {
		g.whenRunning(by, func() {
			agreed := g.majority(by) && readindex.MajorityAgrees(l.term, []uint64{g.term}, 3)
			covered, stale := l.confirmations.FinishRound(round)
			for _, k := range covered {
				k(agreed)
			}
			for _, k := range stale {
				k(false)
			}
			if !agreed && g.leader != by {
				g.all[by].leading = nil // it has learned of a later term, or can't reach a majority any more
			}
			g.confirmTerm(by, l)
		})
	})
}
