package feed

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

const (
	take    = "watchstream/take.go"
	next    = "watchstream/next.go"
	source  = "watchstream/source.go"
	store   = "watchstream/store.go"
	replica = "watchstream/replica.go"
	tally   = "watchstream/tally.go"
	report  = "watchstream/report.go"
	mover   = "watchstream/mover.go"
	and     = explore.Places
)

var mistakes = []explore.Mistake{
	// What a reader takes.
	{"a gap skipped", take, "	case d.From != s.have:\n", "	case !s.have.within(d.To):\n", ""},
	{"an older version taken", take + and + take + and + take, "	case !s.seen.within(d.Head):\n" + and + "x.Version < old.Version && !(x.Gone && old.Gone)" + and + "old.Version >= x.Version",
		"	case false:\n" + and + "false" + and + "old.Version == x.Version", ""},
	{"another reader's or region's delta taken", take, "	case d.For != r.scope:\n", "	case false:\n", ""},
	{"another fleet's delta taken", take, "	case d.Fleet != s.fleet:\n", "	case false:\n", ""},
	{"another's layer taken", take, "	if !r.scope.Holds(x.Kind, x.Key) {\n", "	if false {\n", ""},
	{"another history taken without the operator's word", take + and + source, "slices.Contains(d.Replaces, r.store.epoch) && !slices.Contains(r.store.replaces, d.Epoch)" + and +
		"!slices.Contains(s.store.replaces, h.Epoch)", "true" + and + "!slices.Contains(s.store.replaces, h.Epoch) && false", ""},
	{"another history in place before it is whole", take, "		if s.whole != s.seen || s.whole.Targets != s.whole.Config {", "		if s.have.Targets == 0 {", ""},
	{"another history in place without its configuration", take, "		if s.whole != s.seen || s.whole.Targets != s.whole.Config {", "		if s.whole != s.seen {", ""},
	{"what another history doesn't have kept", take, "if is := now.lanes[k].keys[x.Key]; !x.Gone && (is == nil || is.Gone) {", "if is := now.lanes[k].keys[x.Key]; !x.Gone && is != nil && is.Gone {", ""},
	{"whole after a part", take, "		if *d.To.of(k) == *s.seen.of(k) {\n", "		if s.epoch != \"\" {\n", ""},
	{"what a bucket doesn't name kept", take, "			if !named[old.Key] {\n", "			if false {\n", ""},
	{"a bucket told as held that has changed", next + and + take, "			if x.Version <= d.From.Targets { // 2: the reader has it so\n" + and + "		if sum != b.Sum {\n", "			if r.run.sums != nil && r.run.sums[to] != 0 {\n" + and + "		if false {\n", ""},
	{"a part of a run by digests skipped", take, "	case progress != Progress{p.Start, p.From}:\n", "	case false:\n", ""},
	{"over its size taken", take, "	case d.Size() > MostDelta:\n", "	case false:\n", ""},
	{"a version outside what the delta covers taken", take, "		case x.Version <= *d.From.of(x.Kind) || x.Version > *d.To.of(x.Kind):\n", "		case false:\n", ""},
	// What a source sends.
	{"a source that is behind brings something", next + and + take, "	case !seen.within(head) || !st.level(Targets): // 4\n" + and + "	case !s.seen.within(d.Head):\n",
		"	case !seen.within(head) && false || !st.level(Targets):\n" + and + "	case false:\n", ""},
	{"a relay serves in the midst of its bring-up", next, "	case !seen.within(head) || !st.level(Targets): // 4\n", "	case !seen.within(head): // 4\n", ""},
	{"a version cut in two", next, "if x.Version != to && len(list) > 0 && float64(total) >= most {", "if len(list) > 0 && float64(total) >= most {", ""},
	{"past the end of a part", next, "	if !cut {\n		to = *s.store", "	if true {\n		to = *s.store", ""},
	{"one that went not told of, and the floor not raised", store, "		s.floor = max(s.floor, r.Version)\n", "", ""},
	{"the floor not raised by digests", take, "	s.floor = max(s.floor, d.Head.Targets)\n", "", ""},
	{"a version that isn't in the digests", store, "	binary.LittleEndian.PutUint64(v[:], r.Version)\n", "	binary.LittleEndian.PutUint64(v[:], 0)\n", ""},
	{"an ended run gone on with", source, "	case h.Digest == nil:\n", "	case false:\n", ""},
	{"a run that ends at the head of its end", next, "		d.To.Targets = r.run.start\n", "		d.To.Targets = d.Head.Targets\n", ""},
	{"configuration before targets", next + and + take, "	if to != d.Head.Targets || !st.level(Config) {\n" + and + "	case d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets:\n",
		"	if !st.level(Config) {\n" + and + "	case false:\n", ""},
	{"configuration in parts", next + and + take, "		list, to, wait = s.layers(r, d)\n" + and + "d.To.Config != d.Head.Config && !r.scope.All",
		"		list, to, wait = s.layers(r, d)\n		if len(list) > 1 {\n			list, to = list[:1], list[0].Version\n		}\n" + and + "false", ""},
	{"bytes not counted", next, "	r.own.tokens -= n - of\n", "", ""},
	{"a lagging reader blocks the others", next, "	head := st.whole\n", "	head := st.whole\n	for _, o := range s.readers {\n		if o.hello.Have.Least() < r.hello.Have.Least() && o.hello.Epoch == r.hello.Epoch {\n			return nil, pause\n		}\n	}\n", ""},
	{"readers taken without bounds", source, "		s.admit.tokens--\n", "", ""},
	// What counts as in force.
	{"acknowledged what was not applied", replica, "InForce: r.inForce, Turn", "InForce: r.Whole(), Turn", ""},
	{"in force what is only a part", replica, "	if !now.within(r.store.whole) {\n		return\n	}\n", "	now = r.store.have\n", ""},
	{"in force what another history had", replica, "	if m.Epoch != r.store.epoch {\n" + and + "	r.inForce = Mark{m.Epoch, was.most(now)}\n",
		"	if false {\n" + and + "	r.inForce = Mark{r.store.epoch, was.most(now)}\n", "TestMarks"},
	{"in force what was turned down", replica, "			now.Config = was.Config\n", "", ""},
	{"a move that is no new turn", replica, "	r.turn++\n", "", ""},
	{"an old hello heard", source, "h.Turn < r.hello.Turn || h.Turn == r.hello.Turn && h.Seq <= r.hello.Seq", "false", ""},
	{"counted as in an earlier turn", tally, "	case x.Turn < c.Turn || x.Turn == c.Turn && relay != c.relay:\n", "	case false:\n", ""},
	{"counted twice", tally, "	c := t.readers[x.Name]\n", "	x.Name += \"@\" + relay\n	c := t.readers[x.Name]\n", ""},
	{"an old report taken", tally, "r.Life < was.Life || r.Life == was.Life && r.Seq <= was.Seq", "false", ""},
	{"changes taken over a base that isn't had", tally, "	case !r.Whole && (was == nil || was.Life != r.Life || r.Base > was.Upto):\n", "	case false:\n", ""},
	{"what was reported not told again", report, "	case a.Whole:\n		s.base = 0\n", "	case a.Whole:\n", ""},
	// Who calls whom.
	{"all of a relay's readers to one other", mover, "	_, _ = d.WriteString(reader)\n", "", "TestMoves"},
	{"other regions first", mover, "			if a.Region == region {\n				return -1\n			}\n			return 1\n", "			if a.Region == region {\n				return 1\n			}\n			return -1\n", "TestMoves"},
	{"never home again", mover, "	if m.at != 0 && m.from < 0 && m.back < 0 && m.fails == 0 && m.here == 0 && m.home > 0 && now >= m.home {\n", "	if false {\n", "TestMoves"},
	{"a busy relay asked before its time", mover, "		m.due = now + after + m.between(0, m.opt.Least)\n", "		m.due = now + m.between(0, m.opt.Least)\n", "TestMoves"},
	{"a relay that is cut off never left", mover, "		if aged && now >= m.lookAt {\n", "		if false {\n", "TestAgedRelay"},
	{"left for one that is as old", mover, "	if o != Answered || !m.newer(age) {\n", "	if o != Answered {\n", "TestAgedRelay"},
	{"others asked about all the time", mover, "	m.at, m.from, m.lookAt = m.from, -1, now+m.between(m.opt.HomeLeast, m.opt.HomeMost)\n", "	m.at, m.from, m.lookAt = m.from, -1, now\n", "TestAgedRelay"},
	{"never another region's", mover, "		if i != m.at {\n", "		if i != m.at && i < m.near {\n", "TestAgedRelay"},
	{"all relays of all regions asked", mover, "min(m.near+1, len(m.order))", "len(m.order)", "TestAgedRelay"},
	{"home again while it is cut off", mover, "	case o == Answered && !(aged && m.back >= 0 && !m.newer(age)):\n", "	case o == Answered:\n", "TestAgedRelay"},
	{"home's time put off while it is away", mover, "	case m.home == 0: // one whose time has come stays so until it is tried\n", "	case m.home <= now:\n", "TestAgedRelay"},
	{"kept at one that is busy", mover, "	if o != Answered || !m.newer(age) {\n		m.ask(now)\n", "	if o == Turned {\n		m.due = now + m.opt.Least\n		return\n	}\n	if o != Answered || !m.newer(age) {\n		m.ask(now)\n", "TestAgedRelay"},
	{"no wait after a failure", mover, "		m.due = now + m.between(wait, 2*wait)\n", "		m.due = now + 0*m.between(wait, 2*wait)\n", "TestMoves"},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: feed: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
