package accounts

import (
	"slices"
	"time"
)

const (
	// stallFactor is how many usual latencies without any answer make a gap. Half takes a busy node for a still one.
	stallFactor = 3
	// stallLeast is the shortest gap that counts: far above what a busy process is late by.
	stallLeast = 40 * time.Millisecond
	// usualGain is the part by which an answer moves the usual latency.
	usualGain = 0.1
	keepPast  = 64 // ended attempts that a wait may still be shared out among
	keepGaps  = 16 // stalls that an open request may still have met
)

// span is a stretch of time.
type span struct{ from, to time.Duration }

func (s span) length() time.Duration { return max(0, s.to-s.from) }

func (s span) overlap(o span) time.Duration {
	return span{max(s.from, o.from), min(s.to, o.to)}.length()
}

// stay is an attempt at a node.
type stay struct {
	volume string
	span
}

// node is what is known of a node's doings, from the attempts of this initiator alone.
type node struct {
	out      map[string]*stay // by request
	past     []stay
	several  time.Duration // since when two or more are out; -1: they are not
	answered time.Duration // last
	usual    time.Duration
	stalls   []span
	gap      *span    // that may have been a stall: open until the next answer tells
	waits    []func() // what hangs on that

	Answers  uint64
	Stalls   uint64
	StoodFor time.Duration
}

func newNode() *node { return &node{out: map[string]*stay{}, several: -1, answered: -1} }

func (n *node) enter(at time.Duration, id, volume string) {
	n.settle(at)
	n.out[id] = &stay{volume, span{at, -1}}
	if len(n.out) == 2 {
		n.several = at
	}
}

// leave takes an attempt out. Alive says that its end was an answer of the node's.
func (n *node) leave(at time.Duration, id string, alive bool) {
	s := n.out[id]
	if s == nil {
		return
	}
	n.settle(at)
	if alive {
		n.answer(at, at-s.from)
	}
	s.to = at
	n.past = append(n.past, *s)
	if len(n.past) > keepPast {
		n.past = slices.Delete(n.past, 0, len(n.past)-keepPast)
	}
	delete(n.out, id)
	if len(n.out) < 2 {
		n.several = -1
	}
}

// answer looks at the time since the one before it.
func (n *node) answer(at, took time.Duration) {
	n.Answers++
	if n.gap != nil { // settle has left it open: this answer follows soon enough
		n.stalls = append(n.stalls, *n.gap)
		if len(n.stalls) > keepGaps {
			n.stalls = slices.Delete(n.stalls, 0, len(n.stalls)-keepGaps)
		}
		n.Stalls++
		n.StoodFor += n.gap.length()
		n.decide()
	}
	from := max(n.answered, n.several)
	quiet := at - from
	if n.several >= 0 && n.usual > 0 && quiet > stallLeast && quiet > stallFactor*n.usual {
		n.gap = &span{from + n.usual, at}
	} else if n.usual == 0 {
		n.usual = took
	} else {
		n.usual += time.Duration(float64(took-n.usual) * usualGain)
	}
	n.answered = at
}

// settle closes the question of a gap that no answer followed in time.
func (n *node) settle(at time.Duration) {
	if n.gap != nil && at-n.gap.to > max(n.usual, n.gap.length()/4) {
		n.decide()
	}
}

func (n *node) decide() {
	n.gap = nil
	waits := n.waits
	n.waits = nil
	for _, f := range waits {
		f()
	}
}

// known calls f once it is known whether the node stood still until now.
func (n *node) known(f func()) {
	if n.gap != nil {
		n.waits = append(n.waits, f)
		return
	}
	f()
}

// still is how much of a stretch the node stood still.
func (n *node) still(s span) (d time.Duration) {
	for _, g := range n.stalls {
		d += s.overlap(g)
	}
	return d
}

// share deals a stretch of waiting out: to the node's stalls first, the rest to those who were out meanwhile.
func (n *node) share(name string, w stay, to func(WaitPair, time.Duration)) {
	still := n.still(w.span)
	to(WaitPair{w.volume, name, true}, still)
	left := w.length() - still
	if left <= 0 {
		return
	}
	var sum time.Duration
	each := map[string]time.Duration{}
	add := func(s stay) {
		if s.to < 0 {
			s.to = w.to
		}
		d := s.overlap(w.span)
		for _, g := range n.stalls { // it is nobody's fault what it was out then
			d -= span{max(s.from, w.from), min(s.to, w.to)}.overlap(g)
		}
		if d > 0 {
			each[s.volume] += d
			sum += d
		}
	}
	for _, s := range n.past {
		add(s)
	}
	for _, s := range n.out {
		add(*s)
	}
	for volume, d := range each {
		to(WaitPair{w.volume, volume, false}, time.Duration(float64(left)*float64(d)/float64(sum)))
	}
}
