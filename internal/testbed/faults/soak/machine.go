package soak

import (
	"sync/atomic"
	"time"

	"spindlehitch/internal/testbed/faults"
)

const (
	lagInterval      = 2 * time.Millisecond
	runDelayInterval = 10 * time.Millisecond
)

// Machine is what the machine kept from the stand-ins and from the process, which is none of the process's faults.
type Machine struct {
	MaxLag    time.Duration // by which a timer of the stand-ins was late at most
	runDelays []runDelay    // in order of time
}

// runDelay is for how long the process had waited for a processor by a time.
type runDelay struct {
	at    time.Time
	total time.Duration
}

// allowance returns by how much the machine may have delayed something between two times.
func (m Machine) allowance(from, to time.Time) time.Duration {
	var first, last time.Duration
	for _, d := range m.runDelays {
		if !d.at.After(from) {
			first = d.total
		}
		if last = d.total; d.at.After(to) {
			break
		}
	}
	return m.MaxLag + max(last-first, 0)
}

// machineWatch measures a Machine.
type machineWatch struct {
	machine          Machine
	done             atomic.Bool
	lagEnd, delayEnd chan struct{}
}

// watchMachine measures until stop.
func watchMachine(p *faults.Proc) *machineWatch {
	w := &machineWatch{lagEnd: make(chan struct{}), delayEnd: make(chan struct{})}
	go func() {
		defer close(w.lagEnd)
		for !w.done.Load() {
			due := time.Now().Add(lagInterval)
			time.Sleep(lagInterval)
			w.machine.MaxLag = max(w.machine.MaxLag, time.Since(due))
		}
	}()
	go func() {
		defer close(w.delayEnd)
		for ; !w.done.Load() && p.Alive(); time.Sleep(runDelayInterval) {
			w.machine.runDelays = append(w.machine.runDelays, runDelay{time.Now(), p.RunDelay()})
		}
	}()
	return w
}

func (w *machineWatch) stop() Machine {
	w.done.Store(true)
	<-w.lagEnd
	<-w.delayEnd
	return w.machine
}
