package instance

import (
	"maps"
	"reflect"
	"runtime"
	"slices"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/front"
	"spindlehitch/internal/process/config"
)

// configApplier applies another configuration to the running components. Their state is kept: connections, requests, the
// recorded health of targets, outstanding attempts and the target list.
type configApplier struct {
	passive
	instance  *instance
	dataPath  *dataPath
	front     *front.Server
	limits    *limitDivider
	accounts  *accountsRecorder // nil: no accounts are kept
	discovery *discoveryWatch
}

// ApplyChange implements changeApplier. When it returns, the whole configuration is in force: each request is admitted and
// scheduled either by the old one or by the new one. In between, the scheduler already has the new classes and plans, which the
// front doesn't admit yet, and rejects requests that name removed ones, which the front still admits; a retry of such a
// request is harmless.
func (a *configApplier) ApplyChange(c Change) error {
	cfg := c.Config
	if cfg == nil {
		return nil
	}
	if current := a.instance.cfg.Load(); current.Limits.Cores != cfg.Limits.Cores {
		runtime.GOMAXPROCS(maxThreads(cfg))
	}
	a.limits.setLimits(effectiveLimits(cfg.Limits))
	a.dataPath.up.SetTimeouts(cfg.DialTimeout, cfg.ConnIdleTimeout*4/5)
	a.dataPath.metrics.AddClasses(slices.Collect(maps.Keys(cfg.ClassNames())))
	a.discovery.watcher.SetInitiators(discoverySharers(cfg))
	if a.accounts != nil {
		a.instance.core.Inspect(func() { a.accounts.rec.SetWorth(requestPriority(cfg)) })
	}
	select {
	case <-a.instance.core.ApplySettings(cfg.Policy, cfg.MaxOpenRequests, requestIDTTL(cfg)):
	case <-a.dataPath.done: // the scheduler has ended
	}
	a.front.SetAdmission(frontAdmission(cfg))
	oldWait := a.instance.longestClientWait()
	a.instance.cfg.Store(cfg)
	a.instance.previous.Store(&previousConfig{oldWait, time.Now().Add(oldWait)})
	return nil
}

// frontAdmission returns which classes and plans the front admits, and its schedule for a stop.
func frontAdmission(cfg *config.Config) front.Admission {
	return front.Admission{Classes: cfg.ClassNames(), Plans: cfg.PlanNames(), Shutdown: core.NewShutdownSchedule(maxDeadline(cfg))}
}

// maxThreads is the number of threads that run Go code at a time: the cores, rounded up.
func maxThreads(cfg *config.Config) int { return max(1, int(cfg.Limits.Cores+0.99)) }

// restartReason names the field of another configuration that a running instance can't apply; empty: it can apply all of it.
// The last known targets and the seed are only used at a start and are no reason for one.
func restartReason(cfg, next *config.Config, operator, nextOperator *config.OperatorFile) string {
	hasTasks := operator.Fleet != nil && len(operator.Fleet.Tasks) > 0
	for _, c := range []struct {
		field   string
		differs bool
	}{
		{"name", cfg.Name != next.Name},
		{"listen", cfg.Listen != next.Listen},
		{"control", cfg.Control != next.Control},
		{"settings.limits.probes", hasTasks && cfg.HealthProbes != next.HealthProbes},
		{"settings.limits.dialTimeoutUs", hasTasks && cfg.DialTimeout != next.DialTimeout},
		{"operator's file", !reflect.DeepEqual(operator, nextOperator)},
		{"operator's file: nvme", operator.NVMe != nil}, // its controller and its host are built from the settings
	} {
		if c.differs {
			return c.field
		}
	}
	return ""
}
