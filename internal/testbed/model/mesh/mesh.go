// Package mesh simulates a membership group in virtual time: the real membership nodes, with a network that loses and delays
// messages and whose paths can be cut in one direction, and processes that pause and die. A run is determined by its seed.
// It measures the figures of docs/members.md.
package mesh

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// Spec describes a run.
type Spec struct {
	Size     int
	Zones    int // default 1
	Seed     uint64
	Settings membership.Config
	Loss     float64       // share of the datagrams
	Delay    time.Duration // mean delay of a message: half of it fixed, half exponentially distributed
	Joined   bool          // all members know all others at the beginning; otherwise they join by the first three as seeds
	NoSeeds  bool          // members have no seeds
}

// Mesh is a simulated group. It is not safe for concurrent use.
type Mesh struct {
	spec   Spec
	now    time.Duration
	rng    *rand.Rand
	queue  events
	seq    uint64
	Nodes  []*Node
	byAddr map[string]*Node
	// Cut reports whether messages from one node to another are lost; nil: none are.
	Cut         func(from, to *Node, via membership.Channel) bool
	MessageSize func(*membership.Message) int // returns the encoded size of a message; nil: bytes are not counted
}

// Node is one process.
type Node struct {
	Number      int
	Zone        int
	Member      *membership.Node
	starts      int
	Alive       bool
	pausedUntil time.Duration // paused until then
	waiting     []event       // messages that arrived during a pause
	tickAt      time.Duration // when its next tick is scheduled; tick events of other times are stale and ignored
	Sent        int
	SentBytes   int64
	// OnEvent, if not nil, is called with each change in this node's view of the group.
	OnEvent    func(now time.Duration, of membership.Event)
	eventsSeen int
}

// event is the delivery of msg to a node or, if do is not nil, a scheduled call.
type event struct {
	at  time.Duration
	seq uint64
	to  *Node
	msg *membership.Message
	via membership.Channel
	do  func()
}

// events is a heap of events by time, and by sequence number where times are equal.
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

// New returns a group in its initial state.
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

// Start starts an incarnation of a node, with a random stream of its own.
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

// Kill ends a node's process without notice.
func (m *Mesh) Kill(n *Node) { n.Alive = false }

// Leave has a node leave in order. It runs for another probe interval, so that its message spreads.
func (m *Mesh) Leave(n *Node) {
	m.send(n, n.Member.Leave(m.now))
	m.After(m.spec.Settings.ProbeInterval, func() { n.Alive = false })
}

// Pause pauses a node. The last 256 messages that arrive meanwhile wait for it.
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
		m.tick(n) // before the messages, as an instance does
		for _, e := range waiting {
			m.deliver(e)
		}
	})
}

// After schedules a call.
func (m *Mesh) After(d time.Duration, do func()) { m.push(event{at: m.now + d, do: do}) }

// Now returns the virtual time.
func (m *Mesh) Now() time.Duration { return m.now }

func (m *Mesh) push(e event) {
	m.seq++
	e.seq = m.seq
	heap.Push(&m.queue, e)
}

// schedule schedules the node's next tick, unless it is scheduled already.
func (m *Mesh) schedule(n *Node) {
	if at := max(n.Member.NextTick(), m.now); n.tickAt != at {
		n.tickAt = at
		incarnation := n.starts
		m.push(event{at: at, do: func() {
			if n.Alive && n.starts == incarnation && n.tickAt == at && m.now >= n.pausedUntil {
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

// deliver delivers a message, or queues it at a paused node.
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

// reportEvents passes events that the node recorded since the last call to OnEvent.
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

// send schedules the delivery of messages, except those that are lost.
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
		delay := time.Duration(float64(m.spec.Delay) * (0.5 - 0.5*math.Log(1-m.rng.Float64())))
		m.push(event{at: m.now + delay, to: to, msg: s.Message, via: s.Channel})
	}
}

// Run runs the simulation for that long.
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

// Converged reports whether all living nodes have the same view, and it consists of all living nodes.
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

// Until runs the simulation until done returns true, which it checks every step, and returns how long that took; ok is
// false if it took longer than timeout.
func (m *Mesh) Until(step, timeout time.Duration, done func() bool) (took time.Duration, ok bool) {
	began := m.now
	for m.now-began < timeout {
		if done() {
			return m.now - began, true
		}
		m.Run(step)
	}
	return m.now - began, done()
}
