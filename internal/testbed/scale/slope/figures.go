package slope

import (
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/watchstream"
)

// Values of Figure.When.
const (
	ordinaryDay       = "ordinary day"
	worstMinute       = "worst minute"
	zoneReturned      = "a zone is back"
	regionReconnected = "a region was cut for an hour"
	restarting        = "restarts"
	always            = "always"
)

// Values of Figure.Mechanism, the groups of the ranking.
const (
	mechListDelivery     = "how changes of the list get to all: internal/datapath/discovery"
	mechConfigDelivery   = "how configurations get to all: internal/controlplane/agent"
	mechConfigApply      = "how a changed configuration comes into force: internal/process/instance"
	mechFeed             = "the feed: internal/controlplane/watchstream/distribution, internal/controlplane/watchstream"
	mechSchedulerChange  = "what a change costs the module: root package"
	mechSchedulerRequest = "what a request costs the module: root package"
	mechListDecode       = "how a list is read: internal/datapath/targetlist"
	mechQuota            = "fleet-wide budgets: internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator"
	mechLeases           = "leases: internal/controlplane/lease/lessor"
	mechMembership       = "members: internal/controlplane/membership/transport, internal/controlplane/membership"
	mechTargetActors     = "targets' actors: internal/datapath/upstream"
	mechInstanceState    = "what an initiator keeps"
)

// gcHeapFactor is the size to which Go's collector lets the heap grow, as a multiple of the live heap.
const gcHeapFactor = 2

// timersPerSecond is the most timers a second that the scheduler asks for, to detect that it was stalled.
const timersPerSecond = 16

// Figures returns all figures of the page.
func Figures() []Figure {
	coreLimit := func(_ costModel, _ Size, l Limits) float64 { return l.Core }
	wireLimit := func(_ costModel, _ Size, l Limits) float64 { return l.Wire }
	inForceLimit := func(_ costModel, _ Size, l Limits) float64 { return l.ConfigInForce }
	machineLimit := func(_ costModel, _ Size, l Limits) float64 { return l.MachineCores }
	listChangeCost := func(c costModel, s Size) float64 {
		return c.costAt("module.change", s.Targets) + c.costAt("upstream.change", s.Targets) + c.perUnit("list.decode")
	}
	// configChangeCost is the cost of a changed configuration at an initiator whose scheduler knows as many volumes as it keeps accounts for.
	configChangeCost := func(c costModel, s Size) float64 {
		return c.costAt("adopt.cpu", s.Targets) + c.costAt("module.adopt", s.VolumesPerInitiator)
	}
	// coalescedRate is how many changes a second reach an initiator in a burst, after the relay coalesced them.
	coalescedRate := func(s Size) float64 {
		return min(s.ConfigBurst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds())
	}
	commitRate := func(c costModel, _ Size, _ Limits) float64 { return 1e6 / c.perUnit("agent.change.time") }
	entryRate := func(s Size) float64 { return s.ConfigChangeRate() * s.Initiators }
	return append(feedFigures(), []Figure{
		// The initiator.
		{Role: "initiator", Subject: "processor: changes of the list", When: ordinaryDay, Unit: "core", SlopeNames: []string{"module.change", "upstream.change", "list.decode"}, Mechanism: mechSchedulerChange,
			Value: func(c costModel, s Size, _ Limits) float64 { return s.ListChangeRate() * listChangeCost(c, s) / 1e6 }, Limit: coreLimit},
		{Role: "initiator", Subject: "processor: changes of the list, one by one", When: zoneReturned, Unit: "core", SlopeNames: []string{"module.change", "upstream.change", "list.decode"},
			Mechanism: mechSchedulerChange,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.Targets / s.Zones / minute * listChangeCost(c, s) / 1e6
			}, Limit: coreLimit},
		{Role: "initiator", Subject: "processor: each configuration, taken over by what runs", When: ordinaryDay, Unit: "core", SlopeNames: []string{"adopt.cpu", "module.adopt"}, Mechanism: mechConfigApply,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.ConfigChangeRate() * configChangeCost(c, s) / 1e6
			}, Limit: coreLimit},
		{Role: "initiator", Subject: "processor: each configuration, taken over by what runs", When: worstMinute, Unit: "core", SlopeNames: []string{"adopt.cpu", "module.adopt"}, Mechanism: mechConfigApply,
			Feed:  FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return s.ConfigBurst * configChangeCost(c, s) / 1e6 }, Limit: coreLimit},
		{Role: "initiator", Subject: "processor: each configuration, taken over by what runs, those gathered at the relay as one", When: worstMinute, Unit: "core",
			SlopeNames: []string{"adopt.cpu", "module.adopt"}, Mechanism: mechConfigApply, Feed: FeedOn,
			Value: func(c costModel, s Size, _ Limits) float64 { return coalescedRate(s) * configChangeCost(c, s) / 1e6 }, Limit: coreLimit},
		{Role: "initiator", Subject: "processor: each configuration, if all of them needed a new start", When: ordinaryDay, Unit: "core", SlopeNames: []string{"successor.cpu"}, Mechanism: mechConfigApply,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.ConfigChangeRate() * c.costAt("successor.cpu", s.Targets) / 1e6
			}, Limit: coreLimit,
			MissingInput: "how many changes are of addresses or of the operator's file"},
		{Role: "initiator", Subject: "processor: watches, renewals, members and timers, with nothing new", When: always, Unit: "core",
			SlopeNames: []string{"discovery.cpu", "follower.cpu", "renewer.cpu", "members.cpu", "module.timer"}, Mechanism: mechInstanceState, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return (c.perUnit("discovery.cpu") + c.perUnit("follower.cpu") + c.perUnit("renewer.cpu") + c.costAt("members.cpu", s.Initiators) +
					timersPerSecond*c.costAt("module.timer", s.Targets)) / 1e6
			}, Limit: coreLimit},
		{Role: "initiator", Subject: "time of the module for a request, of what there is for each", When: always, Unit: "us", SlopeNames: []string{"module.request"}, Mechanism: mechSchedulerRequest,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("module.request", s.Targets) }, Limit: func(_ costModel, s Size, _ Limits) float64 { return 1e6 / s.RequestsPerInitiator() }},
		{Role: "initiator", Subject: "memory: module, list, targets' actors, members, accounts, with the collector's room", When: always, Unit: "B",
			SlopeNames: []string{"module.memory", "list.memory", "upstream.memory", "members.memory", "accounts.memory"}, Mechanism: mechInstanceState, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return gcHeapFactor * (c.costAt("module.memory", s.Targets) + c.costAt("list.memory", s.Targets) + c.costAt("upstream.memory", s.Targets) + c.costAt("members.memory", s.Initiators) +
					c.costAt("accounts.memory", s.VolumesPerInitiator))
			}, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.Memory }},
		{Role: "initiator", Subject: "wire: watches, renewals with eight targets, members both ways", When: always, Unit: "B/s", Mechanism: mechInstanceState, Feed: FeedOff,
			SlopeNames: []string{"discovery.wire", "agent.follow.wire", "leader.wire", "members.wire"},
			Value: func(c costModel, s Size, _ Limits) float64 {
				return c.perUnit("discovery.wire") + c.perUnit("agent.follow.wire") + c.perUnit("leader.wire") + 2*c.costAt("members.wire", s.Initiators)
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "wire: changes of the list, one by one", When: ordinaryDay, Unit: "B/s", SlopeNames: []string{"discovery.change.wire"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.ListChangeRate() * c.perUnit("discovery.change.wire")
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "wire: changes of the list, one by one", When: zoneReturned, Unit: "B/s", SlopeNames: []string{"discovery.change.wire"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.Targets / s.Zones / minute * c.perUnit("discovery.change.wire")
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "time of what an hour's changes of the list take at its bytes a second", When: regionReconnected, Unit: "s", SlopeNames: []string{"list.line"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, l Limits) float64 {
				return s.ListChangeRate() * hour * c.perUnit("list.line") / l.Wire
			}, Limit: inForceLimit},
		{Role: "initiator", Subject: "wire: its configuration, whole, at each change", When: ordinaryDay, Unit: "B/s", SlopeNames: []string{"agent.answer"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.ConfigChangeRate() * c.costAt("agent.answer", s.ConfigBytes)
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "wire: its configuration, whole, at each change", When: worstMinute, Unit: "B/s", SlopeNames: []string{"agent.answer"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.ConfigBurst * c.costAt("agent.answer", s.ConfigBytes)
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "wire: renewals, with connections to every target", When: always, Unit: "B/s", SlopeNames: []string{"renewal.wire"}, Mechanism: mechQuota,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return c.costAt("renewal.wire", min(s.Targets, quota.MaxKeys))
			}, Limit: wireLimit,
			MissingInput: "how many targets an initiator's clients use"},
		{Role: "initiator", Subject: "entries of a list, of as many as the probe had read", When: always, Unit: "entries", SlopeNames: []string{"list.line"}, Mechanism: mechListDecode,
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.Targets }, Limit: func(c costModel, _ Size, _ Limits) float64 { return c.maxSize("list.line") }},
		{Role: "initiator", Subject: "time of a whole list at its bytes a second", When: restarting, Unit: "s", SlopeNames: []string{"list.line"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, l Limits) float64 { return c.costAt("list.line", s.Targets) / l.Wire }, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.RestartWindow }},
		{Role: "initiator", Subject: "descriptors: clients, a connection to each target, control", When: always, Unit: "descriptors", SlopeNames: []string{"discovery.connections"}, Mechanism: mechInstanceState,
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.Clients/s.Initiators + s.Targets + 6 }, MissingInput: "the limit of a process"},
		// Discovery.
		{Role: "discovery", Subject: "time until all have heard of a change, at one service that all share", When: always, Unit: "s", SlopeNames: []string{"discovery.told"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("discovery.told", s.Initiators) }, Limit: inForceLimit},
		{Role: "discovery", Subject: "time until all have heard after all watches fell silent", When: worstMinute, Unit: "s", SlopeNames: []string{"discovery.silent"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("discovery.silent", s.Initiators) }, Limit: inForceLimit},
		{Role: "discovery", Subject: "time for the whole lists of all that restart within ten minutes, at one service", When: restarting, Unit: "s", SlopeNames: []string{"list.line"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(_ costModel, s Size, l Limits) float64 {
				return s.InitiatorRestarts * (l.DiscoveryCall + s.Targets*l.DiscoveryEntry)
			}, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.RestartWindow }},
		{Role: "discovery", Subject: "processor: watches with nothing new, where it pushes, both ends", When: always, Unit: "core", SlopeNames: []string{"discovery.cpu"}, Mechanism: mechListDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("discovery.cpu", s.Initiators) / 1e6 }, Limit: machineLimit},
		// Agents.
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes", When: ordinaryDay, Unit: "entries/s", SlopeNames: []string{"agent.change.time"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(_ costModel, s Size, _ Limits) float64 { return entryRate(s) }, Limit: commitRate},
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes", When: worstMinute, Unit: "entries/s", SlopeNames: []string{"agent.change.time"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.ConfigBurst * s.Initiators }, Limit: commitRate},
		{Role: "agent, leader", Subject: "processor: entries", When: ordinaryDay, Unit: "core", SlopeNames: []string{"agent.change.cpu"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return entryRate(s) * c.perUnit("agent.change.cpu") / 1e6 }, Limit: machineLimit},
		{Role: "agent, leader", Subject: "processor: renewals", When: always, Unit: "core", SlopeNames: []string{"leader.cpu"}, Mechanism: mechQuota,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("leader.cpu", s.Initiators) / 1e6 }, Limit: machineLimit},
		{Role: "agent, leader", Subject: "time of its one book for the renewals of a second", When: always, Unit: "s", SlopeNames: []string{"giver.renew"}, Mechanism: mechQuota,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.Initiators * c.costAt("giver.renew", s.Initiators) / 1e6
			}, Limit: func(costModel, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Subject: "time of its one book for the claims of a second", When: always, Unit: "s", SlopeNames: []string{"keeper.claim"}, Mechanism: mechLeases,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.Initiators * c.costAt("keeper.claim", s.TaskShards) / 1e6
			}, Limit: func(costModel, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Subject: "time of its one book for four looks for orders a second, 1,000 shards", When: always, Unit: "s", SlopeNames: []string{"keeper.looks"}, Mechanism: mechLeases,
			Value: func(c costModel, s Size, _ Limits) float64 { return 4 * c.costAt("keeper.looks", s.Initiators) / 1e6 }, Limit: func(costModel, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Subject: "time for the joins of all that restart", When: restarting, Unit: "s", SlopeNames: []string{"leader.joins"}, Mechanism: mechQuota,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return s.InitiatorRestarts * c.perUnit("leader.joins") / 1e6
			}, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.RestartWindow }},
		{Role: "agent, leader", Subject: "seats, with a predecessor of each that restarts", When: restarting, Unit: "seats", SlopeNames: []string{"leader.joins"}, Mechanism: mechQuota,
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.Initiators + s.InitiatorRestarts }, Limit: func(costModel, Size, Limits) float64 { return quota.MaxSessions }},
		{Role: "agent", Subject: "processor: watches with nothing new, all at the agent named first", When: always, Unit: "core", SlopeNames: []string{"agent.follow.cpu"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("agent.follow.cpu", s.Initiators) / 1e6 }, Limit: machineLimit},
		{Role: "agent", Subject: "processor: each entry wakes every watch", When: ordinaryDay, Unit: "core", SlopeNames: []string{"agent.wake.cpu"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return entryRate(s) * c.costAt("agent.wake.cpu", s.Initiators) / 1e6
			}, Limit: machineLimit},
		{Role: "agent, follower", Subject: "processor: entries", When: ordinaryDay, Unit: "core", SlopeNames: []string{"agent.change.follower"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return entryRate(s) * c.perUnit("agent.change.follower") / 1e6
			}, Limit: machineLimit},
		{Role: "agent, follower", Subject: "processor: renewals, the leader's questions for its term", When: always, Unit: "core", SlopeNames: []string{"leader.follower"}, Mechanism: mechQuota,
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("leader.follower", s.Initiators) / 1e6 }, Limit: machineLimit},
		{Role: "agent", Subject: "memory: configurations and watches", When: always, Unit: "B", SlopeNames: []string{"agent.memory", "agent.follow.memory"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return gcHeapFactor * (c.costAt("agent.memory", s.Initiators) + c.costAt("agent.follow.memory", s.Initiators))
			}, MissingInput: "a control machine's memory"},
		{Role: "agent", Subject: "disk: the log of a day", When: ordinaryDay, Unit: "B", SlopeNames: []string{"agent.entry"}, Mechanism: mechConfigDelivery, Feed: FeedOff,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return entryRate(s) * day * c.costAt("agent.entry", s.ConfigBytes)
			}, MissingInput: "a control machine's disk"},
		// Targets.
		{Role: "target", Subject: "connections, with one from each initiator", When: always, Unit: "connections", SlopeNames: []string{"discovery.connections"}, Mechanism: mechTargetActors,
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.Initiators }, MissingInput: "how many a target bears, and how many targets an initiator's clients use"},
	}...)
}
