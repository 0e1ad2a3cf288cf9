package leases

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/modelcheck/explore"
	"spindlehitch/internal/testbed/seeded"
)

// TestMain lets other packages' tests go first.
func TestMain(m *testing.M) {
	if err := unix.Setpriority(unix.PRIO_PROCESS, 0, 10); err != nil {
		panic(err)
	}
	seeded.Main(m)
}

var (
	fast, slow = 1 + ppm/1e6, 1 - ppm/1e6
	clocks     = [][2][]float64{{{slow, fast}, {fast, slow}}, {{fast, slow}, {slow, fast}}, {{slow}, {fast}}}
	acting     = []Op{Start, Open, Check, Take, Touch, End}
	all        = append([]Op{Elect, Renew, Deliver, Repeat, Ask, Told, Heard, Finish, Exchange, Propose, Commit, Learn, Sweep, Turn, Whole, Release, Move, Reboot, Quit}, acting...)
)

type small struct {
	Setup
	depth int
}

// cases are the small cases that are searched whole, and how deep.
func cases() (list []small) {
	add := func(depth int, s Setup, ops ...Op) {
		for i, c := range clocks {
			s := s
			s.Name, s.Rates, s.Leads, s.Ops = fmt.Sprintf("%s, clocks %d", s.Name, i), c[0], c[1], ops
			list = append(list, small{s, depth})
		}
	}
	two := Setup{Processes: 2, Shards: 1, Letters: 2, TickMs: 250}
	with := func(s Setup, name string, tick int, before ...Step) Setup {
		s.Name, s.TickMs, s.Before = name, tick, before
		return s
	}
	ticks := func(n int, more ...Step) (all []Step) {
		for range n {
			all = append(all, Step{Tick, 0})
		}
		return append(all, more...)
	}
	join := func(all ...[]Step) []Step { return slices.Concat(all...) }
	begun := []Step{{Start, 0}, {Open, 0}, {Check, 0}}
	led, three := two, two
	led.Elections = 2
	three.Processes, three.Shards = 3, 2
	// A holder is at the end of its lease in most of them: what is wrong shows within few steps.
	add(6, with(two, "an act paused at each step", 250, join(begun, ticks(3))...), Open, Check, Take, Touch, Exchange, Sweep, Start, Turn)
	add(5, with(two, "an act not yet open", 250, join([]Step{{Start, 0}}, ticks(3))...), Open, Check, Take, Touch, Exchange, Turn, End)
	add(5, with(two, "an act to the last moment", 70, ticks(7, Step{Start, 0}, Step{Open, 0}, Step{Tick, 0}, Step{Tick, 0})...), Open, Check, Touch, Turn, Whole)
	add(7, with(two, "an act that begins late", 70, ticks(9)...), Start, Check, Touch, Turn)
	add(6, with(two, "an act under the token before", 250, join([]Step{{Start, 0}}, ticks(4, Step{Turn, 1}, Step{Release, 1}, Step{Exchange, 1}))...), Open, Check, Touch, Take, Sweep, Exchange)
	add(5, with(two, "an act from its start", 200), append([]Op{Turn, Whole}, acting...)...)
	add(4, with(three, "three and two shards", 400), Turn, Sweep, Whole, Release, Move, Start, Open, Check, Take)
	add(6, with(two, "letters", 350), Renew, Deliver, Repeat, Finish, Turn, Whole)
	add(5, with(two, "a late answer", 250, join([]Step{{Renew, 0}, {Deliver, 0}, {Finish, 0}}, ticks(2))...), Renew, Deliver, Repeat, Turn, Whole)
	add(5, with(two, "a late answer after another claim", 300, join([]Step{{Renew, 0}, {Deliver, 0}, {Finish, 0}}, ticks(2, Step{Renew, 0}))...), Deliver, Turn, Whole, Exchange)
	add(6, with(led, "leaders", 300), Elect, Exchange, Sweep, Turn, Whole)
	add(6, with(led, "a leader in mid-act", 300, begun...), Elect, Turn, Take, Touch, Check, Whole)
	add(6, with(led, "an old leader", 250, join([]Step{{Elect, 0}}, ticks(3, Step{Renew, 0}))...), Deliver, Ask, Told, Heard, Finish, Turn, Whole)
	add(6, with(led, "an old leader that had asked", 250, join([]Step{{Renew, 1}, {Deliver, 0}, {Ask, 0}, {Told, 0}, {Elect, 0}}, ticks(3, Step{Renew, 0}))...),
		Deliver, Heard, Turn, Whole)
	add(6, with(two, "a log behind", 200, ticks(4, Step{Exchange, 1}, Step{Propose, 0})...), Propose, Commit, Learn, Exchange, Whole)
	add(6, with(two, "a log behind, asked twice", 350, ticks(3, Step{Exchange, 1}, Step{Propose, 0}, Step{Propose, 0}, Step{Commit, 0}, Step{Learn, 0}, Step{Exchange, 1})...),
		Propose, Commit, Learn, Exchange, Turn, Whole)
	add(5, with(led, "given back", 250, Step{Release, 0}), Exchange, Turn, Whole, Elect, Move, Start, Take, Open, Check)
	add(6, with(two, "given back, a late letter", 350, Step{Release, 0}, Step{Renew, 0}, Step{Repeat, 0}, Step{Sweep, 0}, Step{Exchange, 0}), Deliver, Finish, Sweep, Turn, Whole)
	add(6, with(led, "given back, late letters", 250, Step{Renew, 0}, Step{Renew, 1}, Step{Release, 0}), Deliver, Repeat, Finish, Sweep, Whole, Turn)
	add(6, with(led, "moved in mid-act", 120, join(begun, []Step{{Move, 0}, {Move, 4}})...), Exchange, Turn, Take, Touch, Check, End, Elect)
	add(6, with(led, "moved and cut off", 300, Step{Move, 0}, Step{Move, 4}, Step{Exchange, 0}), Renew, Deliver, Finish, Turn, Whole)
	lies := led
	lies.Lies = true
	add(6, with(lies, "all say that the others are dead", 250, begun...), Exchange, Sweep, Turn, Take, Touch, Check, Elect)
	add(4, with(three, "three, and all say so", 400), Turn, Sweep, Whole, Start, Open, Check, Take)
	list[len(list)-1].Lies, list[len(list)-2].Lies, list[len(list)-3].Lies = true, true, true
	add(5, with(led, "dies and leaves", 350), Reboot, Quit, Release, Turn, Whole, Elect)
	var hangs []Step
	for range 6 {
		hangs = append(hangs, Step{Tick, 0}, Step{Exchange, 0}, Step{Exchange, 1}, Step{Sweep, 0})
	}
	add(5, with(led, "hangs and renews", 300, hangs...), Exchange, Turn, Whole, Start, Check, Touch, Elect)
	return list
}

// searched is how many states TestSearch went through.
var searched int

// TestSearch goes through every state of the small cases.
func TestSearch(t *testing.T) {
	searched = 0
	for _, c := range cases() {
		t.Run(c.Name, func(t *testing.T) {
			began := time.Now()
			n, full, err := explore.Search(c.Name, func() (*World, error) { return New(c.Setup) }, c.depth, 400_000, settles)
			searched += n
			if err != nil {
				t.Fatal(err)
			}
			if !full {
				t.Errorf("%s: not gone through whole", c.Name)
			}
			t.Logf("%d states to a depth of %d, %v", n, c.depth, time.Since(began))
		})
	}
}

// bound is within which every shard is acted on once faults have ended: a lease with its pause by the slowest clock, the progress that a
// hung one must be without, and some renewals.
const bound = 4 * time.Second

// settles ends all faults, and holds the time that it takes until all is acted on against the bound.
func settles(w *World) error {
	took, err := w.Settle()
	if err == nil && took > bound {
		err = fmt.Errorf("broken: a shard was first acted on %v after all faults had ended", took)
	}
	return err
}

// walk takes a long random walk with two or three processes and one or two shards, and then ends all faults.
func walk(t *rapid.T) time.Duration {
	c := clocks[rapid.IntRange(0, len(clocks)-1).Draw(t, "clocks")]
	s := Setup{Name: "long", Processes: rapid.IntRange(2, 3).Draw(t, "processes"), Shards: rapid.IntRange(1, 2).Draw(t, "shards"), Elections: 3, Letters: 3,
		TickMs: rapid.SampledFrom([]int{50, 120, 250}).Draw(t, "tick"), Rates: c[0], Leads: c[1], Fresh: rapid.Bool().Draw(t, "fresh")}
	// Of all that can happen a part, another each time: what takes several steps of one kind is met sooner.
	for _, op := range all {
		if rapid.Bool().Draw(t, "op") {
			s.Ops = append(s.Ops, op)
		}
	}
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	steps, err := explore.Walk(s.Name, w, t, 80, func(s Step) Op { return s.Op }, Tick, 4)
	if err != nil {
		t.Fatal(err)
	}
	took, err := w.Settle()
	if err != nil {
		t.Fatal(explore.Broken(s.Name, steps, fmt.Errorf("%w, while settling", err)))
	}
	return took
}

// TestLong takes random walks: the promises hold at each step, and once faults end every shard is acted on within a bound.
func TestLong(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	var worst time.Duration
	rapid.Check(t, func(t *rapid.T) {
		took := walk(t)
		worst = max(worst, took)
		if took > bound {
			t.Fatalf("broken: a shard was first acted on %v after all faults had ended", took)
		}
	})
	t.Logf("every shard was acted on within %v after all faults had ended", worst)
}

// TestHung has a process hold everything, renew and never act: it loses it, each time for longer, and another acts.
func TestHung(t *testing.T) {
	for i, c := range clocks {
		w, err := New(Setup{Name: "hung", Processes: 2, Shards: 2, TickMs: 100, Rates: c[0], Leads: c[1]})
		if err != nil {
			t.Fatal(err)
		}
		gap, last, acts := time.Duration(0), w.now, 0
		for range 200 {
			for _, s := range []Step{{Tick, 0}, {Exchange, 0}, {Exchange, 1}, {Sweep, 0}, {Whole, 1}, {Whole, 1}} {
				if err := w.Do(s); err != nil {
					t.Fatal(err)
				}
			}
			if w.judge[0].acts+w.judge[1].acts > acts {
				acts = w.judge[0].acts + w.judge[1].acts
				gap, last = max(gap, w.now-last), w.now
			}
		}
		gap = max(gap, w.now-last)
		// The progress that is waited for, the lease's end, and what is spread evenly by then: the shard that stayed with it counts too.
		if both := min(w.judge[0].acts, w.judge[1].acts); gap > 4*time.Second || both == 0 {
			t.Fatalf("broken: clocks %d: a member that hangs kept a shard: %d and %d acts, none for %v", i, w.judge[0].acts, w.judge[1].acts, gap)
		}
		t.Logf("clocks %d: %d and %d acts beside a member that hangs, none for %v at most", i, w.judge[0].acts, w.judge[1].acts, gap)
	}
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestHung)$", mistakes)
	fmt.Printf("proof: leases: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
