package instance

import (
	"context"
	"log/slog"
	"os"
	"sync"

	"spindlehitch/internal/process/handover"
)

// crew is this process among those of its initiator during an upgrade. It shares the limits of its initiator with others, which
// there can only be where the clients' socket is everybody's. Without a folder it goes on alone.
type crew struct {
	name      string
	log       *slog.Logger
	share     func(parts int)
	succeeded chan struct{} // closed once a younger process serves
	once      sync.Once
	group     *handover.Group // nil: it is alone
	loop
}

func newCrew(name string, log *slog.Logger, share func(int)) *crew {
	c := &crew{name: name, log: log, share: share, succeeded: make(chan struct{})}
	c.run = c.watch
	return c
}

// Start implements Part.
func (c *crew) Start(stop context.Context) error {
	group, err := handover.Join(os.TempDir(), c.name, c.log)
	if err != nil {
		c.untold(err)
		return nil
	}
	c.group = group
	return c.loop.Start(stop)
}

// Stop implements Part.
func (c *crew) Stop(within context.Context) error {
	if c.group == nil {
		return nil
	}
	defer c.group.Close()
	return c.loop.Stop(within)
}

func (c *crew) untold(err error) {
	c.log.Warn("handover not told", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
}

// watch follows the others until the context ends.
func (c *crew) watch(ctx context.Context) {
	c.group.Watch(ctx, func(v handover.View) {
		c.log.Info("processes", slog.Int("alive", v.Parts), slog.Bool("succeeded", v.Leave))
		c.share(v.Parts)
		if v.Leave {
			c.once.Do(func() { close(c.succeeded) })
		}
	})
}

// enter tells the others how far this process has come.
func (c *crew) enter(p handover.Phase) {
	if c == nil || c.group == nil {
		return
	}
	if err := c.group.Enter(p); err != nil {
		c.untold(err)
	}
}
