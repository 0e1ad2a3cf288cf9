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

// RankRelays ranks the relays for a reader: those of its region first, and within each group by
// rendezvous hashing. If a relay is removed, its readers spread over several others, and all other
// readers keep their relay.
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

// CallOutcome is the result of a call.
type CallOutcome uint8

// The outcomes.
const (
	CallAnswered CallOutcome = iota // with a delta, or without a change
	CallFailed                      // no response, or an error of the relay itself
	CallTimedOut                    // no response before the deadline
	CallBusy                        // rejected with a BusyError
	CallRejected                    // rejected for another reason: the request, or the delta by the reader
)

// RelaySelectorOptions configure retries and switches. Zero values are replaced by those of
// DefaultRelaySelectorOptions.
type RelaySelectorOptions struct {
	// Delay after a failed call: drawn between a base and twice that base. The base is RetryMin, doubled by
	// each further failure up to RetryMax.
	RetryMin, RetryMax time.Duration
	// After a switch, the home relay is retried after a delay drawn between these.
	HomeRetryMin, HomeRetryMax time.Duration
	FailuresBeforeSwitch       int           // consecutive failures of one relay
	StaleAfter                 time.Duration // if a relay's state is older, other relays are searched for newer state
}

// DefaultRelaySelectorOptions are the default options.
var DefaultRelaySelectorOptions = RelaySelectorOptions{RetryMin: 100 * time.Millisecond, RetryMax: 2 * time.Second, HomeRetryMin: 10 * time.Second, HomeRetryMax: 30 * time.Second, FailuresBeforeSwitch: 1,
	StaleAfter: 3 * time.Second}

// RelaySelector selects which relay a reader calls, and when. The first relay in rank is the reader's
// home.
type RelaySelector struct {
	relays       []Relay
	localCount   int // number of relays in the reader's region
	opt          RelaySelectorOptions
	rand         *rand.Rand
	current      int           // index of the relay to call
	nextCallAt   time.Duration // earliest time of the next call
	homeRetryAt  time.Duration // when home is retried; 0: home is the current relay
	returnTo     int           // relay to return to if home does not answer; -1: home is not being retried
	failures     int           // consecutive, of any relay
	failuresHere int           // consecutive, of the current relay
	lastAnswered int           // relay that answered last; -1: none yet
	switches     uint64

	lastAge      time.Duration // age of the state at the relay that answered last
	searchOrigin int           // relay at which the search for newer state started; -1: no search is running
	searchQueue  []int         // relays still to be called by the search
	nextSearchAt time.Duration // earliest start of the next search
}

// NewRelaySelector returns a selector for the reader. Equal arguments give equal delays. Without relays
// NextCall returns the zero Relay.
func NewRelaySelector(relays []Relay, region, reader string, seed uint64, o RelaySelectorOptions) *RelaySelector {
	o.RetryMin, o.RetryMax, o.FailuresBeforeSwitch = cmp.Or(o.RetryMin, DefaultRelaySelectorOptions.RetryMin), cmp.Or(o.RetryMax, DefaultRelaySelectorOptions.RetryMax), cmp.Or(o.FailuresBeforeSwitch, DefaultRelaySelectorOptions.FailuresBeforeSwitch)
	o.HomeRetryMin, o.HomeRetryMax = cmp.Or(o.HomeRetryMin, DefaultRelaySelectorOptions.HomeRetryMin), cmp.Or(o.HomeRetryMax, DefaultRelaySelectorOptions.HomeRetryMax)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultRelaySelectorOptions.StaleAfter)
	s := &RelaySelector{relays: RankRelays(relays, region, reader), opt: o, rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(reader))), returnTo: -1, lastAnswered: -1, searchOrigin: -1}
	for s.localCount < len(s.relays) && s.relays[s.localCount].Region == region {
		s.localCount++
	}
	return s
}

// NextCall returns the relay to call and the earliest time to do so. If it is another relay than last
// time, the caller must first call the Replica's SwitchSource.
func (s *RelaySelector) NextCall(now time.Duration) (r Relay, at time.Duration) {
	if len(s.relays) == 0 {
		return Relay{}, now + s.opt.RetryMax
	}
	if s.current != 0 && s.searchOrigin < 0 && s.returnTo < 0 && s.failures == 0 && s.failuresHere == 0 && s.homeRetryAt > 0 && now >= s.homeRetryAt {
		s.returnTo, s.current, s.nextCallAt = s.current, 0, now
	}
	return s.relays[s.current], max(s.nextCallAt, now)
}

// Switches returns how often an answer came from another relay than the previous answer.
func (s *RelaySelector) Switches() uint64 { return s.switches }

// CallEnded processes the outcome of a call. retryAfter is that of a BusyError; age is an upper bound of
// the age of the answering relay's state.
func (s *RelaySelector) CallEnded(now time.Duration, outcome CallOutcome, retryAfter, age time.Duration) {
	if len(s.relays) == 0 {
		return
	}
	stale := outcome == CallAnswered && age > s.opt.StaleAfter
	switch {
	case s.searchOrigin >= 0:
		s.searchAnswered(now, outcome, age)
	case outcome == CallAnswered && !(stale && s.returnTo >= 0 && !s.isFresher(age)):
		s.stayWithCurrent(now, age)
		if stale && now >= s.nextSearchAt {
			s.startSearch(now)
		}
	case s.returnTo >= 0: // home does not answer, or its state is stale: return to the previous relay
		s.current, s.returnTo, s.nextCallAt = s.returnTo, -1, now
		s.homeRetryAt = now + max(retryAfter, s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax))
	case outcome == CallBusy:
		// The same relay is retried first: switching at once would call all relays while all are busy.
		if s.failuresHere++; s.failuresHere > 1 {
			s.switchRelay(now)
		}
		s.nextCallAt = now + retryAfter + s.randomBetween(0, s.opt.RetryMin)
	default:
		s.failures++
		if s.failuresHere++; s.failuresHere >= s.opt.FailuresBeforeSwitch {
			s.switchRelay(now)
		}
		wait := min(s.opt.RetryMin<<min(s.failures-1, 16), s.opt.RetryMax)
		s.nextCallAt = now + s.randomBetween(wait, 2*wait)
	}
}

// stayWithCurrent keeps the relay that has answered as the current one.
func (s *RelaySelector) stayWithCurrent(now, age time.Duration) {
	if s.lastAnswered >= 0 && s.lastAnswered != s.current {
		s.switches++
	}
	s.lastAnswered, s.failures, s.failuresHere, s.returnTo, s.nextCallAt, s.lastAge = s.current, 0, 0, -1, now, age
	switch {
	case s.current == 0:
		s.homeRetryAt = 0
	case s.homeRetryAt == 0: // a retry that is due stays due until it is tried
		s.homeRetryAt = now + s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
	}
}

// isFresher reports whether state of that age justifies a switch: it is not stale, or at most half as
// old as the current relay's. If all relays are cut off from the same agents, their ages are similar
// and readers stay.
func (s *RelaySelector) isFresher(age time.Duration) bool {
	return age <= s.opt.StaleAfter || age <= s.lastAge/2
}

// startSearch starts a search for newer state: it calls the other relays of the region in turn, and then
// the first in rank of another region, which differs between readers.
func (s *RelaySelector) startSearch(now time.Duration) {
	s.searchOrigin, s.searchQueue = s.current, s.searchQueue[:0]
	for i := range min(s.localCount+1, len(s.relays)) {
		if i != s.current {
			s.searchQueue = append(s.searchQueue, i)
		}
	}
	s.searchNext(now)
}

// searchNext selects the next relay of a search, or returns to the relay at which it started.
func (s *RelaySelector) searchNext(now time.Duration) {
	if s.nextCallAt = now; len(s.searchQueue) > 0 {
		s.current, s.searchQueue = s.searchQueue[0], s.searchQueue[1:]
		return
	}
	s.current, s.searchOrigin, s.nextSearchAt = s.searchOrigin, -1, now+s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
}

// searchAnswered processes the outcome of a call made by a search. Relays that are busy or do not answer
// are skipped, since the relay at which the search started does answer.
func (s *RelaySelector) searchAnswered(now time.Duration, outcome CallOutcome, age time.Duration) {
	if outcome != CallAnswered || !s.isFresher(age) {
		s.searchNext(now)
		return
	}
	s.searchOrigin, s.nextSearchAt = -1, 0
	if age > s.opt.StaleAfter {
		s.nextSearchAt = now + s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
	}
	s.stayWithCurrent(now, age)
}

// switchRelay selects the next relay in rank.
func (s *RelaySelector) switchRelay(now time.Duration) {
	s.current, s.failuresHere = (s.current+1)%len(s.relays), 0
	if s.current == 0 {
		s.homeRetryAt = 0
	} else if s.homeRetryAt == 0 {
		s.homeRetryAt = now + s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
	}
}

// randomBetween returns a random duration in [a, b), or a if that range is empty.
func (s *RelaySelector) randomBetween(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(s.rand.Int64N(int64(b-a)))
}
