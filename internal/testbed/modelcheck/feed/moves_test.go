package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
)

// TestMarks has what is of an earlier history never count as in force in a later one.
func TestAppliedAcrossHistories(t *testing.T) {
	w, err := New(Setup{Relays: 0, Readers: 1, Source: unlimited, Limits: smallLimits, Changes: [][]watchstream.Put{{putTarget("a")}, {putTarget("b")}, {putTarget("c")}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []Step{{Put, 0}, {Put, 0}, {PollAtOnce, 0}} {
		if err := w.Do(s); err != nil {
			t.Fatal(err)
		}
	}
	f := w.followers[0]
	late := f.replica.Consistent() // an edge that is slow to apply says it later
	for _, s := range []Step{{EmptyLog, 0}, {Put, 0}, {ReplaceHistory, 0}} {
		if err := w.Do(s); err != nil {
			t.Fatal(err)
		}
	}
	req, err := w.subscribe(0)
	if err != nil {
		t.Fatal(err)
	}
	d, err := w.serve(-1, req)
	if err != nil || d == nil {
		t.Fatal(d, err)
	}
	if err := w.applyDelta(0, d); err != nil {
		t.Fatal(err)
	}
	f.replica.MarkApplied(late)
	if f.replica.Applied() != late && f.replica.Applied() != (watchstream.Watermark{}) {
		t.Fatalf("broken: %+v was applied before the history ended, and %+v counts as in force", late, f.replica.Applied())
	}
}

// relays are three of each of three regions.
func relays() (list []watchstream.Relay) {
	for i := range 9 {
		list = append(list, watchstream.Relay{ID: fmt.Sprint("relay/", i), Region: fmt.Sprint("r", i/3), Addr: fmt.Sprint("127.0.0.1:", 7000+i)})
	}
	return list
}

// call drives a mover until it has called n times, and returns whom it called and when.
func runCalls(s *watchstream.RelaySelector, now time.Duration, n int, answer func(now time.Duration, id string) (watchstream.CallOutcome, time.Duration)) (ids []string, at []time.Duration, end time.Duration) {
	for range n {
		r, due := s.NextCall(now)
		now = max(now, due)
		if again, due := s.NextCall(now); due <= now {
			r = again
		}
		o, after := answer(now, r.ID)
		s.CallEnded(now, o, after, 0)
		ids, at = append(ids, r.ID), append(at, now)
		now += 100 * time.Millisecond
	}
	return ids, at, now
}

var errBroken = errors.New("broken")

// TestMoves has readers find their relays: spread, their region's first, several others with one gone, not before they are told, and home again.
func TestMoves(t *testing.T) { //nolint:gocognit // one scenario, told in order
	const n = 900
	homeOf, fallbackOf := map[string]int{}, map[string]map[string]int{}
	for i := range n {
		reader := fmt.Sprint("n", i)
		order := watchstream.RankRelays(relays(), "r1", reader)
		for j, r := range order {
			if (r.Region == "r1") != (j < 3) {
				t.Fatalf("%v: %s goes to %v, and is of r1", errBroken, reader, order)
			}
		}
		homeOf[order[0].ID]++
		if fallbackOf[order[0].ID] == nil {
			fallbackOf[order[0].ID] = map[string]int{}
		}
		fallbackOf[order[0].ID][order[1].ID]++
		// With one gone, only its readers move.
		var left []watchstream.Relay
		for _, r := range relays() {
			if r.ID != order[2].ID {
				left = append(left, r)
			}
		}
		if without := watchstream.RankRelays(left, "r1", reader); without[0] != order[0] || without[1] != order[1] {
			t.Fatalf("%v: %s moves since %s is gone", errBroken, reader, order[2].ID)
		}
	}
	for id, readers := range homeOf {
		if readers < n/3*8/10 || readers > n/3*12/10 || len(homeOf) != 3 {
			t.Fatalf("%v: %s has %d of %d readers", errBroken, id, readers, n)
		}
		for other, m := range fallbackOf[id] {
			if m < readers*3/10 || m > readers*7/10 {
				t.Fatalf("%v: %s gets %d of the %d readers of %s", errBroken, other, m, readers, id)
			}
		}
	}
	for seed := range uint64(200) {
		reader := fmt.Sprint("n", seed)
		order := watchstream.RankRelays(relays(), "r1", reader)
		home := order[0].ID
		m := watchstream.NewRelaySelector(relays(), "r1", reader, seed, watchstream.RelaySelectorOptions{})
		// Home is gone: another answers, and home is tried within its time and not sooner.
		ids, at, now := runCalls(m, time.Hour, 400, func(_ time.Duration, id string) (watchstream.CallOutcome, time.Duration) {
			if id == home {
				return watchstream.CallFailed, 0
			}
			return watchstream.CallAnswered, 0
		})
		homeTriedAt := at[0]
		for i, id := range ids[1:] {
			wait := at[i+1] - at[i]
			if ids[i] == home && i == 0 && wait < watchstream.DefaultRelaySelectorOptions.RetryMin {
				t.Fatalf("%v: %s calls again %v after a failure", errBroken, reader, wait)
			}
			if id != home {
				continue
			}
			if gap := at[i+1] - homeTriedAt; gap < watchstream.DefaultRelaySelectorOptions.HomeRetryMin || gap > watchstream.DefaultRelaySelectorOptions.HomeRetryMax+time.Second {
				t.Fatalf("%v: %s tries home %v after it was tried", errBroken, reader, gap)
			}
			homeTriedAt = at[i+1]
		}
		if at[len(at)-1]-homeTriedAt > watchstream.DefaultRelaySelectorOptions.HomeRetryMax+time.Second {
			t.Fatalf("%v: %s doesn't go home", errBroken, reader)
		}
		// Home is back.
		ids, _, now = runCalls(m, now, 400, func(time.Duration, string) (watchstream.CallOutcome, time.Duration) {
			return watchstream.CallAnswered, 0
		})
		if ids[len(ids)-1] != home {
			t.Fatalf("%v: %s is at %s, and %s is back", errBroken, reader, ids[len(ids)-1], home)
		}
		// Everybody is busy: it is patient with each.
		retryAt := map[string]time.Duration{}
		_, _, now = runCalls(m, now, 20, func(now time.Duration, id string) (watchstream.CallOutcome, time.Duration) {
			if now < retryAt[id] {
				t.Fatalf("%v: %s asks %s again %v before its time", errBroken, reader, id, retryAt[id]-now)
			}
			retryAt[id] = now + 700*time.Millisecond
			return watchstream.CallBusy, 700 * time.Millisecond
		})
		// Nobody answers: there are fewer and fewer calls.
		_, at, _ = runCalls(m, now, 30, func(time.Duration, string) (watchstream.CallOutcome, time.Duration) {
			return watchstream.CallTimedOut, 0
		})
		for i := 10; i < len(at); i++ {
			if at[i]-at[i-1] < watchstream.DefaultRelaySelectorOptions.RetryMax {
				t.Fatalf("%v: %s calls again %v after the tenth failure", errBroken, reader, at[i]-at[i-1])
			}
		}
	}
}

// regionReaders is how many readers region plays.
const regionReaders = 300

// region plays the readers of r1 for so long: each polls for a second at who it is told to call, and hears how old that relay's state is.
// It returns how many stay at each relay by id, and how many calls each relay had from readers that were at another.
func runRegion(lasts time.Duration, ages func(id string, at time.Duration) time.Duration, busy func(id string, at time.Duration) bool, onCall func(reader int, id string, at time.Duration)) (readersAt map[string]int, moves int) {
	readersAt = map[string]int{}
	for i := range regionReaders {
		reader := fmt.Sprint("n", i)
		s := watchstream.NewRelaySelector(relays(), "r1", reader, uint64(i), watchstream.RelaySelectorOptions{})
		last := ""
		for now := time.Duration(i) * time.Second / time.Duration(regionReaders); now < lasts; {
			r, at := s.NextCall(now)
			if now = at; now >= lasts {
				break
			}
			onCall(i, r.ID, now)
			last = r.ID
			if busy(r.ID, now) {
				now += 5 * time.Millisecond
				s.CallEnded(now, watchstream.CallBusy, 700*time.Millisecond, 0)
				continue
			}
			now += time.Second
			s.CallEnded(now, watchstream.CallAnswered, 0, ages(r.ID, now))
		}
		readersAt[last]++
		moves += int(s.Switches())
	}
	return readersAt, moves
}

// TestAgedRelay has relays that answer and are cut from the log: their readers go where newer is known, soon, spread, and not all at once to one; the
// others stay. Where all are cut off, everybody stays where it is, and asks about seldom.
func TestAgedRelay(t *testing.T) { //nolint:gocognit // one scenario, told in order
	const n, cut = regionReaders, 10 * time.Second
	home := map[int]string{}
	for i := range n {
		home[i] = watchstream.RankRelays(relays(), "r1", fmt.Sprint("n", i))[0].ID
	}
	never := func(string, time.Duration) bool { return false }
	aged := func(is func(id string) bool, until time.Duration) func(string, time.Duration) time.Duration {
		return func(id string, at time.Duration) time.Duration {
			if is(id) && at > cut && at < until {
				return at - cut
			}
			return 200 * time.Millisecond
		}
	}
	isCutOff := func(id string) bool { return id == "relay/4" }
	inOwnRegion := func(id string) bool { return id == "relay/3" || id == "relay/4" || id == "relay/5" }

	// One is cut off.
	firstOtherCall := map[int]time.Duration{} // the first call of another, by reader
	_, moved := runRegion(cut+8*time.Second, aged(isCutOff, time.Hour), never, func(i int, id string, at time.Duration) {
		if id != home[i] && firstOtherCall[i] == 0 {
			firstOtherCall[i] = at
		}
	})
	readers := 0
	for i, id := range home {
		switch {
		case id == "relay/4":
			readers++
			if firstOtherCall[i] == 0 || firstOtherCall[i] > cut+watchstream.DefaultRelaySelectorOptions.StaleAfter+1100*time.Millisecond {
				t.Fatalf("%v: n%d is at a relay that is cut off, and asks another after %v", errBroken, i, firstOtherCall[i]-cut)
			}
		case firstOtherCall[i] != 0:
			t.Fatalf("%v: n%d is at a relay that is not cut off, and asks another", errBroken, i)
		}
	}
	if moved != readers {
		t.Fatalf("%v: %d moves of %d readers", errBroken, moved, readers)
	}
	// It is cut off for long: home is tried, and not gone back to; then it is back.
	readersAt, moves := runRegion(3*time.Minute, aged(isCutOff, time.Hour), never, func(int, string, time.Duration) {})
	if readersAt["relay/4"] > n/10 || moves != readers { // some are just trying it
		t.Fatalf("%v: %d are at a relay that is cut off, after %d moves of %d readers: %v", errBroken, readersAt["relay/4"], moves, readers, readersAt)
	}
	readersAt, _ = runRegion(3*time.Minute, aged(isCutOff, time.Minute), never, func(int, string, time.Duration) {})
	if readersAt["relay/4"] != readers {
		t.Fatalf("%v: %d of %d are back: %v", errBroken, readersAt["relay/4"], readers, readersAt)
	}
	// Its region is cut off, and others aren't: all go to others, spread.
	readersAt, _ = runRegion(cut+15*time.Second, aged(inOwnRegion, time.Hour), never, func(int, string, time.Duration) {})
	for i := range 9 {
		if id := fmt.Sprint("relay/", i); inOwnRegion(id) && readersAt[id] > 0 || !inOwnRegion(id) && (readersAt[id] < n/6/2 || readersAt[id] > n/6*2) {
			t.Fatalf("%v: a region is cut off, and its readers are at %v", errBroken, readersAt)
		}
	}
	// All are: nobody moves, and each asks four others in HomeLeast at most; one other region's relays know a part of them, not all.
	searches, callersOf := map[int]int{}, map[string]map[int]bool{}
	const long = 5 * time.Minute
	_, moves = runRegion(long, aged(func(string) bool { return true }, time.Hour), never, func(i int, id string, _ time.Duration) {
		if id == home[i] {
			return
		}
		searches[i]++
		if callersOf[id] == nil {
			callersOf[id] = map[int]bool{}
		}
		callersOf[id][i] = true
	})
	if moves != 0 {
		t.Fatalf("%v: all are as old, and there are %d moves", errBroken, moves)
	}
	for i, times := range searches {
		if most := 3 * (1 + int(long/watchstream.DefaultRelaySelectorOptions.HomeRetryMin)); times > most || times < 3 {
			t.Fatalf("%v: n%d asks others %d times in %v", errBroken, i, times, long)
		}
	}
	for id, readers := range callersOf {
		if !inOwnRegion(id) && len(readers) > n/6*2 {
			t.Fatalf("%v: %s is asked by %d of %d readers of another region", errBroken, id, len(readers), n)
		}
	}
	// All others are busy: whoever is passed by goes on where it is, and is not kept from it.
	calls := map[int]int{}
	_, _ = runRegion(cut+20*time.Second, aged(isCutOff, time.Hour), func(id string, _ time.Duration) bool { return id != "relay/4" }, func(i int, id string, at time.Duration) {
		if id == home[i] && at > cut+watchstream.DefaultRelaySelectorOptions.StaleAfter {
			calls[i]++
		}
	})
	for i, id := range home {
		if id == "relay/4" && calls[i] < 10 {
			t.Fatalf("%v: n%d called its own relay %d times while all others were busy", errBroken, i, calls[i])
		}
	}
}
