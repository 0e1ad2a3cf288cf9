// Package mesh is a fleet of members in virtual time: the real membership machines, and between them a network that loses, delays and
// cuts one way, and processes that pause and die. One seed, one outcome. It measures what docs/members.md tells.
package mesh

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// Spec is one run.
type Spec struct {
	Size     int
	Zones    int // 1 where it is not told
	Seed     uint64
	Settings membership.Config
	Loss     float64       // part of the datagrams
	Delay    time.Duration // mean way of a message; exponential besides a floor of half of it
	Joined   bool          // all know all at the beginning; else they join by the first three
	NoSeeds  bool          // nobody has a seed
}

// Mesh is a fleet at one time.
type Mesh struct {
	spec   Spec
	now    time.Duration
	rng    *rand.Rand
	queue  events
	seq    uint64
	Nodes  []*Node
	byAddr map[string]*Node
	// Cut tells whether what goes from one to another is lost; nil: nothing is.
	Cut         func(from, to *Node, via membership.Channel) bool
	MessageSize func(*membership.Message) int // the size of a message; nil: not counted
}

// Node is one process.
type Node struct {
	Number      int
	Zone        int
	Member      *membership.Node
	starts      int
	Alive       bool
	pausedUntil time.Duration // until then
	waiting     []event       // came while it was paused
	tickAt      time.Duration // for when its tick is scheduled; stale ones do nothing
	Sent        int
	SentBytes   int64
	// Changes, by this node's view, of the nodes that the run is about.
	OnEvent    func(now time.Duration, of membership.Event)
	eventsSeen int
}

type event struct {
	at  time.Duration
	seq uint64
	to  *Node
	msg *membership.Message
	via membership.Channel
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a fleet at its beginning.
func New(s Spec) *Mesh {
	s.Zones = max(s.Zones, 1)
	m := &Mesh{spec: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), byAddr: map[string]*Node{}}
	var all []membership.Record
	for i := range s.Size {
		n := &Node{Number: i, Zone: i % s.Zones}
		m.Nodes = append(m.Nodes, n)
		m.byAddr[addr(i)] = n
		m.Start(n)
		all = append(all, n.Member.Self())
	}
	if s.Joined {
		infos := membership.SharedInfos(all)
		for _, n := range m.Nodes {
			n.Member.Preload(m.now, all, infos)
		}
	}
	return m
}

func addr(i int) string { return fmt.Sprint("n", i) }

// Start begins a life of a node, on a stream of draws of its own.
func (m *Mesh) Start(n *Node) {
	n.starts++
	rng := rand.New(rand.NewPCG(m.spec.Seed, uint64(n.Number)<<20|uint64(n.starts)<<8|2))
	seeds := []string{addr(0), addr(1), addr(2)}
	if m.spec.NoSeeds {
		seeds = nil
	}
	n.Member = membership.New(m.spec.Settings, rng.Uint64()|1, membership.Info{Name: addr(n.Number), Addr: addr(n.Number), Zone: fmt.Sprint("z", n.Zone)}, seeds, m.now, rng)
	n.Alive, n.waiting, n.eventsSeen, n.pausedUntil, n.tickAt = true, nil, 0, 0, -1
	m.schedule(n)
}

// Kill ends a life without a word.
func (m *Mesh) Kill(n *Node) { n.Alive = false }

// Leave ends it in order: it lives on for a little, so that its word gets through.
func (m *Mesh) Leave(n *Node) {
	m.send(n, n.Member.Leave(m.now))
	m.After(m.spec.Settings.ProbeInterval, func() { n.Alive = false })
}

// Pause has a node stand still for a time; what comes meanwhile waits for it, the last 256 of it.
func (m *Mesh) Pause(n *Node, d time.Duration) {
	if !n.Alive {
		return
	}
	n.pausedUntil = max(n.pausedUntil, m.now+d)
	m.After(d, func() {
		if !n.Alive || m.now < n.pausedUntil {
			return
		}
		waiting := n.waiting
		n.waiting = nil
		m.tick(n) // the clock first, as an instance does it
		for _, e := range waiting {
			m.deliver(e)
		}
	})
}

// After does something later.
func (m *Mesh) After(d time.Duration, do func()) { m.push(event{at: m.now + d, do: do}) }

// Now is the time.
func (m *Mesh) Now() time.Duration { return m.now }

func (m *Mesh) push(e event) {
	m.seq++
	e.seq = m.seq
	heap.Push(&m.queue, e)
}

func (m *Mesh) schedule(n *Node) {
	if at := max(n.Member.NextTick(), m.now); n.tickAt != at {
		n.tickAt = at
		life := n.starts
		m.push(event{at: at, do: func() {
			if n.Alive && n.starts == life && n.tickAt == at && m.now >= n.pausedUntil {
				n.tickAt = -1
				m.tick(n)
			}
		}})
	}
}

func (m *Mesh) tick(n *Node) {
	m.send(n, n.Member.Tick(m.now))
	m.reportEvents(n)
	m.schedule(n)
}

func (m *Mesh) deliver(e event) {
	n := e.to
	if !n.Alive {
		return
	}
	if m.now < n.pausedUntil {
		if n.waiting = append(n.waiting, e); len(n.waiting) > 256 {
			n.waiting = n.waiting[1:]
		}
		return
	}
	m.send(n, n.Member.Receive(m.now, e.msg, e.via))
	m.reportEvents(n)
	m.schedule(n)
}

func (m *Mesh) reportEvents(n *Node) {
	if n.OnEvent == nil {
		return
	}
	all, total := n.Member.Events()
	for i := max(0, len(all)-(total-n.eventsSeen)); i < len(all); i++ {
		n.OnEvent(m.now, all[i])
	}
	n.eventsSeen = total
}

func (m *Mesh) send(from *Node, list []membership.Outgoing) {
	for _, s := range list {
		from.Sent++
		if m.MessageSize != nil {
			from.SentBytes += int64(m.MessageSize(s.Message))
		}
		to := m.byAddr[s.Addr]
		if to == nil || s.Channel == membership.Datagram && m.rng.Float64() < m.spec.Loss || m.Cut != nil && m.Cut(from, to, s.Channel) {
			continue
		}
		way := time.Duration(float64(m.spec.Delay) * (0.5 - 0.5*math.Log(1-m.rng.Float64())))
		m.push(event{at: m.now + way, to: to, msg: s.Message, via: s.Channel})
	}
}

// Run goes on for so long.
func (m *Mesh) Run(d time.Duration) {
	end := m.now + d
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if e.do != nil {
			e.do()
		} else {
			m.deliver(e)
		}
	}
	m.now = end
}

// Level tells whether all that live hold the same view, of all that live.
func (m *Mesh) Converged() bool {
	var digest uint64
	living := 0
	for _, n := range m.Nodes {
		if n.Alive {
			living++
		}
	}
	first := true
	for _, n := range m.Nodes {
		if !n.Alive {
			continue
		}
		if first {
			digest, first = n.Member.AliveDigest(), false
		}
		if n.Member.AliveDigest() != digest || n.Member.Size() != living {
			return false
		}
	}
	return true
}

// Until runs until a condition holds, looked at every step, and returns how long that took; ok is false where it did not within most.
func (m *Mesh) Until(step, most time.Duration, done func() bool) (took time.Duration, ok bool) {
	began := m.now
	for m.now-began < most {
		if done() {
			return m.now - began, true
		}
		m.Run(step)
	}
	return m.now - began, done()
}
