package slope

// Event is something of the operators' list, and how long it takes until it is in force everywhere.
type Event struct {
	Name, Seen, Told, Sent string
	Figure
}

// Events is all of them, as they are carried today.
func Events() []Event {
	// told is how long one service that all share takes to tell so many initiators so many entries.
	told := func(c costs, l Limits, initiators, entries float64) float64 {
		return c.at("discovery.told", initiators) + initiators*(entries-1)*l.Line
	}
	change := func(c costs, s Size) float64 {
		return (c.at("module.change", s.Targets) + c.at("upstream.change", s.Targets)) / 1e6
	}
	force := func(_ costs, _ Size, l Limits) float64 { return l.InForce }
	names := []string{"discovery.told", "module.change", "upstream.change"}
	const list = "discovery, to each initiator's watch"
	event := func(name, seen, told, sent string, names []string, value, limit func(costs, Size, Limits) float64, untold string) Event {
		return Event{name, seen, told, sent, Figure{Of: name, Unit: "s", Names: names, Value: value, Limit: limit, Untold: untold, Mechanism: howLists}}
	}
	return []Event{
		event("a change of primary", "the operators' discovery; an initiator only by errors of its own requests", list,
			"two entries as soon as discovery has them: the old one drains or is gone, the new one is up", names,
			func(c costs, s Size, l Limits) float64 { return told(c, l, s.Initiators, 2) + change(c, s) },
			func(_ costs, s Size, _ Limits) float64 { return s.PrimaryWithin }, ""),
		event("a machine fails, or is replaced", "discovery; initiators avoid it by their own errors before that", list, "an entry as it drains or is gone, one as another is up", names,
			func(c costs, s Size, l Limits) float64 { return told(c, l, s.Initiators, 1) + change(c, s) }, force, ""),
		event("a rack or a switch goes", "discovery; initiators by their own errors; members, of initiators in it", list, "its entries in one answer, where they change together", names,
			func(c costs, s Size, l Limits) float64 { return told(c, l, s.Initiators, l.Rack) + change(c, s) }, force, ""),
		event("a zone goes, or is back", "discovery; members, of initiators in it", list, "its entries in one answer, where they change together", names,
			func(c costs, s Size, l Limits) float64 {
				return told(c, l, s.Initiators, s.Targets/s.Zones) + change(c, s)
			}, force, ""),
		event("a region was cut for an hour", "members (halves bury each other); agents, by their leader", "discovery, to each watch of the region as it reaches it again",
			"the hour's entries to each of its initiators; its configuration as it is now", append([]string{"list.line"}, names...),
			func(c costs, s Size, l Limits) float64 {
				return told(c, l, s.Initiators/s.Regions, s.ListRate()*hour) + s.ListRate()*hour*c.each("list.line")/l.Wire + change(c, s)
			}, force, ""),
		event("one initiator restarts", "members; the leader, by its join", "discovery, to its first call", "the whole list, where it has none; what came since the version that it knows, where it has one",
			[]string{"module.whole", "list.decode"},
			func(c costs, s Size, l Limits) float64 {
				return l.Call + s.Targets*l.Line + (c.at("module.whole", s.Targets)+s.Targets*c.each("list.decode"))/1e6
			}, nil, "how long one start may take"),
		event("a day's restarts of initiators, all within ten minutes", "members; the leader, by their joins", "discovery, to their first calls", "the whole list to each that has none; joins through the log",
			[]string{"module.whole", "list.decode", "leader.joins"},
			func(c costs, s Size, l Limits) float64 {
				return s.InitiatorsBack*(l.Call+s.Targets*l.Line) + (c.at("module.whole", s.Targets)+s.Targets*c.each("list.decode")+s.InitiatorsBack*c.each("leader.joins"))/1e6
			}, func(_ costs, _ Size, l Limits) float64 { return l.Back }, ""),
	}
}

func (t *Table) eventTable() string {
	var lines [][]string
	for _, e := range Events() {
		j := t.judge(e.Figure)
		limit := "not told"
		if j.Limit > 0 {
			limit = amount(j.Limit, j.Unit)
		}
		lines = append(lines, []string{e.Name, e.Seen, e.Told, e.Sent, amount(j.Value, j.Unit), limit, j.verdict()})
	}
	return rows([]string{"event", "who sees it", "who tells it", "what is sent when", "until all have it, one service that all share", "limit", "verdict"}, lines)
}
