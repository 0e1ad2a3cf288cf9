package model

import (
	"math/rand/v2"
	"time"

	"spindlehitch/internal/policy"
)

// target is a storage node: so many requests at once, a queue, a cold start, and what goes wrong with it.
type target struct {
	s       *Sim
	id      int
	rng     *rand.Rand
	started time.Duration // 0: long ago
	down    bool          // its process is gone
	still   time.Duration // it stands still until then
	slow    float64
	bad     bool // it answers with errors at once
	busy    int
	waiting []job
	cold    []work // units within the fall span, while it is cold
}

type work struct {
	at    time.Duration
	units float64
}

type job struct {
	units  float64
	answer func(code policy.OutcomeCode, load policy.Load)
}

func (t *target) isCold() bool {
	return t.started > 0 && t.s.now-t.started < secs(t.s.spec.Targets.WarmS)
}

// grown is how much more it does than just after its start.
func (t *target) grown() float64 {
	o := &t.s.spec.Targets
	return 1 + (1/o.ColdShare-1)*(t.s.now-t.started).Seconds()/o.WarmS
}

// take has a request come. The answer is given at the target; it is the caller's to bring it back.
func (t *target) take(j job) {
	o := &t.s.spec.Targets
	switch {
	case t.down:
		j.answer(policy.NotConnected, policy.Load{Queued: -1, InFlight: -1})
		return
	case t.bad:
		j.answer(policy.AnsweredError, t.load())
		return
	case len(t.waiting) >= o.Queue:
		j.answer(policy.Rejected, t.load())
		return
	}
	if t.isCold() && o.Bears > 0 {
		t.cold = append(t.cold, work{t.s.now, j.units})
		for len(t.cold) > 0 && t.cold[0].at < t.s.now-secs(o.FallS) {
			t.cold = t.cold[1:]
		}
		sum := 0.0
		for _, w := range t.cold {
			sum += w.units
		}
		if sum > o.Bears*t.grown() && t.s.now >= t.still {
			t.still = t.s.now + secs(o.DownS)
			t.s.point.Falls++
		}
	}
	t.waiting = append(t.waiting, j)
	t.work()
}

func (t *target) load() policy.Load {
	return policy.Load{Queued: float64(len(t.waiting)), InFlight: float64(t.busy + len(t.waiting))}
}

// work begins what may begin.
func (t *target) work() {
	o := &t.s.spec.Targets
	if t.s.now < t.still {
		if until := t.still; len(t.waiting) > 0 {
			t.s.at(until, "target goes on", t.id, func() {
				if t.still == until {
					t.work()
				}
			})
		}
		return
	}
	for t.busy < o.Parallel && len(t.waiting) > 0 && !t.down {
		j := t.waiting[0]
		t.waiting = t.waiting[1:]
		rate := o.UnitsPerS / float64(o.Parallel)
		if t.isCold() {
			rate *= o.ColdShare * t.grown()
		}
		if t.slow > 1 {
			rate /= t.slow
		}
		t.busy++
		born := t.started
		t.s.after(secs(j.units/rate*(0.7+0.6*t.rng.Float64())), "target answers", t.id, func() { t.done(j, born) })
	}
}

// done ends a request, once the target does not stand still any more.
func (t *target) done(j job, born time.Duration) {
	if t.down || t.started != born {
		return // it died with its process; nobody answers
	}
	if t.s.now < t.still {
		t.s.at(t.still, "target answers late", t.id, func() { t.done(j, born) })
		return
	}
	t.busy--
	j.answer(policy.Served, t.load())
	t.work()
}

// kill ends its process; what it had is lost. start begins it anew, cold.
func (t *target) kill() {
	t.down, t.busy, t.waiting, t.cold = true, 0, nil, nil
	t.s.list()
}

func (t *target) start() {
	t.down, t.busy, t.waiting, t.cold, t.still = false, 0, nil, nil, 0
	t.started = t.s.now
	t.s.list()
}

// stalls has it stand still now and then, as storage nodes do.
func (t *target) stalls() {
	o := &t.s.spec.Targets
	if o.StallMs <= 0 || o.StallEach <= 0 {
		return
	}
	t.s.after(secs(t.rng.ExpFloat64()*o.StallEach), "target stands still", t.id, func() {
		t.still = max(t.still, t.s.now+millis(o.StallMs))
		t.stalls()
	})
}
