package slope

import "spindlehitch/internal/controlplane/watchstream"

// Event is an event of the operators' list, with the time until it is in force everywhere: with one discovery service that all initiators share (Off), and with
// the feed (On).
type Event struct {
	Name, DetectedBy, DeliveredBy, Content string
	Off, On                                Figure
}

// Events returns all events of the page.
func Events() []Event {
	// sharedTime is the time that one shared discovery service takes to send a number of entries to a number of initiators.
	sharedTime := func(c costModel, l Limits, initiators, entries float64) float64 {
		return c.costAt("discovery.told", initiators) + initiators*(entries-1)*l.DiscoveryEntry
	}
	listChangeTime := func(c costModel, s Size) float64 {
		return (c.costAt("module.change", s.Targets) + c.costAt("upstream.change", s.Targets)) / 1e6
	}
	inForceLimit := func(_ costModel, _ Size, l Limits) float64 { return l.ConfigInForce }
	primaryLimit := func(_ costModel, s Size, _ Limits) float64 { return s.PrimaryChangeLimit }
	restartLimit := func(_ costModel, _ Size, l Limits) float64 { return l.RestartWindow }
	off := []string{"discovery.told", "module.change", "upstream.change"}
	on := []string{"feed.told", "feed.owed.time", "agent.change.time", "module.change", "upstream.change"}
	// feedTime is the time that the feed takes for a number of entries, which discovery sends to `spindlehitch publish` alone: the commit of a change, its propagation,
	// and the transfer at the reader's bytes a second beyond its burst.
	feedTime := func(c costModel, s Size, l Limits, entries float64) float64 {
		return l.DiscoveryCall + entries*l.DiscoveryEntry + c.perUnit("agent.change.time")/1e6 + propagationTime(c, s, l) + c.costAt("feed.owed.time", entries) + listChangeTime(c, s)
	}
	deliveredBy := "discovery, to each initiator's watch; by the feed to `spindlehitch publish` alone, then agents and relays"
	timeFigure := func(subject string, names []string, value, limit func(costModel, Size, Limits) float64, missingInput string) Figure {
		return Figure{Subject: subject, Unit: "s", SlopeNames: names, Value: value, Limit: limit, MissingInput: missingInput}
	}
	entriesEvent := func(name, detectedBy, content string, count func(Size, Limits) float64, limit func(costModel, Size, Limits) float64) Event {
		return Event{name, detectedBy, deliveredBy, content,
			timeFigure(name, off, func(c costModel, s Size, l Limits) float64 {
				return sharedTime(c, l, s.Initiators, count(s, l)) + listChangeTime(c, s)
			}, limit, ""),
			timeFigure(name, on, func(c costModel, s Size, l Limits) float64 { return feedTime(c, s, l, count(s, l)) }, limit, "")}
	}
	startTime := func(c costModel, s Size) float64 {
		return (c.costAt("module.whole", s.Targets) + s.Targets*c.perUnit("list.decode")) / 1e6
	}
	return []Event{
		entriesEvent("a change of primary", "the operators' discovery; an initiator only by errors of its own requests",
			"two entries as soon as discovery has them: the old one drains or is gone, the new one is up", func(Size, Limits) float64 { return 2 }, primaryLimit),
		entriesEvent("a machine fails, or is replaced", "discovery; initiators avoid it by their own errors before that", "an entry as it drains or is gone, one as another is up",
			func(Size, Limits) float64 { return 1 }, inForceLimit),
		entriesEvent("a rack or a switch goes", "discovery; initiators by their own errors; members, of initiators in it", "its entries, in one answer where they change together",
			func(_ Size, l Limits) float64 { return l.RackTargets }, inForceLimit),
		entriesEvent("a zone goes, or is back", "discovery; members, of initiators in it", "its entries, in one answer where they change together",
			func(s Size, _ Limits) float64 { return s.Targets / s.Zones }, inForceLimit),
		{"a region was cut for an hour, and is back", "members (halves bury each other); agents, by their leader; by the feed `change status`, which names who lags",
			"discovery, to each watch of the region as it reaches it again; by the feed the region's relays, as they reach an agent",
			"the hour's entries to each of its initiators; its configuration as it is now",
			timeFigure("region", append([]string{"list.line"}, off...), func(c costModel, s Size, l Limits) float64 {
				return sharedTime(c, l, s.Initiators/s.Regions, s.ListChangeRate()*hour) + s.ListChangeRate()*hour*c.perUnit("list.line")/l.Wire + listChangeTime(c, s)
			}, inForceLimit, ""),
			timeFigure("region", on, func(c costModel, s Size, l Limits) float64 {
				return watchstream.DefaultRelaySelectorOptions.RetryMax.Seconds() + propagationTime(c, s, l) + c.costAt("feed.owed.time", s.ListChangeRate()*hour) + listChangeTime(c, s)
			}, inForceLimit, "")},
		{"one initiator restarts", "members; the leader, by its join", "discovery, to its first call; by the feed its relay",
			"all targets, where it has none; what came since what it has, where it has a list or a copy on disk",
			timeFigure("start", []string{"module.whole", "list.decode"}, func(c costModel, s Size, l Limits) float64 {
				return l.DiscoveryCall + s.Targets*l.DiscoveryEntry + startTime(c, s)
			}, nil,
				"how long one start may take"),
			timeFigure("start", []string{"module.whole", "list.decode", "feed.whole.time"}, func(c costModel, s Size, _ Limits) float64 {
				return c.costAt("feed.whole.time", s.Targets) + startTime(c, s)
			},
				nil, "how long one start may take")},
		{"a day's restarts of initiators, all within ten minutes", "members; the leader, by their joins", "discovery, to their first calls; by the feed their relays, which let so many in a second",
			"all targets to each that has none; joins through the log",
			timeFigure("starts", []string{"module.whole", "list.decode", "leader.joins"}, func(c costModel, s Size, l Limits) float64 {
				return s.InitiatorRestarts*(l.DiscoveryCall+s.Targets*l.DiscoveryEntry) + startTime(c, s) + s.InitiatorRestarts*c.perUnit("leader.joins")/1e6
			}, restartLimit, ""),
			timeFigure("starts", []string{"module.whole", "list.decode", "leader.joins", "feed.whole.time"}, func(c costModel, s Size, l Limits) float64 {
				return s.InitiatorRestarts/relayCount(l)/watchstream.DefaultSourceOptions.AdmitRate + c.costAt("feed.whole.time", s.Targets) + startTime(c, s) + s.InitiatorRestarts*c.perUnit("leader.joins")/1e6
			}, restartLimit, "")},
	}
}

func (t *Table) eventTable() string {
	var lines [][]string
	for _, e := range Events() {
		off, on := t.evaluate(e.Off), t.evaluate(e.On)
		limit := "not told"
		if off.Limit > 0 {
			limit = formatAmount(off.Limit, off.Unit)
		}
		lines = append(lines, []string{e.Name, e.DetectedBy, e.DeliveredBy, e.Content, limit, formatAmount(off.Value, off.Unit) + ", " + off.verdict(), formatAmount(on.Value, on.Unit) + ", " + on.verdict()})
	}
	return markdownTable([]string{"event", "who sees it", "who tells it", "what is sent when", "limit", "until all have it, one discovery that all share", "by the feed"}, lines)
}
