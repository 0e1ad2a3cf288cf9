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

// adoption has the parts that run take over another configuration. What they hold stays: connections, requests, what was learned of targets,
// what was sent to them, the list.
type adoption struct {
	passive
	in      *instance
	module  *decisions
	clients *front.Server
	limits  *shares
	book    *ledger // nil: no accounts are kept
	list    *watch
}

// Reload implements reloader. Once it returns the configuration is in force, whole: a request is admitted and decided on by the one before or
// by this one. In between the module knows already what clients may not name yet, and refuses what they may name still: a repeat of it is
// harmless.
func (a *adoption) Reload(c Change) error {
	cfg := c.Config
	if cfg == nil {
		return nil
	}
	if now := a.in.cfg.Load(); now.Limits.Cores != cfg.Limits.Cores {
		runtime.GOMAXPROCS(threads(cfg))
	}
	a.limits.grant(granted(cfg.Limits))
	a.module.up.SetTimeouts(cfg.Dial, cfg.ConnIdle*4/5)
	a.module.numbers.AddClasses(slices.Collect(maps.Keys(cfg.Classes())))
	a.list.list.SetInitiators(crowd(cfg))
	if a.book != nil {
		a.in.core.Inspect(func() { a.book.book.SetWorth(worth(cfg)) })
	}
	select {
	case <-a.in.core.ApplySettings(cfg.Module, cfg.MostHeld, namesFor(cfg)):
	case <-a.module.ended: // nothing is decided any more
	}
	a.clients.SetAdmission(admits(cfg))
	was := a.in.patience()
	a.in.cfg.Store(cfg)
	a.in.before.Store(&earlier{was, time.Now().Add(was)})
	return nil
}

// admits is what clients may name, and how they are left.
func admits(cfg *config.Config) front.Admission {
	return front.Admission{Classes: cfg.Classes(), Plans: cfg.Plans(), Shutdown: core.NewShutdownSchedule(longest(cfg))}
}

// threads is how many threads run Go code at a time.
func threads(cfg *config.Config) int { return max(1, int(cfg.Limits.Cores+0.99)) }

// needsStart names what of another configuration a running instance can't take over; empty: all of it can be. The list as last known and the
// seed are for a start alone, and no reason for one.
func needsStart(cfg, next *config.Config, op, nextOp *config.Operator) string {
	tasks := op.Fleet != nil && len(op.Fleet.Tasks) > 0
	for _, c := range []struct {
		field string
		other bool
	}{
		{"name", cfg.Name != next.Name},
		{"listen", cfg.Listen != next.Listen},
		{"control", cfg.Control != next.Control},
		{"settings.limits.probes", tasks && cfg.Probes != next.Probes},
		{"settings.limits.dialTimeoutUs", tasks && cfg.Dial != next.Dial},
		{"operator's file", !reflect.DeepEqual(op, nextOp)},
		{"operator's file: nvme", op.NVMe != nil}, // its front and its host are made of the settings
	} {
		if c.other {
			return c.field
		}
	}
	return ""
}
