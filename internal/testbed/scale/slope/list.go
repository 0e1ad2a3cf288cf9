package slope

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/policy"
)

// entryJSON returns an entry as discovery encodes it, with names as long as the operators'. Addresses and start times are hashed, or compression would remove
// them almost entirely.
func entryJSON(i int, state string) string {
	h := xxhash.Sum64String(targetID(i))
	return fmt.Sprintf(`{"id":%q,"addr":"10.%d.%d.%d:7000","zone":"zone-%d","kind":"data","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		targetID(i), byte(h), byte(h>>8), byte(h>>16), i%30, i, state, (h>>24)%1_000_000_000)
}

// listJSON returns a list with a number of entries.
func listJSON(version, entries int, full bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":%v,"servers":[`, version, full)
	for i := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(entryJSON(i, "SERVING"))
	}
	b.WriteString("]}")
	return b.Bytes()
}

func listProbes() []Probe {
	return []Probe{{
		Description: "internal/datapath/targetlist: a whole list read and checked",
		Metrics: []Metric{{Name: "list.line", Unit: "B", Subject: "a whole list on the wire", Per: "entry", Exact: true},
			{Name: "list.decode", Unit: "us", Subject: "reading a whole list", Per: "entry"},
			{Name: "list.allocs", Unit: "allocs", Subject: "reading a whole list", Per: "entry", Exact: true},
			{Name: "list.memory", Unit: "B", Subject: "a list as read", Per: "entry", Exact: true}},
		Sizes: []float64{200, 500, 1250, 3200, 8000, 20_000, 50_000}, ShortSizes: []float64{200, 500, 1250, 3200}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			t := listJSON(1, size, true)
			held, l := retainedBytes(func() *targetlist.List {
				l, err := targetlist.Decode(t)
				if err != nil {
					return nil
				}
				return l
			})
			if l == nil {
				_, err := targetlist.Decode(t)
				if errors.Is(err, targetlist.ErrTooManyEntries) {
					err = ErrSizeUnsupported
				}
				return nil, err
			}
			read := func() { _, _ = targetlist.Decode(t) }
			objects, _ := allocations(read)
			return []float64{float64(len(t)), minMicros(3, 200*time.Millisecond, read), objects, held}, nil
		},
	}, {
		Description: "internal/datapath/upstream: a registry with an actor for each target and no connection; a change of one entry",
		Metrics: []Metric{{Name: "upstream.memory", Unit: "B", Subject: "heap and stacks of the targets' actors", Per: "target", Noisy: true},
			{Name: "upstream.change", Unit: "us", Subject: "a change of one entry", Per: "target"}},
		Sizes: targetSizes, ShortSizes: []float64{200, 632, 2000, 6324}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			all := make([]upstream.Target, size)
			for i := range all {
				all[i] = upstream.Target{ID: targetID(i), Addr: "127.0.0.1:1", State: policy.Up}
			}
			held, g := retainedBytes(func() *upstream.Registry {
				g := upstream.NewRegistry(upstream.Options{MaxConnsPerTarget: 1, MaxConnsTotal: 1, IdleTimeout: time.Minute, Log: slog.New(slog.DiscardHandler)}, func(core.Result) {})
				g.Apply(all, true)
				time.Sleep(50 * time.Millisecond) // until each actor runs and has its stack
				return g
			})
			defer g.Shutdown()
			i := 0
			change := minMicros(5, 100*time.Millisecond, func() {
				i++
				x := all[i%size]
				x.State = policy.EndpointState(i / size % 2)
				g.Apply([]upstream.Target{x}, false)
			})
			return []float64{held, change}, nil
		}}}
}
