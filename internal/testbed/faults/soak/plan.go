// Package soak runs one process of the built program for some seconds under traffic, faults and signals that are drawn from a seed, stops it with
// SIGTERM and kills it at the earliest time that the protocol page allows, and judges each request by its own timeline. It starts stand-ins
// for discovery, targets and clients on the loopback.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// trafficTime is how long clients send before SIGTERM.
	trafficTime = 4 * time.Second
	// longestDeadline is that of the classes.
	longestDeadline = 2500 * time.Millisecond
	// killAfter is how long after SIGTERM SIGKILL comes, which is the earliest.
	killAfter = longestDeadline + 700*time.Millisecond
	// processPause is how long a pause of the process lasts, 0.15 s with what comes before and after it.
	processPause = 120 * time.Millisecond
	// settleTime is how long before SIGKILL the last pause has to be over: issue 50.
	settleTime = 700 * time.Millisecond
)

// TargetFault is what a target does with the requests of a span of time.
type TargetFault string

// Faults of targets. All but refusedConn take the request whole.
const (
	noFault     TargetFault = ""
	hang        TargetFault = "hang"         // no answer until the span is over, and then the connection ends
	resetBefore TargetFault = "reset before" // the connection is reset in place of an answer
	resetWithin TargetFault = "reset within" // the connection is reset within the answer
	failing     TargetFault = "failing"      // status 500
	turnsAway   TargetFault = "turns away"   // status 503 with Not-Started
	slowAnswer  TargetFault = "slow answer"  // the head at once, the body in pieces with pauses
	slowRead    TargetFault = "slow read"    // bodies are read slowly
	refusedConn TargetFault = "refused conn" // connections are reset as soon as they are accepted
)

var targetFaults = []TargetFault{hang, resetBefore, resetWithin, failing, turnsAway, slowAnswer, slowRead, refusedConn}

// ProcessFault is what happens to the process or to discovery.
type ProcessFault string

// Faults of the process and of discovery.
const (
	pause           ProcessFault = "pause"     // SIGSTOP for processPause
	reload          ProcessFault = "reload"    // SIGHUP
	moveDiscovery   ProcessFault = "move"      // SIGHUP with the other address of discovery in the configuration
	discoveryDown   ProcessFault = "down"      // discovery refuses connections for a second
	drainTarget     ProcessFault = "drain"     // a target is listed as draining
	discoveryRepeat ProcessFault = "republish" // the list is published again
)

var processFaults = []ProcessFault{pause, reload, moveDiscovery, discoveryDown, drainTarget, discoveryRepeat}

// Crowd is what additional clients do.
type Crowd string

// Crowds. A client of a crowd begins anew when its connection ends.
const (
	noCrowd      Crowd = ""
	idleConns    Crowd = "idle"         // send nothing
	stoppedBody  Crowd = "stopped body" // stop in the middle of a body
	shortFields  Crowd = "short fields" // send heads of many short fields
	slowReaders  Crowd = "slow readers" // read long answers slowly
	flooding     Crowd = "flood"        // send readiness checks and unsound requests at full speed
	leavingEarly Crowd = "leaving"      // close with requests open and unread
)

var crowds = []Crowd{idleConns, stoppedBody, shortFields, slowReaders, flooding, leavingEarly}

// TargetSpan is a span in which a target has a fault.
type TargetSpan struct {
	From, To time.Duration // since traffic began
	Target   int
	Fault    TargetFault
}

// ProcessEvent is one fault of the process or of discovery.
type ProcessEvent struct {
	At    time.Duration // since traffic began
	Fault ProcessFault
}

// Plan is what happens in a run. It is the same for the same seed on each machine.
type Plan struct {
	Seed          uint64
	MemoryMB      int
	Targets       int
	Clients       int
	Crowd         Crowd
	CrowdSize     int
	CrowdFrom     time.Duration
	TargetSpans   []TargetSpan
	ProcessEvents []ProcessEvent
	SecondTerm    time.Duration // after the first; 0: there is none
}

func (p Plan) String() string {
	return fmt.Sprintf("seed %d: %d MB, %d targets, %d clients, crowd %q of %d from %v, targets %v, process %v, second SIGTERM after %v",
		p.Seed, p.MemoryMB, p.Targets, p.Clients, p.Crowd, p.CrowdSize, p.CrowdFrom, p.TargetSpans, p.ProcessEvents, p.SecondTerm)
}

// Draw returns the plan of a seed.
func Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 68))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	p := Plan{Seed: seed, MemoryMB: []int{32, 64, 192}[rng.IntN(3)], Targets: 3 + rng.IntN(4), Clients: 8 + rng.IntN(17)}
	if rng.IntN(2) == 0 {
		p.Crowd, p.CrowdSize, p.CrowdFrom = crowds[rng.IntN(len(crowds))], 20+rng.IntN(280), between(0, trafficTime)
	}
	end := trafficTime + killAfter
	for range rng.IntN(7) {
		from := between(0, end)
		p.TargetSpans = append(p.TargetSpans, TargetSpan{from, from + between(100*time.Millisecond, 3*time.Second), rng.IntN(p.Targets), targetFaults[rng.IntN(len(targetFaults))]})
	}
	for range rng.IntN(8) {
		p.ProcessEvents = append(p.ProcessEvents, ProcessEvent{between(0, end-settleTime-processPause), processFaults[rng.IntN(len(processFaults))]})
	}
	if rng.IntN(3) == 0 { // signals in series, around SIGTERM
		for range 1 + rng.IntN(4) {
			p.ProcessEvents = append(p.ProcessEvents, ProcessEvent{trafficTime + between(-50*time.Millisecond, 50*time.Millisecond), reload})
		}
	}
	if rng.IntN(3) == 0 {
		p.SecondTerm = between(time.Millisecond, time.Second)
	}
	return p
}
