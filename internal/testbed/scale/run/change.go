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

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/scale/hollow"
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

// atOnce is how many changes are under way at a time: what is late has those behind it wait then.
const atOnce = 32

// run makes changes until so long is over or ctx ends, and returns once all are confirmed or failed.
func (w *writer) run(ctx context.Context, rate float64, length time.Duration) {
	began := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	room := make(chan struct{}, atOnce)
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
		do := w.next(ctx)
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			w.note(ctx, do)
		})
	}
}

// next decides on a change, by turns of a target (a drain, a return, or a change of primary) and of configuration, and returns what makes it.
func (w *writer) next(ctx context.Context) func() (mark, error) {
	if w.made++; w.made%2 == 1 {
		e, primary := w.choose()
		return func() (mark, error) { return w.target(ctx, e, primary) }
	}
	if !w.f.byFeed() {
		turn := w.made
		return func() (mark, error) { return w.each(ctx, turn) }
	}
	layer := w.layer(false)
	return func() (mark, error) { return layer(ctx) }
}

// note keeps what came of a change.
func (w *writer) note(ctx context.Context, do func() (mark, error)) {
	m, err := do()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.marks = append(w.marks, m)
	case ctx.Err() == nil:
		w.failed++
	}
}

// one makes a single change of a target.
func (w *writer) one(ctx context.Context) (mark, error) {
	e, primary := w.choose()
	return w.target(ctx, e, primary)
}

// choose takes a target to drain or to have back; every fourth time one takes another's place: a change of primary. Of one target only one
// change is under way at a time, or the older could come into force after the newer.
func (w *writer) choose() (e []targetlist.Entry, primary bool) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	free := func(i int) (int, bool) {
		for range f.entries {
			if i = f.drains(i % len(f.entries)); !f.busy[i] {
				return i, true
			}
			i += 2
		}
		return 0, false
	}
	if primary = w.made%8 == 1; primary {
		if i, some := free(w.rng.IntN(len(f.entries))); some {
			e = append(e, f.turn(i))
		}
	}
	if i, some := free(w.rng.IntN(len(f.entries))); some {
		e = append(e, f.turn(i))
	}
	return e, primary && len(e) == 2
}

// target makes a change of targets.
func (w *writer) target(ctx context.Context, e []targetlist.Entry, primary bool) (mark, error) {
	f := w.f
	if len(e) == 0 {
		return mark{}, errAllBusy
	}
	at := monotonic.Now()
	version, err := f.put(ctx, e)
	f.mu.Lock()
	for _, e := range e {
		delete(f.busy, number(e.ID))
	}
	f.mu.Unlock()
	for _, e := range e {
		f.targets.tell(e.ID, e.State)
	}
	return mark{Lane: hollow.Targets, Version: version, At: at, Primary: primary}, err
}

// number is the number of a target.
func number(id string) (i int) {
	if _, err := fmt.Sscanf(id, "t%d", &i); err != nil {
		return -1
	}
	return i
}

// drains is the target whose state is changed in place of one that has to stay: of those that answer each second one does, so that its shard, which
// it has in common with the one before, is always served.
func (f *fleet) drains(i int) int {
	if i < len(f.targets.addrs) {
		return i &^ 1
	}
	return i
}

// turn changes a target's state, which is under way from then on. Its caller holds mu.
func (f *fleet) turn(i int) targetlist.Entry {
	e := &f.entries[i]
	f.turns[i]++
	f.busy[i] = true
	if e.StartedMs = f.turns[i]; e.State == "SERVING" {
		e.State = "DRAINING"
	} else {
		e.State = "SERVING"
	}
	return *e
}

// tell has the judge know a target's state.
func (a *answering) tell(id, state string) {
	i := number(id)
	switch {
	case i < 0 || i >= len(a.drained):
	case state == "SERVING":
		a.drained[i].Store(0)
	default:
		a.drained[i].Store(time.Now().UnixMilli())
	}
}

// putsAtOnce is how many configurations are written at a time.
const putsAtOnce = 16

// config changes the configuration of all.
func (w *writer) config(ctx context.Context) (mark, error) {
	if w.f.byFeed() {
		return w.layer(true)(ctx)
	}
	return w.each(ctx, w.made)
}

// each changes the configuration of all where each has one of its own: a change for each.
func (w *writer) each(ctx context.Context, turn int) (mark, error) {
	f := w.f
	m := mark{Lane: hollow.Config, At: monotonic.Now(), By: map[string]uint64{}}
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	room := make(chan struct{}, putsAtOnce)
	for i := range f.hollow {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			name := nameOf(i)
			e, err := f.client.PutConfig(ctx, name, f.configOf(name, turn), "")
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

// errAllBusy says that changes of all targets are under way.
var errAllBusy = errors.New("changes of all targets are under way")

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
		if m.Version >= newest[m.Lane].Version {
			newest[m.Lane] = m
		}
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
