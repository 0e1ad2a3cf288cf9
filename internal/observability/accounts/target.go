package accounts

import (
	"slices"
	"time"
)

const (
	// stallFactor is the number of usual latencies without any answer that make a gap. With half of it, a busy target counts as stalled.
	stallFactor = 3
	// minStall is the shortest gap that counts: far above the scheduling delays of a busy process.
	minStall = 40 * time.Millisecond
	// latencyGain is the weight of a new answer in the moving average of the latency.
	latencyGain      = 0.1
	maxEndedAttempts = 64 // ended attempts to which a wait may still be attributed
	maxRecentStalls  = 16 // stalls that may still overlap an open request
)

// span is an interval of time.
type span struct{ from, to time.Duration }

func (s span) length() time.Duration { return max(0, s.to-s.from) }

func (s span) overlap(o span) time.Duration {
	return span{max(s.from, o.from), min(s.to, o.to)}.length()
}

// attempt is an attempt at a target; to is -1 while it is open.
type attempt struct {
	volume string
	span
}

// targetState is the state of a target, as derived from the attempts of this initiator alone. A gap is a long time without an
// answer while two or more attempts are open. It counts as a stall if another answer follows the one that ends it soon; a
// single late answer may just be of a costly request.
type targetState struct {
	openAttempts    map[string]*attempt // by request id
	endedAttempts   []attempt
	concurrentSince time.Duration // since when two or more attempts are open; -1: fewer are open
	lastAnswerAt    time.Duration // -1: none
	usualLatency    time.Duration // moving average; 0: no answer yet
	recentStalls    []span
	pendingGap      *span    // last gap, until it is decided whether it was a stall; nil: none
	onGapDecided    []func() // called when pendingGap is decided

	Answers    uint64
	Stalls     uint64
	StalledFor time.Duration
}

func newTargetState() *targetState {
	return &targetState{openAttempts: map[string]*attempt{}, concurrentSince: -1, lastAnswerAt: -1}
}

func (t *targetState) startAttempt(at time.Duration, id, volume string) {
	t.expireGap(at)
	t.openAttempts[id] = &attempt{volume, span{at, -1}}
	if len(t.openAttempts) == 2 {
		t.concurrentSince = at
	}
}

// endAttempt ends an open attempt; answered reports whether an answer of the target ended it.
func (t *targetState) endAttempt(at time.Duration, id string, answered bool) {
	s := t.openAttempts[id]
	if s == nil {
		return
	}
	t.expireGap(at)
	if answered {
		t.recordAnswer(at, at-s.from)
	}
	s.to = at
	t.endedAttempts = append(t.endedAttempts, *s)
	if len(t.endedAttempts) > maxEndedAttempts {
		t.endedAttempts = slices.Delete(t.endedAttempts, 0, len(t.endedAttempts)-maxEndedAttempts)
	}
	delete(t.openAttempts, id)
	if len(t.openAttempts) < 2 {
		t.concurrentSince = -1
	}
}

// recordAnswer confirms a pending gap as a stall, checks whether the time since the last answer is a new gap, and updates the
// usual latency if it is none.
func (t *targetState) recordAnswer(at, took time.Duration) {
	t.Answers++
	if t.pendingGap != nil { // not expired: this answer followed soon enough
		t.recentStalls = append(t.recentStalls, *t.pendingGap)
		if len(t.recentStalls) > maxRecentStalls {
			t.recentStalls = slices.Delete(t.recentStalls, 0, len(t.recentStalls)-maxRecentStalls)
		}
		t.Stalls++
		t.StalledFor += t.pendingGap.length()
		t.decideGap()
	}
	from := max(t.lastAnswerAt, t.concurrentSince)
	silence := at - from
	if t.concurrentSince >= 0 && t.usualLatency > 0 && silence > minStall && silence > stallFactor*t.usualLatency {
		t.pendingGap = &span{from + t.usualLatency, at}
	} else if t.usualLatency == 0 {
		t.usualLatency = took
	} else {
		t.usualLatency += time.Duration(float64(took-t.usualLatency) * latencyGain)
	}
	t.lastAnswerAt = at
}

// expireGap discards a pending gap that no answer followed in time: it was no stall.
func (t *targetState) expireGap(at time.Duration) {
	if t.pendingGap != nil && at-t.pendingGap.to > max(t.usualLatency, t.pendingGap.length()/4) {
		t.decideGap()
	}
}

// decideGap clears the pending gap, which was confirmed or discarded, and calls what waits for the decision.
func (t *targetState) decideGap() {
	t.pendingGap = nil
	callbacks := t.onGapDecided
	t.onGapDecided = nil
	for _, f := range callbacks {
		f()
	}
}

// whenDecided calls f once it is decided for all time until now whether the target was stalled: at once if no gap is pending.
func (t *targetState) whenDecided(f func()) {
	if t.pendingGap != nil {
		t.onGapDecided = append(t.onGapDecided, f)
		return
	}
	f()
}

// stalledDuring returns how much of a span the target was stalled.
func (t *targetState) stalledDuring(s span) (d time.Duration) {
	for _, g := range t.recentStalls {
		d += s.overlap(g)
	}
	return d
}

// attributeWait attributes a wait for a target: first to the target's stalls, the rest to the volumes with attempts at the
// target meanwhile, in proportion to their time there.
func (t *targetState) attributeWait(name string, wait attempt, attribute func(WaitPair, time.Duration)) {
	stalled := t.stalledDuring(wait.span)
	attribute(WaitPair{wait.volume, name, true}, stalled)
	left := wait.length() - stalled
	if left <= 0 {
		return
	}
	var sum time.Duration
	byVolume := map[string]time.Duration{}
	add := func(s attempt) {
		if s.to < 0 {
			s.to = wait.to
		}
		d := s.overlap(wait.span)
		for _, g := range t.recentStalls { // time at a stalled target is not attributed to a volume
			d -= span{max(s.from, wait.from), min(s.to, wait.to)}.overlap(g)
		}
		if d > 0 {
			byVolume[s.volume] += d
			sum += d
		}
	}
	for _, s := range t.endedAttempts {
		add(s)
	}
	for _, s := range t.openAttempts {
		add(*s)
	}
	for volume, d := range byVolume {
		attribute(WaitPair{wait.volume, volume, false}, time.Duration(float64(left)*float64(d)/float64(sum)))
	}
}
