package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
			faults = append(faults, model.Fault{AtS: e.At.Seconds(), ForS: e.For.Seconds(), What: e.What, On: []int{e.On}})
		}
	}
	return json.MarshalIndent(faults, "", " ")
}

// Play carries a schedule out and returns once everything in it has ended. It tells how often what happened.
func (r *Rig) Play(all []Event, instances []*Instance, agents *Agents) map[string]int { //nolint:gocognit // to be split with its package, see docs/left.md
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	counts := map[string]int{}
	busy := map[int]time.Duration{} // until when an instance is under a fault
	for _, e := range all {
		var begin, end func()
		if strings.HasPrefix(e.What, "agent") {
			p, i := agents.Procs[e.On], e.On
			switch e.What {
			case "agent-kill":
				begin, end = p.Kill, p.Restart
			case "agent-pause":
				begin, end = p.Pause, p.Resume
			case "agent-alone":
				begin, end = func() { agents.Isolate(i) }, func() { agents.Join(i) }
			}
		} else {
			if e.At < busy[e.On] {
				continue
			}
			busy[e.On] = e.At + e.For + time.Second
			n := instances[e.On]
			links := func(there, back Way) func() {
				return func() {
					for _, k := range n.Links {
						k.Set(there, back)
					}
				}
			}
			end = n.Heal
			switch e.What {
			case "kill":
				begin, end = n.Kill, n.Restart
			case "pause":
				begin, end = n.Pause, n.Resume
			case "cut":
				begin = func() {
					for _, k := range n.Links {
						k.Cut()
					}
				}
			case "deaf":
				begin = links(Way{}, Way{Hold: true})
			case "mute":
				begin = links(Way{Hold: true}, Way{})
			case "slow":
				begin = links(Way{Delay: e.For / 20}, Way{Delay: e.For / 8})
			case "reset":
				begin = func() {
					for _, k := range n.Links {
						k.Reset()
					}
				}
			}
		}
		counts[e.What]++
		steps = append(steps, step{e.At, begin}, step{e.At + e.For, end})
	}
	began := time.Now()
	for len(steps) > 0 {
		next := 0
		for i := range steps {
			if steps[i].at < steps[next].at {
				next = i
			}
		}
		time.Sleep(time.Until(began.Add(steps[next].at)))
		steps[next].do()
		steps = append(steps[:next], steps[next+1:]...)
	}
	return counts
}
