package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"

	"spindlehitch/internal/budget"
	"spindlehitch/internal/config"
	"spindlehitch/internal/core"
	"spindlehitch/internal/front"
	"spindlehitch/internal/handover"
	"spindlehitch/internal/upstream"
)

// crew is this process among those of its initiator during an upgrade.
type crew struct {
	group     *handover.Group // nil: it is alone
	log       *slog.Logger
	succeeded chan struct{} // closed once a younger process serves
	once      sync.Once
}

// joinCrew has this process share the limits of its initiator with others, which there can only be where the clients'
// socket is everybody's. Without a folder it goes on alone.
func joinCrew(cfg *config.Config, log *slog.Logger) *crew {
	c := &crew{log: log, succeeded: make(chan struct{})}
	if cfg.Inherited == "" {
		return c
	}
	var err error
	if c.group, err = handover.Join(os.TempDir(), cfg.Name, log); err != nil {
		c.group = nil
		c.untold(err)
	}
	return c
}

func (c *crew) untold(err error) {
	c.log.Warn("handover not told", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
}

// watch follows the others until the context ends.
func (c *crew) watch(ctx context.Context, share func(parts int)) {
	if c.group == nil {
		return
	}
	c.group.Watch(ctx, func(v handover.View) {
		c.log.Info("processes", slog.Int("alive", v.Parts), slog.Bool("succeeded", v.Leave))
		share(v.Parts)
		if v.Leave {
			c.once.Do(func() { close(c.succeeded) })
		}
	})
}

// enter tells the others how far this process has come.
func (c *crew) enter(p handover.Phase) {
	if c.group == nil {
		return
	}
	if err := c.group.Enter(p); err != nil {
		c.untold(err)
	}
}

func (c *crew) close() {
	if c.group != nil {
		c.group.Close()
	}
}

// shares bounds everything that the limits are for.
type shares struct {
	cfg     *config.Config
	room    *budget.Bytes
	up      *upstream.Registry
	clients *front.Server
	core    *core.Core
	given   int64 // of room
}

// divide has this process keep to its part, where so many share the limits.
func (s *shares) divide(parts int) {
	part := s.cfg.Part(parts)
	memory := int64(part.Limits.MemoryMB) << 20
	debug.SetMemoryLimit(memory * 7 / 10)
	s.room.Give(memory/4 - s.given)
	s.given = memory / 4
	s.up.Bound(part.TargetConns(), part.AllTargetConns())
	s.clients.Bound(part.ClientConns(), part.EasyConns())
	s.core.Share(parts)
}
