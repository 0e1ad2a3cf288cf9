package slope

import "spindlehitch/internal/controlplane/watchstream"

// relayCount is the number of relays: the machines set aside for control, less three agents.
func relayCount(l Limits) float64 { return l.Machines - 3 }

// propagationTime is the time from the commit of a change to its arrival at the last initiator: an agent sends it to all relays, and each relay to its readers. A change
// that follows another one closely is delayed by the coalescing interval at both.
func propagationTime(c costModel, s Size, l Limits) float64 {
	return c.costAt("feed.told", relayCount(l)) + c.costAt("feed.told", s.Initiators/relayCount(l)) + 2*watchstream.DefaultSourceOptions.CoalesceInterval.Seconds()
}

var propagationSlopes = []string{"feed.told"}

// feedFigures returns the figures that apply if the feed distributes changes.
func feedFigures() []Figure {
	coreLimit := func(_ costModel, _ Size, l Limits) float64 { return l.Core }
	wireLimit := func(_ costModel, _ Size, l Limits) float64 { return l.Wire }
	inForceLimit := func(_ costModel, _ Size, l Limits) float64 { return l.ConfigInForce }
	machineLimit := func(_ costModel, _ Size, l Limits) float64 { return l.MachineCores }
	commitRate := func(c costModel, _ Size, _ Limits) float64 { return 1e6 / c.perUnit("agent.change.time") }
	all := []Figure{
		{Role: "initiator", Subject: "processor: polls, renewals, members and timers, with nothing new", When: always, Unit: "core",
			SlopeNames: []string{"feed.poll.cpu", "renewer.cpu", "members.cpu", "module.timer"}, Mechanism: mechInstanceState,
			Value: func(c costModel, s Size, _ Limits) float64 {
				return (c.perUnit("feed.poll.cpu") + c.perUnit("renewer.cpu") + c.costAt("members.cpu", s.Initiators) + timersPerSecond*c.costAt("module.timer", s.Targets)) / 1e6
			}, Limit: coreLimit},
		{Role: "initiator", Subject: "memory: module, list, replica, targets' actors, members, accounts, with the collector's room", When: always, Unit: "B", Mechanism: mechInstanceState,
			SlopeNames: []string{"module.memory", "list.memory", "feed.replica.memory", "upstream.memory", "members.memory", "accounts.memory"},
			Value: func(c costModel, s Size, _ Limits) float64 {
				return gcHeapFactor * (c.costAt("module.memory", s.Targets) + c.costAt("list.memory", s.Targets) + c.costAt("feed.replica.memory", s.Targets) + c.costAt("upstream.memory", s.Targets) +
					c.costAt("members.memory", s.Initiators) + c.costAt("accounts.memory", s.VolumesPerInitiator))
			}, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.Memory }},
		{Role: "initiator", Subject: "wire: polls, renewals with eight targets, members both ways, changes of the list and of a shared layer", When: ordinaryDay, Unit: "B/s", Mechanism: mechFeed,
			SlopeNames: []string{"feed.poll.wire", "leader.wire", "members.wire", "feed.change.wire", "feed.layer.wire"},
			Value: func(c costModel, s Size, _ Limits) float64 {
				return c.perUnit("feed.poll.wire") + c.perUnit("leader.wire") + 2*c.costAt("members.wire", s.Initiators) + s.ListChangeRate()*c.perUnit("feed.change.wire") +
					s.ConfigChangeRate()*c.perUnit("feed.layer.wire")
			}, Limit: wireLimit},
		{Role: "initiator", Subject: "wire: 20 changes a second of a shared layer", When: worstMinute, Unit: "B/s", Mechanism: mechFeed, SlopeNames: []string{"feed.burst.wire"},
			Value: func(c costModel, _ Size, _ Limits) float64 { return c.perUnit("feed.burst.wire") }, Limit: wireLimit},
		{Role: "initiator", Subject: "time of a zone's entries, at its bytes a second", When: zoneReturned, Unit: "s", Mechanism: mechFeed, SlopeNames: []string{"feed.owed.time"},
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("feed.owed.time", s.Targets/s.Zones) }, Limit: inForceLimit},
		{Role: "initiator", Subject: "time of what an hour's changes of the list take at its bytes a second", When: regionReconnected, Unit: "s", Mechanism: mechFeed, SlopeNames: []string{"feed.owed.time"},
			Value: func(c costModel, s Size, _ Limits) float64 {
				return c.costAt("feed.owed.time", s.ListChangeRate()*hour)
			}, Limit: inForceLimit},
		{Role: "initiator", Subject: "time of all targets at its bytes a second, with no copy on disk", When: restarting, Unit: "s", Mechanism: mechFeed, SlopeNames: []string{"feed.whole.time"},
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("feed.whole.time", s.Targets) }, Limit: func(_ costModel, _ Size, l Limits) float64 { return l.RestartWindow }},
		{Role: "relay", Subject: "time until the last initiator has a change, from the log on", When: always, Unit: "s", Mechanism: mechFeed, SlopeNames: propagationSlopes,
			Value: func(c costModel, s Size, l Limits) float64 { return propagationTime(c, s, l) }, Limit: inForceLimit},
		{Role: "relay", Subject: "readers of each, with one of two gone in a region", When: worstMinute, Unit: "readers", Mechanism: mechFeed, SlopeNames: propagationSlopes,
			Value: func(_ costModel, s Size, l Limits) float64 { return 2 * s.Initiators / relayCount(l) }, Limit: func(costModel, Size, Limits) float64 { return float64(watchstream.DefaultSourceOptions.MaxReaders) }},
		{Role: "relay", Subject: "processor: polls and ordinary changes, both ends", When: ordinaryDay, Unit: "core", Mechanism: mechFeed, SlopeNames: []string{"feed.poll.cpu", "feed.change.cpu"},
			Value: func(c costModel, s Size, l Limits) float64 {
				n := s.Initiators / relayCount(l)
				return (c.costAt("feed.poll.cpu", n) + (s.ListChangeRate()+s.ConfigChangeRate())*c.costAt("feed.change.cpu", n)) / 1e6
			}, Limit: machineLimit},
		{Role: "relay", Subject: "processor: 20 changes a second, gathered, both ends", When: worstMinute, Unit: "core", Mechanism: mechFeed, SlopeNames: []string{"feed.poll.cpu", "feed.change.cpu"},
			Value: func(c costModel, s Size, l Limits) float64 {
				n := s.Initiators / relayCount(l)
				return (c.costAt("feed.poll.cpu", n) + min(s.ConfigBurst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds())*c.costAt("feed.change.cpu", n)) / 1e6
			}, Limit: machineLimit},
		{Role: "relay", Subject: "memory: its replica, its readers, with the collector's room", When: always, Unit: "B", Mechanism: mechFeed, SlopeNames: []string{"feed.replica.memory", "feed.source.memory"},
			Value: func(c costModel, s Size, l Limits) float64 {
				return gcHeapFactor * (c.costAt("feed.replica.memory", s.Targets) + c.costAt("feed.source.memory", s.Initiators/relayCount(l)))
			}, MissingInput: "a control machine's memory"},
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes: one for each change", When: ordinaryDay, Unit: "entries/s", Mechanism: mechFeed, SlopeNames: []string{"agent.change.time"},
			Value: func(_ costModel, s Size, _ Limits) float64 { return s.ConfigChangeRate() + s.ListChangeRate() }, Limit: commitRate},
		{Role: "agent, leader", Subject: "entries a second, of what a group of three takes: one for each change", When: worstMinute, Unit: "entries/s", Mechanism: mechFeed, SlopeNames: []string{"agent.change.time"},
			Value: func(_ costModel, s Size, l Limits) float64 { return s.ConfigBurst + l.RackTargets/minute }, Limit: commitRate},
		{Role: "agent, leader", Subject: "time of its tally for a second in which all readers have news", When: worstMinute, Unit: "s", Mechanism: mechFeed, SlopeNames: []string{"feed.tally.take"},
			Value: func(c costModel, s Size, _ Limits) float64 { return c.costAt("feed.tally.take", s.Initiators) / 1e6 }, Limit: func(costModel, Size, Limits) float64 { return 1 }},
		{Role: "agent", Subject: "disk: the log of a day, a layer of the usual size at each change", When: ordinaryDay, Unit: "B", Mechanism: mechFeed, SlopeNames: []string{"agent.entry"},
			Value: func(c costModel, s Size, _ Limits) float64 {
				return (s.ConfigChangeRate() + s.ListChangeRate()) * day * c.costAt("agent.entry", s.ConfigBytes)
			}, MissingInput: "a control machine's disk"},
	}
	for i := range all {
		all[i].Feed = FeedOn
	}
	return all
}
