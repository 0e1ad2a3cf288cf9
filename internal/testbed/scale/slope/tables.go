package slope

import (
	"fmt"

	"spindlehitch/internal/controlplane/watchstream"
)

func (t *Table) sizeTable() string {
	s, l := t.Size, t.Limits
	n := formatNumber
	return markdownTable([]string{"what", "size"}, [][]string{
		{"initiators; targets", n(s.Initiators) + "; " + n(s.Targets)},
		{"client connections; requests a second", n(s.Clients) + "; " + n(s.Requests)},
		{"at one initiator", n(s.Clients/s.Initiators) + " connections; " + n(s.RequestsPerInitiator()) + " requests a second, " + n(1e6/s.RequestsPerInitiator()) + " us for each"},
		{"changes of primary", n(s.PrimaryChanges) + " a day, each over within " + n(s.PrimaryChangeLimit) + " s"},
		{"regions; zones", n(s.Regions) + "; " + n(s.Zones)},
		{"changes of configuration", n(s.ConfigChanges) + " a day, " + n(s.ConfigChangeRate()) + " a second; in the worst minute " + n(s.ConfigBurst) + " a second; in force everywhere within " + n(l.ConfigInForce) + " s"},
		{"machines that fail; are restarted or replaced", n(s.Failures) + "; " + n(s.Restarts) + " a day: with " + n(s.EntriesPerMachine) + " entries each and two for a primary, " +
			n(s.ListChangeRate()*day) + " changes of the list"},
		{"restarts of initiators", n(s.InitiatorRestarts) + " a day, or all within " + n(l.RestartWindow) + " s"},
		{"a rack (taken)", n(l.RackTargets) + " targets"},
		{"an initiator's control", n(l.Core) + " of a core, " + formatAmount(l.Memory, "B") + ", " + formatAmount(l.Wire, "B/s")},
		{"set aside for control", n(l.Machines) + " machines (taken: of " + n(l.MachineCores) + " cores each)"},
		{"one discovery that all share", n(l.DiscoveryCall*1000) + " ms for a call, " + n(l.DiscoveryEntry*1000) + " ms for a line of its answer (docs/standing.md)"},
		{"a configuration; accounts; shards of tasks (taken)", n(s.ConfigBytes) + " bytes; " + n(s.VolumesPerInitiator) + " volumes at an initiator; " + n(s.TaskShards)},
	})
}

// stateKind is a kind of state that a role keeps: a row of the state table.
type stateKind struct {
	role, description, key, slope string
	count                         func(Size) float64
	bound                         string
}

func (t *Table) stateTable() string {
	targets, initiators := func(s Size) float64 { return s.Targets }, func(s Size) float64 { return s.Initiators }
	var lines [][]string
	for _, k := range []stateKind{
		{"initiator", "nodes, lanes and what was learned of them (root package)", "target's id, shard", "module.memory", targets, "the list"},
		{"initiator", "the list as last had (internal/datapath/discovery, internal/datapath/targetlist)", "target's id", "list.memory", targets, "entries that are read of a list; 4 MB of its text"},
		{"initiator", "an actor for each target, without connections (internal/datapath/upstream)", "target's id", "upstream.memory", targets, "the list"},
		{"initiator", "the view of all members (internal/controlplane/membership)", "a life", "members.memory", initiators, "those that live, and 1,024 that ended"},
		{"initiator", "accounts (internal/observability/accounts)", "volume", "accounts.memory", func(s Size) float64 { return s.VolumesPerInitiator }, "`[accounts] volumes`, the longest unused goes"},
		{"initiator, by the feed", "its replica (internal/controlplane/watchstream)", "target's id; its layers", "feed.replica.memory", targets, "65,536 targets, 16,384 that are gone"},
		{"relay", "its replica, of all layers (internal/controlplane/watchstream)", "target's id; scope", "feed.replica.memory", targets, "the same, 16,384 layers"},
		{"relay", "what each reader said last (internal/controlplane/watchstream)", "reader's name", "feed.source.memory", func(s Size) float64 { return s.Initiators / relayCount(t.Limits) }, "`readers`"},
		{"agent", "configurations (internal/controlplane/agent)", "instance", "agent.memory", initiators, "none on their number; 4 MB each"},
		{"agent", "watches that wait (internal/controlplane/agent)", "connection", "agent.follow.memory", initiators, "none"},
		{"agent", "seats, as text of a snapshot (internal/controlplane/registry)", "member's id", "register.text", initiators, "`seats`, 16,384 at most"},
		{"agent, leader", "the book, with eight targets each (internal/controlplane/quota/allocator)", "budget, key, member", "giver.memory", initiators, "seats; 1,024 keys of a member"},
	} {
		x := t.Lookup(k.slope)
		each, sum := "*not known*", "*not known*"
		if x.Known() {
			n := k.count(t.Size)
			each, sum = formatAmount(costModel{table: t}.perUnit(k.slope), x.Unit), formatAmount(x.Cost(n), x.Unit)+" for "+formatNumber(n)
			if n > x.MaxSize {
				sum += " (beyond what was measured)"
			}
		}
		lines = append(lines, []string{k.role, k.description, k.key, each, sum, k.bound})
	}
	lines = append(lines, []string{"agent", "the log of changes, on disk (internal/controlplane/agent)", "index", formatAmount(t.Lookup("agent.entry").Cost(t.Size.ConfigBytes), "B") + " with a configuration of " + formatNumber(t.Size.ConfigBytes),
		formatAmount(t.Size.ConfigChangeRate()*t.Size.Initiators*day*t.Lookup("agent.entry").Cost(t.Size.ConfigBytes), "B") + " a day", "the Raft library's snapshots"},
		[]string{"agent", "the feed's records, and at the leader what each reader has (internal/controlplane/watchstream)", "target's id; scope; reader", "as a relay's replica; *not known*", "*not known*",
			"65,536 targets, 16,384 layers and readers"},
		[]string{"discovery", "the list; whose watch has what", "the operators'", "*not known*", "*not known*", "*not known*"},
		[]string{"target", "a connection from each initiator that uses it", "connection", "*not known*", formatNumber(t.Size.Initiators) + " connections, if all use it",
			"`[[budget]]` of kind stock, where there is one"})
	return markdownTable([]string{"role", "what is kept", "key", "for each", "at the size", "bounded by"}, lines)
}

// messageKind is a kind of message, a row of the message table: its bytes, both ways, and how many a second there are on an ordinary day, in the worst minute, in the
// minute after a zone came back, and in the minute after a region was cut off for an hour.
type messageKind struct {
	parties, description string
	bytes                func(c costModel, s Size) float64
	slopes               string
	rates                func(c costModel, s Size, l Limits) [4]float64
	mechanism            string
	feed                 Feed
}

func constantRates(x float64) [4]float64 { return [4]float64{x, x, x, x} }

func (t *Table) messageTable() string {
	var lines [][]string
	for _, m := range []messageKind{
		{"discovery and each initiator", "a watch with nothing new", func(c costModel, _ Size) float64 { return c.perUnit("discovery.wire") / c.perUnit("discovery.calls") }, "discovery.wire",
			func(c costModel, _ Size, _ Limits) [4]float64 { return constantRates(c.perUnit("discovery.calls")) }, "internal/datapath/discovery", FeedOff},
		{"discovery to each initiator", "an entry that changed", func(c costModel, _ Size) float64 { return c.perUnit("discovery.change.wire") }, "discovery.change.wire",
			func(_ costModel, s Size, l Limits) [4]float64 {
				return [4]float64{s.ListChangeRate(), s.ListChangeRate() + l.RackTargets/minute, s.Targets / s.Zones / minute, s.ListChangeRate() * hour / minute}
			}, "internal/datapath/discovery", FeedOff},
		{"discovery to initiators that start, in all", "a whole list", func(c costModel, s Size) float64 { return c.costAt("list.line", s.Targets) }, "list.line",
			func(_ costModel, s Size, l Limits) [4]float64 {
				return [4]float64{s.InitiatorRestarts / day, s.InitiatorRestarts / l.RestartWindow, s.Initiators / s.Zones / minute, 0}
			}, "internal/datapath/discovery, internal/datapath/targetlist", FeedOff},
		{"an agent and each initiator", "a watch with nothing new", func(c costModel, _ Size) float64 { return c.perUnit("agent.follow.wire") }, "agent.follow.wire",
			func(costModel, Size, Limits) [4]float64 { return constantRates(1) }, "internal/controlplane/agent", FeedOff},
		{"an agent to each initiator", "its configuration, whole", func(c costModel, s Size) float64 { return c.costAt("agent.answer", s.ConfigBytes) }, "agent.answer",
			func(_ costModel, s Size, _ Limits) [4]float64 {
				return [4]float64{s.ConfigChangeRate(), s.ConfigBurst, s.ConfigChangeRate(), 1 / minute}
			}, "internal/controlplane/agent", FeedOff},
		{"the leader to each follower", "an entry of the log", func(c costModel, s Size) float64 { return c.costAt("agent.entry", s.ConfigBytes) }, "agent.entry",
			func(_ costModel, s Size, _ Limits) [4]float64 {
				e := s.ConfigChangeRate() * s.Initiators
				return [4]float64{e, s.ConfigBurst * s.Initiators, e, e * hour / minute}
			}, "internal/controlplane/agent", FeedOff},
		{"each initiator and the leader", "a renewal and its answer", func(c costModel, _ Size) float64 { return c.perUnit("leader.wire") }, "leader.wire",
			func(costModel, Size, Limits) [4]float64 { return constantRates(1) }, "internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator", FeedAny},
		{"initiators and the leader, in all", "a join", nil, "", func(_ costModel, s Size, l Limits) [4]float64 {
			return [4]float64{s.InitiatorRestarts / day, s.InitiatorRestarts / l.RestartWindow, s.Initiators / s.Zones / minute, s.Initiators / s.Regions / minute}
		}, "internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator", FeedAny},
		{"each initiator to others", "ping, ack, confirm, comparison", func(c costModel, s Size) float64 {
			return c.costAt("members.wire", s.Initiators) / c.costAt("members.messages", s.Initiators)
		}, "members.wire, members.messages", func(c costModel, s Size, _ Limits) [4]float64 {
			return constantRates(c.costAt("members.messages", s.Initiators))
		},
			"internal/controlplane/membership/transport, internal/controlplane/membership", FeedAny},
		{"a relay and each initiator", "a poll with nothing new", func(c costModel, _ Size) float64 { return c.perUnit("feed.poll.wire") }, "feed.poll.wire",
			func(costModel, Size, Limits) [4]float64 { return constantRates(1) }, "internal/controlplane/watchstream/distribution", FeedOn},
		{"a relay to each initiator", "an entry that changed, with the poll", func(c costModel, _ Size) float64 { return c.perUnit("feed.change.wire") }, "feed.change.wire",
			func(_ costModel, s Size, l Limits) [4]float64 {
				return [4]float64{s.ListChangeRate(), s.ListChangeRate() + l.RackTargets/minute, s.Targets / s.Zones / minute, s.ListChangeRate() * hour / minute}
			}, "internal/controlplane/watchstream/distribution", FeedOn},
		{"a relay to each initiator", "a shared layer of the usual size, with the poll", func(c costModel, _ Size) float64 { return c.perUnit("feed.layer.wire") }, "feed.layer.wire",
			func(_ costModel, s Size, _ Limits) [4]float64 {
				return [4]float64{s.ConfigChangeRate(), min(s.ConfigBurst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds()), s.ConfigChangeRate(), 1 / minute}
			}, "internal/controlplane/watchstream/distribution", FeedOn},
		{"relays to initiators that start, in all", "all targets, packed", func(c costModel, s Size) float64 { return c.costAt("feed.whole.wire", s.Targets) }, "feed.whole.wire",
			func(_ costModel, s Size, l Limits) [4]float64 {
				return [4]float64{s.InitiatorRestarts / day, s.InitiatorRestarts / l.RestartWindow, s.Initiators / s.Zones / minute, 0}
			}, "internal/controlplane/watchstream/distribution", FeedOn},
		{"the leader to each follower, an agent to each relay", "a change, of a layer of the usual size", func(c costModel, s Size) float64 { return c.costAt("agent.entry", s.ConfigBytes) }, "agent.entry",
			func(_ costModel, s Size, l Limits) [4]float64 {
				e := s.ConfigChangeRate() + s.ListChangeRate()
				return [4]float64{e, s.ConfigBurst + l.RackTargets/minute, s.ConfigChangeRate() + s.Targets/s.Zones/minute, e * hour / minute}
			}, "internal/controlplane/agent, internal/controlplane/watchstream/distribution", FeedOn},
		{"each relay to the leader", "a report in which all its readers have news", func(c costModel, s Size) float64 {
			return c.costAt("feed.report.wire", s.Initiators/relayCount(t.Limits))
		}, "feed.report.wire", func(_ costModel, s Size, _ Limits) [4]float64 {
			e := min(1, s.ConfigChangeRate()+s.ListChangeRate())
			return [4]float64{e, 1, 1, e}
		}, "internal/controlplane/watchstream/distribution", FeedOn},
	} {
		c := costModel{table: t}
		size := "*not known*"
		rates := m.rates(c, t.Size, t.Limits)
		cells := []string{m.parties, m.description, size}
		if m.bytes != nil && m.bytes(c, t.Size) > 0 {
			cells[2] = formatAmount(m.bytes(c, t.Size), "B")
		}
		for _, r := range rates {
			if cells[2] == size || r == 0 {
				cells = append(cells, formatNumber(r)+"/s")
				continue
			}
			cells = append(cells, fmt.Sprintf("%s/s, %s", formatNumber(r), formatAmount(r*m.bytes(c, t.Size), "B/s")))
		}
		by := "either"
		if m.feed != FeedAny {
			by = string(m.feed)
		}
		lines = append(lines, append(cells, m.mechanism, by))
	}
	return markdownTable([]string{"between", "message", "bytes, both ways", ordinaryDay, worstMinute, "the minute after a zone came back", "the minute after a region was cut for an hour", "package", "feed"}, lines)
}

func (t *Table) connectionTable() string {
	n, s := formatNumber, t.Size
	watches := "*not known*"
	if x := t.Lookup("agent.follow.connections"); x.Known() {
		watches = n(x.Cost(s.Initiators))
	}
	return markdownTable([]string{"role", "with whom", "connections at the size, each a descriptor", "bounded by"}, [][]string{
		{"initiator", "clients", n(s.Clients / s.Initiators), "what the process may open, less what control, discovery and targets take"},
		{"initiator", "targets (one for each in use at least)", n(s.Targets) + ", if its clients use all", "`limits`, a pool's bound for one and for all, stocks"},
		{"initiator", "discovery", "1, 5 while calls are overdue", "maxOpenCalls in internal/datapath/discovery"},
		{"initiator", "agents: configuration, renewals, leases", "3", ""},
		{"initiator", "other members", "a socket for datagrams, a listener, 48 streams at most", "internal/controlplane/membership/transport"},
		{"initiator, by the feed", "a relay", "1, 2 while it moves", "internal/controlplane/watchstream/distribution"},
		{"relay", "its readers; an agent, the leader", n(s.Initiators/relayCount(t.Limits)) + ", twice as many with the other of its region gone; 2", "`readers`, and 64 more"},
		{"agent", "instances' watches, where all name the same agent first", watches + " (" + n(t.Lookup("agent.follow.connections").MaxSize) + " measured)", "none"},
		{"agent, leader", "members' renewals", n(s.Initiators), "none"},
		{"agent", "other agents", "3 to each for Raft, 4 for questions", "its pools"},
		{"discovery", "initiators' watches", n(t.Lookup("discovery.connections").Value * s.Initiators), "*not known*"},
		{"target", "initiators that use it", n(s.Initiators) + ", if all do, with " + n(s.Requests/s.Targets/s.Initiators) + " requests a second on each", "stocks, where there are some"},
	})
}
