package instance

import (
	"log/slog"

	"spindlehitch/internal/datapath/discovery"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/config"
)

// toldTargets returns where the list that discovery tells is kept for a successor: shared, if generations of this process share one; nil: no
// process can succeed this one while it lives.
func toldTargets(cfg *config.Config, shared *targetlist.Latest) *targetlist.Latest {
	if shared == nil && cfg.InheritedFD != "" {
		return targetlist.NewLatest(nil)
	}
	return shared
}

// discoveryWatch follows discovery's list of targets.
type discoveryWatch struct {
	loop
	watcher *discovery.Watcher
}

// newDiscoveryWatch returns a watch that begins with what the process was told before, or else with the configuration's last known list. It
// records in told what it is told; nil: that is not kept.
func newDiscoveryWatch(cfg *config.Config, told *targetlist.Latest, log *slog.Logger, onList func(*targetlist.List)) *discoveryWatch {
	lastKnown, deliver := cfg.LastKnownTargets, onList
	if told != nil {
		if list := told.Full(); list != nil {
			lastKnown = list
		}
		deliver = func(l *targetlist.List) {
			if l.Origin != "" { // a configuration's last known list was not told by discovery
				told.Apply(l)
			}
			onList(l)
		}
	}
	watcher := discovery.New(discovery.Options{Addr: cfg.Discovery, LastKnown: lastKnown, Initiators: discoverySharers(cfg), Seed: cfg.Seed, Log: log}, deliver)
	return &discoveryWatch{loop{run: watcher.Run}, watcher}
}

// discoverySharers is how many initiators poll the same discovery service; 0: the list is pushed, or each has its own service.
func discoverySharers(cfg *config.Config) int {
	if cfg.Policy.SubscribeToList {
		return cfg.Policy.Initiators
	}
	return 0
}

// ApplyChange implements changeApplier.
func (w *discoveryWatch) ApplyChange(c Change) error {
	if c.Discovery != "" {
		w.watcher.SetAddr(c.Discovery)
	}
	return nil
}
