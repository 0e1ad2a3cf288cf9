package instance

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/datapath/nvme"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/process/config"
)

// host is this initiator as a host of its targets.
func host(n *config.NVMe, certs *keys.Store) nvme.HostOptions {
	h := nvme.HostOptions{Subsystem: n.TargetSubsystem, HostNQN: n.HostNQN, Digests: n.Digests,
		KeepAlive: time.Duration(n.KeepAliveMs) * time.Millisecond, Keys: certs}
	id, _ := hex.DecodeString(n.HostID)
	copy(h.HostID[:], id)
	return h
}

// about is this initiator as its hosts' controller. Connections and data held have their part of the
// process's limits.
func about(n *config.NVMe, c *config.Config, certs *keys.Store, numbers *figures.Metrics, leave core.ShutdownSchedule, log *slog.Logger) nvme.Options {
	own := limits(c.Limits)
	o := nvme.Options{Subsystem: n.Subsystem, Namespaces: namespaces(n.Namespaces), QueueDepth: n.QueueDepth,
		MostConn: own.clients(), MostBytes: own.held(), Patience: map[string]time.Duration{},
		Log: log, Keys: certs, Figures: numbers, Leave: leave}
	for _, k := range c.Module.Classes {
		o.Patience[k.Name] = k.Deadline
	}
	return o
}

func namespaces(list []config.Namespace) []nvme.Namespace {
	out := make([]nvme.Namespace, len(list))
	for i, n := range list {
		out[i] = nvme.Namespace(n)
	}
	return out
}

// passive is a part that only wants to hear of changes.
type passive struct{}

// Start implements Part.
func (passive) Start(context.Context) error { return nil }

// Stop implements Part.
func (passive) Stop(context.Context) error { return nil }

// spaces has a front's namespaces follow the operator's file.
type spaces struct {
	passive
	front *nvme.Server
}

// Reload implements reloader.
func (s spaces) Reload(c Change) error {
	if c.Spaces != nil {
		s.front.Update(namespaces(c.Spaces))
	}
	return nil
}

// certificates are read again at each reload.
type certificates struct {
	passive
	keys *keys.Store
}

// Reload implements reloader.
func (c certificates) Reload(Change) error {
	if err := c.keys.Reload(); err != nil {
		return fmt.Errorf("nvme.tls.%w", err)
	}
	return nil
}
