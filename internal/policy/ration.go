package policy

import "time"

// Use is what a part of a fleet-wide whole is for.
type Use int

const (
	// ColdWork is units sent to a node that has just started.
	ColdWork Use = iota
	// Repeats is attempts after the first.
	Repeats
	// Connections is connections held at a node.
	Connections
	// AllWork is units sent.
	AllWork
)

// Draw is one use of what may be rationed. Of connections, Units is how many would be in use.
type Draw struct {
	Use               Use
	Node, Plan, Class string
	Units             float64
}

// Permit goes with a Send, and has to be good just before its first byte; else nothing is sent.
type Permit interface{ Good() bool }

// Ration is this initiator's part of fleet-wide wholes, which others may change between any two calls. The module decides; a
// ration only bounds it.
type Ration interface {
	// Wait tells how long it is at least until the draw may be made; 0: now. governed is false where there is no such whole:
	// then the settings' figures hold.
	Wait(d Draw) (wait time.Duration, governed bool)
	// Take makes draws, all for one Send.
	Take(draws []Draw) Permit
}

// Rationed tells that the ration has changed.
type Rationed struct{}

func (Rationed) event() {}

// rationed asks the ration from when a draw for the request may be made; governed is false where the settings' figures hold.
func (s *Scheduler) rationed(use Use, n *node, r *request, units float64) (at time.Duration, governed bool) {
	if s.set.Ration == nil {
		return 0, false
	}
	if use == ColdWork {
		units /= s.grown(n)
	}
	wait, governed := s.set.Ration.Wait(Draw{use, n.ID, r.Plan, r.Class, units})
	if wait > 0 {
		return s.now + max(wait, s.set.Tick), governed
	}
	return 0, governed
}

// rationGate keeps what no rule of the settings bounds within the part: the connections that a node's requests are out on, and
// all work.
func (s *Scheduler) rationGate(n *node, r *request) time.Duration {
	conns, _ := s.rationed(Connections, n, r, float64(len(n.out)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.rationed(AllWork, n, r, r.Units)
	return work
}

// permit draws all that a send of the request takes from the ration. It is called before the send is noted.
func (s *Scheduler) permit(n *node, r *request) Permit {
	if s.set.Ration == nil {
		return nil
	}
	draws := []Draw{{AllWork, n.ID, r.Plan, r.Class, r.Units}}
	if s.cold(n) {
		draws = append(draws, Draw{ColdWork, n.ID, r.Plan, r.Class, r.Units / s.grown(n)})
	}
	if r.sent > 0 {
		draws = append(draws, Draw{Repeats, n.ID, r.Plan, r.Class, 1})
	}
	return s.set.Ration.Take(draws)
}

// grown is how much more the node bears than one that has just started: work at cold nodes is counted in what such a one bears.
func (s *Scheduler) grown(n *node) float64 {
	age := max(0, s.now-n.Started)
	return 1 + (1/max(s.set.Rules.ColdShare, 0.01)-1)*age.Seconds()/s.set.Rules.WarmWithin.Seconds()
}

// cold tells whether the rule on cold nodes holds for the node now.
func (s *Scheduler) cold(n *node) bool {
	ru := s.set.Rules
	return n.Started > 0 && s.now-n.Started < ru.WarmWithin && ru.FallWithin > 0
}
