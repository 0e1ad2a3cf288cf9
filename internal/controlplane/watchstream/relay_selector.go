package watchstream

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Relay is where readers call.
type Relay struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
}

// RankRelays is the relays as a reader of that region and name goes to them: its region's first, each part by rendezvous hashing. With one gone
// its readers go to several others; all others stay where they are.
func RankRelays(relays []Relay, region, reader string) []Relay {
	weight := func(r Relay) uint64 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(r.ID))))
		_, _ = d.WriteString(r.ID)
		_, _ = d.WriteString(reader)
		return d.Sum64()
	}
	list := slices.Clone(relays)
	slices.SortFunc(list, func(a, b Relay) int {
		if (a.Region == region) != (b.Region == region) {
			if a.Region == region {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// CallOutcome is how a call ended.
type CallOutcome uint8

// The outcomes.
const (
	CallAnswered CallOutcome = iota // with a delta, or that there is none
	CallFailed                      // not at all, or with an error of the source's own
	CallTimedOut                    // within its time there was no answer
	CallBusy                        // with a Busy: not now
	CallRejected                    // with another refusal: what this source has is not for this reader now
)

// RelaySelectorOptions are the waits. What is zero is as Moves has it.
type RelaySelectorOptions struct {
	RetryMin, RetryMax         time.Duration // before another relay is called: drawn from Least to twice that, doubled by each failure up to Most
	HomeRetryMin, HomeRetryMax time.Duration // after a move the first of the order is tried again: drawn between them
	FailuresBeforeSwitch       int           // failures of one relay one after another before the next is called
	StaleAfter                 time.Duration // past that age of what a relay has, others are asked whether theirs is newer
}

// DefaultRelaySelectorOptions is the usual waits.
var DefaultRelaySelectorOptions = RelaySelectorOptions{RetryMin: 100 * time.Millisecond, RetryMax: 2 * time.Second, HomeRetryMin: 10 * time.Second, HomeRetryMax: 30 * time.Second, FailuresBeforeSwitch: 1,
	StaleAfter: 3 * time.Second}

// RelaySelector decides which relay a reader calls, and when.
type RelaySelector struct {
	relays       []Relay
	localCount   int // of them are of the reader's region
	opt          RelaySelectorOptions
	rand         *rand.Rand
	current      int           // who is called now
	nextCallAt   time.Duration // and when, at the earliest
	homeRetryAt  time.Duration // when the first is tried again; 0: it is being called
	returnTo     int           // who answered before home was tried; -1: home isn't being tried
	failures     int           // one after another, of any
	failuresHere int           // of this relay
	lastAnswered int           // who answered last; -1: nobody
	switches     uint64

	lastAge      time.Duration // of what who answered last had
	searchOrigin int           // where it looks about from; -1: it doesn't
	searchQueue  []int         // who is asked yet, after the one that is called
	nextSearchAt time.Duration // when it may look about again
}

// NewRelaySelector returns a mover that has not called yet. Equal arguments give equal waits. Without relays Next tells of none.
func NewRelaySelector(relays []Relay, region, reader string, seed uint64, o RelaySelectorOptions) *RelaySelector {
	o.RetryMin, o.RetryMax, o.FailuresBeforeSwitch = cmp.Or(o.RetryMin, DefaultRelaySelectorOptions.RetryMin), cmp.Or(o.RetryMax, DefaultRelaySelectorOptions.RetryMax), cmp.Or(o.FailuresBeforeSwitch, DefaultRelaySelectorOptions.FailuresBeforeSwitch)
	o.HomeRetryMin, o.HomeRetryMax = cmp.Or(o.HomeRetryMin, DefaultRelaySelectorOptions.HomeRetryMin), cmp.Or(o.HomeRetryMax, DefaultRelaySelectorOptions.HomeRetryMax)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultRelaySelectorOptions.StaleAfter)
	m := &RelaySelector{relays: RankRelays(relays, region, reader), opt: o, rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(reader))), returnTo: -1, lastAnswered: -1, searchOrigin: -1}
	for m.localCount < len(m.relays) && m.relays[m.localCount].Region == region {
		m.localCount++
	}
	return m
}

// NextCall is whom to call, and when: not before at. Whoever then calls another relay than the last time tells the Replica by Moved first.
func (m *RelaySelector) NextCall(now time.Duration) (r Relay, at time.Duration) {
	if len(m.relays) == 0 {
		return Relay{}, now + m.opt.RetryMax
	}
	if m.current != 0 && m.searchOrigin < 0 && m.returnTo < 0 && m.failures == 0 && m.failuresHere == 0 && m.homeRetryAt > 0 && now >= m.homeRetryAt {
		m.returnTo, m.current, m.nextCallAt = m.current, 0, now
	}
	return m.relays[m.current], max(m.nextCallAt, now)
}

// Switches is how often another relay answered than the one before.
func (m *RelaySelector) Switches() uint64 { return m.switches }

// CallEnded tells how the call ended; after is what a Busy said, age how old what one has may be who answered.
func (m *RelaySelector) CallEnded(now time.Duration, o CallOutcome, after, age time.Duration) {
	if len(m.relays) == 0 {
		return
	}
	aged := o == CallAnswered && age > m.opt.StaleAfter
	switch {
	case m.searchOrigin >= 0:
		m.searchAnswered(now, o, age)
	case o == CallAnswered && !(aged && m.returnTo >= 0 && !m.isFresher(age)):
		m.stayWithCurrent(now, age)
		if aged && now >= m.nextSearchAt {
			m.startSearch(now)
		}
	case m.returnTo >= 0: // home isn't ready: go on where it was
		m.current, m.returnTo, m.nextCallAt = m.returnTo, -1, now
		m.homeRetryAt = now + max(after, m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax))
	case o == CallBusy:
		// Its own place first: whoever goes on at once asks everybody while all are busy. Told twice, it looks elsewhere.
		if m.failuresHere++; m.failuresHere > 1 {
			m.switchRelay(now)
		}
		m.nextCallAt = now + after + m.randomBetween(0, m.opt.RetryMin)
	default:
		m.failures++
		if m.failuresHere++; m.failuresHere >= m.opt.FailuresBeforeSwitch {
			m.switchRelay(now)
		}
		wait := min(m.opt.RetryMin<<min(m.failures-1, 16), m.opt.RetryMax)
		m.nextCallAt = now + m.randomBetween(wait, 2*wait)
	}
}

// stayWithCurrent stays with who has answered.
func (m *RelaySelector) stayWithCurrent(now, age time.Duration) {
	if m.lastAnswered >= 0 && m.lastAnswered != m.current {
		m.switches++
	}
	m.lastAnswered, m.failures, m.failuresHere, m.returnTo, m.nextCallAt, m.lastAge = m.current, 0, 0, -1, now, age
	switch {
	case m.current == 0:
		m.homeRetryAt = 0
	case m.homeRetryAt == 0: // one whose time has come stays so until it is tried
		m.homeRetryAt = now + m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
	}
}

// isFresher tells whether what is so old is worth a move from where it is now: what isn't aged, or is not half as old. Where all are cut off
// from the same, all are about as old, and everybody stays.
func (m *RelaySelector) isFresher(age time.Duration) bool {
	return age <= m.opt.StaleAfter || age <= m.lastAge/2
}

// startSearch asks the others of its region whether what they have is newer, and one of another region, which is the next in the reader's own order and so not
// the same for all.
func (m *RelaySelector) startSearch(now time.Duration) {
	m.searchOrigin, m.searchQueue = m.current, m.searchQueue[:0]
	for i := range min(m.localCount+1, len(m.relays)) {
		if i != m.current {
			m.searchQueue = append(m.searchQueue, i)
		}
	}
	m.searchNext(now)
}

// searchNext calls the next of those that are asked, or goes back to where it was, for a while.
func (m *RelaySelector) searchNext(now time.Duration) {
	if m.nextCallAt = now; len(m.searchQueue) > 0 {
		m.current, m.searchQueue = m.searchQueue[0], m.searchQueue[1:]
		return
	}
	m.current, m.searchOrigin, m.nextSearchAt = m.searchOrigin, -1, now+m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
}

// searchAnswered takes the end of a call of one that is asked. One that is busy or doesn't answer is passed by: who asks has somebody who does.
func (m *RelaySelector) searchAnswered(now time.Duration, o CallOutcome, age time.Duration) {
	if o != CallAnswered || !m.isFresher(age) {
		m.searchNext(now)
		return
	}
	m.searchOrigin, m.nextSearchAt = -1, 0
	if age > m.opt.StaleAfter {
		m.nextSearchAt = now + m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
	}
	m.stayWithCurrent(now, age)
}

func (m *RelaySelector) switchRelay(now time.Duration) {
	m.current, m.failuresHere = (m.current+1)%len(m.relays), 0
	if m.current == 0 {
		m.homeRetryAt = 0
	} else if m.homeRetryAt == 0 {
		m.homeRetryAt = now + m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
	}
}

func (m *RelaySelector) randomBetween(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(m.rand.Int64N(int64(b-a)))
}
