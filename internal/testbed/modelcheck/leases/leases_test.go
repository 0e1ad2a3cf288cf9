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

// TestMain lowers the priority of the searches, which use all cores: tests of other packages wait for processes with deadlines.
func TestMain(m *testing.M) {
	if err := unix.Setpriority(unix.PRIO_PROCESS, 0, 10); err != nil {
		panic(err)
	}
	seeded.Main(m)
}

var (
	fast, slow   = 1 + ppm/1e6, 1 - ppm/1e6
	clocks       = [][2][]float64{{{slow, fast}, {fast, slow}}, {{fast, slow}, {slow, fast}}, {{slow}, {fast}}}
	operationOps = []Op{StartOperation, BeginAtResource, CheckLease, ChangeResource, TouchUnguarded, EndOperation}
	allOps       = append([]Op{Elect, Renew, Deliver, DeliverAgain, StartRound, MajorityAnswers, FinishRound, RoundAtOnce, RenewAtOnce, Propose, Commit, UpdateLeader, ProposeAndUpdate, RenewAndOperate, OperationAtOnce, Release, Migrate, Restart, Leave}, operationOps...)
)

type smallCase struct {
	Setup
	depth int
}

// cases returns the cases that TestSearch visits completely, each with its depth and with three sets of clock rates.
func cases() (list []smallCase) {
	add := func(depth int, s Setup, ops ...Op) {
		for i, c := range clocks {
			s := s
			s.Name, s.Rates, s.LeaderRates, s.Ops = fmt.Sprintf("%s, clocks %d", s.Name, i), c[0], c[1], ops
			list = append(list, smallCase{s, depth})
		}
	}
	two := Setup{Processes: 2, Shards: 1, MaxInTransit: 2, TickMs: 250}
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
	begun := []Step{{StartOperation, 0}, {BeginAtResource, 0}, {CheckLease, 0}}
	withElections, three := two, two
	withElections.Elections = 2
	three.Processes, three.Shards = 3, 2
	// In most cases a holder is near the end of its lease, so that a fault shows within few steps.
	add(6, with(two, "an operation paused at each step", 250, join(begun, ticks(3))...), BeginAtResource, CheckLease, ChangeResource, TouchUnguarded, RenewAtOnce, ProposeAndUpdate, StartOperation, RenewAndOperate)
	add(5, with(two, "an operation not yet begun", 250, join([]Step{{StartOperation, 0}}, ticks(3))...), BeginAtResource, CheckLease, ChangeResource, TouchUnguarded, RenewAtOnce, RenewAndOperate, EndOperation)
	add(5, with(two, "an operation to the last moment", 70, ticks(7, Step{StartOperation, 0}, Step{BeginAtResource, 0}, Step{Tick, 0}, Step{Tick, 0})...), BeginAtResource, CheckLease, TouchUnguarded, RenewAndOperate, OperationAtOnce)
	add(7, with(two, "an operation that begins late", 70, ticks(9)...), StartOperation, CheckLease, TouchUnguarded, RenewAndOperate)
	add(6, with(two, "an operation under the previous token", 250, join([]Step{{StartOperation, 0}}, ticks(4, Step{RenewAndOperate, 1}, Step{Release, 1}, Step{RenewAtOnce, 1}))...), BeginAtResource, CheckLease, TouchUnguarded, ChangeResource, ProposeAndUpdate, RenewAtOnce)
	add(5, with(two, "an operation from its start", 200), append([]Op{RenewAndOperate, OperationAtOnce}, operationOps...)...)
	add(4, with(three, "three and two shards", 400), RenewAndOperate, ProposeAndUpdate, OperationAtOnce, Release, Migrate, StartOperation, BeginAtResource, CheckLease, ChangeResource)
	add(6, with(two, "messages", 350), Renew, Deliver, DeliverAgain, RoundAtOnce, RenewAndOperate, OperationAtOnce)
	add(5, with(two, "a late response", 250, join([]Step{{Renew, 0}, {Deliver, 0}, {RoundAtOnce, 0}}, ticks(2))...), Renew, Deliver, DeliverAgain, RenewAndOperate, OperationAtOnce)
	add(5, with(two, "a late response after another renewal", 300, join([]Step{{Renew, 0}, {Deliver, 0}, {RoundAtOnce, 0}}, ticks(2, Step{Renew, 0}))...), Deliver, RenewAndOperate, OperationAtOnce, RenewAtOnce)
	add(6, with(withElections, "leaders", 300), Elect, RenewAtOnce, ProposeAndUpdate, RenewAndOperate, OperationAtOnce)
	add(6, with(withElections, "an election during an operation", 300, begun...), Elect, RenewAndOperate, ChangeResource, TouchUnguarded, CheckLease, OperationAtOnce)
	add(6, with(withElections, "a replaced leader", 250, join([]Step{{Elect, 0}}, ticks(3, Step{Renew, 0}))...), Deliver, StartRound, MajorityAnswers, FinishRound, RoundAtOnce, RenewAndOperate, OperationAtOnce)
	add(6, with(withElections, "a replaced leader with a round in progress", 250, join([]Step{{Renew, 1}, {Deliver, 0}, {StartRound, 0}, {MajorityAnswers, 0}, {Elect, 0}}, ticks(3, Step{Renew, 0}))...),
		Deliver, FinishRound, RenewAndOperate, OperationAtOnce)
	add(6, with(two, "a delayed log", 200, ticks(4, Step{RenewAtOnce, 1}, Step{Propose, 0})...), Propose, Commit, UpdateLeader, RenewAtOnce, OperationAtOnce)
	add(6, with(two, "a delayed log, proposed twice", 350, ticks(3, Step{RenewAtOnce, 1}, Step{Propose, 0}, Step{Propose, 0}, Step{Commit, 0}, Step{UpdateLeader, 0}, Step{RenewAtOnce, 1})...),
		Propose, Commit, UpdateLeader, RenewAtOnce, RenewAndOperate, OperationAtOnce)
	add(5, with(withElections, "released", 250, Step{Release, 0}), RenewAtOnce, RenewAndOperate, OperationAtOnce, Elect, Migrate, StartOperation, ChangeResource, BeginAtResource, CheckLease)
	add(6, with(two, "released, a late request", 350, Step{Release, 0}, Step{Renew, 0}, Step{DeliverAgain, 0}, Step{ProposeAndUpdate, 0}, Step{RenewAtOnce, 0}), Deliver, RoundAtOnce, ProposeAndUpdate, RenewAndOperate, OperationAtOnce)
	add(6, with(withElections, "released, late requests", 250, Step{Renew, 0}, Step{Renew, 1}, Step{Release, 0}), Deliver, DeliverAgain, RoundAtOnce, ProposeAndUpdate, OperationAtOnce, RenewAndOperate)
	add(6, with(withElections, "migrated during an operation", 120, join(begun, []Step{{Migrate, 0}, {Migrate, 4}})...), RenewAtOnce, RenewAndOperate, ChangeResource, TouchUnguarded, CheckLease, EndOperation, Elect)
	add(6, with(withElections, "migrated and unreachable", 300, Step{Migrate, 0}, Step{Migrate, 4}, Step{RenewAtOnce, 0}), Renew, Deliver, RoundAtOnce, RenewAndOperate, OperationAtOnce)
	falseReports := withElections
	falseReports.FalseDeathReports = true
	add(6, with(falseReports, "all report the others as dead", 250, begun...), RenewAtOnce, ProposeAndUpdate, RenewAndOperate, ChangeResource, TouchUnguarded, CheckLease, Elect)
	add(4, with(three, "three, with false reports", 400), RenewAndOperate, ProposeAndUpdate, OperationAtOnce, StartOperation, BeginAtResource, CheckLease, ChangeResource)
	list[len(list)-1].FalseDeathReports, list[len(list)-2].FalseDeathReports, list[len(list)-3].FalseDeathReports = true, true, true
	add(5, with(withElections, "crashes and leaves", 350), Restart, Leave, Release, RenewAndOperate, OperationAtOnce, Elect)
	var hungHolder []Step
	for range 6 {
		hungHolder = append(hungHolder, Step{Tick, 0}, Step{RenewAtOnce, 0}, Step{RenewAtOnce, 1}, Step{ProposeAndUpdate, 0})
	}
	add(5, with(withElections, "hangs and renews", 300, hungHolder...), RenewAtOnce, RenewAndOperate, OperationAtOnce, StartOperation, CheckLease, TouchUnguarded, Elect)
	return list
}

// statesSearched is the number of states that TestSearch visited; TestPlanted prints it.
var statesSearched int

// TestSearch visits every state of the cases; from one in sixteen it ends all faults and checks that all shards are operated on.
func TestSearch(t *testing.T) {
	statesSearched = 0
	for _, c := range cases() {
		t.Run(c.Name, func(t *testing.T) {
			began := time.Now()
			n, full, err := explore.Search(c.Name, func() (*World, error) { return New(c.Setup) }, c.depth, 400_000, checkSettles)
			statesSearched += n
			if err != nil {
				t.Fatal(err)
			}
			if !full {
				t.Errorf("%s: search stopped at the limit of states", c.Name)
			}
			t.Logf("%d states to a depth of %d, %v", n, c.depth, time.Since(began))
		})
	}
}

// settleBound is the time within which every shard is operated on once all faults have ended: a lease and the longest
// pause by the slowest clock, the time after which a holder without progress loses its lease, and some renewals.
const settleBound = 4 * time.Second

// checkSettles ends all faults, and checks that every shard is operated on within settleBound.
func checkSettles(w *World) error {
	took, err := w.Settle()
	if err == nil && took > settleBound {
		err = fmt.Errorf("broken: a shard was first operated on %v after all faults had ended", took)
	}
	return err
}

// randomWalk takes a random walk of 80 steps with two or three processes and one or two shards, then ends all faults. It
// returns how long it takes until every shard is operated on.
func randomWalk(t *rapid.T) time.Duration {
	c := clocks[rapid.IntRange(0, len(clocks)-1).Draw(t, "clocks")]
	s := Setup{Name: "long", Processes: rapid.IntRange(2, 3).Draw(t, "processes"), Shards: rapid.IntRange(1, 2).Draw(t, "shards"), Elections: 3, MaxInTransit: 3,
		TickMs: rapid.SampledFrom([]int{50, 120, 250}).Draw(t, "tick"), Rates: c[0], LeaderRates: c[1], NoLeases: rapid.Bool().Draw(t, "fresh")}
	// Each walk permits a random subset of the Ops: a fault that takes several steps of one kind is reached sooner.
	for _, op := range allOps {
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
		t.Fatal(explore.NewViolation(s.Name, steps, fmt.Errorf("%w, while settling", err)))
	}
	return took
}

// TestLong takes random walks and checks the invariants at each step, and that every shard is operated on within
// settleBound once all faults have ended.
func TestLong(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	var worst time.Duration
	rapid.Check(t, func(t *rapid.T) {
		took := randomWalk(t)
		worst = max(worst, took)
		if took > settleBound {
			t.Fatalf("broken: a shard was first operated on %v after all faults had ended", took)
		}
	})
	t.Logf("every shard was operated on within %v after all faults had ended", worst)
}

// TestHungHolder has a process that holds leases and renews them, but never operates. It must lose them, each time for
// longer, so that the other process operates on the shards.
func TestHungHolder(t *testing.T) {
	for i, c := range clocks {
		w, err := New(Setup{Name: "hung", Processes: 2, Shards: 2, TickMs: 100, Rates: c[0], LeaderRates: c[1]})
		if err != nil {
			t.Fatal(err)
		}
		gap, last, changes := time.Duration(0), w.now, 0
		for range 200 {
			for _, s := range []Step{{Tick, 0}, {RenewAtOnce, 0}, {RenewAtOnce, 1}, {ProposeAndUpdate, 0}, {OperationAtOnce, 1}, {OperationAtOnce, 1}} {
				if err := w.Do(s); err != nil {
					t.Fatal(err)
				}
			}
			if w.observed[0].changes+w.observed[1].changes > changes {
				changes = w.observed[0].changes + w.observed[1].changes
				gap, last = max(gap, w.now-last), w.now
			}
		}
		gap = max(gap, w.now-last)
		// The bound covers the wait for progress, the end of the lease, and a rebalancing by which the shard that stayed with
		// the hung process moves too.
		if both := min(w.observed[0].changes, w.observed[1].changes); gap > 4*time.Second || both == 0 {
			t.Fatalf("broken: clocks %d: a hung process kept a shard: %d and %d operations, none for %v", i, w.observed[0].changes, w.observed[1].changes, gap)
		}
		t.Logf("clocks %d: %d and %d operations beside a hung process, none for %v at most", i, w.observed[0].changes, w.observed[1].changes, gap)
	}
}

// TestPlanted checks that the tests find each of the planted mistakes.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch|TestHungHolder)$", mistakes)
	fmt.Printf("proof: leases: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
