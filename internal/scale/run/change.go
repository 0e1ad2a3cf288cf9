package run

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"spindlehitch/internal/listing"
	"spindlehitch/internal/monotone"
	"spindlehitch/internal/scale/hollow"
)

// writer makes changes at a rate, and keeps a mark of each.
type writer struct {
	f      *fleet
	rng    *rand.Rand
	mu     sync.Mutex
	marks  []mark
	failed int // changes that nobody confirmed
	made   int
}

func (f *fleet) newWriter(seed uint64) *writer {
	return &writer{f: f, rng: rand.New(rand.NewPCG(f.spec.Seed, seed))}
}

// run makes changes until so long is over or ctx ends. One that takes longer than its turn has the next wait.
func (w *writer) run(ctx context.Context, rate float64, length time.Duration) {
	began := time.Now()
	for k := 0; ; k++ {
		at := began.Add(time.Duration((float64(k) + 0.5) / rate * float64(time.Second)))
		if at.Sub(began) >= length {
			at = began.Add(length)
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		if time.Since(began) >= length {
			return
		}
		w.change(ctx)
	}
}

// change makes one: by turns of a target (a drain, a return, or a change of primary) and of configuration.
func (w *writer) change(ctx context.Context) {
	var m mark
	var err error
	if w.made++; w.made%2 == 1 {
		m, err = w.target(ctx)
	} else {
		m, err = w.config(ctx, false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			w.failed++
		}
		return
	}
	w.marks = append(w.marks, m)
}

// target drains a target or has it back; every fourth time one takes another's place: a change of primary.
func (w *writer) target(ctx context.Context) (mark, error) {
	f := w.f
	f.mu.Lock()
	i := f.drains(w.rng.IntN(len(f.entries)))
	e := []listing.Entry{f.turn(i)}
	primary := w.made%8 == 1 && len(f.entries) > 2
	if primary {
		e = append(e, f.turn(f.drains((i+2)%len(f.entries))))
	}
	f.mu.Unlock()
	at := monotone.Now()
	version, err := f.put(ctx, e)
	for _, e := range e {
		f.targets.tell(e.ID, e.State)
	}
	return mark{Lane: hollow.Targets, Version: version, At: at, Primary: primary}, err
}

// drains is the target whose state is changed in place of one that has to stay: of those that answer each second one does, so that its shard, which
// it has in common with the one before, is always served.
func (f *fleet) drains(i int) int {
	if i < len(f.targets.addrs) {
		return i &^ 1
	}
	return i
}

// turn changes a target's state. Its caller holds mu.
func (f *fleet) turn(i int) listing.Entry {
	e := &f.entries[i]
	f.turns[i]++
	if e.Started = f.turns[i]; e.State == "SERVING" {
		e.State = "DRAINING"
	} else {
		e.State = "SERVING"
	}
	return *e
}

// tell has the judge know a target's state.
func (a *answering) tell(id, state string) {
	var i int
	switch _, err := fmt.Sscanf(id, "t%d", &i); {
	case err != nil || i >= len(a.drained):
	case state == "SERVING":
		a.drained[i].Store(0)
	default:
		a.drained[i].Store(time.Now().UnixMilli())
	}
}

// putsAtOnce is how many configurations are written at a time.
const putsAtOnce = 16

// config changes the configuration of all. Where each has one of its own, that is a change for each.
func (w *writer) config(ctx context.Context, shared bool) (mark, error) {
	f := w.f
	if f.byFeed() {
		return w.layer(ctx, shared)
	}
	m := mark{Lane: hollow.Config, At: monotone.Now(), By: map[string]uint64{}}
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	room := make(chan struct{}, putsAtOnce)
	for i := range f.hollow {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			name := nameOf(i)
			e, err := f.client.Put(ctx, name, f.configOf(name, w.made), "")
			mu.Lock()
			defer mu.Unlock()
			if m.By[name] = e.Version; err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	return m, failed
}

// configOf is a configuration as an initiator has it.
func (f *fleet) configOf(name string, turn int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:9","discovery":%q,"limits":{"sockets":%d},"settings":%s}`, name, f.service.addr, 1024+turn%1024,
		fmt.Sprintf(settings, f.spec.all()))
}

// errNobody says that there is nobody to be measured.
var errNobody = errors.New("no hollow initiators")

// waits waits until all have the marks, and tells how long that took and who had not when the time was over.
func (f *fleet) reached(marks []mark, within time.Duration) (took time.Duration, s state, err error) {
	if len(marks) == 0 {
		return 0, s, nil
	}
	// The last of each lane says it of those before. By the feed all come to the same version, also those that a change says nothing to.
	newest := map[hollow.Lane]mark{}
	for _, m := range marks {
		m.Region, m.Zone, m.Name = "", "", ""
		newest[m.Lane] = m
	}
	asked := slices.Collect(maps.Values(newest))
	began := time.Now()
	for {
		if s, err = f.each(order{Do: "state", Marks: asked}); err != nil {
			return 0, s, err
		}
		if !s.lacks(f.hollow) {
			return time.Since(began), s, nil
		}
		if took = time.Since(began); took > within {
			return took, s, nil
		}
		if !f.pause(100 * time.Millisecond) {
			return 0, s, f.ctx.Err()
		}
	}
}
