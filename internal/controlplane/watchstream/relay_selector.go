package watchstream

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Relay is a relay that readers call.
type Relay struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
}

// RankRelays orders the relays for a reader: those of its region first, each part by rendezvous
// hashing. If a relay is gone, its readers spread over several others, and all other readers stay.
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
	CallAnswered CallOutcome = iota // with a delta, or without news
	CallFailed                      // not at all, or with an error of the source itself
	CallTimedOut                    // without an answer in time
	CallBusy                        // with a BusyError: not now
	CallRejected                    // with another rejection: what this source has is not for this reader now
)

// RelaySelectorOptions are the waits. Zero values stand for those of DefaultRelaySelectorOptions.
type RelaySelectorOptions struct {
	// wait before another relay is called: drawn from it to twice it, doubled by each failure up
	// to RetryMax
	RetryMin, RetryMax time.Duration
	// after a switch, the first relay is tried again after a time drawn between these
	HomeRetryMin, HomeRetryMax time.Duration
	FailuresBeforeSwitch       int           // of one relay in a row
	StaleAfter                 time.Duration // if a relay's state is older, others are asked whether theirs is newer
}

// DefaultRelaySelectorOptions are the usual waits.
var DefaultRelaySelectorOptions = RelaySelectorOptions{RetryMin: 100 * time.Millisecond, RetryMax: 2 * time.Second, HomeRetryMin: 10 * time.Second, HomeRetryMax: 30 * time.Second, FailuresBeforeSwitch: 1,
	StaleAfter: 3 * time.Second}

// RelaySelector decides which relay a reader calls, and when. The first relay in rank is its home.
type RelaySelector struct {
	relays       []Relay
	localCount   int // relays of the reader's region
	opt          RelaySelectorOptions
	rand         *rand.Rand
	current      int           // the relay that is called now
	nextCallAt   time.Duration // not before
	homeRetryAt  time.Duration // when home is tried again; 0: home is the current one
	returnTo     int           // relay to return to if home does not answer; -1: home is not being tried
	failures     int           // in a row, of any relay
	failuresHere int           // in a row, of the current one
	lastAnswered int           // -1: none yet
	switches     uint64

	lastAge      time.Duration // age of the state at the relay that answered last
	searchOrigin int           // relay from which a search for newer state began; -1: there is none
	searchQueue  []int         // relays to ask after the current one
	nextSearchAt time.Duration // not before
}

// NewRelaySelector returns a selector that has not called yet. Equal arguments give equal waits.
// Without relays NextCall returns none.
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

// NextCall returns the relay to call, and not before when. If it is another one than last time, the
// caller has to tell the Replica by SwitchSource first.
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

// CallEnded tells how a call ended; after is what a BusyError said, age how old the answering relay's
// state may be.
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
	case m.returnTo >= 0: // home is not ready: return to the relay before
		m.current, m.returnTo, m.nextCallAt = m.returnTo, -1, now
		m.homeRetryAt = now + max(after, m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax))
	case o == CallBusy:
		// The same relay first: switching at once would ask all relays while all are busy.
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

// stayWithCurrent stays with the relay that has answered.
func (m *RelaySelector) stayWithCurrent(now, age time.Duration) {
	if m.lastAnswered >= 0 && m.lastAnswered != m.current {
		m.switches++
	}
	m.lastAnswered, m.failures, m.failuresHere, m.returnTo, m.nextCallAt, m.lastAge = m.current, 0, 0, -1, now, age
	switch {
	case m.current == 0:
		m.homeRetryAt = 0
	case m.homeRetryAt == 0: // a retry that is due stays due until it is tried
		m.homeRetryAt = now + m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
	}
}

// isFresher reports whether state of that age is worth a switch: it is not stale, or at most half as
// old as the present relay's. If all relays are cut off from the same agents, their ages are similar
// and everybody stays.
func (m *RelaySelector) isFresher(age time.Duration) bool {
	return age <= m.opt.StaleAfter || age <= m.lastAge/2
}

// startSearch asks the other relays of the region whether their state is newer, and one of another
// region, which rank makes a different one for each reader.
func (m *RelaySelector) startSearch(now time.Duration) {
	m.searchOrigin, m.searchQueue = m.current, m.searchQueue[:0]
	for i := range min(m.localCount+1, len(m.relays)) {
		if i != m.current {
			m.searchQueue = append(m.searchQueue, i)
		}
	}
	m.searchNext(now)
}

// searchNext calls the next relay of a search, or returns to where it began.
func (m *RelaySelector) searchNext(now time.Duration) {
	if m.nextCallAt = now; len(m.searchQueue) > 0 {
		m.current, m.searchQueue = m.searchQueue[0], m.searchQueue[1:]
		return
	}
	m.current, m.searchOrigin, m.nextSearchAt = m.searchOrigin, -1, now+m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
}

// searchAnswered processes the outcome of a call of a search. Relays that are busy or do not answer
// are skipped: the reader has one that answers.
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

// switchRelay goes on to the next relay.
func (m *RelaySelector) switchRelay(now time.Duration) {
	m.current, m.failuresHere = (m.current+1)%len(m.relays), 0
	if m.current == 0 {
		m.homeRetryAt = 0
	} else if m.homeRetryAt == 0 {
		m.homeRetryAt = now + m.randomBetween(m.opt.HomeRetryMin, m.opt.HomeRetryMax)
	}
}

// randomBetween draws a duration from a to b.
func (m *RelaySelector) randomBetween(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(m.rand.Int64N(int64(b-a)))
}
