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

// changeWriter makes changes at a rate and keeps a mark of each. mu guards marks and failed; changes belongs to the goroutine that calls run.
type changeWriter struct {
	f       *fleet
	rng     *rand.Rand
	mu      sync.Mutex
	marks   []changeMark
	failed  int // changes that were not confirmed
	changes int
}

func (f *fleet) newChangeWriter(seed uint64) *changeWriter {
	return &changeWriter{f: f, rng: rand.New(rand.NewPCG(f.spec.Seed, seed))}
}

// maxConcurrentChanges bounds the changes in progress; further ones wait for a slot.
const maxConcurrentChanges = 32

// run makes changes for a period or until ctx ends, and returns once all are confirmed or failed.
func (w *changeWriter) run(ctx context.Context, rate float64, length time.Duration) {
	began := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	slots := make(chan struct{}, maxConcurrentChanges)
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
		do := w.nextChange(ctx)
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			w.record(ctx, do)
		})
	}
}

// nextChange chooses the next change, alternately of a target (a drain, a return, or a change of primary) and of configuration, and returns a function that makes it.
func (w *changeWriter) nextChange(ctx context.Context) func() (changeMark, error) {
	if w.changes++; w.changes%2 == 1 {
		e, primary := w.chooseTargets()
		return func() (changeMark, error) { return w.changeTargets(ctx, e, primary) }
	}
	if !w.f.usesFeed() {
		turn := w.changes
		return func() (changeMark, error) { return w.changeEachConfig(ctx, turn) }
	}
	layer := w.layerChange(false)
	return func() (changeMark, error) { return layer(ctx) }
}

// record makes a change and records its mark or its failure.
func (w *changeWriter) record(ctx context.Context, do func() (changeMark, error)) {
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

// changeOneTarget makes a single change of a target.
func (w *changeWriter) changeOneTarget(ctx context.Context) (changeMark, error) {
	e, primary := w.chooseTargets()
	return w.changeTargets(ctx, e, primary)
}

// chooseTargets chooses a target to drain or to return to service; every fourth time it chooses two, for a change of primary. Only one change of
// a target is in progress at a time, or the older one could come into force after the newer one.
func (w *changeWriter) chooseTargets() (e []targetlist.Entry, primary bool) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	idleFrom := func(i int) (int, bool) {
		for range f.entries {
			if i = f.drainable(i % len(f.entries)); !f.changing[i] {
				return i, true
			}
			i += 2
		}
		return 0, false
	}
	if primary = w.changes%8 == 1; primary {
		if i, found := idleFrom(w.rng.IntN(len(f.entries))); found {
			e = append(e, f.toggleTarget(i))
		}
	}
	if i, found := idleFrom(w.rng.IntN(len(f.entries))); found {
		e = append(e, f.toggleTarget(i))
	}
	return e, primary && len(e) == 2
}

// changeTargets publishes a change of targets that chooseTargets chose.
func (w *changeWriter) changeTargets(ctx context.Context, e []targetlist.Entry, primary bool) (changeMark, error) {
	f := w.f
	if len(e) == 0 {
		return changeMark{}, errAllChanging
	}
	at := monotonic.Now()
	version, err := f.publish(ctx, e)
	f.mu.Lock()
	for _, e := range e {
		delete(f.changing, targetIndex(e.ID))
	}
	f.mu.Unlock()
	for _, e := range e {
		f.targets.setState(e.ID, e.State)
	}
	return changeMark{Lane: hollow.Targets, Version: version, At: at, Primary: primary}, err
}

// targetIndex returns the index of a target, or -1.
func targetIndex(id string) (i int) {
	if _, err := fmt.Sscanf(id, "t%d", &i); err != nil {
		return -1
	}
	return i
}

// drainable returns the target to change in place of one that must keep serving. Of the two answering targets that share a shard, only the first is
// ever drained, so that the shard is always served.
func (f *fleet) drainable(i int) int {
	if i < len(f.targets.addrs) {
		return i &^ 1
	}
	return i
}

// toggleTarget changes the state of a target and marks its change as in progress. The caller must hold mu.
func (f *fleet) toggleTarget(i int) targetlist.Entry {
	e := &f.entries[i]
	f.stateChanges[i]++
	f.changing[i] = true
	if e.StartedMs = f.stateChanges[i]; e.State == "SERVING" {
		e.State = "DRAINING"
	} else {
		e.State = "SERVING"
	}
	return *e
}

// setState records a target's state, for the check of late requests.
func (a *targetServers) setState(id, state string) {
	i := targetIndex(id)
	switch {
	case i < 0 || i >= len(a.drainedSince):
	case state == "SERVING":
		a.drainedSince[i].Store(0)
	default:
		a.drainedSince[i].Store(time.Now().UnixMilli())
	}
}

// maxConcurrentPuts bounds the configurations written concurrently.
const maxConcurrentPuts = 16

// changeConfig changes the configuration of all initiators.
func (w *changeWriter) changeConfig(ctx context.Context) (changeMark, error) {
	if w.f.usesFeed() {
		return w.layerChange(true)(ctx)
	}
	return w.changeEachConfig(ctx, w.changes)
}

// changeEachConfig changes the configuration of each initiator at the agents, for fleets without the feed.
func (w *changeWriter) changeEachConfig(ctx context.Context, turn int) (changeMark, error) {
	f := w.f
	m := changeMark{Lane: hollow.Config, At: monotonic.Now(), VersionByName: map[string]uint64{}}
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPuts)
	for i := range f.hollowCount {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			name := hollowName(i)
			e, err := f.client.PutConfig(ctx, name, f.configOf(name, turn), "")
			mu.Lock()
			defer mu.Unlock()
			if m.VersionByName[name] = e.Version; err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	return m, failed
}

// configOf returns the configuration of an initiator.
func (f *fleet) configOf(name string, turn int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:9","discovery":%q,"limits":{"sockets":%d},"settings":%s}`, name, f.discovery.addr, 1024+turn%1024,
		fmt.Sprintf(settingsTemplate, f.spec.maxInitiators()))
}

// errAllChanging means that a change of each target is in progress.
var errAllChanging = errors.New("a change of each target is in progress")

// errNoInitiators means that there are no initiators to measure.
var errNoInitiators = errors.New("no hollow initiators")

// awaitMarks waits until all initiators have the marks, and returns the time that it took and the state, which is incomplete after a timeout.
func (f *fleet) awaitMarks(marks []changeMark, within time.Duration) (took time.Duration, s hostState, err error) {
	if len(marks) == 0 {
		return 0, s, nil
	}
	// Reaching the newest mark of a lane implies the earlier ones. With the feed all initiators reach the same version, also those that a change does not concern.
	newest := map[hollow.Stream]changeMark{}
	for _, m := range marks {
		m.Region, m.Zone, m.Name = "", "", ""
		if m.Version >= newest[m.Lane].Version {
			newest[m.Lane] = m
		}
	}
	newestMarks := slices.Collect(maps.Values(newest))
	began := time.Now()
	for {
		if s, err = f.broadcast(hostOrder{Action: "state", Marks: newestMarks}); err != nil {
			return 0, s, err
		}
		if !s.incomplete(f.hollowCount) {
			return time.Since(began), s, nil
		}
		if took = time.Since(began); took > within {
			return took, s, nil
		}
		if !f.sleep(100 * time.Millisecond) {
			return 0, s, f.ctx.Err()
		}
	}
}
