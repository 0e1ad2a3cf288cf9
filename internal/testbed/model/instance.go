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

// sendDelay is the time between a decision to send and the first byte, when the permit is checked again.
const sendDelay = 50 * time.Microsecond

// instance is one initiator: the real scheduler, quota client and lessee, with a clock of its own.
type instance struct {
	sim           *Sim
	id            int
	name          string
	zone          int
	rng           *rand.Rand
	loadRNG       *rand.Rand
	clockRate     float64 // of its clock against true time
	loadShare     float64 // its share of the clients' requests
	alive         bool
	starts        int
	pausedUntil   time.Duration // until then it is paused; what arrives waits in inbox
	inbox         []func()
	requestsLost  bool // messages to the agents are lost
	responsesLost bool // messages from the agents are lost
	extraDelay    time.Duration
	hung          bool // its leases' operations never end

	scheduler    *policy.Scheduler
	timerNumber  uint64        // of the timer set last; earlier ones are ignored
	skippedTimer time.Duration // of an idle scheduler: when its skipped timer was due; 0: none is skipped
	requests     map[string]*request
	listVersion  int    // of the target list that it has
	listed       []bool // by target: whether it is on that list
	requestCount uint64

	quota          *quotaclient.Client
	lessee         *lessee.Lessee
	memberID       string
	joining        bool
	renewalNumber  uint64 // of the renewal timer set last; earlier ones are ignored
	preferredAgent int    // the agent to call first
	operating      map[lease.Key]bool
}

// request is a request that an instance has accepted: one try of a client.
type request struct {
	id         string
	client     *clientRequest
	attempts   int
	inProgress bool
	answered   bool
	units      float64
}

// clientRequest is a client's request, over all its tries.
type clientRequest struct {
	arrivedAt time.Duration
	tried     int
	shard     int
	units     float64
	done      bool
}

// epoch is the time that all clocks show at the beginning of a run; it isn't 0, since no process starts with its machine.
const epoch = time.Hour

func (n *instance) clock() time.Duration { return n.localTime(n.sim.now) }

// localTime returns what this clock shows at a true time.
func (n *instance) localTime(t time.Duration) time.Duration { return epoch + n.localDuration(t) }

// trueDuration converts a duration by this clock to true time.
func (n *instance) trueDuration(t time.Duration) time.Duration {
	return time.Duration(float64(t) / n.clockRate)
}

// whenRunning calls do at the instance: now, or once a paused instance resumes, in order of arrival. It isn't called if the
// process has ended by then.
func (n *instance) whenRunning(do func()) {
	switch {
	case !n.alive:
	case n.sim.now < n.pausedUntil:
		incarnation := n.starts
		n.inbox = append(n.inbox, func() {
			if n.alive && n.starts == incarnation {
				do()
			}
		})
	default:
		do()
	}
}

// pause pauses the instance; what arrives meanwhile waits in its inbox.
func (n *instance) pause(until time.Duration) {
	if until <= n.pausedUntil {
		return
	}
	n.pausedUntil = until
	n.sim.at(until, "instance goes on", n.id, func() {
		if n.pausedUntil != until {
			return
		}
		waiting := n.inbox
		n.inbox, n.skippedTimer = nil, 0 // the scheduler has to notice this pause
		for _, do := range waiting {
			do()
		}
	})
}

// start starts a process without any state. It receives the target list a moment later.
func (n *instance) start() {
	n.alive, n.pausedUntil, n.inbox = true, 0, nil
	n.starts++
	n.requests, n.listVersion, n.skippedTimer = map[string]*request{}, 0, 0
	n.hung, n.operating = false, map[lease.Key]bool{}
	set := n.sim.settings
	if n.sim.spec.Budgets != nil {
		n.quota = quotaclient.New(n.sim.governed)
		set.Quota = modelQuota{n}
		n.joining, n.memberID = false, ""
		if n.sim.spec.Tasks != nil {
			n.lessee = lessee.New(n.sim.taskNames)
		}
	}
	sched, err := policy.New(set, n.rng.Uint64())
	if err != nil {
		panic(err) // the model's settings are valid
	}
	n.scheduler = sched
	n.timerNumber++
	n.receiveTargets()
	if n.quota != nil {
		n.join()
	}
}

// kill ends the process. Its clients' requests are lost.
func (n *instance) kill() {
	for _, a := range n.requests {
		if !a.answered {
			n.sim.recordLost(a.client)
		}
	}
	n.alive, n.requests, n.inbox, n.memberID = false, nil, nil, ""
	n.sim.dropAllocations(n)
}

// receiveTargets delivers the current target list after a network delay.
func (n *instance) receiveTargets() {
	incarnation := n.starts
	n.sim.after(n.sim.networkDelay(n.rng), "list", n.id, func() {
		n.whenRunning(func() {
			if n.starts != incarnation || n.listVersion == n.sim.listVersion {
				return
			}
			n.listVersion = n.sim.listVersion
			nodes := make([]policy.Endpoint, 0, len(n.sim.targets))
			n.listed = make([]bool, len(n.sim.targets))
			for _, t := range n.sim.targets {
				if n.listed[t.id] = !t.down; n.listed[t.id] {
					started := time.Duration(0)
					if t.started > 0 {
						started = n.localTime(t.started)
					}
					nodes = append(nodes, policy.Endpoint{ID: n.sim.targetIDs[t.id], Shard: t.id, Started: started})
				}
			}
			n.step(policy.EndpointList{Full: true, Endpoints: nodes})
		})
	})
}

// step passes events to the scheduler and performs its actions.
func (n *instance) step(events ...policy.Event) {
	// An idle scheduler sets a timer many times a second to detect pauses of its process. These timers are skipped to save
	// events, and one is fired just before the next event, so that the scheduler doesn't detect a pause.
	if n.skippedTimer > 0 && n.sim.now > n.skippedTimer {
		n.skippedTimer = 0
		n.perform(n.scheduler.Step(n.clock(), []policy.Event{policy.TimerFired{}}))
	}
	n.perform(n.scheduler.Step(n.clock(), events))
	if n.skippedTimer > 0 && len(n.requests) > 0 {
		n.setTimer(max(0, n.skippedTimer-n.sim.now)) // it isn't idle any more, so the skipped timer has to fire
	}
}

// setTimer has the scheduler's timer fire after in.
func (n *instance) setTimer(in time.Duration) {
	n.skippedTimer = 0
	number, incarnation := n.timerNumber, n.starts
	n.sim.after(in, "timer", n.id, func() {
		n.whenRunning(func() {
			if n.timerNumber == number && n.starts == incarnation {
				n.step(policy.TimerFired{})
			}
		})
	})
}

// perform performs the scheduler's actions.
func (n *instance) perform(actions []policy.Action) {
	for i := range actions {
		a := actions[i]
		switch a.Kind {
		case policy.Send:
			n.send(a)
		case policy.Reject, policy.Fail:
			n.finalAnswer(a.Request, a.Kind == policy.Reject, a.Wait)
		case policy.SetTimer:
			n.timerNumber++
			if len(n.requests) == 0 {
				n.skippedTimer = n.sim.now + n.trueDuration(a.Wait)
				continue
			}
			n.setTimer(n.trueDuration(a.Wait))
		}
	}
}

// scheduleArrival schedules the next client request.
func (n *instance) scheduleArrival() {
	rate := n.sim.spec.Load.Rate * n.loadShare * n.sim.surge()
	if rate <= 0 {
		n.sim.after(time.Second, "load", n.id, n.scheduleArrival)
		return
	}
	n.sim.cause = 0 // arrivals have no cause
	n.sim.after(seconds(n.loadRNG.ExpFloat64()/rate), "load", n.id, func() {
		cause := n.sim.cause
		n.scheduleArrival()
		n.sim.cause = cause
		units := min(8*n.sim.spec.Load.Units, max(0.05, n.loadRNG.ExpFloat64())*n.sim.spec.Load.Units)
		if n.sim.spec.Load.FixedSize {
			units = n.sim.spec.Load.Units
		}
		n.sim.point.Offered++
		n.submit(&clientRequest{arrivedAt: n.sim.now, shard: n.loadRNG.IntN(len(n.sim.targets)), units: units})
	})
}

// submit has a client send its request, for the first time or again.
func (n *instance) submit(c *clientRequest) {
	left := seconds(n.sim.spec.Load.ClientTimeoutS) - (n.sim.now - c.arrivedAt)
	if c.done || left <= 0 {
		n.sim.recordLost(c)
		return
	}
	c.tried++
	if !n.alive {
		to := n
		if n.sim.spec.Load.Moves {
			to = n.sim.instances[n.loadRNG.IntN(len(n.sim.instances))]
		}
		to.retryOrGiveUp(c, false, 0)
		return
	}
	n.whenRunning(func() {
		left := seconds(n.sim.spec.Load.ClientTimeoutS) - (n.sim.now - c.arrivedAt)
		if left <= 0 {
			n.sim.recordLost(c) // it gave up while the instance was paused
			return
		}
		n.requestCount++
		id := strconv.Itoa(n.id) + "-" + strconv.Itoa(n.starts) + "-" + strconv.FormatUint(n.requestCount, 10)
		a := &request{id: id, client: c, units: c.units}
		n.requests[id] = a
		n.step(policy.Request{ID: id, Class: "read", Plan: "base", Volume: n.name, Shard: c.shard, Units: c.units, VolumeInitiators: 1, TimeLeft: n.localDuration(left)})
		incarnation := n.starts
		n.sim.after(left+n.sim.answerGrace, "deadline", n.id, func() { // every request needs a final answer by the time its client gives up
			if n.alive && n.starts == incarnation && !a.answered && n.sim.now >= n.pausedUntil+n.sim.answerGrace {
				n.sim.reportViolation("final answers", n.id, fmt.Sprintf("request %s has none %v after its client left", id, n.sim.answerGrace))
			}
		})
	})
}

// localDuration converts a duration of true time to one by this clock.
func (n *instance) localDuration(t time.Duration) time.Duration {
	return time.Duration(float64(t) * n.clockRate)
}

// retryOrGiveUp has a client whose request was rejected or failed, or whose instance is dead, retry or give up.
func (n *instance) retryOrGiveUp(c *clientRequest, refused bool, advice time.Duration) {
	o := &n.sim.spec.Load
	if c.tried >= o.MaxTries {
		n.sim.recordLost(c)
		return
	}
	wait := milliseconds(o.RetryDelayMs * (0.5 + n.loadRNG.Float64()))
	if refused && o.HonorRetryAfter {
		wait = max(wait, advice)
	}
	n.sim.after(wait, "client again", n.id, func() { n.submit(c) })
}

// finalAnswer gives a request its final answer: rejected or failed.
func (n *instance) finalAnswer(id string, refused bool, advice time.Duration) {
	a := n.requests[id]
	if a == nil || a.answered {
		n.sim.reportViolation("final answers", n.id, "request "+id+" has two")
		return
	}
	a.answered = true
	if !a.inProgress {
		delete(n.requests, id)
	}
	if refused {
		n.sim.point.Refused++
	} else {
		n.sim.point.Failed++
	}
	n.retryOrGiveUp(a.client, refused, advice)
}

// send makes one attempt. The permit and the target's state are checked just before the first byte.
func (n *instance) send(a policy.Action) {
	r := n.requests[a.Request]
	if r == nil {
		return
	}
	r.attempts++
	r.inProgress = true
	attempt, incarnation := r.attempts, n.starts
	t := n.sim.targets[n.sim.targetByID[a.Endpoint]]
	sent := n.sim.now
	if !n.listed[t.id] {
		n.sim.reportViolation("drains", n.id, "request "+r.id+" goes to "+a.Endpoint+", which its list does not have")
	}
	over := false
	end := func(code policy.OutcomeCode, load *policy.Load) {
		if over || n.starts != incarnation {
			return
		}
		over = true
		r.inProgress = false
		closed := r.answered
		if code == policy.Served && !closed {
			r.answered, closed = true, true
			n.sim.recordServed(r.client)
		}
		if closed {
			delete(n.requests, r.id)
		}
		n.step(policy.Outcome{ID: r.id, Attempt: attempt - 1, Endpoint: a.Endpoint, Code: code, Latency: n.localDuration(n.sim.now - sent), Final: closed, Load: load})
	}
	n.sim.after(sendDelay, "first byte", n.id, func() {
		n.whenRunning(func() {
			if a.Permit != nil && !a.Permit.Valid() || n.sim.listVersion == n.listVersion && t.down {
				end(policy.NotSent, nil)
				return
			}
			n.sim.point.Attempts++
			if attempt > 1 {
				n.sim.point.Retries++
			}
			cold := t.isCold()
			if cold {
				n.sim.point.ColdUnits += r.units
			}
			n.sim.checkReservation(n, t, attempt > 1, cold, r.units)
			n.sim.after(n.trueDuration(a.Wait), "time-out", n.id, func() { n.whenRunning(func() { end(policy.TimedOut, nil) }) })
			if n.sim.zonesSeparated(n.zone, t.id%n.sim.spec.Fleet.Zones) {
				return // lost in the network
			}
			n.sim.after(n.sim.networkDelay(n.rng), "request at target", t.id, func() {
				t.receive(targetRequest{r.units, func(code policy.OutcomeCode, load policy.Load) {
					if n.sim.zonesSeparated(n.zone, t.id%n.sim.spec.Fleet.Zones) {
						return
					}
					n.sim.after(n.sim.networkDelay(t.rng), "answer", n.id, func() { n.whenRunning(func() { end(code, &load) }) })
				}})
			})
		})
	})
}

// modelQuota gives the scheduler access to the instance's quota client.
type modelQuota struct{ n *instance }

var quotaResources = [...]quota.Resource{policy.ColdWork: quota.ColdWork, policy.Retries: quota.Retries, policy.Connections: quota.Connections, policy.AllWork: quota.AllWork}

func toReservation(d policy.Reservation) quota.Reservation {
	return quota.Reservation{Resource: quotaResources[d.Resource], Target: d.Endpoint, Plan: d.Plan, Class: d.Class, Units: d.Units}
}

// Wait implements policy.Quota.
func (r modelQuota) Wait(d policy.Reservation) (time.Duration, bool) {
	wait, governed := r.n.quota.Wait(r.n.clock(), toReservation(d))
	if wait > 0 && r.n.quota.HasUnmetDemand() {
		r.n.scheduleRenewal()
	}
	return wait, governed
}

// Reserve implements policy.Quota.
func (r modelQuota) Reserve(draws []policy.Reservation) policy.Permit {
	all := make([]quota.Reservation, len(draws))
	for i, d := range draws {
		all[i] = toReservation(d)
	}
	return permit{r.n, r.n.quota.Reserve(r.n.clock(), all...)}
}

// permit is a reservation that is valid until a time by the instance's clock.
type permit struct {
	n     *instance
	until time.Duration
}

// Valid implements policy.Permit.
func (p permit) Valid() bool { return p.n.clock() < p.until }

// Joining and renewing follow internal/controlplane/quota/quotasession.

const (
	joinRetryDelay = 200 * time.Millisecond
	attemptTimeout = 400 * time.Millisecond
)

// join requests a session, and retries until it has one.
func (n *instance) join() {
	if n.joining || !n.alive {
		return
	}
	n.joining = true
	id := fmt.Sprintf("%s.%d.%d", n.name, n.starts, n.requestCount)
	incarnation, began := n.starts, n.clock()
	n.call("join", 4*attemptTimeout, func(g *agents, by int, back func(any)) {
		g.join(by, quota.Member{ID: id, Name: n.name, Addr: n.name, Weight: 1}, back)
	}, func(answer any) {
		n.joining = false
		if n.starts != incarnation {
			return
		}
		doc, joined := answer.(quota.Config)
		if !joined {
			n.sim.after(n.trueDuration(joinRetryDelay), "join again", n.id, func() { n.whenRunning(n.join) })
			return
		}
		n.memberID = id
		n.quota.Register(began, id, doc)
		n.sim.point.Joins++
		n.scheduleRenewal()
	})
}

// scheduleRenewal schedules the next renewal for when it is due.
func (n *instance) scheduleRenewal() {
	if n.memberID == "" || !n.alive {
		return
	}
	due := n.quota.NextRenewal() - n.clock()
	if n.lessee != nil && n.lessee.NeedsRenewal() {
		due = 0
	}
	n.renewalNumber++
	number, incarnation := n.renewalNumber, n.starts
	n.sim.after(n.trueDuration(max(0, due)), "renewal due", n.id, func() {
		n.whenRunning(func() {
			if n.renewalNumber == number && n.starts == incarnation && n.memberID != "" {
				n.renew()
			}
		})
	})
}

// renew renews the session, its allocations and its leases.
func (n *instance) renew() {
	now := n.clock()
	if !n.quota.Registered(now) {
		n.dropSession()
		return
	}
	r := n.quota.BeginRenewal(now)
	var c *lease.RenewalRequest
	if n.lessee != nil {
		x := n.lessee.BeginRenewal(now)
		c = &x
	}
	incarnation, id := n.starts, n.memberID
	n.call("renewal", n.trueDuration(n.quota.RenewTimeout()), func(g *agents, by int, back func(any)) { g.renew(by, r, c, back) }, func(answer any) {
		if n.starts != incarnation || n.memberID != id {
			return
		}
		switch a := answer.(type) {
		case renewalResponse:
			if a.leases != nil && n.lessee != nil {
				n.lessee.AcceptRenewal(n.clock(), *a.leases)
				n.startOperations()
			}
			if n.quota.AcceptRenewal(n.clock(), a.quota) {
				n.sim.checkAllocations(n)
				n.step(policy.QuotaChanged{})
			}
		case error:
			if errors.Is(a, quota.ErrUnknownMember) {
				n.dropSession()
				return
			}
			n.sim.point.FailedRenewals++
		default:
			n.sim.point.FailedRenewals++
		}
		n.scheduleRenewal()
	})
}

// dropSession ends a session that has expired or that the agents don't know, and joins again.
func (n *instance) dropSession() {
	n.memberID = ""
	n.quota.Unregister()
	if n.lessee != nil {
		n.lessee.DropAll()
	}
	n.sim.dropAllocations(n)
	n.step(policy.QuotaChanged{})
	n.join()
}

// call calls the agents in turn, beginning with the preferred one, and follows redirects to the leader. Each has a share of
// the time that remains of within. then is called once, with the answer, or with nil if there is none in time.
func (n *instance) call(what string, within time.Duration, ask func(*agents, int, func(any)), then func(any)) { //nolint:gocognit // to be split with its package, see docs/left.md
	over := false
	finish := func(answer any) {
		if !over {
			over = true
			then(answer)
		}
	}
	n.sim.after(within, what+" given up", n.id, func() { n.whenRunning(func() { finish(nil) }) })
	end := n.sim.now + within
	var try func(turn int)
	try = func(turn int) {
		if over || turn > 3*len(n.sim.agents.all) {
			return
		}
		at := n.preferredAgent
		g := n.sim.agents
		patience := max(20*time.Millisecond, min(attemptTimeout, (end-n.sim.now)/2))
		answered := false
		next := func(pause time.Duration) {
			if !answered && !over {
				answered = true
				if n.preferredAgent == at {
					n.preferredAgent = (at + 1) % len(g.all)
				}
				n.sim.after(pause, what+" at the next", n.id, func() { n.whenRunning(func() { try(turn + 1) }) })
			}
		}
		n.sim.after(patience, what+" unanswered", n.id, func() { n.whenRunning(func() { next(0) }) })
		if n.requestsLost || n.sim.drawLoss(n.rng) || n.sim.agentUnreachable(n.zone, at) {
			return
		}
		n.sim.after(n.sim.networkDelay(n.rng)+n.extraDelay, what, n.id, func() {
			g.deliver(at, func(leads int) {
				back := func(answer any) {
					if n.responsesLost || n.sim.drawLoss(n.rng) || n.sim.agentUnreachable(n.zone, at) {
						return
					}
					n.sim.after(n.sim.networkDelay(n.rng)+n.extraDelay, what+" answered", n.id, func() {
						n.whenRunning(func() {
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
					back(nil) // the agent knows no leader
					return
				}
				if leads != at {
					n.preferredAgent = leads
					n.sim.after(2*n.sim.networkDelay(n.rng), what+" redirected", n.id, func() { g.deliver(leads, func(int) { ask(g, leads, back) }) })
					return
				}
				ask(g, at, back)
			})
		})
	}
	try(0)
}

// startOperations schedules operations on the shards held. An operation changes its resource once, and ends.
func (n *instance) startOperations() {
	if n.lessee == nil || !n.alive {
		return
	}
	for _, k := range n.lessee.Held(n.clock()) {
		if n.operating[k] {
			continue
		}
		n.operating[k] = true
		n.scheduleOperation(k)
	}
}

// scheduleOperation schedules the next operation on a shard.
func (n *instance) scheduleOperation(k lease.Key) {
	incarnation := n.starts
	due := max(0, n.lessee.NextOperation(k)-n.clock())
	n.sim.after(n.trueDuration(due), "act due", n.id, func() {
		n.whenRunning(func() {
			if n.starts != incarnation {
				return
			}
			a, ok := n.lessee.StartOperation(n.clock(), k)
			if !ok {
				delete(n.operating, k)
				return
			}
			if n.hung {
				return
			}
			n.runOperation(a, incarnation)
		})
	})
}

// runOperation takes an operation through its steps. The instance may be paused between any two of them.
func (n *instance) runOperation(a lessee.Operation, incarnation int) {
	guard := n.sim.guards[a.Key]
	end := func(how lessee.Outcome) {
		n.lessee.FinishOperation(a, how, guard.Token)
		if n.lessee.NeedsRenewal() {
			n.scheduleRenewal()
		}
		n.scheduleOperation(a.Key)
	}
	unguarded := n.sim.spec.Fleet.PlantedMistake == "early" // neither the lessee nor the guard checks
	steps := []func() bool{
		func() bool { return (guard.Begin(a.Token, a.Number) == nil || unguarded) && n.sim.checkBegin(n, a) },
		func() bool { return unguarded || n.lessee.MayProceed(n.clock(), a) },
		func() bool {
			return (unguarded || guard.CheckChange(a.Token, a.Number) == nil) && n.sim.checkChange(n, a)
		},
		func() bool { return unguarded || guard.End(a.Token, a.Number) == nil },
	}
	var next func(i int)
	next = func(i int) {
		if i == len(steps) {
			n.sim.point.Operations++
			end(lessee.Completed)
			return
		}
		took := time.Duration(n.rng.Float64() * float64(n.lessee.Task(a.Task).OperationTimeout()) / 6)
		n.sim.after(n.sim.networkDelay(n.rng)+took, "act", n.id, func() {
			n.whenRunning(func() {
				switch {
				case n.starts != incarnation:
				case steps[i]():
					next(i + 1)
				default:
					n.sim.point.AbortedOperations++
					end(lessee.Fenced)
				}
			})
		})
	}
	next(0)
}

// quotaRate returns the rate that the instance may use now of a budget, floor and allocation, by true time.
func (n *instance) quotaRate(k quota.Key) float64 {
	if n.quota == nil || !n.alive {
		return 0
	}
	return n.quota.Limit(n.clock(), k).Rate * n.clockRate
}

func lognormal(r *rand.Rand, sigma float64) float64 { return math.Exp(sigma * r.NormFloat64()) }
