package slope

import (
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/watchstream"
)

// When something is looked at.
const (
	ordinary = "ordinary day"
	worst    = "worst minute"
	zoneBack = "a zone is back"
	cutOver  = "a region was cut for an hour"
	starting = "restarts"
	always   = "always"
)

// Mechanisms, as the ranking tells them apart.
const (
	howLists      = "how changes of the list get to all: internal/datapath/discovery"
	howConfigs    = "how configurations get to all: internal/controlplane/agent"
	howConfigured = "how a changed configuration comes into force: internal/process/instance"
	howFeed       = "the feed: internal/controlplane/watchstream/distribution, internal/controlplane/watchstream"
	howModule     = "what a change costs the module: root package"
	howTurn       = "what a request costs the module: root package"
	howLine       = "how a list is read: internal/datapath/listing" // the earlier path of internal/datapath/targetlist; TestPage compares the text with docs/CAPACITY.md
	howGiver      = "fleet-wide budgets: internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator"
	howLeases     = "leases: internal/controlplane/lease/lessor"
	howMembers    = "members: internal/controlplane/membership/transport, internal/controlplane/membership"
	howTargets    = "targets' actors: internal/datapath/upstream"
	howKept       = "what an initiator keeps"
)

// room is how much Go's collector lets the heap grow, of what lives there.
const room = 2

// Timers are asked for sixteen times a second at most, to see whether the module stood still.
const timers = 16

// Figures is all of them.
func Figures() []Figure {
	core := func(_ costs, _ Size, l Limits) float64 { return l.Core }
	wire := func(_ costs, _ Size, l Limits) float64 { return l.Wire }
	force := func(_ costs, _ Size, l Limits) float64 { return l.InForce }
	machine := func(_ costs, _ Size, l Limits) float64 { return l.MachineOf }
	change := func(c costs, s Size) float64 {
		return c.at("module.change", s.Targets) + c.at("upstream.change", s.Targets) + c.each("list.decode")
	}
	// adopted is what a configuration that has changed costs an initiator that knows as many volumes as it keeps accounts of.
	adopted := func(c costs, s Size) float64 { return c.at("adopt.cpu", s.Targets) + c.at("module.adopt", s.Volumes) }
	// gathered is how many of a burst's changes come to an initiator in a second.
	gathered := func(s Size) float64 {
		return min(s.Burst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds())
	}
	taken := func(c costs, _ Size, _ Limits) float64 { return 1e6 / c.each("agent.change.time") }
	entries := func(s Size) float64 { return s.ChangeRate() * s.Initiators }
	return append(feedFigures(), []Figure{
		// The initiator.
		{Role: "initiator", Of: "processor: changes of the list", When: ordinary, Unit: "core", Names: []string{"module.change", "upstream.change", "list.decode"}, Mechanism: howModule,
			Value: func(c costs, s Size, _ Limits) float64 { return s.ListRate() * change(c, s) / 1e6 }, Limit: core},
		{Role: "initiator", Of: "processor: changes of the list, one by one", When: zoneBack, Unit: "core", Names: []string{"module.change", "upstream.change", "list.decode"},
			Mechanism: howModule,
			Value:     func(c costs, s Size, _ Limits) float64 { return s.Targets / s.Zones / minute * change(c, s) / 1e6 }, Limit: core},
		{Role: "initiator", Of: "processor: each configuration, taken over by what runs", When: ordinary, Unit: "core", Names: []string{"adopt.cpu", "module.adopt"}, Mechanism: howConfigured,
			Value: func(c costs, s Size, _ Limits) float64 { return s.ChangeRate() * adopted(c, s) / 1e6 }, Limit: core},
		{Role: "initiator", Of: "processor: each configuration, taken over by what runs", When: worst, Unit: "core", Names: []string{"adopt.cpu", "module.adopt"}, Mechanism: howConfigured,
			Feed:  Without,
			Value: func(c costs, s Size, _ Limits) float64 { return s.Burst * adopted(c, s) / 1e6 }, Limit: core},
		{Role: "initiator", Of: "processor: each configuration, taken over by what runs, those gathered at the relay as one", When: worst, Unit: "core",
			Names: []string{"adopt.cpu", "module.adopt"}, Mechanism: howConfigured, Feed: By,
			Value: func(c costs, s Size, _ Limits) float64 { return gathered(s) * adopted(c, s) / 1e6 }, Limit: core},
		{Role: "initiator", Of: "processor: each configuration, if all of them needed a new start", When: ordinary, Unit: "core", Names: []string{"successor.cpu"}, Mechanism: howConfigured,
			Value: func(c costs, s Size, _ Limits) float64 {
				return s.ChangeRate() * c.at("successor.cpu", s.Targets) / 1e6
			}, Limit: core,
			Untold: "how many changes are of addresses or of the operator's file"},
		{Role: "initiator", Of: "processor: watches, renewals, members and timers, with nothing new", When: always, Unit: "core",
			Names: []string{"discovery.cpu", "follower.cpu", "renewer.cpu", "members.cpu", "module.timer"}, Mechanism: howKept, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return (c.each("discovery.cpu") + c.each("follower.cpu") + c.each("renewer.cpu") + c.at("members.cpu", s.Initiators) +
					timers*c.at("module.timer", s.Targets)) / 1e6
			}, Limit: core},
		{Role: "initiator", Of: "time of the module for a request, of what there is for each", When: always, Unit: "us", Names: []string{"module.request"}, Mechanism: howTurn,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("module.request", s.Targets) }, Limit: func(_ costs, s Size, _ Limits) float64 { return 1e6 / s.RequestsEach() }},
		{Role: "initiator", Of: "memory: module, list, targets' actors, members, accounts, with the collector's room", When: always, Unit: "B",
			Names: []string{"module.memory", "list.memory", "upstream.memory", "members.memory", "accounts.memory"}, Mechanism: howKept, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return room * (c.at("module.memory", s.Targets) + c.at("list.memory", s.Targets) + c.at("upstream.memory", s.Targets) + c.at("members.memory", s.Initiators) +
					c.at("accounts.memory", s.Volumes))
			}, Limit: func(_ costs, _ Size, l Limits) float64 { return l.Memory }},
		{Role: "initiator", Of: "wire: watches, renewals with eight targets, members both ways", When: always, Unit: "B/s", Mechanism: howKept, Feed: Without,
			Names: []string{"discovery.wire", "agent.follow.wire", "leader.wire", "members.wire"},
			Value: func(c costs, s Size, _ Limits) float64 {
				return c.each("discovery.wire") + c.each("agent.follow.wire") + c.each("leader.wire") + 2*c.at("members.wire", s.Initiators)
			}, Limit: wire},
		{Role: "initiator", Of: "wire: changes of the list, one by one", When: ordinary, Unit: "B/s", Names: []string{"discovery.change.wire"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return s.ListRate() * c.each("discovery.change.wire") }, Limit: wire},
		{Role: "initiator", Of: "wire: changes of the list, one by one", When: zoneBack, Unit: "B/s", Names: []string{"discovery.change.wire"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return s.Targets / s.Zones / minute * c.each("discovery.change.wire")
			}, Limit: wire},
		{Role: "initiator", Of: "time of what an hour's changes of the list take at its bytes a second", When: cutOver, Unit: "s", Names: []string{"list.line"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, l Limits) float64 {
				return s.ListRate() * hour * c.each("list.line") / l.Wire
			}, Limit: force},
		{Role: "initiator", Of: "wire: its configuration, whole, at each change", When: ordinary, Unit: "B/s", Names: []string{"agent.answer"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return s.ChangeRate() * c.at("agent.answer", s.Config) }, Limit: wire},
		{Role: "initiator", Of: "wire: its configuration, whole, at each change", When: worst, Unit: "B/s", Names: []string{"agent.answer"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return s.Burst * c.at("agent.answer", s.Config) }, Limit: wire},
		{Role: "initiator", Of: "wire: renewals, with connections to every target", When: always, Unit: "B/s", Names: []string{"renewal.wire"}, Mechanism: howGiver,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("renewal.wire", min(s.Targets, quota.MaxKeys)) }, Limit: wire,
			Untold: "how many targets an initiator's clients use"},
		{Role: "initiator", Of: "entries of a list, of as many as the probe had read", When: always, Unit: "entries", Names: []string{"list.line"}, Mechanism: howLine,
			Value: func(_ costs, s Size, _ Limits) float64 { return s.Targets }, Limit: func(c costs, _ Size, _ Limits) float64 { return c.most("list.line") }},
		{Role: "initiator", Of: "time of a whole list at its bytes a second", When: starting, Unit: "s", Names: []string{"list.line"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, l Limits) float64 { return c.at("list.line", s.Targets) / l.Wire }, Limit: func(_ costs, _ Size, l Limits) float64 { return l.Back }},
		{Role: "initiator", Of: "descriptors: clients, a connection to each target, control", When: always, Unit: "descriptors", Names: []string{"discovery.connections"}, Mechanism: howKept,
			Value: func(_ costs, s Size, _ Limits) float64 { return s.Clients/s.Initiators + s.Targets + 6 }, Untold: "the limit of a process"},
		// Discovery.
		{Role: "discovery", Of: "time until all have heard of a change, at one service that all share", When: always, Unit: "s", Names: []string{"discovery.told"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("discovery.told", s.Initiators) }, Limit: force},
		{Role: "discovery", Of: "time until all have heard after all watches fell silent", When: worst, Unit: "s", Names: []string{"discovery.silent"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("discovery.silent", s.Initiators) }, Limit: force},
		{Role: "discovery", Of: "time for the whole lists of all that restart within ten minutes, at one service", When: starting, Unit: "s", Names: []string{"list.line"}, Mechanism: howLists, Feed: Without,
			Value: func(_ costs, s Size, l Limits) float64 { return s.InitiatorsBack * (l.Call + s.Targets*l.Line) }, Limit: func(_ costs, _ Size, l Limits) float64 { return l.Back }},
		{Role: "discovery", Of: "processor: watches with nothing new, where it pushes, both ends", When: always, Unit: "core", Names: []string{"discovery.cpu"}, Mechanism: howLists, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("discovery.cpu", s.Initiators) / 1e6 }, Limit: machine},
		// Agents.
		{Role: "agent, leader", Of: "entries a second, of what a group of three takes", When: ordinary, Unit: "entries/s", Names: []string{"agent.change.time"}, Mechanism: howConfigs, Feed: Without,
			Value: func(_ costs, s Size, _ Limits) float64 { return entries(s) }, Limit: taken},
		{Role: "agent, leader", Of: "entries a second, of what a group of three takes", When: worst, Unit: "entries/s", Names: []string{"agent.change.time"}, Mechanism: howConfigs, Feed: Without,
			Value: func(_ costs, s Size, _ Limits) float64 { return s.Burst * s.Initiators }, Limit: taken},
		{Role: "agent, leader", Of: "processor: entries", When: ordinary, Unit: "core", Names: []string{"agent.change.cpu"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return entries(s) * c.each("agent.change.cpu") / 1e6 }, Limit: machine},
		{Role: "agent, leader", Of: "processor: renewals", When: always, Unit: "core", Names: []string{"leader.cpu"}, Mechanism: howGiver,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("leader.cpu", s.Initiators) / 1e6 }, Limit: machine},
		{Role: "agent, leader", Of: "time of its one book for the renewals of a second", When: always, Unit: "s", Names: []string{"giver.renew"}, Mechanism: howGiver,
			Value: func(c costs, s Size, _ Limits) float64 { return s.Initiators * c.at("giver.renew", s.Initiators) / 1e6 }, Limit: func(costs, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Of: "time of its one book for the claims of a second", When: always, Unit: "s", Names: []string{"keeper.claim"}, Mechanism: howLeases,
			Value: func(c costs, s Size, _ Limits) float64 { return s.Initiators * c.at("keeper.claim", s.Shards) / 1e6 }, Limit: func(costs, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Of: "time of its one book for four looks for orders a second, 1,000 shards", When: always, Unit: "s", Names: []string{"keeper.looks"}, Mechanism: howLeases,
			Value: func(c costs, s Size, _ Limits) float64 { return 4 * c.at("keeper.looks", s.Initiators) / 1e6 }, Limit: func(costs, Size, Limits) float64 { return 1 }},
		{Role: "agent, leader", Of: "time for the joins of all that restart", When: starting, Unit: "s", Names: []string{"leader.joins"}, Mechanism: howGiver,
			Value: func(c costs, s Size, _ Limits) float64 { return s.InitiatorsBack * c.each("leader.joins") / 1e6 }, Limit: func(_ costs, _ Size, l Limits) float64 { return l.Back }},
		{Role: "agent, leader", Of: "seats, with a predecessor of each that restarts", When: starting, Unit: "seats", Names: []string{"leader.joins"}, Mechanism: howGiver,
			Value: func(_ costs, s Size, _ Limits) float64 { return s.Initiators + s.InitiatorsBack }, Limit: func(costs, Size, Limits) float64 { return quota.MaxSessions }},
		{Role: "agent", Of: "processor: watches with nothing new, all at the agent named first", When: always, Unit: "core", Names: []string{"agent.follow.cpu"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("agent.follow.cpu", s.Initiators) / 1e6 }, Limit: machine},
		{Role: "agent", Of: "processor: each entry wakes every watch", When: ordinary, Unit: "core", Names: []string{"agent.wake.cpu"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return entries(s) * c.at("agent.wake.cpu", s.Initiators) / 1e6
			}, Limit: machine},
		{Role: "agent, follower", Of: "processor: entries", When: ordinary, Unit: "core", Names: []string{"agent.change.follower"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return entries(s) * c.each("agent.change.follower") / 1e6
			}, Limit: machine},
		{Role: "agent, follower", Of: "processor: renewals, the leader's questions for its term", When: always, Unit: "core", Names: []string{"leader.follower"}, Mechanism: howGiver,
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("leader.follower", s.Initiators) / 1e6 }, Limit: machine},
		{Role: "agent", Of: "memory: configurations and watches", When: always, Unit: "B", Names: []string{"agent.memory", "agent.follow.memory"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 {
				return room * (c.at("agent.memory", s.Initiators) + c.at("agent.follow.memory", s.Initiators))
			}, Untold: "a control machine's memory"},
		{Role: "agent", Of: "disk: the log of a day", When: ordinary, Unit: "B", Names: []string{"agent.entry"}, Mechanism: howConfigs, Feed: Without,
			Value: func(c costs, s Size, _ Limits) float64 { return entries(s) * day * c.at("agent.entry", s.Config) }, Untold: "a control machine's disk"},
		// Targets.
		{Role: "target", Of: "connections, with one from each initiator", When: always, Unit: "connections", Names: []string{"discovery.connections"}, Mechanism: howTargets,
			Value: func(_ costs, s Size, _ Limits) float64 { return s.Initiators }, Untold: "how many a target bears, and how many targets an initiator's clients use"},
	}...)
}
