package slope

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// PageFile is the path of the page, relative to the root of the repository.
const PageFile = "docs/CAPACITY.md"

var tableMarker = regexp.MustCompile(`(?s)<!-- table: ([a-z ]+) -->\n.*?<!-- end -->`)

// Page returns the page with each of its tables regenerated. It is an error if a table is unknown, missing, unterminated or there more than once.
func (t *Table) Page(old []byte) ([]byte, error) {
	tables := t.tables()
	seen := map[string]bool{}
	var err error
	page := tableMarker.ReplaceAllFunc(old, func(b []byte) []byte {
		name := string(tableMarker.FindSubmatch(b)[1])
		text, known := tables[name]
		switch {
		case !known:
			err = fmt.Errorf("%s: unknown table %q", PageFile, name)
		case seen[name]:
			err = fmt.Errorf("%s: table %q is a duplicate", PageFile, name)
		}
		seen[name] = true
		return fmt.Appendf(nil, "<!-- table: %s -->\n%s<!-- end -->", name, text)
	})
	for name := range tables {
		if !seen[name] && err == nil {
			err = fmt.Errorf("%s: table %q is missing", PageFile, name)
		}
	}
	if n := bytes.Count(page, []byte("<!-- table:")); n != len(seen) && err == nil {
		err = fmt.Errorf("%s: a table has no end marker", PageFile)
	}
	return page, err
}

// markdownTable formats a table of the page.
func markdownTable(head []string, lines [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(slices.Repeat([]string{"---"}, len(head)))
	for _, l := range lines {
		line(l)
	}
	return b.String()
}

// formatNumber formats a figure with three significant digits.
func formatNumber(x float64) string {
	switch a := math.Abs(x); {
	case a == 0:
		return "0"
	case a >= 1e15 || a < 1e-4:
		return fmt.Sprintf("%.3g", x)
	case a >= 1000:
		whole := fmt.Sprintf("%.0f", x)
		if a >= 10_000 {
			by := math.Pow(10, math.Floor(math.Log10(a))-2)
			whole = fmt.Sprintf("%.0f", math.Round(x/by)*by)
		}
		for i := len(whole) - 3; i > 0 && whole[i-1] != '-'; i -= 3 {
			whole = whole[:i] + "," + whole[i:]
		}
		return whole
	}
	return strings.TrimSuffix(fmt.Sprintf("%.3g", x), ".0")
}

// formatAmount formats a figure with its unit, scaled to a readable one.
func formatAmount(x float64, unit string) string {
	base, per := strings.CutSuffix(unit, "/s")
	scale := func(names []string, by float64) string {
		i := 0
		for ; i < len(names)-1 && math.Abs(x) >= by; i++ {
			x /= by
		}
		unit = names[i]
		if per {
			unit += "/s"
		}
		return formatNumber(x) + " " + unit
	}
	switch {
	case base == "B":
		return scale([]string{"B", "KB", "MB", "GB", "TB"}, 1000)
	case base == "us" && !per:
		return scale([]string{"us", "ms", "s"}, 1000)
	case unit == "core" && x > 1:
		return formatNumber(x) + " cores"
	case unit == "core":
		return formatNumber(x) + " of a core"
	}
	return formatNumber(x) + " " + unit
}

// verdict formats the verdict for the page.
func (j *Evaluation) verdict() string {
	switch {
	case j.Verdict == WithinLimit && 1/j.Factor < 1.05:
		return "*holds*, just"
	case j.Verdict == WithinLimit:
		return "*holds*, " + formatNumber(1/j.Factor) + " times over"
	case j.Verdict == ExceedsLimit:
		return "*lacks by a factor of " + formatNumber(j.Factor) + "*"
	case j.MissingInput != "" && j.Factor > 1:
		return "*not known*: " + j.MissingInput + "; as it stands here it would lack by a factor of " + formatNumber(j.Factor)
	case j.MissingInput != "":
		return "*not known*: " + j.MissingInput
	case len(j.Insignificant) > 0:
		return "*not known*: " + strings.Join(j.Insignificant, ", ") + " is not above its error"
	}
	return "*not known*: not measured"
}

func (t *Table) tables() map[string]string {
	tables := map[string]string{"size": t.sizeTable(), "state": t.stateTable(), "messages": t.messageTable(), "events": t.eventTable(), "ranking": t.rankTable(FeedOff), "ranking by the feed": t.rankTable(FeedOn),
		"slopes": t.slopeTable(), "connections": t.connectionTable(), "before": t.beforeTable()}
	for _, role := range []string{"initiator", "discovery", "agent", "relay", "target"} {
		tables[role] = t.roleTable(role)
	}
	return tables
}

func (t *Table) roleTable(role string) string {
	var lines [][]string
	for _, j := range t.Evaluate() {
		if j.Role != role && !strings.HasPrefix(j.Role, role+",") {
			continue
		}
		limit := "not told"
		if j.Limit > 0 {
			limit = formatAmount(j.Limit, j.Unit)
		}
		value := formatAmount(j.Value, j.Unit)
		if len(j.Extrapolated) > 0 {
			value += " (beyond what was measured)"
		}
		_, which, _ := strings.Cut(j.Role, ", ")
		if which != "" {
			which = "the " + which + "; "
		}
		carried := "either"
		if j.Feed != FeedAny {
			carried = string(j.Feed)
		}
		lines = append(lines, []string{which + j.Subject, j.When, carried, strings.Join(j.SlopeNames, ", "), value, limit, j.verdict()})
	}
	return markdownTable([]string{"what", "when", "feed", "slopes", "at the size", "limit", "verdict"}, lines)
}

func (t *Table) rankTable(by Feed) string {
	var lines [][]string
	for i, j := range t.RankExceeded(by) {
		lines = append(lines, []string{fmt.Sprint(i + 1), formatNumber(j.BreakingSize), j.Role, j.Subject, j.When, formatNumber(j.Factor), j.Mechanism})
	}
	return markdownTable([]string{"", "breaks at so many initiators", "role", "what", "when", "at the size it lacks by", "mechanism that carries it"}, lines)
}

func (t *Table) slopeTable() string {
	var lines [][]string
	for _, s := range t.Slopes {
		per := s.Per
		switch {
		case s.Power == 2:
			per += ", squared"
		case s.Power != 1:
			per += ", to the power of " + formatNumber(s.Power)
		}
		lines = append(lines, []string{s.Name, s.Subject, formatNumber(s.Value) + " " + s.Unit + " ± " + formatNumber(s.StdError), per, formatNumber(s.Base), formatNumber(s.MinSize) + " to " + formatNumber(s.MaxSize),
			fmt.Sprintf("%+.0f %%", 100*s.PredictionError), "`" + s.Command + "`, " + s.Date})
	}
	return markdownTable([]string{"slope", "of", "value", "for each", "at a size of 0", "sizes", "largest, foretold", "measured by"}, lines)
}

// beforeTable lists the slopes whose cost fell by more than half at a size measured before and covered now.
func (t *Table) beforeTable() string {
	var lines [][]string
	for _, b := range t.Before {
		current := t.Lookup(b.Name)
		var sizes, before, after []string
		improved := false
		for _, p := range b.Measured {
			if !current.InRange(p.Size) {
				continue
			}
			sizes, before, after = append(sizes, formatNumber(p.Size)), append(before, formatAmount(p.Cost, b.Unit)), append(after, formatAmount(current.Cost(p.Size), current.Unit))
			improved = improved || current.Cost(p.Size) < p.Cost/2
		}
		if improved {
			lines = append(lines, []string{b.Name, b.Subject, strings.Join(sizes, "; ") + " x " + b.Per, strings.Join(before, "; "), strings.Join(after, "; ")})
		}
	}
	return markdownTable([]string{"slope", "of", "at", "before", "now"}, lines)
}
