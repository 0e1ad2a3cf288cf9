package slope

import "spindlehitch/internal/controlplane/watchstream"

// relays is how many machines carry the feed: those set aside for control, less three agents.
func relays(l Limits) float64 { return l.Machines - 3 }

// reach is how long a change takes from the log to the last initiator: an agent tells all relays, each its readers; what comes closely behind another change waits at both.
func reach(c costs, s Size, l Limits) float64 {
	return c.at("feed.told", relays(l)) + c.at("feed.told", s.Initiators/relays(l)) + 2*watchstream.DefaultSourceOptions.CoalesceInterval.Seconds()
}

var reached = []string{"feed.told"}

// feedFigures are those of the feed of changes, where it is on.
func feedFigures() []Figure {
	core := func(_ costs, _ Size, l Limits) float64 { return l.Core }
	wire := func(_ costs, _ Size, l Limits) float64 { return l.Wire }
	force := func(_ costs, _ Size, l Limits) float64 { return l.ConfigInForce }
	machine := func(_ costs, _ Size, l Limits) float64 { return l.MachineCores }
	taken := func(c costs, _ Size, _ Limits) float64 { return 1e6 / c.each("agent.change.time") }
	all := []Figure{
		{Role: "initiator", Subject: "processor: polls, renewals, members and timers, with nothing new", When: always, Unit: "core",
			SlopeNames: []string{"feed.poll.cpu", "renewer.cpu", "members.cpu", "module.timer"}, Mechanism: howKept,
			Value: func(c costs, s Size, _ Limits) float64 {
				return (c.each("feed.poll.cpu") + c.each("renewer.cpu") + c.at("members.cpu", s.Initiators) + timers*c.at("module.timer", s.Targets)) / 1e6
			}, Limit: core},
		{Role: "initiator", Subject: "memory: module, list, replica, targets' actors, members, accounts, with the collector's room", When: always, Unit: "B", Mechanism: howKept,
			SlopeNames: []string{"module.memory", "list.memory", "feed.replica.memory", "upstream.memory", "members.memory", "accounts.memory"},
			Value: func(c costs, s Size, _ Limits) float64 {
				return room * (c.at("module.memory", s.Targets) + c.at("list.memory", s.Targets) + c.at("feed.replica.memory", s.Targets) + c.at("upstream.memory", s.Targets) +
					c.at("members.memory", s.Initiators) + c.at("accounts.memory", s.VolumesPerInitiator))
			}, Limit: func(_ costs, _ Size, l Limits) float64 { return l.Memory }},
		{Role: "initiator", Subject: "wire: polls, renewals with eight targets, members both ways, changes of the list and of a shared layer", When: ordinary, Unit: "B/s", Mechanism: howFeed,
			SlopeNames: []string{"feed.poll.wire", "leader.wire", "members.wire", "feed.change.wire", "feed.layer.wire"},
			Value: func(c costs, s Size, _ Limits) float64 {
				return c.each("feed.poll.wire") + c.each("leader.wire") + 2*c.at("members.wire", s.Initiators) + s.ListChangeRate()*c.each("feed.change.wire") +
					s.ConfigChangeRate()*c.each("feed.layer.wire")
			}, Limit: wire},
		{Role: "initiator", Subject: "wire: 20 changes a second of a shared layer", When: worst, Unit: "B/s", Mechanism: howFeed, SlopeNames: []string{"feed.burst.wire"},
			Value: func(c costs, _ Size, _ Limits) float64 { return c.each("feed.burst.wire") }, Limit: wire},
		{Role: "initiator", Subject: "time of a zone's entries, at its bytes a second", When: zoneBack, Unit: "s", Mechanism: howFeed, SlopeNames: []string{"feed.owed.time"},
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("feed.owed.time", s.Targets/s.Zones) }, Limit: force},
		{Role: "initiator", Subject: "time of what an hour's changes of the list take at its bytes a second", When: cutOver, Unit: "s", Mechanism: howFeed, SlopeNames: []string{"feed.owed.time"},
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("feed.owed.time", s.ListChangeRate()*hour) }, Limit: force},
		{Role: "initiator", Subject: "time of all targets at its bytes a second, with no copy on disk", When: starting, Unit: "s", Mechanism: howFeed, SlopeNames: []string{"feed.whole.time"},
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("feed.whole.time", s.Targets) }, Limit: func(_ costs, _ Size, l Limits) float64 { return l.RestartWindow }},
		{Role: "relay", Subject: "time until the last initiator has a change, from the log on", When: always, Unit: "s", Mechanism: howFeed, SlopeNames: reached,
			Value: func(c costs, s Size, l Limits) float64 { return reach(c, s, l) }, Limit: force},
		{Role: "relay", Subject: "readers of each, with one of two gone in a region", When: worst, Unit: "readers", Mechanism: howFeed, SlopeNames: reached,
			Value: func(_ costs, s Size, l Limits) float64 { return 2 * s.Initiators / relays(l) }, Limit: func(costs, Size, Limits) float64 { return float64(watchstream.DefaultSourceOptions.MaxReaders) }},
		{Role: "relay", Subject: "processor: polls and ordinary changes, both ends", When: ordinary, Unit: "core", Mechanism: howFeed, SlopeNames: []string{"feed.poll.cpu", "feed.change.cpu"},
			Value: func(c costs, s Size, l Limits) float64 {
				n := s.Initiators / relays(l)
				return (c.at("feed.poll.cpu", n) + (s.ListChangeRate()+s.ConfigChangeRate())*c.at("feed.change.cpu", n)) / 1e6
			}, Limit: machine},
		{Role: "relay", Subject: "processor: 20 changes a second, gathered, both ends", When: worst, Unit: "core", Mechanism: howFeed, SlopeNames: []string{"feed.poll.cpu", "feed.change.cpu"},
			Value: func(c costs, s Size, l Limits) float64 {
				n := s.Initiators / relays(l)
				return (c.at("feed.poll.cpu", n) + min(s.ConfigBurst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds())*c.at("feed.change.cpu", n)) / 1e6
			}, Limit: machine},
		{Role: "relay", Subject: "memory: its replica, its readers, with the collector's room", When: always, Unit: "B", Mechanism: howFeed, SlopeNames: []string{"feed.replica.memory", "feed.source.memory"},
			Value: func(c costs, s Size, l Limits) float64 {
				return room * (c.at("feed.replica.memory", s.Targets) + c.at("feed.source.memory", s.Initiators/relays(l)))
			}, MissingInput: "a control machine's memory"},
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes: one for each change", When: ordinary, Unit: "entries/s", Mechanism: howFeed, SlopeNames: []string{"agent.change.time"},
			Value: func(_ costs, s Size, _ Limits) float64 { return s.ConfigChangeRate() + s.ListChangeRate() }, Limit: taken},
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes: one for each change", When: worst, Unit: "entries/s", Mechanism: howFeed, SlopeNames: []string{"agent.change.time"},
			Value: func(_ costs, s Size, l Limits) float64 { return s.ConfigBurst + l.RackTargets/minute }, Limit: taken},
		{Role: "agent, leader", Subject: "time of its tally for a second in which all readers have news", When: worst, Unit: "s", Mechanism: howFeed, SlopeNames: []string{"feed.tally.take"},
			Value: func(c costs, s Size, _ Limits) float64 { return c.at("feed.tally.take", s.Initiators) / 1e6 }, Limit: func(costs, Size, Limits) float64 { return 1 }},
		{Role: "agent", Subject: "disk: the log of a day, a layer of the usual size at each change", When: ordinary, Unit: "B", Mechanism: howFeed, SlopeNames: []string{"agent.entry"},
			Value: func(c costs, s Size, _ Limits) float64 {
				return (s.ConfigChangeRate() + s.ListChangeRate()) * day * c.at("agent.entry", s.ConfigBytes)
			}, MissingInput: "a control machine's disk"},
	}
	for i := range all {
		all[i].Feed = FeedOn
	}
	return all
}
