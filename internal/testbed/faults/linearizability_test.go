package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keyLifetime is how long clients use one set of keys: it bounds the operations that the checker has to order at once.
const keyLifetime = 3 * time.Second

// agentFaults hurts one agent after the other until the context ends, and returns how often what happened.
func agentFaults(ctx context.Context, g *Agents, seed uint64) map[string]int {
	rng := rand.New(rand.NewPCG(seed, 42))
	counts := map[string]int{}
	sleep := func(atLeast, atMost time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(atLeast + time.Duration(rng.Float64()*float64(atMost-atLeast))):
		}
	}
	hurt := func(what string, begin, end func()) {
		counts[what]++
		begin()
		sleep(200*time.Millisecond, 1200*time.Millisecond)
		end()
	}
	for sleep(time.Second, 2*time.Second); ctx.Err() == nil; sleep(1500*time.Millisecond, 3*time.Second) {
		i := rng.IntN(len(g.Procs))
		if rng.IntN(3) > 0 {
			i = max(0, g.leading(ctx))
		}
		p := g.Procs[i]
		switch rng.IntN(4) {
		case 0:
			hurt("kill", p.Kill, p.Restart)
		case 1:
			hurt("pause", p.Pause, p.Resume)
		case 2:
			hurt("alone", func() { g.Isolate(i) }, func() { g.Join(i) })
		case 3:
			hurt("kill", p.Kill, p.Restart)
			next := -1
			for ctx.Err() == nil && next < 0 {
				next = g.leading(ctx)
			}
			if next >= 0 {
				hurt("kill elected", g.Procs[next].Kill, g.Procs[next].Restart)
			}
		}
	}
	return counts
}

// TestReadsLinearizable guards against reads, conditional writes and deletes that do not fit one order, while agents are killed, paused and
// cut off. By hand it goes on for as long as SPINDLEHITCH_FAULTS says; SPINDLEHITCH_SEED is another seed.
func TestReadsLinearizable(t *testing.T) {
	const clients, keysAtOnce = 8, 3
	length := 20 * time.Second
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length = d
	}
	seed := seedOf(42)
	r := New(t)
	g := r.Agents(3)
	g.Leader()
	h := NewHistory()
	ctx, done := context.WithTimeout(t.Context(), length)
	defer done()
	var keys atomic.Pointer[[]string]
	rotate := func(epoch int) {
		var all []string
		for i := range keysAtOnce {
			all = append(all, fmt.Sprintf("e%d-k%d", epoch, i))
		}
		keys.Store(&all)
	}
	rotate(0)
	var running sync.WaitGroup
	running.Go(func() {
		for epoch := 1; ctx.Err() == nil; epoch++ {
			select {
			case <-ctx.Done():
			case <-time.After(keyLifetime):
				rotate(epoch)
			}
		}
	})
	for id := range clients {
		running.Go(func() {
			c := NewKeyClient(id+1, seed, h, g.API)
			for ctx.Err() == nil {
				c.Step(t.Context(), *keys.Load())
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	counts := agentFaults(ctx, g, seed)
	running.Wait()
	t.Logf("seed %d: %v; %v", seed, h, counts)
	require.NoError(t, h.Check(time.Minute), "seed %d", seed)
	require.Positive(t, h.acked)
	require.Positive(t, h.readsOK)
}
