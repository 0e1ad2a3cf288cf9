package slope

import (
	"fmt"

	"spindlehitch/internal/controlplane/watchstream"
)

func (t *Table) sizeTable() string {
	s, l := t.Size, t.Limits
	n := number
	return rows([]string{"what", "size"}, [][]string{
		{"initiators; targets", n(s.Initiators) + "; " + n(s.Targets)},
		{"client connections; requests a second", n(s.Clients) + "; " + n(s.Requests)},
		{"at one initiator", n(s.Clients/s.Initiators) + " connections; " + n(s.RequestsEach()) + " requests a second, " + n(1e6/s.RequestsEach()) + " us for each"},
		{"changes of primary", n(s.Primaries) + " a day, each over within " + n(s.PrimaryWithin) + " s"},
		{"regions; zones", n(s.Regions) + "; " + n(s.Zones)},
		{"changes of configuration", n(s.Changes) + " a day, " + n(s.ChangeRate()) + " a second; in the worst minute " + n(s.Burst) + " a second; in force everywhere within " + n(l.InForce) + " s"},
		{"machines that fail; are restarted or replaced", n(s.Failures) + "; " + n(s.Restarts) + " a day: with " + n(s.Entries) + " entries each and two for a primary, " +
			n(s.ListRate()*day) + " changes of the list"},
		{"restarts of initiators", n(s.InitiatorsBack) + " a day, or all within " + n(l.Back) + " s"},
		{"a rack (taken)", n(l.Rack) + " targets"},
		{"an initiator's control", n(l.Core) + " of a core, " + amount(l.Memory, "B") + ", " + amount(l.Wire, "B/s")},
		{"set aside for control", n(l.Machines) + " machines (taken: of " + n(l.MachineOf) + " cores each)"},
		{"one discovery that all share", n(l.Call*1000) + " ms for a call, " + n(l.Line*1000) + " ms for a line of its answer (docs/standing.md)"},
		{"a configuration; accounts; shards of tasks (taken)", n(s.Config) + " bytes; " + n(s.Volumes) + " volumes at an initiator; " + n(s.Shards)},
	})
}

// kept is a kind of state.
type keeps struct {
	role, what, key, slope string
	many                   func(Size) float64
	bound                  string
}

func (t *Table) stateTable() string {
	targets, initiators := func(s Size) float64 { return s.Targets }, func(s Size) float64 { return s.Initiators }
	var lines [][]string
	for _, k := range []keeps{
		{"initiator", "nodes, lanes and what was learned of them (root package)", "target's id, shard", "module.memory", targets, "the list"},
		{"initiator", "the list as last had (internal/datapath/discovery, internal/datapath/targetlist)", "target's id", "list.memory", targets, "entries that are read of a list; 4 MB of its text"},
		{"initiator", "an actor for each target, without connections (internal/datapath/upstream)", "target's id", "upstream.memory", targets, "the list"},
		{"initiator", "the view of all members (internal/controlplane/membership)", "a life", "members.memory", initiators, "those that live, and 1,024 that ended"},
		{"initiator", "accounts (internal/observability/accounts)", "volume", "accounts.memory", func(s Size) float64 { return s.Volumes }, "`[accounts] volumes`, the longest unused goes"},
		{"initiator, by the feed", "its replica (internal/controlplane/watchstream)", "target's id; its layers", "feed.replica.memory", targets, "65,536 targets, 16,384 that are gone"},
		{"relay", "its replica, of all layers (internal/controlplane/watchstream)", "target's id; scope", "feed.replica.memory", targets, "the same, 16,384 layers"},
		{"relay", "what each reader said last (internal/controlplane/watchstream)", "reader's name", "feed.source.memory", func(s Size) float64 { return s.Initiators / relays(t.Limits) }, "`readers`"},
		{"agent", "configurations (internal/controlplane/agent)", "instance", "agent.memory", initiators, "none on their number; 4 MB each"},
		{"agent", "watches that wait (internal/controlplane/agent)", "connection", "agent.follow.memory", initiators, "none"},
		{"agent", "seats, as text of a snapshot (internal/controlplane/registry)", "member's id", "register.text", initiators, "`seats`, 16,384 at most"},
		{"agent, leader", "the book, with eight targets each (internal/controlplane/quota/allocator)", "budget, key, member", "giver.memory", initiators, "seats; 1,024 keys of a member"},
	} {
		x := t.At(k.slope)
		each, sum := "*not known*", "*not known*"
		if x.Known() {
			n := k.many(t.Size)
			each, sum = amount(costs{t: t}.each(k.slope), x.Unit), amount(x.At(n), x.Unit)+" for "+number(n)
			if n > x.Most {
				sum += " (beyond what was measured)"
			}
		}
		lines = append(lines, []string{k.role, k.what, k.key, each, sum, k.bound})
	}
	lines = append(lines, []string{"agent", "the log of changes, on disk (internal/controlplane/agent)", "index", amount(t.At("agent.entry").At(t.Size.Config), "B") + " with a configuration of " + number(t.Size.Config),
		amount(t.Size.ChangeRate()*t.Size.Initiators*day*t.At("agent.entry").At(t.Size.Config), "B") + " a day", "the Raft library's snapshots"},
		[]string{"agent", "the feed's records, and at the leader what each reader has (internal/controlplane/watchstream)", "target's id; scope; reader", "as a relay's replica; *not known*", "*not known*",
			"65,536 targets, 16,384 layers and readers"},
		[]string{"discovery", "the list; whose watch has what", "the operators'", "*not known*", "*not known*", "*not known*"},
		[]string{"target", "a connection from each initiator that uses it", "connection", "*not known*", number(t.Size.Initiators) + " connections, if all use it",
			"`[[budget]]` of kind stock, where there is one"})
	return rows([]string{"role", "what is kept", "key", "for each", "at the size", "bounded by"}, lines)
}

// message is one kind: its bytes, both ways, and how many a second there are on an ordinary day, at the worst minute, in the minute after a zone came back, and
// in that after a region was cut for an hour.
type message struct {
	way, what string
	bytes     func(c costs, s Size) float64
	slopes    string
	rates     func(c costs, s Size, l Limits) [4]float64
	mechanism string
	feed      Feed
}

func always4(x float64) [4]float64 { return [4]float64{x, x, x, x} }

func (t *Table) messageTable() string {
	var lines [][]string
	for _, m := range []message{
		{"discovery and each initiator", "a watch with nothing new", func(c costs, _ Size) float64 { return c.each("discovery.wire") / c.each("discovery.calls") }, "discovery.wire",
			func(c costs, _ Size, _ Limits) [4]float64 { return always4(c.each("discovery.calls")) }, "internal/datapath/discovery", Without},
		{"discovery to each initiator", "an entry that changed", func(c costs, _ Size) float64 { return c.each("discovery.change.wire") }, "discovery.change.wire",
			func(_ costs, s Size, l Limits) [4]float64 {
				return [4]float64{s.ListRate(), s.ListRate() + l.Rack/minute, s.Targets / s.Zones / minute, s.ListRate() * hour / minute}
			}, "internal/datapath/discovery", Without},
		{"discovery to initiators that start, in all", "a whole list", func(c costs, s Size) float64 { return c.at("list.line", s.Targets) }, "list.line",
			func(_ costs, s Size, l Limits) [4]float64 {
				return [4]float64{s.InitiatorsBack / day, s.InitiatorsBack / l.Back, s.Initiators / s.Zones / minute, 0}
			}, "internal/datapath/discovery, internal/datapath/listing", Without}, // as in howLine
		{"an agent and each initiator", "a watch with nothing new", func(c costs, _ Size) float64 { return c.each("agent.follow.wire") }, "agent.follow.wire",
			func(costs, Size, Limits) [4]float64 { return always4(1) }, "internal/controlplane/agent", Without},
		{"an agent to each initiator", "its configuration, whole", func(c costs, s Size) float64 { return c.at("agent.answer", s.Config) }, "agent.answer",
			func(_ costs, s Size, _ Limits) [4]float64 {
				return [4]float64{s.ChangeRate(), s.Burst, s.ChangeRate(), 1 / minute}
			}, "internal/controlplane/agent", Without},
		{"the leader to each follower", "an entry of the log", func(c costs, s Size) float64 { return c.at("agent.entry", s.Config) }, "agent.entry",
			func(_ costs, s Size, _ Limits) [4]float64 {
				e := s.ChangeRate() * s.Initiators
				return [4]float64{e, s.Burst * s.Initiators, e, e * hour / minute}
			}, "internal/controlplane/agent", Without},
		{"each initiator and the leader", "a renewal and its answer", func(c costs, _ Size) float64 { return c.each("leader.wire") }, "leader.wire",
			func(costs, Size, Limits) [4]float64 { return always4(1) }, "internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator", Either},
		{"initiators and the leader, in all", "a join", nil, "", func(_ costs, s Size, l Limits) [4]float64 {
			return [4]float64{s.InitiatorsBack / day, s.InitiatorsBack / l.Back, s.Initiators / s.Zones / minute, s.Initiators / s.Regions / minute}
		}, "internal/controlplane/quota/quotasession, internal/controlplane/quota/allocator", Either},
		{"each initiator to others", "ping, ack, confirm, comparison", func(c costs, s Size) float64 {
			return c.at("members.wire", s.Initiators) / c.at("members.messages", s.Initiators)
		}, "members.wire, members.messages", func(c costs, s Size, _ Limits) [4]float64 { return always4(c.at("members.messages", s.Initiators)) },
			"internal/controlplane/membership/transport, internal/controlplane/membership", Either},
		{"a relay and each initiator", "a poll with nothing new", func(c costs, _ Size) float64 { return c.each("feed.poll.wire") }, "feed.poll.wire",
			func(costs, Size, Limits) [4]float64 { return always4(1) }, "internal/controlplane/watchstream/distribution", By},
		{"a relay to each initiator", "an entry that changed, with the poll", func(c costs, _ Size) float64 { return c.each("feed.change.wire") }, "feed.change.wire",
			func(_ costs, s Size, l Limits) [4]float64 {
				return [4]float64{s.ListRate(), s.ListRate() + l.Rack/minute, s.Targets / s.Zones / minute, s.ListRate() * hour / minute}
			}, "internal/controlplane/watchstream/distribution", By},
		{"a relay to each initiator", "a shared layer of the usual size, with the poll", func(c costs, _ Size) float64 { return c.each("feed.layer.wire") }, "feed.layer.wire",
			func(_ costs, s Size, _ Limits) [4]float64 {
				return [4]float64{s.ChangeRate(), min(s.Burst, 1/watchstream.DefaultSourceOptions.CoalesceInterval.Seconds()), s.ChangeRate(), 1 / minute}
			}, "internal/controlplane/watchstream/distribution", By},
		{"relays to initiators that start, in all", "all targets, packed", func(c costs, s Size) float64 { return c.at("feed.whole.wire", s.Targets) }, "feed.whole.wire",
			func(_ costs, s Size, l Limits) [4]float64 {
				return [4]float64{s.InitiatorsBack / day, s.InitiatorsBack / l.Back, s.Initiators / s.Zones / minute, 0}
			}, "internal/controlplane/watchstream/distribution", By},
		{"the leader to each follower, an agent to each relay", "a change, of a layer of the usual size", func(c costs, s Size) float64 { return c.at("agent.entry", s.Config) }, "agent.entry",
			func(_ costs, s Size, l Limits) [4]float64 {
				e := s.ChangeRate() + s.ListRate()
				return [4]float64{e, s.Burst + l.Rack/minute, s.ChangeRate() + s.Targets/s.Zones/minute, e * hour / minute}
			}, "internal/controlplane/agent, internal/controlplane/watchstream/distribution", By},
		{"each relay to the leader", "a report in which all its readers have news", func(c costs, s Size) float64 {
			return c.at("feed.report.wire", s.Initiators/relays(t.Limits))
		}, "feed.report.wire", func(_ costs, s Size, _ Limits) [4]float64 {
			e := min(1, s.ChangeRate()+s.ListRate())
			return [4]float64{e, 1, 1, e}
		}, "internal/controlplane/watchstream/distribution", By},
	} {
		c := costs{t: t}
		size := "*not known*"
		rates := m.rates(c, t.Size, t.Limits)
		cells := []string{m.way, m.what, size}
		if m.bytes != nil && m.bytes(c, t.Size) > 0 {
			cells[2] = amount(m.bytes(c, t.Size), "B")
		}
		for _, r := range rates {
			if cells[2] == size || r == 0 {
				cells = append(cells, number(r)+"/s")
				continue
			}
			cells = append(cells, fmt.Sprintf("%s/s, %s", number(r), amount(r*m.bytes(c, t.Size), "B/s")))
		}
		by := "either"
		if m.feed != Either {
			by = string(m.feed)
		}
		lines = append(lines, append(cells, m.mechanism, by))
	}
	return rows([]string{"between", "message", "bytes, both ways", ordinary, worst, "the minute after a zone came back", "the minute after a region was cut for an hour", "package", "feed"}, lines)
}

func (t *Table) connectionTable() string {
	n, s := number, t.Size
	watches := "*not known*"
	if x := t.At("agent.follow.connections"); x.Known() {
		watches = n(x.At(s.Initiators))
	}
	return rows([]string{"role", "with whom", "connections at the size, each a descriptor", "bounded by"}, [][]string{
		{"initiator", "clients", n(s.Clients / s.Initiators), "what the process may open, less what control, discovery and targets take"},
		{"initiator", "targets (one for each in use at least)", n(s.Targets) + ", if its clients use all", "`limits`, a pool's bound for one and for all, stocks"},
		{"initiator", "discovery", "1, 5 while calls are overdue", "mostOpen in internal/datapath/discovery"},
		{"initiator", "agents: configuration, renewals, leases", "3", ""},
		{"initiator", "other members", "a socket for datagrams, a listener, 48 streams at most", "internal/controlplane/membership/transport"},
		{"initiator, by the feed", "a relay", "1, 2 while it moves", "internal/controlplane/watchstream/distribution"},
		{"relay", "its readers; an agent, the leader", n(s.Initiators/relays(t.Limits)) + ", twice as many with the other of its region gone; 2", "`readers`, and 64 more"},
		{"agent", "instances' watches, where all name the same agent first", watches + " (" + n(t.At("agent.follow.connections").Most) + " measured)", "none"},
		{"agent, leader", "members' renewals", n(s.Initiators), "none"},
		{"agent", "other agents", "3 to each for Raft, 4 for questions", "its pools"},
		{"discovery", "initiators' watches", n(t.At("discovery.connections").Value * s.Initiators), "*not known*"},
		{"target", "initiators that use it", n(s.Initiators) + ", if all do, with " + n(s.Requests/s.Targets/s.Initiators) + " requests a second on each", "stocks, where there are some"},
	})
}
