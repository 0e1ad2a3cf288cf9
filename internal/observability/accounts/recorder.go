// Package accounts records, for each volume, the phases in which the time of its requests was spent, and what they waited
// behind. It does no I/O, reads no clock and makes no decisions: the core reports events to it, in order of time.
// docs/accounts.md defines its terms.
package accounts

import (
	"container/list"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"spindlehitch/internal/policy"
)

// Phase is a part of the time between a request's arrival and its end.
type Phase int

// The phases, in the order of docs/accounts.md.
const (
	BucketWait Phase = iota // held because its start tag lay ahead
	LimitWait               // held for any other reason
	Connect                 // released, until the first byte was written to the target
	AtTarget                // from the first byte until the attempt ended, without Stalled
	Stalled                 // the same, while the target was stalled
	Reply                   // since the last attempt or hold ended, until the request ended
	phases
)

// String returns the phase's name in reports.
func (p Phase) String() string {
	return [...]string{"bucket", "bound", "connect", "node", "still", "reply"}[p]
}

// Times is the time spent in each phase.
type Times [phases]time.Duration

// Total returns the sum over all phases.
func (t Times) Total() (d time.Duration) {
	for _, x := range t {
		d += x
	}
	return d
}

const (
	// Accuracy is the relative error of percentiles.
	Accuracy = 0.02
	maxBins  = 512 // of a sketch: beyond, it collapses the bins of its smallest values, which lose accuracy
)

// Options are the bounds of a Recorder, and the worth of requests.
type Options struct {
	MaxVolumes int                          // accounts kept; the least recently used is evicted
	MaxPairs   int                          // pairs of volume and cause that are kept
	MaxOpen    int                          // open requests at a time; more are not recorded
	Worth      func(policy.Request) float64 // worth of serving a request; nil: 1
}

// Account is the account of one volume's requests that have ended.
type Account struct {
	Requests   uint64
	Times      Times
	Latency    *ddsketch.DDSketch // of whole requests, in seconds
	Share      Share
	lruElement *list.Element // its element of Recorder.lru
}

// Dropped counts what was lost to the bounds.
type Dropped struct {
	Volumes  uint64 // accounts that were evicted
	Requests uint64 // not recorded, since too many were open
}

// Recorder records the accounts of one initiator. It is not safe for concurrent use.
type Recorder struct {
	opt          Options
	open         map[string]*openRequest
	volumes      map[string]*Account
	lru          *list.List // volume names, the most recently used first
	targets      map[string]*targetState
	attributions *heavyHitters
	shares       shareSums // of classes and plans, whose number the settings bound
	Dropped      Dropped
}

// openRequest is the state of one request that has not ended.
type openRequest struct {
	volume           string
	class            string
	plan             string
	worth            float64
	served           bool
	accountedUntil   time.Duration // the time before it is booked to phases
	times            Times
	target           string // target of its open attempt; empty: none
	firstByteWritten bool   // whether the open attempt's first byte was written
	targetSpans      []targetSpan
}

// targetSpan is the time of one attempt at a target, a part of which may turn out to be a stall.
type targetSpan struct {
	target string
	span
}

// New returns an empty Recorder.
func New(opt Options) *Recorder {
	return &Recorder{opt: opt, open: map[string]*openRequest{}, volumes: map[string]*Account{}, lru: list.New(), targets: map[string]*targetState{},
		attributions: newHeavyHitters(max(1, opt.MaxPairs)), shares: shareSums{}}
}

// SetWorth sets the worth of serving requests that arrive from now on; nil: 1.
func (rec *Recorder) SetWorth(worth func(policy.Request) float64) { rec.opt.Worth = worth }

// Arrive starts to record a request, unless too many are open.
func (rec *Recorder) Arrive(at time.Duration, r policy.Request) {
	if len(rec.open) >= rec.opt.MaxOpen {
		rec.Dropped.Requests++
		return
	}
	e := &openRequest{volume: r.Volume, class: r.Class, plan: r.Plan, worth: 1, accountedUntil: at}
	if rec.opt.Worth != nil {
		e.worth = rec.opt.Worth(r)
	}
	rec.open[r.ID] = e
}

// Served marks an open request as answered by a target before its client left.
func (rec *Recorder) Served(id string) {
	if e := rec.open[id]; e != nil {
		e.served = true
	}
}

// Release ends the time in which a request was held: it is sent to the target or, with sent false, abandoned. tagLead is the
// part of that time in which its start tag lay ahead.
func (rec *Recorder) Release(at time.Duration, id, target string, tagLead time.Duration, sent bool) {
	e := rec.open[id]
	if e == nil || e.target != "" {
		return
	}
	held := at - e.accountedUntil
	tagLead = min(max(tagLead, 0), held)
	e.times[BucketWait] += tagLead
	e.times[LimitWait] += held - tagLead
	state := rec.targetState(target)
	if wait := (attempt{e.volume, span{at - (held - tagLead), at}}); state != nil && wait.length() > 0 {
		state.expireGap(at)
		state.whenDecided(func() { state.attributeWait(target, wait, rec.attributions.add) })
	}
	e.accountedUntil = at
	if sent && state != nil {
		e.target, e.firstByteWritten = target, false
		state.startAttempt(at, id, e.volume)
	}
}

// targetState returns the state of a target, which it creates if there is none, or nil if name is empty.
func (rec *Recorder) targetState(name string) *targetState {
	if name == "" {
		return nil
	}
	state := rec.targets[name]
	if state == nil {
		state = newTargetState()
		rec.targets[name] = state
	}
	return state
}

// AttemptStarted records when the attempt's first byte was written; the event may be reported late.
func (rec *Recorder) AttemptStarted(at time.Duration, id string) {
	if e := rec.open[id]; e != nil && e.target != "" && !e.firstByteWritten {
		at = max(at, e.accountedUntil)
		e.times[Connect] += at - e.accountedUntil
		e.accountedUntil, e.firstByteWritten = at, true
	}
}

// AttemptEnded ends an attempt; answered reports whether an answer of the target ended it.
func (rec *Recorder) AttemptEnded(at time.Duration, id string, answered bool) {
	e := rec.open[id]
	if e == nil || e.target == "" {
		return
	}
	at = max(at, e.accountedUntil)
	if e.firstByteWritten {
		e.times[AtTarget] += at - e.accountedUntil
		e.targetSpans = append(e.targetSpans, targetSpan{e.target, span{e.accountedUntil, at}})
	} else {
		e.times[Connect] += at - e.accountedUntil
	}
	rec.targets[e.target].endAttempt(at, id, answered)
	e.accountedUntil, e.target = at, ""
}

// End ends a request: its last byte was written to the client, or the client has left.
func (rec *Recorder) End(at time.Duration, id string) {
	e := rec.open[id]
	if e == nil {
		return
	}
	if e.target != "" {
		rec.AttemptEnded(at, id, false)
	}
	delete(rec.open, id)
	e.times[Reply] += at - e.accountedUntil
	e.accountedUntil = at
	rec.closeRequest(e, 0)
}

// closeRequest adds the request to its volume's account once it is decided, for each of its target spans from checked on,
// whether the target was stalled.
func (rec *Recorder) closeRequest(e *openRequest, checked int) {
	if checked < len(e.targetSpans) {
		v := e.targetSpans[checked]
		state := rec.targets[v.target]
		if state == nil { // ForgetUnlisted removed it
			rec.closeRequest(e, checked+1)
			return
		}
		state.expireGap(e.accountedUntil)
		state.whenDecided(func() {
			stalled := min(state.stalledDuring(v.span), v.length())
			e.times[AtTarget] -= stalled
			e.times[Stalled] += stalled
			rec.closeRequest(e, checked+1)
		})
		return
	}
	a := rec.accountOf(e.volume)
	a.Requests++
	a.Share.add(e)
	for _, key := range []ShareKey{{Class, e.class}, {Plan, e.plan}} {
		rec.shares.get(key).add(e)
	}
	for i, d := range e.times {
		a.Times[i] += d
	}
	_ = a.Latency.Add(e.times.Total().Seconds())
}

// accountOf returns a volume's account. If it creates one beyond MaxVolumes, it evicts the least recently used.
func (rec *Recorder) accountOf(volume string) *Account {
	a := rec.volumes[volume]
	if a == nil {
		if len(rec.volumes) >= max(1, rec.opt.MaxVolumes) {
			// The list avoids a scan of all accounts, which took the core 0.1 ms for each new volume.
			oldest := rec.lru.Remove(rec.lru.Back()).(string)
			delete(rec.volumes, oldest)
			rec.Dropped.Volumes++
		}
		sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(Accuracy, maxBins)
		if err != nil {
			panic(err) // the accuracy is a constant
		}
		a = &Account{Latency: sketch, lruElement: rec.lru.PushFront(volume)}
		rec.volumes[volume] = a
	}
	rec.lru.MoveToFront(a.lruElement)
	return a
}

// ForgetUnlisted removes the state of targets that are no longer listed and have no open attempts.
func (rec *Recorder) ForgetUnlisted(listed func(string) bool) {
	for name, state := range rec.targets {
		if len(state.openAttempts) == 0 && !listed(name) {
			state.decideGap()
			delete(rec.targets, name)
		}
	}
}

// OpenRequests returns the number of open requests.
func (rec *Recorder) OpenRequests() int { return len(rec.open) }

// Account returns a volume's account, or nil.
func (rec *Recorder) Account(name string) *Account { return rec.volumes[name] }

// Attributions returns the recorded causes of waiting, those with the longest wait first.
func (rec *Recorder) Attributions() []Attribution { return rec.attributions.list() }
