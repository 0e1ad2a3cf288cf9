package model

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/policy"
)

// wire is from a decision to its first byte: the permit is looked at then.
const wire = 50 * time.Microsecond

// instance is one initiator: the real module, holder and tenant, on a clock of its own.
type instance struct {
	s      *Sim
	id     int
	name   string
	zone   int
	rng    *rand.Rand
	load   *rand.Rand
	rate   float64 // its clock's, against true time
	share  float64 // of the load
	alive  bool
	born   int
	paused time.Duration // until then it stands still; what comes waits
	inbox  []func()
	mute   bool // what it sends the agents is lost
	deaf   bool // what they send is
	lag    time.Duration
	hung   bool // its tasks' acts never end

	sched   *policy.Scheduler
	timer   uint64        // the number of the timer that holds
	beat    time.Duration // of an idle module: when its timer was due; 0: it has one that comes
	reqs    map[string]*ask
	version int    // of the list it has
	listed  []bool // the targets there
	asked   uint64

	h       *quotaclient.Client
	t       *lessee.Lessee
	member  string
	joining bool
	renews  uint64 // the number of the renewal timer that holds
	agent   int    // asked first
	acting  map[lease.Key]bool
}

// ask is a request that an instance owes an answer, for a client that may have come before.
type ask struct {
	id       string
	client   *client
	attempt  int
	out      bool
	answered bool
	units    float64
}

// client is one client's request, over all its tries.
type client struct {
	came  time.Duration
	tries int
	shard int
	units float64
	ended bool
}

// epoch is what all clocks show at the beginning of a run: no process starts with its machine.
const epoch = time.Hour

func (n *instance) clock() time.Duration { return n.shows(n.s.now) }

// shows is what this clock shows at a true time.
func (n *instance) shows(t time.Duration) time.Duration { return epoch + n.own(t) }

// truly is the true length of a time by this clock.
func (n *instance) truly(t time.Duration) time.Duration { return time.Duration(float64(t) / n.rate) }

// when does something at the instance: now, or once it stands still no more, in the order in which it came. What was for a process
// that is gone is not done.
func (n *instance) when(do func()) {
	switch {
	case !n.alive:
	case n.s.now < n.paused:
		born := n.born
		n.inbox = append(n.inbox, func() {
			if n.alive && n.born == born {
				do()
			}
		})
	default:
		do()
	}
}

// pause has it stand still; what comes waits.
func (n *instance) pause(until time.Duration) {
	if until <= n.paused {
		return
	}
	n.paused = until
	n.s.at(until, "instance goes on", n.id, func() {
		if n.paused != until {
			return
		}
		box := n.inbox
		n.inbox, n.beat = nil, 0 // it did stand still
		for _, do := range box {
			do()
		}
	})
}

// start begins a process: it knows nothing, and has its list a moment later.
func (n *instance) start() {
	n.alive, n.paused, n.inbox = true, 0, nil
	n.born++
	n.reqs, n.version, n.beat = map[string]*ask{}, 0, 0
	n.hung, n.acting = false, map[lease.Key]bool{}
	set := n.s.settings
	if n.s.spec.Budgets != nil {
		n.h = quotaclient.New(n.s.governed)
		set.Quota = modelQuota{n}
		n.joining, n.member = false, ""
		if n.s.spec.Tasks != nil {
			n.t = lessee.New(n.s.runs)
		}
	}
	sched, err := policy.New(set, n.rng.Uint64())
	if err != nil {
		panic(err) // the settings are the model's own
	}
	n.sched = sched
	n.timer++
	n.hear()
	if n.h != nil {
		n.join()
	}
}

func (n *instance) kill() {
	for _, a := range n.reqs {
		if !a.answered {
			n.s.lost(a.client)
		}
	}
	n.alive, n.reqs, n.inbox, n.member = false, nil, nil, ""
	n.s.budgetGone(n)
}

// hear has it take the list as it is, after its way.
func (n *instance) hear() {
	born := n.born
	n.s.after(n.s.way(n.rng), "list", n.id, func() {
		n.when(func() {
			if n.born != born || n.version == n.s.version {
				return
			}
			n.version = n.s.version
			nodes := make([]policy.Endpoint, 0, len(n.s.targets))
			n.listed = make([]bool, len(n.s.targets))
			for _, t := range n.s.targets {
				if n.listed[t.id] = !t.down; n.listed[t.id] {
					started := time.Duration(0)
					if t.started > 0 {
						started = n.shows(t.started)
					}
					nodes = append(nodes, policy.Endpoint{ID: n.s.ids[t.id], Shard: t.id, Started: started})
				}
			}
			n.step(policy.EndpointList{Full: true, Endpoints: nodes})
		})
	})
}

// step has the module decide, and does what it says.
func (n *instance) step(events ...policy.Event) {
	// A module that has nothing to do asks for a timer many times a second, to see whether it stood still. These are left out, and one is
	// made up for just before something happens, so that it takes nothing for a pause that was none.
	if n.beat > 0 && n.s.now > n.beat {
		n.beat = 0
		n.do(n.sched.Step(n.clock(), []policy.Event{policy.TimerFired{}}))
	}
	n.do(n.sched.Step(n.clock(), events))
	if n.beat > 0 && len(n.reqs) > 0 {
		n.wake(max(0, n.beat-n.s.now)) // the one that was left out has to come after all
	}
}

// wake has the module's timer come.
func (n *instance) wake(in time.Duration) {
	n.beat = 0
	mine, born := n.timer, n.born
	n.s.after(in, "timer", n.id, func() {
		n.when(func() {
			if n.timer == mine && n.born == born {
				n.step(policy.TimerFired{})
			}
		})
	})
}

func (n *instance) do(acts []policy.Action) {
	for i := range acts {
		a := acts[i]
		switch a.Kind {
		case policy.Send:
			n.send(a)
		case policy.Reject, policy.Fail:
			n.answer(a.Request, a.Kind == policy.Reject, a.Wait)
		case policy.SetTimer:
			n.timer++
			if len(n.reqs) == 0 {
				n.beat = n.s.now + n.truly(a.Wait)
				continue
			}
			n.wake(n.truly(a.Wait))
		}
	}
}

// arrive has the load's next request come.
func (n *instance) arrive() {
	rate := n.s.spec.Load.Rate * n.share * n.s.surge()
	if rate <= 0 {
		n.s.after(time.Second, "load", n.id, n.arrive)
		return
	}
	n.s.cause = 0 // nothing has it come
	n.s.after(secs(n.load.ExpFloat64()/rate), "load", n.id, func() {
		cause := n.s.cause
		n.arrive()
		n.s.cause = cause
		units := min(8*n.s.spec.Load.Units, max(0.05, n.load.ExpFloat64())*n.s.spec.Load.Units)
		if n.s.spec.Load.Alike {
			units = n.s.spec.Load.Units
		}
		n.s.point.Offered++
		n.ask(&client{came: n.s.now, shard: n.load.IntN(len(n.s.targets)), units: units})
	})
}

// ask has a client try, for the first time or again.
func (n *instance) ask(c *client) {
	left := secs(n.s.spec.Load.PatienceS) - (n.s.now - c.came)
	if c.ended || left <= 0 {
		n.s.lost(c)
		return
	}
	c.tries++
	if !n.alive {
		to := n
		if n.s.spec.Load.Moves {
			to = n.s.insts[n.load.IntN(len(n.s.insts))]
		}
		to.again(c, false, 0)
		return
	}
	n.when(func() {
		left := secs(n.s.spec.Load.PatienceS) - (n.s.now - c.came)
		if left <= 0 {
			n.s.lost(c) // it left while the instance stood still
			return
		}
		n.asked++
		id := strconv.Itoa(n.id) + "-" + strconv.Itoa(n.born) + "-" + strconv.FormatUint(n.asked, 10)
		a := &ask{id: id, client: c, units: c.units}
		n.reqs[id] = a
		n.step(policy.Request{ID: id, Class: "read", Plan: "base", Volume: n.name, Shard: c.shard, Units: c.units, VolumeInitiators: 1, TimeLeft: n.own(left)})
		born := n.born
		n.s.after(left+n.s.leaves, "deadline", n.id, func() { // the rules want an answer by the client's leaving
			if n.alive && n.born == born && !a.answered && n.s.now >= n.paused+n.s.leaves {
				n.s.breaks("final answers", n.id, fmt.Sprintf("request %s has none %v after its client left", id, n.s.leaves))
			}
		})
	})
}

// own is a length of true time by this clock.
func (n *instance) own(t time.Duration) time.Duration { return time.Duration(float64(t) * n.rate) }

// again has a client that was turned away, or met nobody, come again or give up.
func (n *instance) again(c *client, refused bool, advice time.Duration) {
	o := &n.s.spec.Load
	if c.tries >= o.Tries {
		n.s.lost(c)
		return
	}
	wait := millis(o.AgainMs * (0.5 + n.load.Float64()))
	if refused && o.Heeds {
		wait = max(wait, advice)
	}
	n.s.after(wait, "client again", n.id, func() { n.ask(c) })
}

// answer gives a request its final answer.
func (n *instance) answer(id string, refused bool, advice time.Duration) {
	a := n.reqs[id]
	if a == nil || a.answered {
		n.s.breaks("final answers", n.id, "request "+id+" has two")
		return
	}
	a.answered = true
	if !a.out {
		delete(n.reqs, id)
	}
	if refused {
		n.s.point.Refused++
	} else {
		n.s.point.Failed++
	}
	n.again(a.client, refused, advice)
}

// send makes one attempt. The permit and the target's state are looked at just before the first byte.
func (n *instance) send(a policy.Action) {
	r := n.reqs[a.Request]
	if r == nil {
		return
	}
	r.attempt++
	r.out = true
	attempt, born := r.attempt, n.born
	t := n.s.targets[n.s.byID[a.Endpoint]]
	sent := n.s.now
	if !n.listed[t.id] {
		n.s.breaks("drains", n.id, "request "+r.id+" goes to "+a.Endpoint+", which its list does not have")
	}
	over := false
	end := func(code policy.OutcomeCode, load *policy.Load) {
		if over || n.born != born {
			return
		}
		over = true
		r.out = false
		closed := r.answered
		if code == policy.Served && !closed {
			r.answered, closed = true, true
			n.s.served(r.client)
		}
		if closed {
			delete(n.reqs, r.id)
		}
		n.step(policy.Outcome{ID: r.id, Attempt: attempt - 1, Endpoint: a.Endpoint, Code: code, Latency: n.own(n.s.now - sent), Final: closed, Load: load})
	}
	n.s.after(wire, "first byte", n.id, func() {
		n.when(func() {
			if a.Permit != nil && !a.Permit.Valid() || n.s.version == n.version && t.down {
				end(policy.NotSent, nil)
				return
			}
			n.s.point.Attempts++
			if attempt > 1 {
				n.s.point.Repeats++
			}
			cold := t.isCold()
			if cold {
				n.s.point.Cold += r.units
			}
			n.s.drew(n, t, attempt > 1, cold, r.units)
			n.s.after(n.truly(a.Wait), "time-out", n.id, func() { n.when(func() { end(policy.TimedOut, nil) }) })
			if n.s.apart(n.zone, t.id%n.s.spec.Fleet.Zones) {
				return // lost on its way
			}
			n.s.after(n.s.way(n.rng), "request at target", t.id, func() {
				t.take(job{r.units, func(code policy.OutcomeCode, load policy.Load) {
					if n.s.apart(n.zone, t.id%n.s.spec.Fleet.Zones) {
						return
					}
					n.s.after(n.s.way(t.rng), "answer", n.id, func() { n.when(func() { end(code, &load) }) })
				}})
			})
		})
	})
}

// modelQuota is the instance's part of the fleet's wholes, for the module.
type modelQuota struct{ n *instance }

var uses = [...]quota.Resource{policy.ColdWork: quota.ColdWork, policy.Retries: quota.Retries, policy.Connections: quota.Connections, policy.AllWork: quota.AllWork}

func draw(d policy.Reservation) quota.Reservation {
	return quota.Reservation{Resource: uses[d.Resource], Target: d.Endpoint, Plan: d.Plan, Class: d.Class, Units: d.Units}
}

// Wait implements spindlehitch.Ration.
func (r modelQuota) Wait(d policy.Reservation) (time.Duration, bool) {
	wait, governed := r.n.h.Wait(r.n.clock(), draw(d))
	if wait > 0 && r.n.h.HasUnmetDemand() {
		r.n.schedule()
	}
	return wait, governed
}

// Reserve implements spindlehitch.Ration.
func (r modelQuota) Reserve(draws []policy.Reservation) policy.Permit {
	all := make([]quota.Reservation, len(draws))
	for i, d := range draws {
		all[i] = draw(d)
	}
	return permit{r.n, r.n.h.Reserve(r.n.clock(), all...)}
}

type permit struct {
	n     *instance
	until time.Duration
}

// Valid implements spindlehitch.Permit.
func (p permit) Valid() bool { return p.n.clock() < p.until }

// Joining and renewing, as internal/controlplane/quota/quotasession does it.

const (
	joinAgain = 200 * time.Millisecond
	tryWithin = 400 * time.Millisecond
)

func (n *instance) join() {
	if n.joining || !n.alive {
		return
	}
	n.joining = true
	id := fmt.Sprintf("%s.%d.%d", n.name, n.born, n.asked)
	born, began := n.born, n.clock()
	n.call("join", 4*tryWithin, func(g *agents, by int, back func(any)) {
		g.join(by, quota.Member{ID: id, Name: n.name, Addr: n.name, Weight: 1}, back)
	}, func(answer any) {
		n.joining = false
		if n.born != born {
			return
		}
		doc, seated := answer.(quota.Config)
		if !seated {
			n.s.after(n.truly(joinAgain), "join again", n.id, func() { n.when(n.join) })
			return
		}
		n.member = id
		n.h.Register(began, id, doc)
		n.s.point.Joins++
		n.schedule()
	})
}

// schedule has the next renewal sent when it is due.
func (n *instance) schedule() {
	if n.member == "" || !n.alive {
		return
	}
	due := n.h.NextRenewal() - n.clock()
	if n.t != nil && n.t.NeedsRenewal() {
		due = 0
	}
	n.renews++
	mine, born := n.renews, n.born
	n.s.after(n.truly(max(0, due)), "renewal due", n.id, func() {
		n.when(func() {
			if n.renews == mine && n.born == born && n.member != "" {
				n.renew()
			}
		})
	})
}

func (n *instance) renew() {
	now := n.clock()
	if !n.h.Registered(now) {
		n.unseat()
		return
	}
	r := n.h.BeginRenewal(now)
	var c *lease.RenewalRequest
	if n.t != nil {
		x := n.t.BeginRenewal(now)
		c = &x
	}
	born, id := n.born, n.member
	n.call("renewal", n.truly(n.h.RenewTimeout()), func(g *agents, by int, back func(any)) { g.renew(by, r, c, back) }, func(answer any) {
		if n.born != born || n.member != id {
			return
		}
		switch a := answer.(type) {
		case renewed:
			if a.award != nil && n.t != nil {
				n.t.AcceptRenewal(n.clock(), *a.award)
				n.act()
			}
			if n.h.AcceptRenewal(n.clock(), a.answer) {
				n.s.accepted(n)
				n.step(policy.QuotaChanged{})
			}
		case error:
			if errors.Is(a, quota.ErrUnknownMember) {
				n.unseat()
				return
			}
			n.s.point.Unheard++
		default:
			n.s.point.Unheard++
		}
		n.schedule()
	})
}

func (n *instance) unseat() {
	n.member = ""
	n.h.Unregister()
	if n.t != nil {
		n.t.DropAll()
	}
	n.s.budgetGone(n)
	n.step(policy.QuotaChanged{})
	n.join()
}

// call asks the agents in turn, from the one that answered last on, each for a while, within a time in all; then is told nil.
func (n *instance) call(what string, within time.Duration, ask func(*agents, int, func(any)), then func(any)) { //nolint:gocognit // to be split with its package, see docs/left.md
	over := false
	finish := func(answer any) {
		if !over {
			over = true
			then(answer)
		}
	}
	n.s.after(within, what+" given up", n.id, func() { n.when(func() { finish(nil) }) })
	end := n.s.now + within
	var try func(turn int)
	try = func(turn int) {
		if over || turn > 3*len(n.s.agents.all) {
			return
		}
		at := n.agent
		g := n.s.agents
		patience := max(20*time.Millisecond, min(tryWithin, (end-n.s.now)/2))
		answered := false
		next := func(pause time.Duration) {
			if !answered && !over {
				answered = true
				if n.agent == at {
					n.agent = (at + 1) % len(g.all)
				}
				n.s.after(pause, what+" at the next", n.id, func() { n.when(func() { try(turn + 1) }) })
			}
		}
		n.s.after(patience, what+" unanswered", n.id, func() { n.when(func() { next(0) }) })
		if n.mute || n.s.loses(n.rng) || n.s.cutOff(n.zone, at) {
			return
		}
		n.s.after(n.s.way(n.rng)+n.lag, what, n.id, func() {
			g.at(at, func(leads int) {
				back := func(answer any) {
					if n.deaf || n.s.loses(n.rng) || n.s.cutOff(n.zone, at) {
						return
					}
					n.s.after(n.s.way(n.rng)+n.lag, what+" answered", n.id, func() {
						n.when(func() {
							if answered || over {
								return
							}
							if answer == nil {
								next(100 * time.Millisecond)
								return
							}
							answered = true
							finish(answer)
						})
					})
				}
				if leads < 0 {
					back(nil) // it knows no leader
					return
				}
				if leads != at {
					n.agent = leads
					n.s.after(2*n.s.way(n.rng), what+" redirected", n.id, func() { g.at(leads, func(int) { ask(g, leads, back) }) })
					return
				}
				ask(g, at, back)
			})
		})
	}
	try(0)
}

// act begins what may begin on the shards held: an act changes its place once, and ends.
func (n *instance) act() {
	if n.t == nil || !n.alive {
		return
	}
	for _, k := range n.t.Held(n.clock()) {
		if n.acting[k] {
			continue
		}
		n.acting[k] = true
		n.actAt(k)
	}
}

func (n *instance) actAt(k lease.Key) {
	born := n.born
	due := max(0, n.t.NextOperation(k)-n.clock())
	n.s.after(n.truly(due), "act due", n.id, func() {
		n.when(func() {
			if n.born != born {
				return
			}
			a, ok := n.t.StartOperation(n.clock(), k)
			if !ok {
				delete(n.acting, k)
				return
			}
			if n.hung {
				return
			}
			n.acts(a, born)
		})
	})
}

// acts takes an act through its steps; between any two of them the instance may stand still.
func (n *instance) acts(a lessee.Operation, born int) {
	place := n.s.places[a.Key]
	end := func(how lessee.Outcome) {
		n.t.FinishOperation(a, how, place.Token)
		if n.t.NeedsRenewal() {
			n.schedule()
		}
		n.actAt(a.Key)
	}
	unguarded := n.s.spec.Fleet.Planted == "early" // neither it nor the place looks
	steps := []func() bool{
		func() bool { return (place.Begin(a.Token, a.Number) == nil || unguarded) && n.s.began(n, a) },
		func() bool { return unguarded || n.t.MayProceed(n.clock(), a) },
		func() bool { return (unguarded || place.CheckChange(a.Token, a.Number) == nil) && n.s.changed(n, a) },
		func() bool { return unguarded || place.End(a.Token, a.Number) == nil },
	}
	var next func(i int)
	next = func(i int) {
		if i == len(steps) {
			n.s.point.Acts++
			end(lessee.Completed)
			return
		}
		took := time.Duration(n.rng.Float64() * float64(n.t.Task(a.Task).OperationTimeout()) / 6)
		n.s.after(n.s.way(n.rng)+took, "act", n.id, func() {
			n.when(func() {
				switch {
				case n.born != born:
				case steps[i]():
					next(i + 1)
				default:
					n.s.point.Denied++
					end(lessee.Fenced)
				}
			})
		})
	}
	next(0)
}

// floors is what a floor and a part are at an instance now, by true time.
func (n *instance) limit(k quota.Key) float64 {
	if n.h == nil || !n.alive {
		return 0
	}
	return n.h.Limit(n.clock(), k).Rate * n.rate
}

func lognormal(r *rand.Rand, sigma float64) float64 { return math.Exp(sigma * r.NormFloat64()) }
