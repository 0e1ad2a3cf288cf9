package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/policy"
)

// TestAdopt hands other settings over between requests: what was submitted before is decided on by those before, what comes after by them, and
// they count as taken once the module goes by them. The bound on open requests holds at once, and names are kept for the longer time.
func TestAdopt(t *testing.T) {
	set := policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 1,
		Classes: []policy.Class{{Name: "new", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}}}
	h := newHand(t)
	var before, after, gone []Response
	require.True(t, h.Submit(job("get", h.now, &before)))
	done := h.ApplySettings(set, 3, time.Second)
	require.True(t, h.Submit(job("new", h.now, &after)))
	require.True(t, h.Submit(job("get", h.now, &gone)))
	require.False(t, h.Submit(job("new", h.now, &after)), "three are open")
	select {
	case <-done:
		t.Fatal("taken before the module has stepped")
	default:
	}
	h.step(h.now, h.box.Take(nil))
	<-done
	require.Equal(t, []string{"1", "2"}, []string{h.up.sent[0].RequestID, h.up.sent[1].RequestID})
	require.Empty(t, before)
	require.Empty(t, after)
	require.Len(t, gone, 1, "its class is no more")
	require.Equal(t, Rejected, gone[0].Status)
	require.Equal(t, namesFor, h.opt.RequestIDTTL)
	h.ApplySettings(set, 100, 2*namesFor)
	h.step(h.now, h.box.Take(nil))
	require.Equal(t, 2*namesFor, h.opt.RequestIDTTL)
	require.True(t, h.Submit(job("new", h.now, &after)))
}

// TestAdoptAtTheEnd hands settings to a core that has ended: nobody may wait for it alone.
func TestAdoptAtTheEnd(t *testing.T) {
	h := newHand(t)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	h.Run(ctx)
	select {
	case <-h.ApplySettings(policy.Settings{}, 1, 0):
		t.Fatal("taken by a core that has ended")
	case <-time.After(20 * time.Millisecond):
	}
}
