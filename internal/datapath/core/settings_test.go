package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/policy"
)

// TestApplySettings changes the settings between requests: those submitted before are decided by the old settings, those after by the new ones,
// and the channel is closed once the new ones are in force. The bound on open requests holds at once, and request IDs are kept for the longer time.
func TestApplySettings(t *testing.T) {
	settings := policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 1,
		Classes: []policy.Class{{Name: "new", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}}}
	h := newSteppedCore(t)
	var old, updated, oldClass []Response
	require.True(t, h.Submit(newJob("get", h.now, &old)))
	applied := h.ApplySettings(settings, 3, time.Second)
	require.True(t, h.Submit(newJob("new", h.now, &updated)))
	require.True(t, h.Submit(newJob("get", h.now, &oldClass)))
	require.False(t, h.Submit(newJob("new", h.now, &updated)), "three are open")
	select {
	case <-applied:
		t.Fatal("reported as applied before the scheduler has stepped")
	default:
	}
	h.step(h.now, h.mailbox.Take(nil))
	<-applied
	require.Equal(t, []string{"1", "2"}, []string{h.fake.sent[0].RequestID, h.fake.sent[1].RequestID})
	require.Empty(t, old)
	require.Empty(t, updated)
	require.Len(t, oldClass, 1, "its class no longer exists")
	require.Equal(t, Rejected, oldClass[0].Status)
	require.Equal(t, testRequestIDTTL, h.opt.RequestIDs.TTL())
	h.ApplySettings(settings, 100, 2*testRequestIDTTL)
	h.step(h.now, h.mailbox.Take(nil))
	require.Equal(t, 2*testRequestIDTTL, h.opt.RequestIDs.TTL())
	require.True(t, h.Submit(newJob("new", h.now, &updated)))
}

// TestApplySettingsAfterStop passes settings to a core that has stopped: the channel stays open, so callers must not wait for it alone.
func TestApplySettingsAfterStop(t *testing.T) {
	h := newSteppedCore(t)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	h.Run(ctx)
	select {
	case <-h.ApplySettings(policy.Settings{}, 1, 0):
		t.Fatal("reported as applied by a core that has stopped")
	case <-time.After(20 * time.Millisecond):
	}
}
