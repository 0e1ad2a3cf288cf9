package model

import (
	"math/rand/v2"
	"time"

	"spindlehitch/internal/policy"
)

// target models a storage target: a bounded number of concurrent requests, a queue, a cold start, and its faults.
type target struct {
	sim          *Sim
	id           int
	rng          *rand.Rand
	started      time.Duration // 0: long ago, so it is warm
	down         bool          // its process has been killed
	stalledUntil time.Duration // until then it finishes no requests
	slowdown     float64
	bad          bool // it responds with errors at once
	inProgress   int
	queued       []targetRequest
	coldWork     []receivedWork // received within the overload window, while it is cold
}

// receivedWork is the size and time of a request that a cold target received.
type receivedWork struct {
	at    time.Duration
	units float64
}

// targetRequest is a request at a target. answer is called once, when the target responds.
type targetRequest struct {
	units  float64
	answer func(code policy.OutcomeCode, load policy.Load)
}

func (t *target) isCold() bool {
	return t.started > 0 && t.sim.now-t.started < seconds(t.sim.spec.Targets.WarmUpS)
}

// warmUpFactor returns by how much a cold target's throughput has grown since its start.
func (t *target) warmUpFactor() float64 {
	o := &t.sim.spec.Targets
	return 1 + (1/o.ColdShare-1)*(t.sim.now-t.started).Seconds()/o.WarmUpS
}

// receive processes an incoming request. answer is called at the target; the caller models the way back.
func (t *target) receive(j targetRequest) {
	o := &t.sim.spec.Targets
	switch {
	case t.down:
		j.answer(policy.NotConnected, policy.Load{Queued: -1, InFlight: -1})
		return
	case t.bad:
		j.answer(policy.AnsweredError, t.load())
		return
	case len(t.queued) >= o.Queue:
		j.answer(policy.Rejected, t.load())
		return
	}
	if t.isCold() && o.OverloadUnits > 0 {
		t.coldWork = append(t.coldWork, receivedWork{t.sim.now, j.units})
		for len(t.coldWork) > 0 && t.coldWork[0].at < t.sim.now-seconds(o.OverloadWindowS) {
			t.coldWork = t.coldWork[1:]
		}
		sum := 0.0
		for _, w := range t.coldWork {
			sum += w.units
		}
		if sum > o.OverloadUnits*t.warmUpFactor() && t.sim.now >= t.stalledUntil {
			t.stalledUntil = t.sim.now + seconds(o.OverloadPauseS)
			t.sim.point.Overloads++
		}
	}
	t.queued = append(t.queued, j)
	t.startQueued()
}

func (t *target) load() policy.Load {
	return policy.Load{Queued: float64(len(t.queued)), InFlight: float64(t.inProgress + len(t.queued))}
}

// startQueued starts queued requests, up to the number of concurrent ones. A stalled target starts them when the stall ends.
func (t *target) startQueued() {
	o := &t.sim.spec.Targets
	if t.sim.now < t.stalledUntil {
		if until := t.stalledUntil; len(t.queued) > 0 {
			t.sim.at(until, "target goes on", t.id, func() {
				if t.stalledUntil == until {
					t.startQueued()
				}
			})
		}
		return
	}
	for t.inProgress < o.Parallel && len(t.queued) > 0 && !t.down {
		j := t.queued[0]
		t.queued = t.queued[1:]
		rate := o.UnitsPerS / float64(o.Parallel)
		if t.isCold() {
			rate *= o.ColdShare * t.warmUpFactor()
		}
		if t.slowdown > 1 {
			rate /= t.slowdown
		}
		t.inProgress++
		incarnation := t.started
		t.sim.after(seconds(j.units/rate*(0.7+0.6*t.rng.Float64())), "target answers", t.id, func() { t.finish(j, incarnation) })
	}
}

// finish ends a request, or defers that to the end of a stall.
func (t *target) finish(j targetRequest, incarnation time.Duration) {
	if t.down || t.started != incarnation {
		return // the process was killed with the request in progress; no response
	}
	if t.sim.now < t.stalledUntil {
		t.sim.at(t.stalledUntil, "target answers late", t.id, func() { t.finish(j, incarnation) })
		return
	}
	t.inProgress--
	j.answer(policy.Served, t.load())
	t.startQueued()
}

// kill ends the target's process; its requests are lost. start starts a new one, which is cold.
func (t *target) kill() {
	t.down, t.inProgress, t.queued, t.coldWork = true, 0, nil, nil
	t.sim.publishTargets()
}

func (t *target) start() {
	t.down, t.inProgress, t.queued, t.coldWork, t.stalledUntil = false, 0, nil, nil, 0
	t.started = t.sim.now
	t.sim.publishTargets()
}

// scheduleStall schedules the target's next random stall, as storage servers have them.
func (t *target) scheduleStall() {
	o := &t.sim.spec.Targets
	if o.StallMs <= 0 || o.StallEveryS <= 0 {
		return
	}
	t.sim.after(seconds(t.rng.ExpFloat64()*o.StallEveryS), "target stands still", t.id, func() {
		t.stalledUntil = max(t.stalledUntil, t.sim.now+milliseconds(o.StallMs))
		t.scheduleStall()
	})
}
