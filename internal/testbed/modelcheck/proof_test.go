package modelcheck

import (
	"flag"
	"fmt"
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
	fast, slow = 1 + ppm/1e6, 1 - ppm/1e6
	clocks     = [][2][]float64{{{slow, fast}, {fast, slow}}, {{fast, slow}, {slow, fast}}, {{slow}, {fast}}}
	allOps     = []Op{Elect, Renew, Deliver, DeliverAgain, StartRound, MajorityAnswers, FinishRound, RoundAtOnce, RenewAtOnce, Use, Shrink, Reshape, Join, JoinAnswerLost, Leave, ExpireSessions, Restart}
)

// cases returns the cases that TestSearch visits completely, each with its depth and with three sets of clock rates.
func cases() (list []struct {
	Setup
	depth int
}) {
	add := func(depth int, s Setup) {
		for i, c := range clocks {
			s := s
			s.Name = fmt.Sprintf("%s, clocks %d", s.Name, i)
			s.Rates, s.LeaderRates = c[0], c[1]
			list = append(list, struct {
				Setup
				depth int
			}{s, depth})
		}
	}
	bothRenewed := []Step{{RenewAtOnce, 0}, {RenewAtOnce, 1}}
	messageOps := []Op{Renew, Deliver, DeliverAgain, RoundAtOnce, RenewAtOnce}
	add(6, Setup{Name: "messages", Processes: 2, MaxSessions: 2, Registered: 2, MaxInTransit: 2, TickMs: 700, Ops: messageOps})
	add(5, Setup{Name: "messages, three processes", Processes: 3, MaxSessions: 3, Registered: 3, MaxInTransit: 2, TickMs: 560, Ops: messageOps, Before: bothRenewed})
	add(5, Setup{Name: "leaders", Processes: 3, MaxSessions: 3, Registered: 3, Elections: 2, TickMs: 300, Ops: []Op{Elect, RenewAtOnce, Shrink, Reshape}})
	add(6, Setup{Name: "a late request to a new leader", Processes: 2, MaxSessions: 2, Registered: 2, Elections: 2, MaxInTransit: 2, TickMs: 700,
		Ops: []Op{Elect, Renew, Deliver, RoundAtOnce, RenewAtOnce}, Before: []Step{{RenewAtOnce, 0}, {Tick, 0}, {Renew, 0}, {Tick, 0}, {RenewAtOnce, 1}}})
	majorityOps := []Op{Elect, Renew, Deliver, StartRound, MajorityAnswers, FinishRound, RenewAtOnce}
	add(6, Setup{Name: "a replaced leader", Processes: 2, MaxSessions: 2, Registered: 2, Elections: 1, MaxInTransit: 2, TickMs: 700, Ops: majorityOps,
		Before: []Step{{Elect, 0}, {Tick, 0}, {Tick, 0}, {RenewAtOnce, 1}}})
	add(5, Setup{Name: "a replaced leader with a round in progress", Processes: 2, MaxSessions: 2, Registered: 2, Elections: 1, MaxInTransit: 2, TickMs: 700, Ops: majorityOps,
		Before: []Step{{Renew, 0}, {Deliver, 0}, {StartRound, 0}, {MajorityAnswers, 0}, {Elect, 0}, {Tick, 0}, {Tick, 0}, {RenewAtOnce, 1}}})
	add(6, Setup{Name: "uses", Processes: 2, MaxSessions: 2, Registered: 2, Elections: 1, TickMs: 560, Ops: []Op{Elect, RenewAtOnce, Use, Shrink, Reshape}})
	add(6, Setup{Name: "uses with accumulated tokens", Processes: 2, MaxSessions: 2, Registered: 2, TickMs: 700, Ops: []Op{RenewAtOnce, Use},
		Before: []Step{{RenewAtOnce, 0}, {Tick, 0}, {Tick, 0}}})
	add(5, Setup{Name: "sessions", Processes: 3, MaxSessions: 2, Registered: 2, Elections: 1, TickMs: 700,
		Ops: []Op{Elect, RenewAtOnce, Join, JoinAnswerLost, Leave, ExpireSessions, Restart}})
	add(4, Setup{Name: "expired sessions", Processes: 3, MaxSessions: 2, Registered: 2, TickMs: 700, Ops: []Op{RenewAtOnce, Join, ExpireSessions},
		Before: []Step{{Tick, 0}, {Tick, 0}, {Tick, 0}, {Tick, 0}}})
	add(5, Setup{Name: "uses and sessions", Processes: 2, MaxSessions: 2, Registered: 2, TickMs: 560, Ops: []Op{RenewAtOnce, Use, Join, Leave},
		Before: []Step{{RenewAtOnce, 1}, {Tick, 0}}})
	add(4, Setup{Name: "connections and sessions", Processes: 3, MaxSessions: 2, Registered: 2, TickMs: 560, ConcurrencyLimit: true, Ops: []Op{RenewAtOnce, Use, Join, ExpireSessions},
		Before: []Step{{Use, 0}, {Use, 1}, {Tick, 0}, {Tick, 0}, {RenewAtOnce, 1}, {Tick, 0}, {Tick, 0}, {RenewAtOnce, 1}}})
	add(5, Setup{Name: "connections", Processes: 2, MaxSessions: 3, Registered: 2, Elections: 1, TickMs: 560, ConcurrencyLimit: true, Ops: []Op{Elect, RenewAtOnce, Use, Leave, Restart}})
	// A member that renewed just before an election crashes with all its connections open, just before its allocation ends.
	crash := []Step{{RenewAtOnce, 0}, {Use, 0}, {RenewAtOnce, 0}, {Use, 0}, {Elect, 0}}
	for i := range 11 {
		crash = append(crash, Step{Tick, 0})
		if i%4 == 3 {
			crash = append(crash, Step{Use, 1}, Step{RenewAtOnce, 1})
		}
	}
	add(5, Setup{Name: "connections, a crash and an election", Processes: 2, MaxSessions: 2, Registered: 2, Elections: 1, TickMs: 96, ConcurrencyLimit: true, Ops: []Op{RenewAtOnce, Use, CrashWithConnections}, Before: crash})
	add(5, Setup{Name: "connections, messages", Processes: 2, MaxSessions: 2, Registered: 2, MaxInTransit: 2, TickMs: 90, ConcurrencyLimit: true,
		Ops: []Op{Renew, Deliver, RoundAtOnce, RenewAtOnce, Use}, Before: []Step{{RenewAtOnce, 0}, {Use, 0}}})
	return list
}

// statesSearched is the number of states that TestSearch visited; TestPlanted prints it.
var statesSearched int

// randomWalk takes a random walk of 80 steps with three processes and two to four sessions, then ends all faults. It returns
// the share of the limit that is allocated in the end.
func randomWalk(t *rapid.T) float64 {
	c := clocks[rapid.IntRange(0, len(clocks)-1).Draw(t, "clocks")]
	s := Setup{Name: "long", Processes: 3, MaxSessions: rapid.IntRange(2, 4).Draw(t, "seats"), Registered: 2, Elections: 3, MaxInTransit: 3,
		TickMs: rapid.SampledFrom([]int{90, 160, 350}).Draw(t, "tick"), ConcurrencyLimit: rapid.Bool().Draw(t, "stock"),
		Rates: c[0], LeaderRates: c[1], NewTerm: rapid.Bool().Draw(t, "fresh")}
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
	held, err := w.Settle()
	if err != nil {
		t.Fatal(explore.NewViolation(s.Name, steps, fmt.Errorf("%w, while settling", err)))
	}
	return held
}

// checkWalks has rapid run check n times.
func checkWalks(t *testing.T, n int, check func(*rapid.T)) {
	for name, value := range map[string]string{"rapid.checks": fmt.Sprint(n), "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, check)
}

// TestLong takes random walks and checks the invariants at each step.
func TestLong(t *testing.T) { checkWalks(t, 6000, func(t *rapid.T) { randomWalk(t) }) }

// TestSettle takes random walks and checks that once all faults have ended, nearly all of the limit is allocated again.
func TestSettle(t *testing.T) {
	checkWalks(t, 1000, func(t *rapid.T) {
		if held := randomWalk(t); held < 0.95 {
			t.Fatalf("%.3f of the limit is allocated after all faults have ended, want 0.95", held)
		}
	})
}

// TestSearch visits every state of the cases.
func TestSearch(t *testing.T) {
	statesSearched = 0
	for _, c := range cases() {
		began := time.Now()
		n, full, err := explore.Search(c.Name, func() (*World, error) { return New(c.Setup) }, c.depth, 400_000, nil)
		statesSearched += n
		if err != nil {
			t.Fatal(err)
		}
		if !full {
			t.Errorf("%s: search stopped at the limit of states", c.Name)
		}
		t.Logf("%s: %d states to a depth of %d, %v", c.Name, n, c.depth, time.Since(began))
	}
}
