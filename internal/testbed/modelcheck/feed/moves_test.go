package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
)

// TestAppliedAcrossHistories checks that changes of an earlier history, marked as applied late, never count as applied in a
// later one.
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
	late := f.replica.Consistent() // a reader that is slow to apply marks it later
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
		t.Fatalf("broken: %+v of the previous history was marked as applied, and %+v counts as applied", late, f.replica.Applied())
	}
}

// relays returns three relays in each of three regions.
func relays() (list []watchstream.Relay) {
	for i := range 9 {
		list = append(list, watchstream.Relay{ID: fmt.Sprint("relay/", i), Region: fmt.Sprint("r", i/3), Addr: fmt.Sprint("127.0.0.1:", 7000+i)})
	}
	return list
}

// runCalls drives a selector for n calls, each of 100 ms, and returns the relays called, the times, and the time after the last.
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

// TestMoves checks how readers select relays: those of their region first, spread evenly; if one fails, its readers spread
// over the others; a busy relay isn't called before its retry time; and a reader returns home once its home relay is back.
func TestMoves(t *testing.T) { //nolint:gocognit // one scenario in order
	const n = 900
	homeOf, fallbackOf := map[string]int{}, map[string]map[string]int{}
	for i := range n {
		reader := fmt.Sprint("n", i)
		order := watchstream.RankRelays(relays(), "r1", reader)
		for j, r := range order {
			if (r.Region == "r1") != (j < 3) {
				t.Fatalf("%v: %s of region r1 ranks the relays %v", errBroken, reader, order)
			}
		}
		homeOf[order[0].ID]++
		if fallbackOf[order[0].ID] == nil {
			fallbackOf[order[0].ID] = map[string]int{}
		}
		fallbackOf[order[0].ID][order[1].ID]++
		// If a relay is removed, only its readers switch.
		var left []watchstream.Relay
		for _, r := range relays() {
			if r.ID != order[2].ID {
				left = append(left, r)
			}
		}
		if without := watchstream.RankRelays(left, "r1", reader); without[0] != order[0] || without[1] != order[1] {
			t.Fatalf("%v: %s switches since %s is removed", errBroken, reader, order[2].ID)
		}
	}
	for id, readers := range homeOf {
		if readers < n/3*8/10 || readers > n/3*12/10 || len(homeOf) != 3 {
			t.Fatalf("%v: %s has %d of %d readers", errBroken, id, readers, n)
		}
		for other, m := range fallbackOf[id] {
			if m < readers*3/10 || m > readers*7/10 {
				t.Fatalf("%v: %s is the fallback of %d of the %d readers of %s", errBroken, other, m, readers, id)
			}
		}
	}
	for seed := range uint64(200) {
		reader := fmt.Sprint("n", seed)
		order := watchstream.RankRelays(relays(), "r1", reader)
		home := order[0].ID
		m := watchstream.NewRelaySelector(relays(), "r1", reader, seed, watchstream.RelaySelectorOptions{})
		// Home fails: another relay answers, and home is retried between HomeRetryMin and HomeRetryMax.
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
				t.Fatalf("%v: %s retries home after %v", errBroken, reader, gap)
			}
			homeTriedAt = at[i+1]
		}
		if at[len(at)-1]-homeTriedAt > watchstream.DefaultRelaySelectorOptions.HomeRetryMax+time.Second {
			t.Fatalf("%v: %s stopped retrying home", errBroken, reader)
		}
		// Home is back.
		ids, _, now = runCalls(m, now, 400, func(time.Duration, string) (watchstream.CallOutcome, time.Duration) {
			return watchstream.CallAnswered, 0
		})
		if ids[len(ids)-1] != home {
			t.Fatalf("%v: %s is at %s, but its home %s is back", errBroken, reader, ids[len(ids)-1], home)
		}
		// All relays are busy: none is called again before its retry time.
		retryAt := map[string]time.Duration{}
		_, _, now = runCalls(m, now, 20, func(now time.Duration, id string) (watchstream.CallOutcome, time.Duration) {
			if now < retryAt[id] {
				t.Fatalf("%v: %s calls %s again %v before its retry time", errBroken, reader, id, retryAt[id]-now)
			}
			retryAt[id] = now + 700*time.Millisecond
			return watchstream.CallBusy, 700 * time.Millisecond
		})
		// No relay answers: calls back off.
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

// regionReaders is the number of readers that runRegion simulates.
const regionReaders = 300

// runRegion simulates the readers of r1 for that long: each polls the selected relay for a second, and learns how old that
// relay's state is. It returns the number of readers at each relay at the end, and how often readers switched.
func runRegion(lasts time.Duration, ages func(id string, at time.Duration) time.Duration, busy func(id string, at time.Duration) bool, onCall func(reader int, id string, at time.Duration)) (readersAt map[string]int, switches int) {
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
		switches += int(s.Switches())
	}
	return readersAt, switches
}

// TestAgedRelay has relays that answer but are cut off from the log, so that their state ages. Their readers must switch to
// fresher relays soon and spread over them, and all other readers must stay. If all relays are cut off, readers must stay
// and search rarely.
func TestAgedRelay(t *testing.T) { //nolint:gocognit // one scenario in order
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

	// One relay is cut off.
	firstOtherCall := map[int]time.Duration{} // time of the first call of another relay, by reader
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
				t.Fatalf("%v: n%d is at a relay that is cut off, and calls another after %v", errBroken, i, firstOtherCall[i]-cut)
			}
		case firstOtherCall[i] != 0:
			t.Fatalf("%v: n%d is at a relay that is not cut off, and calls another", errBroken, i)
		}
	}
	if moved != readers {
		t.Fatalf("%v: %d switches of %d readers", errBroken, moved, readers)
	}
	// It is cut off for long: its readers retry it, but don't return before it is fresh again.
	readersAt, switches := runRegion(3*time.Minute, aged(isCutOff, time.Hour), never, func(int, string, time.Duration) {})
	if readersAt["relay/4"] > n/10 || switches != readers { // some are retrying it at that moment
		t.Fatalf("%v: %d are at a relay that is cut off, after %d switches of %d readers: %v", errBroken, readersAt["relay/4"], switches, readers, readersAt)
	}
	readersAt, _ = runRegion(3*time.Minute, aged(isCutOff, time.Minute), never, func(int, string, time.Duration) {})
	if readersAt["relay/4"] != readers {
		t.Fatalf("%v: %d of %d are back: %v", errBroken, readersAt["relay/4"], readers, readersAt)
	}
	// Its region is cut off and others are not: all readers switch to the other regions and spread.
	readersAt, _ = runRegion(cut+15*time.Second, aged(inOwnRegion, time.Hour), never, func(int, string, time.Duration) {})
	for i := range 9 {
		if id := fmt.Sprint("relay/", i); inOwnRegion(id) && readersAt[id] > 0 || !inOwnRegion(id) && (readersAt[id] < n/6/2 || readersAt[id] > n/6*2) {
			t.Fatalf("%v: a region is cut off, and its readers are spread as %v", errBroken, readersAt)
		}
	}
	// All relays are cut off: no reader switches, each searches at most once in HomeRetryMin with at most three calls, and a
	// relay of another region is called by some of the readers, not all.
	searches, callersOf := map[int]int{}, map[string]map[int]bool{}
	const long = 5 * time.Minute
	_, switches = runRegion(long, aged(func(string) bool { return true }, time.Hour), never, func(i int, id string, _ time.Duration) {
		if id == home[i] {
			return
		}
		searches[i]++
		if callersOf[id] == nil {
			callersOf[id] = map[int]bool{}
		}
		callersOf[id][i] = true
	})
	if switches != 0 {
		t.Fatalf("%v: all relays are equally old, and there are %d switches", errBroken, switches)
	}
	for i, times := range searches {
		if most := 3 * (1 + int(long/watchstream.DefaultRelaySelectorOptions.HomeRetryMin)); times > most || times < 3 {
			t.Fatalf("%v: n%d calls other relays %d times in %v", errBroken, i, times, long)
		}
	}
	for id, readers := range callersOf {
		if !inOwnRegion(id) && len(readers) > n/6*2 {
			t.Fatalf("%v: %s is called by %d of %d readers of another region", errBroken, id, len(readers), n)
		}
	}
	// All other relays are busy: a search skips them, and doesn't keep the reader from polling its own relay.
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
