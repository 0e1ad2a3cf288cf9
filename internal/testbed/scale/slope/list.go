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

// line is an entry as discovery writes it, with names of the length that operators use. Addresses and starts follow no order, or packing would make nothing of them.
func line(i int, state string) string {
	h := xxhash.Sum64String(target(i))
	return fmt.Sprintf(`{"id":%q,"addr":"10.%d.%d.%d:7000","zone":"zone-%d","kind":"data","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		target(i), byte(h), byte(h>>8), byte(h>>16), i%30, i, state, (h>>24)%1_000_000_000)
}

// text is a list with so many entries.
func text(version, entries int, full bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":%v,"servers":[`, version, full)
	for i := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(line(i, "SERVING"))
	}
	b.WriteString("]}")
	return b.Bytes()
}

func listProbes() []Probe {
	return []Probe{{
		About: "internal/datapath/targetlist: a whole list read and checked",
		Gives: []Gives{{Name: "list.line", Unit: "B", Of: "a whole list on the wire", Per: "entry", Exact: true},
			{Name: "list.decode", Unit: "us", Of: "reading a whole list", Per: "entry"},
			{Name: "list.allocs", Unit: "allocs", Of: "reading a whole list", Per: "entry", Exact: true},
			{Name: "list.memory", Unit: "B", Of: "a list as read", Per: "entry", Exact: true}},
		Sizes: []float64{200, 500, 1250, 3200, 8000, 20_000, 50_000}, Short: []float64{200, 500, 1250, 3200}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			t := text(1, size, true)
			held, l := holds(func() *targetlist.List {
				l, err := targetlist.Decode(t)
				if err != nil {
					return nil
				}
				return l
			})
			if l == nil {
				_, err := targetlist.Decode(t)
				if errors.Is(err, targetlist.ErrTooManyEntries) {
					err = ErrBeyond
				}
				return nil, err
			}
			read := func() { _, _ = targetlist.Decode(t) }
			objects, _ := allocated(read)
			return []float64{float64(len(t)), quickest(3, 200*time.Millisecond, read), objects, held}, nil
		},
	}, {
		About: "internal/datapath/upstream: a registry with an actor for each target and no connection; a change of one entry",
		Gives: []Gives{{Name: "upstream.memory", Unit: "B", Of: "heap and stacks of the targets' actors", Per: "target", Rough: true},
			{Name: "upstream.change", Unit: "us", Of: "a change of one entry", Per: "target"}},
		Sizes: targetSizes, Short: []float64{200, 632, 2000, 6324}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			all := make([]upstream.Target, size)
			for i := range all {
				all[i] = upstream.Target{ID: target(i), Addr: "127.0.0.1:1", State: policy.Up}
			}
			held, g := holds(func() *upstream.Registry {
				g := upstream.NewRegistry(upstream.Options{MaxConnsPerTarget: 1, MaxConnsTotal: 1, IdleTimeout: time.Minute, Log: slog.New(slog.DiscardHandler)}, func(core.Result) {})
				g.Apply(all, true)
				time.Sleep(50 * time.Millisecond) // each actor has its stack
				return g
			})
			defer g.Shutdown()
			i := 0
			change := quickest(5, 100*time.Millisecond, func() {
				i++
				x := all[i%size]
				x.State = policy.EndpointState(i / size % 2)
				g.Apply([]upstream.Target{x}, false)
			})
			return []float64{held, change}, nil
		}}}
}
