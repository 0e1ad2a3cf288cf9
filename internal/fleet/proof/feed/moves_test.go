package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/fleet/feed"
)

// TestMarks has what is of an earlier history never count as in force in a later one.
func TestMarks(t *testing.T) {
	w, err := New(Setup{Relays: 0, Readers: 1, Source: ample, Limits: small, Changes: [][]feed.Put{{target("a")}, {target("b")}, {target("c")}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []Step{{Put, 0}, {Put, 0}, {Exchange, 0}} {
		if err := w.Do(s); err != nil {
			t.Fatal(err)
		}
	}
	f := w.all[0]
	late := f.r.Whole() // an edge that is slow to apply says it later
	for _, s := range []Step{{Empty, 0}, {Put, 0}, {Word, 0}} {
		if err := w.Do(s); err != nil {
			t.Fatal(err)
		}
	}
	h, err := w.hello(0)
	if err != nil {
		t.Fatal(err)
	}
	d, err := w.serve(-1, h)
	if err != nil || d == nil {
		t.Fatal(d, err)
	}
	if err := w.take(0, d); err != nil {
		t.Fatal(err)
	}
	f.r.Applied(late)
	if f.r.InForce() != late && f.r.InForce() != (feed.Mark{}) {
		t.Fatalf("broken: %+v was applied before the history ended, and %+v counts as in force", late, f.r.InForce())
	}
}

// relays are three of each of three regions.
func relays() (list []feed.Relay) {
	for i := range 9 {
		list = append(list, feed.Relay{ID: fmt.Sprint("relay/", i), Region: fmt.Sprint("r", i/3), Addr: fmt.Sprint("127.0.0.1:", 7000+i)})
	}
	return list
}

// call drives a mover until it has called n times, and returns whom it called and when.
func call(m *feed.Mover, now time.Duration, n int, answer func(now time.Duration, id string) (feed.Outcome, time.Duration)) (ids []string, at []time.Duration, end time.Duration) {
	for range n {
		r, due := m.Next(now)
		now = max(now, due)
		if again, due := m.Next(now); due <= now {
			r = again
		}
		o, after := answer(now, r.ID)
		m.Ended(now, o, after)
		ids, at = append(ids, r.ID), append(at, now)
		now += 100 * time.Millisecond
	}
	return ids, at, now
}

var errMoves = errors.New("broken")

// TestMoves has readers find their relays: spread, their region's first, several others with one gone, not before they are told, and home again.
func TestMoves(t *testing.T) {
	const n = 900
	first, second := map[string]int{}, map[string]map[string]int{}
	for i := range n {
		reader := fmt.Sprint("n", i)
		order := feed.Order(relays(), "r1", reader)
		for j, r := range order {
			if (r.Region == "r1") != (j < 3) {
				t.Fatalf("%v: %s goes to %v, and is of r1", errMoves, reader, order)
			}
		}
		first[order[0].ID]++
		if second[order[0].ID] == nil {
			second[order[0].ID] = map[string]int{}
		}
		second[order[0].ID][order[1].ID]++
		// With one gone, only its readers move.
		var left []feed.Relay
		for _, r := range relays() {
			if r.ID != order[2].ID {
				left = append(left, r)
			}
		}
		if without := feed.Order(left, "r1", reader); without[0] != order[0] || without[1] != order[1] {
			t.Fatalf("%v: %s moves since %s is gone", errMoves, reader, order[2].ID)
		}
	}
	for id, readers := range first {
		if readers < n/3*8/10 || readers > n/3*12/10 || len(first) != 3 {
			t.Fatalf("%v: %s has %d of %d readers", errMoves, id, readers, n)
		}
		for other, m := range second[id] {
			if m < readers*3/10 || m > readers*7/10 {
				t.Fatalf("%v: %s gets %d of the %d readers of %s", errMoves, other, m, readers, id)
			}
		}
	}
	for seed := range uint64(200) {
		reader := fmt.Sprint("n", seed)
		order := feed.Order(relays(), "r1", reader)
		home := order[0].ID
		m := feed.NewMover(relays(), "r1", reader, seed, feed.MoverOptions{})
		// Home is gone: another answers, and home is tried within its time and not sooner.
		ids, at, now := call(m, time.Hour, 400, func(_ time.Duration, id string) (feed.Outcome, time.Duration) {
			if id == home {
				return feed.Failed, 0
			}
			return feed.Answered, 0
		})
		tried := at[0]
		for i, id := range ids[1:] {
			wait := at[i+1] - at[i]
			if ids[i] == home && i == 0 && wait < feed.Moves.Least {
				t.Fatalf("%v: %s calls again %v after a failure", errMoves, reader, wait)
			}
			if id != home {
				continue
			}
			if gap := at[i+1] - tried; gap < feed.Moves.HomeLeast || gap > feed.Moves.HomeMost+time.Second {
				t.Fatalf("%v: %s tries home %v after it was tried", errMoves, reader, gap)
			}
			tried = at[i+1]
		}
		if at[len(at)-1]-tried > feed.Moves.HomeMost+time.Second {
			t.Fatalf("%v: %s doesn't go home", errMoves, reader)
		}
		// Home is back.
		ids, _, now = call(m, now, 400, func(time.Duration, string) (feed.Outcome, time.Duration) { return feed.Answered, 0 })
		if ids[len(ids)-1] != home {
			t.Fatalf("%v: %s is at %s, and %s is back", errMoves, reader, ids[len(ids)-1], home)
		}
		// Everybody is busy: it is patient with each.
		told := map[string]time.Duration{}
		_, _, now = call(m, now, 20, func(now time.Duration, id string) (feed.Outcome, time.Duration) {
			if now < told[id] {
				t.Fatalf("%v: %s asks %s again %v before its time", errMoves, reader, id, told[id]-now)
			}
			told[id] = now + 700*time.Millisecond
			return feed.Turned, 700 * time.Millisecond
		})
		// Nobody answers: there are fewer and fewer calls.
		_, at, _ = call(m, now, 30, func(time.Duration, string) (feed.Outcome, time.Duration) { return feed.Silent, 0 })
		for i := 10; i < len(at); i++ {
			if at[i]-at[i-1] < feed.Moves.Most {
				t.Fatalf("%v: %s calls again %v after the tenth failure", errMoves, reader, at[i]-at[i-1])
			}
		}
	}
}
