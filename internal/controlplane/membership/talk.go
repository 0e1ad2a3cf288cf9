package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// out collects what is to go out.
type out []Send

func (m *Machine) message(k Kind, to uint64) *Message {
	return &Message{Version: Version, Fleet: m.set.Fleet, Kind: k, From: m.self, To: to, Health: uint8(m.score), Load: m.load, Agent: m.agent,
		Size: uint32(m.Size())}
}

func (m *Machine) nonce() uint64 {
	for {
		if n := m.rng.Uint64(); n != 0 {
			return n
		}
	}
}

// expect remembers a question; past the bound the oldest is not waited for any more.
func (m *Machine) expect(nonce uint64, a asked) {
	if len(m.asked) >= mostAsked {
		var oldest uint64
		for n, x := range m.asked {
			if o := m.asked[oldest]; oldest == 0 || x.at < o.at || x.at == o.at && n < oldest {
				oldest = n
			}
		}
		delete(m.asked, oldest)
	}
	m.asked[nonce] = a
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) []Send {
	var o out
	m.look(now)
	if p := m.probe; p != nil && !p.answers && len(p.asked) == 0 && now >= p.began+m.stretch(m.set.Timeout) && now < m.nextProbe {
		m.askOthers(now, &o)
	}
	if now >= m.nextProbe {
		m.finish(now)
		m.begin(now, &o)
	}
	m.judge(now)
	if now >= m.nextCompare {
		m.compare(now, &o)
		m.sweep(now)
	}
	if len(m.seeds) > 0 && now >= m.nextSeed {
		m.knock(now, &o)
	}
	m.hasten(now, &o)
	m.due = m.Next()
	return o
}

// hasten tells what is urgent, twice in a period at most.
func (m *Machine) hasten(now time.Duration, o *out) {
	if m.urgent && now-m.poked >= m.set.Period/2 {
		m.urgent, m.poked = false, now
		m.poke(now, m.set.Helpers, o)
	}
}

// judge makes the verdicts that are due. Who hears nobody judges nobody (4).
func (m *Machine) judge(now time.Duration) {
	if m.alone && !m.set.Plain {
		return
	}
	for i := 0; i < len(m.susp); i++ {
		if s := &m.susp[i]; now >= m.deadline(s) {
			if m.heard <= s.began && !m.set.Plain {
				m.isolate(now) // nobody was heard in all that time
				return
			}
			if e := m.entry(s.birth); e != nil && e.status == Suspect {
				m.bury(now, e, "nobody hears it", m.self.Birth, s.by)
			} else {
				m.susp = slices.Delete(m.susp, i, i+1)
			}
			i--
		}
	}
}

// begin starts the next probe.
func (m *Machine) begin(now time.Duration, o *out) {
	m.nextProbe = now + m.stretch(m.set.Period)
	e := m.next()
	if e == nil {
		return
	}
	m.Counts.Probes++
	p := &probe{birth: e.birth, addr: e.info.Addr, nonce: m.nonce(), began: now}
	m.probe = p
	m.expect(p.nonce, asked{birth: e.birth, kind: Ping, at: now})
	m.ping(now, e, p.nonce, Datagram, o)
}

// next is who is probed next: a way in doubt every second time, somebody held dead now and then (5), else the round goes on.
func (m *Machine) next() *entry {
	m.probes++
	if m.ended > 0 && m.probes%everyDead == 0 {
		from := m.rng.IntN(len(m.table))
		for i := range m.table {
			if e := &m.table[(from+i)%len(m.table)]; e.status == Dead {
				return e
			}
		}
	}
	if len(m.doubts) > 0 && m.probes%2 == 1 {
		d := m.doubts[0]
		m.doubts = append(m.doubts[1:], d)
		if e := m.entry(d.birth); e != nil && e.status <= Suspect {
			return e
		}
		m.doubts = m.doubts[:len(m.doubts)-1]
	}
	for range len(m.order) {
		if m.turn >= len(m.order) {
			m.turn = 0
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		e := m.entry(m.order[m.turn])
		if e != nil && e.status <= Suspect {
			m.turn++
			return e
		}
		if e != nil {
			e.placed = false
		}
		m.order = slices.Delete(m.order, m.turn, m.turn+1)
	}
	return nil
}

// ping asks a member whether it is there, and tells it what is thought of it.
func (m *Machine) ping(now time.Duration, e *entry, nonce uint64, via Via, o *out) {
	x := m.message(Ping, e.birth)
	x.Nonce = nonce
	x.You = &Word{e.inc, e.status}
	if e.heard >= 0 {
		x.Unhear = uint32(max(0, (now - e.heard).Milliseconds()))
	}
	*o = append(*o, Send{e.info.Addr, via, x})
}

// askOthers has helpers ping who has not answered, and tries a stream.
func (m *Machine) askOthers(now time.Duration, o *out) {
	p := m.probe
	e := m.entry(p.birth)
	if e == nil || e.status > Suspect {
		p.asked = []uint64{0} // nobody
		return
	}
	m.ping(now, e, p.nonce, Stream, o)
	var helpers []*entry
	if d := m.doubted(e.birth); d != nil {
		if h := m.entry(d.via); h != nil && h.status == Alive {
			helpers = append(helpers, h)
		}
	}
	for tries := 0; len(helpers) < m.set.Helpers && tries < 8*m.set.Helpers && len(m.order) > 0; tries++ {
		h := m.entry(m.order[m.rng.IntN(len(m.order))])
		if h != nil && h.status == Alive && h.birth != e.birth && !slices.Contains(helpers, h) {
			helpers = append(helpers, h)
		}
	}
	for _, h := range helpers {
		x := m.message(Ask, h.birth)
		x.Nonce, x.About = p.nonce, m.record(e)
		p.asked = append(p.asked, h.birth)
		*o = append(*o, Send{h.info.Addr, Datagram, x})
	}
	if len(p.asked) == 0 {
		p.asked = []uint64{0}
	}
}

// finish ends the probe under way: who was reached by nobody is suspected, and who answered tells of the ways.
func (m *Machine) finish(now time.Duration) {
	p := m.probe
	m.probe = nil
	if p == nil {
		return
	}
	delete(m.asked, p.nonce)
	e := m.entry(p.birth)
	if e == nil || e.status > Suspect {
		return
	}
	if p.answers && !p.stream {
		m.wayOpen(now, e)
		return
	}
	if p.answers || p.told != 0 {
		m.wayDoubted(now, e, p)
		return
	}
	m.Counts.Failed++
	m.missed[p.birth] = true
	if p.nacks == 0 && len(p.asked) > 0 && p.asked[0] != 0 {
		m.doubt(1) // the helpers are silent too: it may be we who do not hear
	}
	if !m.alone && !m.set.Plain && len(m.missed) >= min(3, m.live) && now-m.heard > 2*m.set.Period {
		m.isolate(now)
	}
	m.suspect(now, e, e.inc, m.self.Birth, "no answer to us")
}

// isolate notes that nobody is heard: until somebody is, nobody is judged (4).
func (m *Machine) isolate(now time.Duration) {
	m.alone = true
	m.note(now, &entry{info: &m.self.Info, birth: m.self.Birth}, "alone", m.self.Inc, "we hear nobody")
}

func (m *Machine) doubted(birth uint64) *doubt {
	for i := range m.doubts {
		if m.doubts[i].birth == birth {
			return &m.doubts[i]
		}
	}
	return nil
}

// wayOpen takes back what was found of the way to a member.
func (m *Machine) wayOpen(now time.Duration, e *entry) {
	d := m.doubted(e.birth)
	if d == nil {
		return
	}
	if d.named {
		m.note(now, e, "open", e.inc, "it answers us again")
		for _, k := range m.linkKeys() {
			if k.by == m.self.Birth && m.links[k].Kind != Open && (k.from == e.birth || k.to == e.birth) {
				m.tellLink(now, Link{From: k.from, To: k.to, Kind: Open})
			}
		}
	}
	m.doubts = slices.DeleteFunc(m.doubts, func(x doubt) bool { return x.birth == e.birth })
}

// wayDoubted notes that a member lives and did not answer us: after enough of that in a row the way is cut, and it is known which.
func (m *Machine) wayDoubted(now time.Duration, e *entry, p *probe) {
	d := m.doubted(e.birth)
	if d == nil {
		if len(m.doubts) >= mostDoubts {
			return
		}
		m.doubts = append(m.doubts, doubt{birth: e.birth})
		d = &m.doubts[len(m.doubts)-1]
	}
	d.fails++
	if p.told != 0 {
		d.via = p.told
	}
	if p.seen {
		d.seen++
	}
	if p.stream {
		d.stream++
	}
	if d.fails%cutAfter != 0 {
		return
	}
	l := Link{From: m.self.Birth, To: e.birth, Kind: Sends}
	switch {
	case 2*d.stream > d.fails:
		l.Kind = Datagrams
	case 2*d.seen > d.fails: // it has our pings, we not its answers
		l.From, l.To = l.To, l.From
	}
	if !d.named {
		m.note(now, e, "cut", e.inc, map[bool]string{true: "its answers do not come", false: "we do not reach it"}[l.From == e.birth])
	}
	d.named = true
	m.tellLink(now, l)
}

// tellLink publishes a finding of one's own.
func (m *Machine) tellLink(now time.Duration, l Link) {
	m.linked++
	l.By, l.Seq = m.self.Birth, m.linked
	m.takeLink(now, l)
}

// takeLink keeps a finding, the latest of each member on each way.
func (m *Machine) takeLink(now time.Duration, l Link) {
	k := linkKey{l.By, l.From, l.To}
	if was := m.links[k]; was != nil && was.Seq >= l.Seq {
		return
	}
	if len(m.links) >= mostLinks && m.links[k] == nil {
		var oldest linkKey
		var at *linkRec
		for k, x := range m.links {
			if at == nil || x.at < at.at || x.at == at.at && less(k, oldest) {
				oldest, at = k, x
			}
		}
		delete(m.links, oldest)
	}
	if was := m.links[k]; was == nil || was.sent < 0 {
		m.telling = append(m.telling, k)
	}
	m.links[k] = &linkRec{Link: l, at: now}
}

func less(a, b linkKey) bool {
	return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) < 0
}

// linkFor is how long a finding holds that is not told again.
func (m *Machine) linkFor() time.Duration { return 60 * m.set.Period }

// fill puts what is to be passed on into a verified message: first what its receiver should know of itself, then what was passed on
// least. No message grows with the fleet.
func (m *Machine) fill(x *Message, to uint64) {
	room := MostBytes - 200 - x.From.size()
	if e := m.entry(to); e != nil && e.status != Alive && e.status != Left {
		r := m.record(e)
		x.Records = append(x.Records, r)
		room -= r.size()
	}
	most := m.repeats()
	slices.SortStableFunc(m.queue, func(a, b update) int { return a.sent - b.sent })
	for i := range m.queue {
		u := &m.queue[i]
		if u.size() > room || len(x.Records) >= MostRecords {
			break
		}
		room -= u.size()
		x.Records = append(x.Records, u.Record)
		u.sent++
	}
	m.queue = slices.DeleteFunc(m.queue, func(u update) bool { return u.sent >= most })
	kept := m.telling[:0]
	var told []linkKey
	for _, k := range m.telling {
		l := m.links[k]
		switch {
		case l == nil:
		case len(x.Links) == MostLinks || room < 60:
			kept = append(kept, k)
		default:
			room -= 60
			x.Links = append(x.Links, l.Link)
			if l.sent++; l.sent < most {
				told = append(told, k) // behind the others
			} else {
				l.sent = -1
			}
		}
	}
	m.telling = append(kept, told...)
}

// linkKeys are the findings in a fixed order.
func (m *Machine) linkKeys() []linkKey {
	return slices.SortedFunc(maps.Keys(m.links), func(a, b linkKey) int {
		return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}

// take reads what a verified message passes on.
func (m *Machine) take(now time.Duration, x *Message) {
	for i := range x.Records {
		m.merge(now, &x.Records[i])
	}
	for _, l := range x.Links {
		if l.By != m.self.Birth {
			m.takeLink(now, l)
		}
	}
}

// Receive takes a message that passed its Check. Only what echoes a number that we drew is believed (2): of all else, however old, no
// more comes than an answer.
func (m *Machine) Receive(now time.Duration, x *Message, via Via) []Send {
	var o out
	m.look(now)
	switch {
	case x.Fleet != m.set.Fleet:
		m.Counts.Foreign++
	case x.From.Birth == m.self.Birth:
		m.Counts.Stale++
	case x.To != 0 && x.To != m.self.Birth:
		m.Counts.Misdirected++
	default:
		m.receive(now, x, via, &o)
	}
	m.hasten(now, &o)
	m.due = m.Next()
	return o
}

func (m *Machine) receive(now time.Duration, x *Message, via Via, o *out) {
	switch x.Kind {
	case Ping:
		m.onPing(now, x, via, o)
		return
	case Ask:
		m.onAsk(now, x, o)
		return
	case Compare:
		m.onCompare(now, x, via, o)
		return
	}
	a, known := m.asked[x.Echo]
	if x.Echo == 0 || !known || a.birth != 0 && a.birth != x.From.Birth && !(a.kind == Ping && (x.Kind == Told || x.Kind == Nack)) {
		m.Counts.Stale++
		return
	}
	switch {
	case x.Kind == Ack && a.kind == Ping:
		m.onAck(now, x, a, via, o)
	case x.Kind == Ack && a.kind == Ask:
		delete(m.asked, x.Echo)
		m.heardFrom(now, x)
		m.take(now, x)
		t := m.message(Told, a.asker.Birth)
		t.Echo, t.About, t.Seen = a.echo, x.From, x.Seen
		*o = append(*o, Send{a.asker.Info.Addr, Datagram, t})
	case x.Kind == Confirm && a.kind == Ack:
		delete(m.asked, x.Echo)
		m.heardFrom(now, x)
		m.take(now, x)
	case (x.Kind == Told || x.Kind == Nack) && a.kind == Ping:
		m.onTold(now, x)
	case x.Kind == Page && (a.kind == Compare || a.kind == Page):
		m.onPage(now, x, a, via, o)
	default:
		m.Counts.Stale++
	}
}

func (m *Machine) onPing(now time.Duration, x *Message, via Via, o *out) {
	// Unverified: it may be old. It moves nothing but our own incarnation, and that only past a word on just this one.
	if x.You != nil && x.You.Status != Alive && x.You.Status != Left {
		m.own(now, &Record{Birth: m.self.Birth, Inc: x.You.Inc, Status: x.You.Status})
	}
	if len(m.pings) >= mostPings {
		m.pings = slices.Delete(m.pings, 0, 1)
	}
	m.pings = append(m.pings, asked{birth: x.From.Birth, echo: x.Nonce, at: now})
	r := m.message(Ack, x.From.Birth)
	r.Echo, r.Nonce = x.Nonce, m.nonce()
	if x.For != 0 { // asked for by another: has its own ping come?
		r.Seen = slices.ContainsFunc(m.pings, func(p asked) bool { return p.echo == x.For && p.birth == x.About.Birth })
		r.For = x.For
	}
	m.expect(r.Nonce, asked{birth: x.From.Birth, kind: Ack, at: now})
	m.fill(r, x.From.Birth)
	*o = append(*o, Send{x.From.Info.Addr, via, r})
}

func (m *Machine) onAck(now time.Duration, x *Message, a asked, via Via, o *out) {
	e := m.heardFrom(now, x)
	if p := m.probe; p != nil && p.nonce == x.Echo {
		if via == Datagram {
			p.stream = false
		} else if !p.answers {
			p.stream = true
		}
		p.answers = true
		switch late := now-p.began >= m.stretch(m.set.Timeout); {
		case e == nil:
		case late && via == Datagram:
			e.late = min(e.late+1, 9)
			m.doubt(1)
		default:
			e.late = 0
			m.doubt(-1)
		}
	}
	if via == Datagram {
		delete(m.asked, x.Echo)
	}
	m.take(now, x)
	c := m.message(Confirm, x.From.Birth)
	c.Echo = x.Nonce
	m.fill(c, x.From.Birth)
	*o = append(*o, Send{x.From.Info.Addr, via, c})
}

// onAsk pings one member for another.
func (m *Machine) onAsk(now time.Duration, x *Message, o *out) {
	n := m.message(Nack, x.From.Birth)
	n.Echo, n.About = x.Nonce, x.About
	*o = append(*o, Send{x.From.Info.Addr, Datagram, n}) // I am here, whatever comes of it
	e := m.entry(x.About.Birth)
	if e == nil || e.status > Suspect {
		return
	}
	p := m.message(Ping, e.birth)
	p.Nonce, p.For, p.About = m.nonce(), x.Nonce, x.From
	p.You = &Word{e.inc, e.status}
	m.expect(p.Nonce, asked{birth: e.birth, kind: Ask, at: now, asker: x.From, echo: x.Nonce})
	*o = append(*o, Send{e.info.Addr, Datagram, p})
}

// onTold hears of a helper.
func (m *Machine) onTold(now time.Duration, x *Message) {
	p := m.probe
	if p == nil || p.nonce != x.Echo || !slices.Contains(p.asked, x.From.Birth) || x.About.Birth != p.birth {
		m.Counts.Stale++
		return
	}
	m.heardFrom(now, x)
	if x.Kind == Nack {
		p.nacks++
		return
	}
	p.told, p.seen = x.From.Birth, p.seen || x.Seen
	r := x.About
	m.merge(now, &r)
	if e := m.entry(r.Birth); e != nil && e.status == Suspect && r.Inc >= e.inc {
		m.change(now, e, Alive, e.inc, "heard by another")
	}
}

// compare asks somebody which parts of its view are not as ours (5).
func (m *Machine) compare(now time.Duration, o *out) {
	m.nextCompare = now + m.set.Compare
	for range 8 {
		if len(m.order) == 0 {
			return
		}
		if e := m.entry(m.order[m.rng.IntN(len(m.order))]); e != nil && e.status <= Suspect {
			m.sendCompare(now, e.info.Addr, e.birth, Datagram, o)
			return
		}
	}
}

func (m *Machine) sendCompare(now time.Duration, addr string, birth uint64, via Via, o *out) {
	x := m.message(Compare, birth)
	x.Nonce, x.Digests = m.nonce(), slices.Clone(m.digest[:])
	m.expect(x.Nonce, asked{birth: birth, kind: Compare, at: now})
	*o = append(*o, Send{addr, via, x})
}

// knock asks a seed that is nobody's whom we know, by datagram and by stream: at once while nobody is known, and now and then later,
// since those who joined by one seed each would never meet (5).
func (m *Machine) knock(now time.Duration, o *out) {
	known := map[string]bool{m.self.Info.Addr: true}
	if !m.alone {
		for i := range m.table {
			if e := &m.table[i]; e.status <= Suspect {
				known[e.info.Addr] = true
			}
		}
	}
	strange := slices.DeleteFunc(slices.Clone(m.seeds), func(s string) bool { return known[s] })
	if m.nextSeed = now + m.stretch(m.set.Period); m.live > 0 && !m.alone {
		m.nextSeed = now + m.set.Compare/2
	}
	if len(strange) > 0 {
		seed := strange[m.rng.IntN(len(strange))]
		m.sendCompare(now, seed, 0, Datagram, o)
		m.sendCompare(now, seed, 0, Stream, o)
	}
}

// onCompare answers with records of what differs, so many in a period.
func (m *Machine) onCompare(now time.Duration, x *Message, via Via, o *out) {
	if m.answered >= answers || len(x.Digests) != Buckets {
		m.Counts.Limited++
		return
	}
	m.answered++
	m.pages(now, x, via, x.Nonce, o)
}

// pages sends records of the parts that differ from the sender's. The first page has our own digests and a question, so that the other
// side can answer in kind.
func (m *Machine) pages(now time.Duration, x *Message, via Via, echo uint64, o *out) {
	from := m.rng.IntN(Buckets)
	differ := make([]bool, Buckets)
	for b := range Buckets {
		differ[b] = x.Digests[b] != m.digest[b]
	}
	page := func() *Message {
		p := m.message(Page, x.From.Birth)
		p.Echo = echo
		return p
	}
	first := page()
	first.Nonce, first.Digests = m.nonce(), slices.Clone(m.digest[:])
	m.expect(first.Nonce, asked{birth: x.From.Birth, kind: Page, at: now})
	all := []*Message{first}
	room := MostBytes - 200 - 9*Buckets - m.self.size()
	add := func(r *Record) bool {
		p := all[len(all)-1]
		if r.size() > room || len(p.Records) >= MostRecords {
			if len(all) == mostPages {
				return false
			}
			p = page()
			all = append(all, p)
			room = MostBytes - 200 - m.self.size()
		}
		room -= r.size()
		p.Records = append(p.Records, *r)
		return true
	}
	by := make([][]int32, Buckets)
	for i := range m.table {
		if b := m.table[i].birth % Buckets; differ[b] && !m.table[i].silent {
			by[b] = append(by[b], int32(i))
		}
	}
	for i := range Buckets {
		for _, at := range by[(from+i)%Buckets] {
			r := m.record(&m.table[at])
			if r.Status == Suspect { // whose word it is comes by itself
				r.Status, r.By = Alive, 0
			}
			if !add(&r) {
				i = Buckets
				break
			}
		}
		if i == Buckets {
			break
		}
	}
	for _, p := range all {
		*o = append(*o, Send{x.From.Info.Addr, via, p})
	}
}

// onPage takes records in, and answers the first page with ours.
func (m *Machine) onPage(now time.Duration, x *Message, a asked, via Via, o *out) {
	m.heardFrom(now, x)
	m.take(now, x)
	if len(x.Digests) != Buckets {
		return
	}
	level := slices.Equal(x.Digests, m.digest[:])
	if !level && a.kind == Compare {
		m.nextCompare = min(m.nextCompare, now+m.set.Period/2) // there may be more than so many pages
	}
	if a.kind == Compare && !level {
		m.pages(now, x, via, x.Nonce, o)
	} else if a.kind == Compare {
		c := m.message(Page, x.From.Birth) // so that it knows that we have heard it
		c.Echo = x.Nonce
		*o = append(*o, Send{x.From.Info.Addr, via, c})
	}
}

// Leave ends the life in order: it is told to some that were heard lately, and they pass it on.
func (m *Machine) Leave(now time.Duration) []Send {
	if m.self.Status == Left {
		return nil
	}
	m.toll(&m.self)
	m.self.Inc++
	m.self.Status = Left
	m.toll(&m.self)
	m.pass(m.self)
	var o out
	m.poke(now, 2*m.set.Helpers, &o)
	m.due = m.Next()
	return o
}

// poke opens an exchange with those heard last, so that what is urgent is passed on.
func (m *Machine) poke(now time.Duration, n int, o *out) {
	var best []*entry
	for i := range m.table {
		if e := &m.table[i]; e.status == Alive {
			best = append(best, e)
		}
	}
	slices.SortStableFunc(best, func(a, b *entry) int { return cmp.Compare(b.heard, a.heard) })
	for _, e := range best[:min(n, len(best))] {
		nonce := m.nonce()
		m.expect(nonce, asked{birth: e.birth, kind: Ping, at: now})
		m.ping(now, e, nonce, Datagram, o)
	}
}

// sweep forgets what ended long ago, questions that nobody answers, and findings that were not told again; it tells ours again.
func (m *Machine) sweep(now time.Duration) {
	var ended []*entry
	var gone []uint64
	for i := range m.table {
		if e := &m.table[i]; e.status > Suspect {
			if now-e.since > m.set.Forget {
				gone = append(gone, e.birth)
			} else {
				if now-e.since > m.set.Forget/2 && !e.silent { // nobody who has forgotten it must hear of it again
					r := m.record(e)
					m.toll(&r)
					e.silent = true
				}
				ended = append(ended, e)
			}
		}
	}
	if over := len(ended) - mostEnded; over > 0 {
		slices.SortStableFunc(ended, func(a, b *entry) int { return cmp.Compare(a.since, b.since) })
		for _, e := range ended[:over] {
			gone = append(gone, e.birth)
		}
	}
	for _, b := range gone {
		m.drop(b)
	}
	for n, a := range m.asked {
		if now-a.at > 10*m.set.Period*time.Duration(1+m.score) {
			delete(m.asked, n)
		}
	}
	for _, k := range m.linkKeys() {
		l := m.links[k]
		switch {
		case k.by == m.self.Birth && l.Kind != Open && now-l.at > m.linkFor()/3 && m.doubted(k.from+k.to-k.by) != nil:
			m.tellLink(now, l.Link)
		case now-l.at > m.linkFor():
			delete(m.links, k)
		}
	}
}

// Move has others reach the member at another address.
func (m *Machine) Move(addr string) {
	m.self.Info.Addr = addr
	m.self.Paused = 0
	m.raise()
}

// LeaveHeard tells whether somebody has surely heard that the member leaves.
func (m *Machine) LeaveHeard() bool {
	own := func(u update) bool { return u.Birth == m.self.Birth && u.sent < 2 }
	return m.self.Status == Left && !slices.ContainsFunc(m.queue, own)
}
