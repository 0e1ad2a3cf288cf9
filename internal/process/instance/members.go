package instance

import (
	"log/slog"
	"math"
	"time"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/controlplane/membership/transport"
	"spindlehitch/internal/controlplane/quota/quotasession"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/process/config"
)

// newPeers is this instance among those that know each other; nil where the operator's file has none of it.
func newPeers(cfg *config.Config, op *config.Operator, shared bool, log *slog.Logger) (*transport.Runner, error) {
	if op.Fleet == nil || op.Fleet.Members == nil {
		return nil, nil
	}
	o := op.Fleet.Members
	set := membership.DefaultConfig
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	set.ProbeInterval, set.ProbeTimeout, set.PauseThreshold, set.SyncInterval = ms(o.ProbeMs), ms(o.TimeoutMs), ms(o.PauseMs), ms(o.CompareMs)
	set.TombstoneTTL = time.Duration(o.ForgetS) * time.Second
	return transport.New(transport.Options{Name: cfg.Name, Bind: o.Bind, Advertise: o.Advertise, Zone: o.Zone, FleetKey: o.Key, Seeds: o.Seeds,
		Config: set, AllowOtherPort: shared, Log: log})
}

// tellsOf is what a member tells others of itself: how many requests are open, and an agent that has answered it.
func tellsOf(c *core.Core, part *quotasession.Session) func() (uint16, string) {
	return func() (uint16, string) {
		agent := ""
		if part != nil {
			agent = part.ReachableAgent()
		}
		return loadOf(c), agent
	}
}

// loadOf is what an instance bears: its open requests.
func loadOf(c *core.Core) uint16 { return uint16(min(c.OpenCount(), math.MaxUint16)) }

// endedNames are those whom a member holds dead or gone, for whoever plans.
func endedNames(p *transport.Runner) []string {
	var names []string
	for _, v := range p.EndedInstances() {
		names = append(names, v.Name)
	}
	return names
}
