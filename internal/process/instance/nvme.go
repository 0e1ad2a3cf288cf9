package instance

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/nvme"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/process/config"
)

// nvmeHostOptions configures this initiator as an NVMe host of its targets.
func nvmeHostOptions(n *config.NVMe, certStore *certs.Store) nvme.HostOptions {
	h := nvme.HostOptions{Subsystem: n.TargetSubsystem, HostNQN: n.HostNQN, Digests: n.Digests,
		KeepAlive: time.Duration(n.KeepAliveMs) * time.Millisecond, Certs: certStore}
	id, _ := hex.DecodeString(n.HostID)
	copy(h.HostID[:], id)
	return h
}

// nvmeControllerOptions configures this initiator as the NVMe controller that hosts connect to. The bounds on connections
// and on buffered data derive from the process's limits.
func nvmeControllerOptions(n *config.NVMe, c *config.Config, certStore *certs.Store, dataPathMetrics *metrics.Metrics, shutdown core.ShutdownSchedule, log *slog.Logger) nvme.Options {
	limits := effectiveLimits(c.Limits)
	o := nvme.Options{Subsystem: n.Subsystem, Namespaces: nvmeNamespaces(n.Namespaces), QueueDepth: n.QueueDepth,
		MaxConns: limits.clientConns(), MaxBufferedBytes: limits.bufferedBytes(), Timeouts: map[string]time.Duration{},
		Log: log, Certs: certStore, Metrics: dataPathMetrics, Shutdown: shutdown}
	for _, k := range c.Policy.Classes {
		o.Timeouts[k.Name] = k.Deadline
	}
	return o
}

func nvmeNamespaces(list []config.Namespace) []nvme.Namespace {
	out := make([]nvme.Namespace, len(list))
	for i, n := range list {
		out[i] = nvme.Namespace(n)
	}
	return out
}

// passive is the Start and Stop of a component that only applies configuration changes.
type passive struct{}

// Start implements Component.
func (passive) Start(context.Context) error { return nil }

// Stop implements Component.
func (passive) Stop(context.Context) error { return nil }

// namespaceUpdater replaces the NVMe controller's namespaces with those of a reloaded operator's file.
type namespaceUpdater struct {
	passive
	front *nvme.Server
}

// ApplyChange implements changeApplier.
func (u namespaceUpdater) ApplyChange(c Change) error {
	if c.Namespaces != nil {
		u.front.UpdateNamespaces(nvmeNamespaces(c.Namespaces))
	}
	return nil
}

// certificateReloader reads the certificate files again at each configuration change.
type certificateReloader struct {
	passive
	certs *certs.Store
}

// ApplyChange implements changeApplier.
func (r certificateReloader) ApplyChange(Change) error {
	if err := r.certs.Reload(); err != nil {
		return fmt.Errorf("nvme.tls.%w", err)
	}
	return nil
}
