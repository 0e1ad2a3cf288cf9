package instance

import (
	"context"
	"log/slog"
	"os"
	"sync"

	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/handover"
)

// processGroup is this process's membership in the process group of its initiator: during an upgrade the processes share the
// initiator's limits and the IDs of its requests, and an older process stops once a younger one serves. There can only be several processes if they
// inherit the clients' listening socket. If the group's folder can't be used, the process runs as if it were alone.
type processGroup struct {
	name           string
	log            *slog.Logger
	onProcessCount func(alive, draining int)
	requestIDs     *requestid.Registry
	targets        *targetlist.Latest     // handed to younger processes
	onTargets      func(*targetlist.List) // called with the list that an older process hands over
	superseded     chan struct{}          // closed by watchGroup once a younger process serves
	supersededOnce sync.Once
	group          *handover.Group // nil: not joined
	loop
}

func newProcessGroup(name string, log *slog.Logger, onProcessCount func(alive, draining int), requestIDs *requestid.Registry, targets *targetlist.Latest, onTargets func(*targetlist.List)) *processGroup {
	g := &processGroup{name: name, log: log, onProcessCount: onProcessCount, requestIDs: requestIDs, targets: targets, onTargets: onTargets, superseded: make(chan struct{})}
	g.run = g.watchGroup
	return g
}

// Start implements Component. It returns once this process knows the IDs of the requests that are open at the others, so that no front
// accepts a second request with one of them.
func (g *processGroup) Start(ctx context.Context) error {
	joined, err := handover.Join(os.TempDir(), g.name, g.log)
	if err != nil {
		g.logFailure(err)
		return nil
	}
	g.group = joined
	joined.ShareTargets(g.targets.Full)
	if err := joined.ShareRequestIDs(ctx, g.requestIDs); err != nil {
		g.logFailure(err)
	}
	if list := joined.HandedTargets(); list != nil {
		g.onTargets(list)
	}
	return g.loop.Start(ctx)
}

// Stop implements Component.
func (g *processGroup) Stop(ctx context.Context) error {
	if g.group == nil {
		return nil
	}
	defer g.group.Close()
	return g.loop.Stop(ctx)
}

// logFailure logs that this process could not join the group or publish its phase.
func (g *processGroup) logFailure(err error) {
	g.log.Warn("handover not told", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
}

// watchGroup follows the other processes' states until the context ends.
func (g *processGroup) watchGroup(ctx context.Context) {
	g.group.Watch(ctx, func(v handover.View) {
		g.log.Info("processes", slog.Int("alive", v.Processes), slog.Int("draining", v.Draining), slog.Bool("succeeded", v.Superseded))
		g.onProcessCount(v.Processes, v.Draining)
		if v.Superseded {
			g.supersededOnce.Do(func() { close(g.superseded) })
		}
	})
}

// enterPhase publishes this process's phase to the others; on a nil group it does nothing.
func (g *processGroup) enterPhase(p handover.Phase) {
	if g == nil || g.group == nil {
		return
	}
	if err := g.group.SetPhase(p); err != nil {
		g.logFailure(err)
	}
}
