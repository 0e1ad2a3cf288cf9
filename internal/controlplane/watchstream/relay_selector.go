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
	s := &RelaySelector{relays: RankRelays(relays, region, reader), opt: o, rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(reader))), returnTo: -1, lastAnswered: -1, searchOrigin: -1}
	for s.localCount < len(s.relays) && s.relays[s.localCount].Region == region {
		s.localCount++
	}
	return s
}

// NextCall returns the relay to call, and not before when. If it is another one than last time, the
// caller has to tell the Replica by SwitchSource first.
func (s *RelaySelector) NextCall(now time.Duration) (r Relay, at time.Duration) {
	if len(s.relays) == 0 {
		return Relay{}, now + s.opt.RetryMax
	}
	if s.current != 0 && s.searchOrigin < 0 && s.returnTo < 0 && s.failures == 0 && s.failuresHere == 0 && s.homeRetryAt > 0 && now >= s.homeRetryAt {
		s.returnTo, s.current, s.nextCallAt = s.current, 0, now
	}
	return s.relays[s.current], max(s.nextCallAt, now)
}

// Switches is how often another relay answered than the one before.
func (s *RelaySelector) Switches() uint64 { return s.switches }

// CallEnded tells how a call ended; after is what a BusyError said, age how old the answering relay's
// state may be.
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
	case s.returnTo >= 0: // home is not ready: return to the relay before
		s.current, s.returnTo, s.nextCallAt = s.returnTo, -1, now
		s.homeRetryAt = now + max(retryAfter, s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax))
	case outcome == CallBusy:
		// The same relay first: switching at once would ask all relays while all are busy.
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

// stayWithCurrent stays with the relay that has answered.
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

// isFresher reports whether state of that age is worth a switch: it is not stale, or at most half as
// old as the present relay's. If all relays are cut off from the same agents, their ages are similar
// and everybody stays.
func (s *RelaySelector) isFresher(age time.Duration) bool {
	return age <= s.opt.StaleAfter || age <= s.lastAge/2
}

// startSearch asks the other relays of the region whether their state is newer, and one of another
// region, which rank makes a different one for each reader.
func (s *RelaySelector) startSearch(now time.Duration) {
	s.searchOrigin, s.searchQueue = s.current, s.searchQueue[:0]
	for i := range min(s.localCount+1, len(s.relays)) {
		if i != s.current {
			s.searchQueue = append(s.searchQueue, i)
		}
	}
	s.searchNext(now)
}

// searchNext calls the next relay of a search, or returns to where it began.
func (s *RelaySelector) searchNext(now time.Duration) {
	if s.nextCallAt = now; len(s.searchQueue) > 0 {
		s.current, s.searchQueue = s.searchQueue[0], s.searchQueue[1:]
		return
	}
	s.current, s.searchOrigin, s.nextSearchAt = s.searchOrigin, -1, now+s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
}

// searchAnswered processes the outcome of a call of a search. Relays that are busy or do not answer
// are skipped: the reader has one that answers.
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

// switchRelay goes on to the next relay.
func (s *RelaySelector) switchRelay(now time.Duration) {
	s.current, s.failuresHere = (s.current+1)%len(s.relays), 0
	if s.current == 0 {
		s.homeRetryAt = 0
	} else if s.homeRetryAt == 0 {
		s.homeRetryAt = now + s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)
	}
}

// randomBetween draws a duration from a to b.
func (s *RelaySelector) randomBetween(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(s.rand.Int64N(int64(b-a)))
}
