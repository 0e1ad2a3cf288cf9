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

// newMembership returns this instance's member of the membership group, or nil if the operator's file configures none.
func newMembership(cfg *config.Config, op *config.OperatorFile, reusePort bool, log *slog.Logger) (*transport.Runner, error) {
	if op.Fleet == nil || op.Fleet.Members == nil {
		return nil, nil
	}
	opt := op.Fleet.Members
	timing := membership.DefaultConfig
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	timing.ProbeInterval, timing.ProbeTimeout, timing.PauseThreshold, timing.SyncInterval = ms(opt.ProbeMs), ms(opt.ProbeTimeoutMs), ms(opt.PauseThresholdMs), ms(opt.SyncIntervalMs)
	timing.TombstoneTTL = time.Duration(opt.TombstoneTTLS) * time.Second
	return transport.New(transport.Options{Name: cfg.Name, Bind: opt.Bind, Advertise: opt.Advertise, Zone: opt.Zone, FleetKey: opt.Key, Seeds: opt.Seeds,
		Config: timing, AllowOtherPort: reusePort, Log: log})
}

// localState returns the function that supplies the state a member gossips about itself: the number of its open requests,
// and an agent that answered it recently.
func localState(c *core.Core, session *quotasession.Session) func() (uint16, string) {
	return func() (uint16, string) {
		agent := ""
		if session != nil {
			agent = session.ReachableAgent()
		}
		return openRequests(c), agent
	}
}

// openRequests is an instance's load: the number of its open requests.
func openRequests(c *core.Core) uint16 { return uint16(min(c.OpenCount(), math.MaxUint16)) }

// endedInstances are the names of the instances that are dead or have left according to the membership, for the lease planner.
func endedInstances(members *transport.Runner) []string {
	var names []string
	for _, v := range members.EndedInstances() {
		names = append(names, v.Name)
	}
	return names
}
