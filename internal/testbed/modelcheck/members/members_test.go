package members

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/testbed/model/mesh"
	"spindlehitch/internal/testbed/modelcheck/explore"
	"spindlehitch/internal/testbed/seeded"
)

// TestMain lowers the priority of the searches, which use all cores: tests of other packages wait for processes with deadlines.
func TestMain(m *testing.M) {
	if err := unix.Setpriority(unix.PRIO_PROCESS, 0, 10); err != nil {
		panic(err)
	}
	flag.Parse()
	if err := flag.Set("rapid.checks", "1500"); err != nil { // a walk takes little time
		panic(err)
	}
	seeded.Main(m)
}

func rounds(n int) (list []Step) {
	for range n {
		list = append(list, Step{Op: Round})
	}
	return list
}

// cases are the cases to search, each with its depth.
var cases = []struct {
	Setup
	depth int
}{
	{Setup{Name: "cuts of three", Size: 3, Ops: []Op{Cut, Heal}}, 6},
	{Setup{Name: "pauses of three", Size: 3, Ops: []Op{HalfRound, Pause, Resume, Silence}}, 6},
	{Setup{Name: "deaths of three", Size: 3, Ops: []Op{Kill, Restart, Leave}}, 6},
	{Setup{Name: "one member with pauses and cuts", Size: 3, Ops: []Op{Pause, Resume, Cut, Heal}, Members: []int{0}}, 7},
	{Setup{Name: "mute", Size: 4, Ops: []Op{Mute, Heal, Silence}, Members: []int{0, 1}}, 7},
	{Setup{Name: "old messages", Size: 3, Ops: []Op{ReplayOld, Mute, Heal, Restart, Kill, ForeignMessage}, Members: []int{1}, Before: rounds(2)}, 4},
	{Setup{Name: "old messages of a suspicion", Size: 3, Ops: []Op{ReplayOld, Heal}, Members: []int{1},
		Before: append([]Step{{Op: Mute, On: 1}}, append(rounds(3), Step{Op: Heal}, Step{Op: Round})...)}, 3},
	{Setup{Name: "four, one with cuts", Size: 4, Ops: []Op{Cut, Silence, Heal}, Members: []int{0}, Before: rounds(1)}, 5},
	{Setup{Name: "declared dead and resumed", Size: 3, Ops: []Op{Resume, Heal, HalfRound, Kill}, Members: []int{1}, Before: append([]Step{{Op: Pause, On: 1}}, rounds(9)...)}, 6},
	{Setup{Name: "a partition", Size: 4, Ops: []Op{Heal, Silence}, Before: append([]Step{{Cut, 0, 2}, {Cut, 0, 3}, {Cut, 1, 2}, {Cut, 1, 3},
		{Cut, 2, 0}, {Cut, 2, 1}, {Cut, 3, 0}, {Cut, 3, 1}}, rounds(12)...)}, 5},
	{Setup{Name: "joins with one or two seeds", Size: 4, Ops: []Op{Silence, Pause, Resume}, Members: []int{0}, Seeds: [][]int{{1}, {0}, {3}, {2, 0}}}, 5},
}

var clocks = [][]float64{{1}, {0.9, 1.1}}

// statesSearched is the number of states that TestSearch visited; TestPlanted prints it.
var statesSearched int

// TestSearch visits the states of the cases, with equal clocks and with clocks that are off by a tenth; from one state in
// sixteen it ends all faults and checks that views converge.
func TestSearch(t *testing.T) {
	depth := 0
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		depth = -1 // a shorter search for ordinary test runs
	}
	for _, c := range cases {
		for i, rates := range clocks {
			s := c.Setup
			s.Rates = rates
			s.Name = fmt.Sprintf("%s, clocks %d", s.Name, i)
			n, full, err := explore.Search(s.Name, func() (*World, error) { return New(s) }, c.depth+depth, 150_000, func(w *World) error { return w.Settle() })
			if err != nil {
				t.Fatal(err)
			}
			if !full {
				t.Logf("%s: stopped at %d states", s.Name, n)
			}
			statesSearched += n
		}
	}
	t.Logf("%d states", statesSearched)
}

// TestLong takes random walks of 60 steps, then ends all faults and checks that views converge.
func TestLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Setup{Name: "long", Size: rapid.IntRange(3, 5).Draw(t, "size"), Rates: clocks[rapid.IntRange(0, 1).Draw(t, "clocks")],
			Ops: []Op{HalfRound, Silence, Cut, Mute, Heal, Pause, Resume, Kill, Restart, Leave, ForeignMessage}}
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		steps, err := explore.Walk(s.Name, w, t, 60, func(s Step) Op { return s.Op }, Round, 2)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Settle(); err != nil {
			t.Fatal(explore.NewViolation(s.Name, steps, fmt.Errorf("%w, while settling", err)))
		}
	})
}

// TestCuts cuts each path between three members for a while: all members must report it with its direction, and withdraw the
// report once it is restored.
func TestCuts(t *testing.T) { //nolint:gocognit // one scenario in order
	for from := range 3 {
		for to := range 3 {
			if from == to {
				continue
			}
			w, err := New(Setup{Name: "cut", Size: 3, Rates: []float64{1}})
			if err != nil {
				t.Fatal(err)
			}
			w.cut[[2]int{from, to}] = true
			for range 40 {
				if err := w.advance(period); err != nil {
					t.Fatal(err)
				}
			}
			for i, n := range w.nodes {
				ways := n.member.View(w.clock(i)).Paths
				if len(ways) != 1 || ways[0].From != addr(from) || ways[0].To != addr(to) || ways[0].Kind != membership.LinkDown.String() {
					t.Errorf("broken: the path from %d to %d is cut, and %s reports %+v", from, to, addr(i), ways)
				}
			}
			clear(w.cut)
			for range 30 {
				if err := w.advance(period); err != nil {
					t.Fatal(err)
				}
			}
			for i, n := range w.nodes {
				if ways := n.member.View(w.clock(i)).Paths; len(ways) > 0 {
					t.Errorf("broken: all paths are restored, and %s reports %+v", addr(i), ways)
				}
			}
		}
	}
}

// TestFar partitions a group that is too large for each member to probe all others in time, has members join on either side,
// and heals it. Views must converge within twenty probe intervals, which takes comparing them.
func TestFar(t *testing.T) {
	set := membership.DefaultConfig
	set.FleetID = fleetID
	m := mesh.New(mesh.Spec{Size: 60, Seed: 4, Settings: set, Delay: time.Millisecond, Joined: true})
	for i := 40; i < 60; i++ {
		m.Kill(m.Nodes[i])
	}
	m.Cut = func(from, to *mesh.Node, _ membership.Channel) bool { return from.Number%2 != to.Number%2 }
	m.Run(time.Minute)
	for i := 40; i < 60; i++ {
		m.Start(m.Nodes[i])
	}
	m.Run(time.Minute)
	m.Cut = nil
	if took, ok := m.Until(100*time.Millisecond, 20*set.ProbeInterval, m.Converged); !ok {
		t.Fatal("broken: views do not converge within twenty probe intervals")
	} else {
		t.Log("views converge after", took)
	}
}

// TestBuried partitions a group without seeds until each half has declared the other dead. Views must converge after it heals,
// since dead members are still probed now and then.
func TestBuried(t *testing.T) {
	set := membership.DefaultConfig
	set.FleetID = fleetID
	m := mesh.New(mesh.Spec{Size: 20, Seed: 4, Settings: set, Delay: time.Millisecond, Joined: true, NoSeeds: true})
	m.Cut = func(from, to *mesh.Node, _ membership.Channel) bool { return from.Number%2 != to.Number%2 }
	m.Run(time.Minute)
	m.Cut = nil
	if took, ok := m.Until(100*time.Millisecond, 60*set.ProbeInterval, m.Converged); !ok {
		t.Fatal("broken: two halves that declared each other dead do not converge within sixty probe intervals")
	} else {
		t.Log("views converge after", took)
	}
}
