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

// Fault is one fault of a schedule. It ends by itself after Duration.
type Fault struct {
	At       time.Duration
	Kind     string // kill, pause, cut, deaf (receives nothing), mute (sends nothing), slow, reset, agent-kill, agent-pause, agent-alone
	Index    int    // index of the instance or agent
	Duration time.Duration
}

func (e Fault) String() string {
	return fmt.Sprintf("%.1fs %s %d for %.1fs", e.At.Seconds(), e.Kind, e.Index, e.Duration.Seconds())
}

// Schedule returns random faults over a length of time, the same for the same seed and sizes. At most one agent is
// faulty at a time, so that there is always a majority; any number of instances is. The mean interval between faults is
// every.
func Schedule(seed uint64, instances, agents int, length, every time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 20))
	kinds := []string{"kill", "pause", "cut", "deaf", "mute", "slow", "reset", "agent-kill", "agent-pause", "agent-alone"}
	var all []Fault
	var agentFree time.Duration
	for at := every; at < length; at += time.Duration((0.5 + rng.Float64()) * float64(every)) {
		e := Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], Duration: time.Duration((0.2 + 3.3*rng.Float64()) * float64(time.Second))}
		if e.Index = rng.IntN(instances); strings.HasPrefix(e.Kind, "agent") {
			e.Index = rng.IntN(agents)
			if at < agentFree {
				continue
			}
			agentFree = at + e.Duration + 3*time.Second
		}
		all = append(all, e)
	}
	return all
}

// EncodeSchedule encodes a schedule as the schedule file of an experiment on the modeled fleet. Resets of connections
// are left out, since the model has none.
func EncodeSchedule(all []Fault) ([]byte, error) {
	var faults []model.Fault
	for _, e := range all {
		if e.Kind != "reset" {
			faults = append(faults, model.Fault{AtS: e.At.Seconds(), ForS: e.Duration.Seconds(), Kind: e.Kind, On: []int{e.Index}})
		}
	}
	return json.MarshalIndent(faults, "", " ")
}

// RunSchedule runs a schedule, returns once every fault in it has ended, and counts the faults by kind. A fault is
// skipped if its instance is still under another one, or was until a second ago.
func (r *Rig) RunSchedule(all []Fault, instances []*Instance, agents *AgentGroup) map[string]int {
	var steps []scheduleStep
	counts := map[string]int{}
	busy := map[int]time.Duration{} // by instance: the end of its last fault
	for _, e := range all {
		var begin, end func()
		if strings.HasPrefix(e.Kind, "agent") {
			begin, end = agents.faultActions(e)
		} else {
			if e.At < busy[e.Index] {
				continue
			}
			busy[e.Index] = e.At + e.Duration + time.Second
			begin, end = instances[e.Index].faultActions(e)
		}
		counts[e.Kind]++
		steps = append(steps, scheduleStep{e.At, begin}, scheduleStep{e.At + e.Duration, end})
	}
	slices.SortStableFunc(steps, func(a, b scheduleStep) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		s.do()
	}
	return counts
}

// scheduleStep is the begin or end of a fault.
type scheduleStep struct {
	at time.Duration
	do func()
}

// faultActions returns the functions that begin and end a fault of an agent.
func (g *AgentGroup) faultActions(e Fault) (begin, end func()) {
	p := g.Procs[e.Index]
	switch e.Kind {
	case "agent-kill":
		return p.Kill, p.Restart
	case "agent-pause":
		return p.Pause, p.Resume
	}
	return func() { g.Isolate(e.Index) }, func() { g.Reconnect(e.Index) }
}

// faultActions returns the functions that begin and end a fault of an instance or of its links.
func (n *Instance) faultActions(e Fault) (begin, end func()) {
	switch e.Kind {
	case "kill":
		return n.Kill, n.Restart
	case "pause":
		return n.Pause, n.Resume
	case "cut":
		return n.eachLink((*Link).Cut), n.Heal
	case "reset":
		return n.eachLink((*Link).Reset), n.Heal
	case "deaf":
		return n.setLinks(Impairment{}, Impairment{Hold: true}), n.Heal
	case "mute":
		return n.setLinks(Impairment{Hold: true}, Impairment{}), n.Heal
	}
	return n.setLinks(Impairment{Delay: e.Duration / 20}, Impairment{Delay: e.Duration / 8}), n.Heal // slow
}

// eachLink returns a function that calls do for each link of the instance.
func (n *Instance) eachLink(do func(*Link)) func() {
	return func() {
		for _, k := range n.Links {
			do(k)
		}
	}
}

// setLinks returns a function that sets both impairments of each link of the instance.
func (n *Instance) setLinks(there, back Impairment) func() {
	return n.eachLink(func(k *Link) { k.Set(there, back) })
}
