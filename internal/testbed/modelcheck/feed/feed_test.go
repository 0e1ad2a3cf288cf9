package feed

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/watchstream"
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

// lastValue is the last value that putUnique wrote.
var lastValue int

// putUnique returns a put with a unique value, so that a value identifies the change that wrote it. If there are further
// arguments, the value contains "bad", which readers reject.
func putUnique(kind watchstream.Kind, key string, more ...string) watchstream.Put {
	lastValue++
	bad := ""
	if len(more) > 0 {
		bad = `,"bad":1`
	}
	return watchstream.Put{Kind: kind, Key: key, Value: json.RawMessage(fmt.Sprintf(`{"v":%d%s}`, lastValue, bad))}
}

func putTarget(key string) watchstream.Put { return putUnique(watchstream.Targets, key) }

func deleteTarget(key string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Targets, Key: key, Deleted: true}
}

func puts(n int) (list []Step) {
	for range n {
		list = append(list, Step{Put, 0})
	}
	return list
}

func steps(all ...any) (list []Step) {
	for _, x := range all {
		switch x := x.(type) {
		case Step:
			list = append(list, x)
		case []Step:
			list = append(list, x...)
		}
	}
	return list
}

// Options of sources: unlimited never delays anything, slowReaders sends a reader about one record at a time, and slowAll
// does so with relays too and admits one reader a second.
var (
	unlimited   = watchstream.SourceOptions{ReaderRate: 1e6, ReaderBurst: 1e6, RelayRate: 1e6, RelayBurst: 1e6, AdmitRate: 100, AdmitBurst: 100}
	slowReaders = watchstream.SourceOptions{ReaderRate: 100, ReaderBurst: 100, RelayRate: 1e6, RelayBurst: 1e6, AdmitRate: 100, AdmitBurst: 100}
	slowAll     = watchstream.SourceOptions{ReaderRate: 100, ReaderBurst: 100, RelayRate: 100, RelayBurst: 100, AdmitRate: 1, AdmitBurst: 1}
	smallLimits = watchstream.Limits{Targets: 8, Tombstones: 1, Scopes: 8, Buckets: 3}
)

type smallCase struct {
	Setup
	depth int
}

// cases returns the cases to search, each with its depth.
func cases() (list []smallCase) {
	lastValue = 0
	mixed := [][]watchstream.Put{{putTarget("a"), putTarget("b")}, {putUnique(watchstream.Config, "shared"), putUnique(watchstream.Config, "region/r")}, {deleteTarget("a")}, {putTarget("a"), putTarget("c")},
		{putUnique(watchstream.Config, "shared"), putUnique(watchstream.Config, "instance/n1"), putUnique(watchstream.Config, "instance/n2"), deleteTarget("b")}, {deleteTarget("c"), deleteTarget("a")}, {putTarget("b")}}
	bad := [][]watchstream.Put{{putTarget("a"), putUnique(watchstream.Config, "shared")}, {putUnique(watchstream.Config, "shared", "bad")}, {putTarget("b")}, {putUnique(watchstream.Config, "instance/n1")}, {putUnique(watchstream.Config, "shared")}}
	add := func(name string, depth int, s Setup, ops ...Op) {
		s.Name, s.Ops = name, ops
		if s.Limits.Buckets == 0 {
			s.Limits = smallLimits
		}
		if s.TickMs == 0 {
			s.TickMs = 500
		}
		if s.MaxInTransit == 0 {
			s.MaxInTransit = 2
		}
		list = append(list, smallCase{s, depth})
	}
	oneRelay := Setup{Relays: 1, Readers: 2, Changes: mixed, Source: unlimited}
	twoRelays := Setup{Relays: 2, Readers: 2, Changes: mixed, Source: unlimited}
	noRelay := Setup{Relays: 0, Readers: 1, Changes: mixed, Source: unlimited}
	with := func(s Setup, on []int, source watchstream.SourceOptions, before ...Step) Setup {
		s.Followers, s.Source, s.Before = on, source, before
		return s
	}
	pollThree := []Step{{PollAtOnce, 0}, {PollAtOnce, 1}, {PollAtOnce, 2}}
	pollFour := []Step{{PollAtOnce, 0}, {PollAtOnce, 1}, {PollAtOnce, 2}, {PollAtOnce, 3}}

	add("a relay and two readers", 6, oneRelay, Put, PollAtOnce)
	add("messages", 6, with(oneRelay, []int{1}, unlimited, steps(puts(2), pollThree)...), Put, SendRequest, Deliver, DeliverAgain, Lose, Apply, PollAtOnce)
	add("a relay's messages", 6, with(oneRelay, []int{0}, unlimited, Step{Put, 0}), Put, SendRequest, Deliver, DeliverAgain, Lose)
	add("partial deltas", 7, with(oneRelay, []int{0, 1}, slowReaders, steps(puts(2), pollThree)...), Put, PollAtOnce)
	add("partial deltas, relays too", 7, with(twoRelays, []int{0, 1, 2}, slowAll, puts(3)...), Put, PollAtOnce)
	add("by digests", 7, with(oneRelay, []int{0, 1}, slowReaders, puts(6)...), Put, PollAtOnce)
	add("by digests, messages", 7, with(oneRelay, []int{1}, slowReaders, steps(puts(3), pollThree, puts(3), Step{PollAtOnce, 0})...), SendRequest, Deliver, DeliverAgain, Lose, Put, PollAtOnce)
	add("relay switches", 6, with(twoRelays, []int{0, 1, 2}, unlimited, steps(puts(2), pollFour)...), Put, PollAtOnce, SwitchRelay)
	add("relay switches by digests", 6, with(twoRelays, []int{1, 2}, slowReaders, steps(puts(3), pollFour, puts(3), Step{PollAtOnce, 0})...), Put, PollAtOnce, SwitchRelay)
	add("snapshots", 6, with(twoRelays, []int{0, 2}, unlimited, steps(puts(2), pollFour)...), Put, PollAtOnce, SaveSnapshot, Restart, SwitchRelay)
	add("snapshots by digests", 7, with(twoRelays, []int{0, 2}, slowReaders, steps(puts(3), pollFour, Step{SaveSnapshot, 0}, Step{SaveSnapshot, 2})...), Put, PollAtOnce, Restart, SwitchRelay)
	add("a reader without a relay", 7, with(noRelay, nil, slowReaders), Put, SendRequest, Deliver, Apply, PollAtOnce)
	add("rejected configurations", 7, with(Setup{Relays: 1, Readers: 1, Changes: bad}, []int{0, 1}, unlimited, steps(puts(1), Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		Put, PollAtOnce, Apply, SaveSnapshot, Restart)
	add("an empty log", 7, with(twoRelays, []int{0, 2}, unlimited, steps(puts(2), pollFour)...), Put, PollAtOnce, EmptyLog, ReplaceHistory, SwitchRelay)
	add("an empty log, partial deltas", 7, with(twoRelays, []int{0, 2}, slowAll, steps(puts(1), pollFour, Step{Tick, 0}, pollFour, Step{EmptyLog, 0}, puts(4))...), Put, PollAtOnce, ReplaceHistory, SwitchRelay, Apply)
	add("invalid deltas", 4, with(oneRelay, []int{0, 1}, slowReaders, steps(puts(2), pollThree)...), Put, PollAtOnce, SendInvalid, EmptyLog)
	add("reports", 6, with(twoRelays, []int{2}, unlimited, steps(puts(1), pollFour)...), Put, PollAtOnce, Report, SendReport, Deliver, DeliverAgain, SwitchRelay)
	add("reports and relay switches", 6, with(twoRelays, []int{2}, unlimited, steps(puts(1), pollFour, pollFour, Step{SendReport, 0}, Step{Put, 0}, Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		PollAtOnce, Report, Deliver, SwitchRelay, NewLeader)
	add("old requests", 5, with(oneRelay, []int{1}, unlimited, steps(puts(1), pollThree, Step{PollAtOnce, 1}, Step{SendRequest, 1}, Step{Put, 0}, Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		PollAtOnce, Report, Deliver, DeliverAgain, SwitchRelay)
	add("reports and restarts", 6, with(twoRelays, []int{0, 2}, unlimited, steps(puts(1), pollFour, Step{Report, 0})...), Put, PollAtOnce, SendReport, Report, Deliver, Restart, NewLeader)
	return list
}

// TestLong takes random walks of 60 steps with random settings and a random subset of the Ops, then ends all faults and
// checks that all followers converge.
func TestLong(t *testing.T) {
	checks := "3000"
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		checks = "1000"
	}
	for name, value := range map[string]string{"rapid.checks": checks, "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		lastValue = 0
		s := Setup{Name: "long", Relays: rapid.IntRange(1, 2).Draw(t, "relays"), Readers: 2, MaxInTransit: 3, TickMs: rapid.SampledFrom([]int{50, 500, 3000}).Draw(t, "tick"),
			Source: rapid.SampledFrom([]watchstream.SourceOptions{unlimited, slowReaders, slowAll}).Draw(t, "source"),
			Limits: watchstream.Limits{Targets: 8, Scopes: 8, Tombstones: rapid.IntRange(1, 3).Draw(t, "tombstones"), Buckets: rapid.IntRange(2, 5).Draw(t, "buckets")}}
		for range rapid.IntRange(5, 20).Draw(t, "changes") {
			s.Changes = append(s.Changes, drawPuts(t))
		}
		for op := Put; op < ops; op++ {
			if op == Put || op == PollAtOnce || rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				s.Ops = append(s.Ops, op)
			}
		}
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		taken, err := explore.Walk(s.Name, w, t, 60, func(s Step) Op { return s.Op }, PollAtOnce, 3)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Settle(); err != nil {
			t.Fatal(explore.NewViolation(s.Name, taken, fmt.Errorf("%w, while settling", err)))
		}
	})
}

// statesSearched is the number of states that TestSearch visited; TestPlanted prints it.
var statesSearched int

// TestSearch visits the states of the cases; from one in sixteen it ends all faults and checks that all followers converge.
func TestSearch(t *testing.T) {
	statesSearched = 0
	depth, maxStates := 0, 60_000
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		depth, maxStates = -1, 2500 // a shorter search for ordinary test runs
	}
	for _, c := range cases() {
		t.Run(c.Name, func(t *testing.T) {
			began := time.Now()
			n, full, err := explore.Search(c.Name, func() (*World, error) { return New(c.Setup) }, c.depth+depth, maxStates, func(w *World) error { return w.Settle() })
			statesSearched += n
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d states to a depth of %d, complete %v, %v", n, c.depth+depth, full, time.Since(began).Round(time.Millisecond))
		})
	}
}

func drawPuts(t *rapid.T) (list []watchstream.Put) {
	used := map[string]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "puts") {
		k := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "shared", "region/r", "instance/n2"}).Draw(t, "key")
		if used[k] {
			continue
		}
		used[k] = true
		switch {
		case len(k) == 1 && rapid.IntRange(0, 2).Draw(t, "gone") == 0:
			list = append(list, deleteTarget(k))
		case len(k) == 1:
			list = append(list, putTarget(k))
		case k == "shared" && rapid.IntRange(0, 4).Draw(t, "bad") == 0:
			list = append(list, putUnique(watchstream.Config, k, "bad"))
		default:
			list = append(list, putUnique(watchstream.Config, k))
		}
	}
	return list
}
