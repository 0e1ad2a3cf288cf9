package faults

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/testbed/model"
)

// Event is one fault of a schedule. What lasts ends by itself.
type Event struct {
	At   time.Duration
	What string // kill, pause, cut, deaf, mute, slow, reset, agent-kill, agent-pause, agent-alone
	On   int    // which instance, or agent
	For  time.Duration
}

func (e Event) String() string {
	return fmt.Sprintf("%.1fs %s %d for %.1fs", e.At.Seconds(), e.What, e.On, e.For.Seconds())
}

// Schedule is faults at random over a length of time: the same for the same seed and sizes. One agent is hurt at a time, at most, so
// that a majority is always there; any number of instances is. About one fault comes every so often.
func Schedule(seed uint64, instances, agents int, length, every time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 20))
	kinds := []string{"kill", "pause", "cut", "deaf", "mute", "slow", "reset", "agent-kill", "agent-pause", "agent-alone"}
	var all []Event
	var agentFree time.Duration
	for at := every; at < length; at += time.Duration((0.5 + rng.Float64()) * float64(every)) {
		e := Event{At: at, What: kinds[rng.IntN(len(kinds))], For: time.Duration((0.2 + 3.3*rng.Float64()) * float64(time.Second))}
		if e.On = rng.IntN(instances); strings.HasPrefix(e.What, "agent") {
			e.On = rng.IntN(agents)
			if at < agentFree {
				continue
			}
			agentFree = at + e.For + 3*time.Second
		}
		all = append(all, e)
	}
	return all
}

// Record is a schedule as an experiment on the modelled fleet reads it (its schedule file). Resets of connections alone are left out: the
// model has none.
func Record(all []Event) ([]byte, error) {
	var faults []model.Fault
	for _, e := range all {
		if e.What != "reset" {
			faults = append(faults, model.Fault{AtS: e.At.Seconds(), ForS: e.For.Seconds(), Kind: e.What, On: []int{e.On}})
		}
	}
	return json.MarshalIndent(faults, "", " ")
}

// Play carries a schedule out and returns once everything in it has ended. It tells how often what happened. An instance that is still
// under a fault, or was until a second ago, is spared.
func (r *Rig) Play(all []Event, instances []*Instance, agents *Agents) map[string]int {
	var steps []step
	counts := map[string]int{}
	busy := map[int]time.Duration{} // until when an instance is under a fault
	for _, e := range all {
		var begin, end func()
		if strings.HasPrefix(e.What, "agent") {
			begin, end = agents.fault(e)
		} else {
			if e.At < busy[e.On] {
				continue
			}
			busy[e.On] = e.At + e.For + time.Second
			begin, end = instances[e.On].fault(e)
		}
		counts[e.What]++
		steps = append(steps, step{e.At, begin}, step{e.At + e.For, end})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		s.do()
	}
	return counts
}

// step is one begin or end of a fault.
type step struct {
	at time.Duration
	do func()
}

// fault returns what begins and what ends a fault of an agent.
func (g *Agents) fault(e Event) (begin, end func()) {
	p := g.Procs[e.On]
	switch e.What {
	case "agent-kill":
		return p.Kill, p.Restart
	case "agent-pause":
		return p.Pause, p.Resume
	}
	return func() { g.Isolate(e.On) }, func() { g.Join(e.On) }
}

// fault returns what begins and what ends a fault of an instance or of its links.
func (n *Instance) fault(e Event) (begin, end func()) {
	switch e.What {
	case "kill":
		return n.Kill, n.Restart
	case "pause":
		return n.Pause, n.Resume
	case "cut":
		return n.eachLink((*Link).Cut), n.Heal
	case "reset":
		return n.eachLink((*Link).Reset), n.Heal
	case "deaf":
		return n.setLinks(Way{}, Way{Hold: true}), n.Heal
	case "mute":
		return n.setLinks(Way{Hold: true}, Way{}), n.Heal
	}
	return n.setLinks(Way{Delay: e.For / 20}, Way{Delay: e.For / 8}), n.Heal // slow
}

// eachLink returns a function that does something to each link of the instance.
func (n *Instance) eachLink(do func(*Link)) func() {
	return func() {
		for _, k := range n.Links {
			do(k)
		}
	}
}

// setLinks returns a function that has each link of the instance treat its two ways so.
func (n *Instance) setLinks(there, back Way) func() {
	return n.eachLink(func(k *Link) { k.Set(there, back) })
}
