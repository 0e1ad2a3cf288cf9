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

// TestMain lets other packages' tests go first, as the other searches do.
func TestMain(m *testing.M) {
	if err := unix.Setpriority(unix.PRIO_PROCESS, 0, 10); err != nil {
		panic(err)
	}
	seeded.Main(m)
}

var value int

// set is a put whose value is no other's.
func set(kind watchstream.Kind, key string, more ...string) watchstream.Put {
	value++
	bad := ""
	if len(more) > 0 {
		bad = `,"bad":1`
	}
	return watchstream.Put{Kind: kind, Key: key, Value: json.RawMessage(fmt.Sprintf(`{"v":%d%s}`, value, bad))}
}

func target(key string) watchstream.Put { return set(watchstream.Targets, key) }

func gone(key string) watchstream.Put {
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

// ample is a source that nothing waits for; scant gives one record at a time or so.
var (
	ample = watchstream.SourceOptions{ReaderRate: 1e6, ReaderBurst: 1e6, RelayRate: 1e6, RelayBurst: 1e6, AdmitRate: 100, AdmitBurst: 100}
	scant = watchstream.SourceOptions{ReaderRate: 100, ReaderBurst: 100, RelayRate: 1e6, RelayBurst: 1e6, AdmitRate: 100, AdmitBurst: 100}
	tight = watchstream.SourceOptions{ReaderRate: 100, ReaderBurst: 100, RelayRate: 100, RelayBurst: 100, AdmitRate: 1, AdmitBurst: 1}
	small = watchstream.Limits{Targets: 8, Tombstones: 1, Scopes: 8, Buckets: 3}
)

type smallCase struct {
	Setup
	depth int
}

// cases are the small cases that are searched, and how deep.
func cases() (list []smallCase) {
	value = 0
	mixed := [][]watchstream.Put{{target("a"), target("b")}, {set(watchstream.Config, "shared"), set(watchstream.Config, "region/r")}, {gone("a")}, {target("a"), target("c")},
		{set(watchstream.Config, "shared"), set(watchstream.Config, "instance/n1"), set(watchstream.Config, "instance/n2"), gone("b")}, {gone("c"), gone("a")}, {target("b")}}
	bad := [][]watchstream.Put{{target("a"), set(watchstream.Config, "shared")}, {set(watchstream.Config, "shared", "bad")}, {target("b")}, {set(watchstream.Config, "instance/n1")}, {set(watchstream.Config, "shared")}}
	add := func(name string, depth int, s Setup, ops ...Op) {
		s.Name, s.Ops = name, ops
		if s.Limits.Buckets == 0 {
			s.Limits = small
		}
		if s.TickMs == 0 {
			s.TickMs = 500
		}
		if s.MaxInTransit == 0 {
			s.MaxInTransit = 2
		}
		list = append(list, smallCase{s, depth})
	}
	one := Setup{Relays: 1, Readers: 2, Changes: mixed, Source: ample}
	two := Setup{Relays: 2, Readers: 2, Changes: mixed, Source: ample}
	lone := Setup{Relays: 0, Readers: 1, Changes: mixed, Source: ample}
	with := func(s Setup, on []int, source watchstream.SourceOptions, before ...Step) Setup {
		s.On, s.Source, s.Before = on, source, before
		return s
	}
	round := []Step{{PollAtOnce, 0}, {PollAtOnce, 1}, {PollAtOnce, 2}}
	both := []Step{{PollAtOnce, 0}, {PollAtOnce, 1}, {PollAtOnce, 2}, {PollAtOnce, 3}}

	add("a relay and two readers", 6, one, Put, PollAtOnce)
	add("messages", 6, with(one, []int{1}, ample, steps(puts(2), round)...), Put, SendRequest, Deliver, DeliverAgain, Lose, Apply, PollAtOnce)
	add("a relay's messages", 6, with(one, []int{0}, ample, Step{Put, 0}), Put, SendRequest, Deliver, DeliverAgain, Lose)
	add("in parts", 7, with(one, []int{0, 1}, scant, steps(puts(2), round)...), Put, PollAtOnce)
	add("all in parts", 7, with(two, []int{0, 1, 2}, tight, puts(3)...), Put, PollAtOnce)
	add("by digests", 7, with(one, []int{0, 1}, scant, puts(6)...), Put, PollAtOnce)
	add("by digests, messages", 7, with(one, []int{1}, scant, steps(puts(3), round, puts(3), Step{PollAtOnce, 0})...), SendRequest, Deliver, DeliverAgain, Lose, Put, PollAtOnce)
	add("moves", 6, with(two, []int{0, 1, 2}, ample, steps(puts(2), both)...), Put, PollAtOnce, SwitchRelay)
	add("moves by digests", 6, with(two, []int{1, 2}, scant, steps(puts(3), both, puts(3), Step{PollAtOnce, 0})...), Put, PollAtOnce, SwitchRelay)
	add("copies", 6, with(two, []int{0, 2}, ample, steps(puts(2), both)...), Put, PollAtOnce, SaveSnapshot, Restart, SwitchRelay)
	add("copies by digests", 7, with(two, []int{0, 2}, scant, steps(puts(3), both, Step{SaveSnapshot, 0}, Step{SaveSnapshot, 2})...), Put, PollAtOnce, Restart, SwitchRelay)
	add("a lone reader", 7, with(lone, nil, scant), Put, SendRequest, Deliver, Apply, PollAtOnce)
	add("what can't be served", 7, with(Setup{Relays: 1, Readers: 1, Changes: bad}, []int{0, 1}, ample, steps(puts(1), Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		Put, PollAtOnce, Apply, SaveSnapshot, Restart)
	add("a log that begins anew", 7, with(two, []int{0, 2}, ample, steps(puts(2), both)...), Put, PollAtOnce, EmptyLog, ReplaceHistory, SwitchRelay)
	add("a log that begins anew, in parts", 7, with(two, []int{0, 2}, tight, steps(puts(1), both, Step{Tick, 0}, both, Step{EmptyLog, 0}, puts(4))...), Put, PollAtOnce, ReplaceHistory, SwitchRelay, Apply)
	add("what nobody may take", 4, with(one, []int{0, 1}, scant, steps(puts(2), round)...), Put, PollAtOnce, SendInvalid, EmptyLog)
	add("reports", 6, with(two, []int{2}, ample, steps(puts(1), both)...), Put, PollAtOnce, Report, SendReport, Deliver, DeliverAgain, SwitchRelay)
	add("reports of those who move", 6, with(two, []int{2}, ample, steps(puts(1), both, both, Step{SendReport, 0}, Step{Put, 0}, Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		PollAtOnce, Report, Deliver, SwitchRelay, NewLeader)
	add("old hellos", 5, with(one, []int{1}, ample, steps(puts(1), round, Step{PollAtOnce, 1}, Step{SendRequest, 1}, Step{Put, 0}, Step{PollAtOnce, 0}, Step{PollAtOnce, 1})...),
		PollAtOnce, Report, Deliver, DeliverAgain, SwitchRelay)
	add("reports and restarts", 6, with(two, []int{0, 2}, ample, steps(puts(1), both, Step{Report, 0})...), Put, PollAtOnce, SendReport, Report, Deliver, Restart, NewLeader)
	return list
}

// TestLong takes long random walks with all that can happen, and has everybody come level at their end.
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
		value = 0
		s := Setup{Name: "long", Relays: rapid.IntRange(1, 2).Draw(t, "relays"), Readers: 2, MaxInTransit: 3, TickMs: rapid.SampledFrom([]int{50, 500, 3000}).Draw(t, "tick"),
			Source: rapid.SampledFrom([]watchstream.SourceOptions{ample, scant, tight}).Draw(t, "source"),
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
			t.Fatal(explore.Broken(s.Name, taken, fmt.Errorf("%w, while settling", err)))
		}
	})
}

// searched is how many states TestSearch went through.
var searched int

// TestSearch goes through the states of the small cases; from one in sixteen it ends all faults, and has everybody come level.
func TestSearch(t *testing.T) {
	searched = 0
	depth, most := 0, 60_000
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		depth, most = -1, 2500 // a short one beside all other tests
	}
	for _, c := range cases() {
		t.Run(c.Name, func(t *testing.T) {
			began := time.Now()
			n, full, err := explore.Search(c.Name, func() (*World, error) { return New(c.Setup) }, c.depth+depth, most, func(w *World) error { return w.Settle() })
			searched += n
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d states to a depth of %d, whole %v, %v", n, c.depth+depth, full, time.Since(began).Round(time.Millisecond))
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
			list = append(list, gone(k))
		case len(k) == 1:
			list = append(list, target(k))
		case k == "shared" && rapid.IntRange(0, 4).Draw(t, "bad") == 0:
			list = append(list, set(watchstream.Config, k, "bad"))
		default:
			list = append(list, set(watchstream.Config, k))
		}
	}
	return list
}
