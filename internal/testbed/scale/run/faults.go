package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"spindlehitch/internal/testbed/faults"
)

func (x Fault) label() string {
	name := x.Kind
	if x.Number > 0 {
		name = fmt.Sprint(x.Kind, " ", x.Number)
	}
	for _, s := range []string{x.Region, x.Zone} {
		if s != "" {
			name += " " + s
		}
	}
	if x.Changes > 0 {
		name += fmt.Sprintf(" at %g changes/s", x.Changes)
	}
	return name
}

// faultRow returns the series name of a fault's row.
func faultRow(i int, x Fault) string { return fmt.Sprint("fault ", i, " ", x.label()) }

// runFaults runs the faults one after another, while changes continue.
func (f *fleet) runFaults(r *Result) error {
	for i, x := range f.spec.Faults {
		row, err := f.runFault(i, x)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, row)
	}
	return nil
}

// afterFault is how long changes continue after a fault has ended and all initiators have caught up.
const afterFault = 2 * time.Second

func (f *fleet) runFault(i int, x Fault) (Row, error) {
	rate := x.Changes
	if rate == 0 {
		rate = f.spec.Changes[0]
	}
	r := Row{Series: faultRow(i, x), Initiators: f.hollowCount, Targets: len(f.entries), Rate: rate}
	seed := f.spec.Seed + uint64(i)
	rng := rand.New(rand.NewPCG(seed, 3))
	w := f.newChangeWriter(100 + uint64(i))
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	a, err := f.takeSnapshot()
	if err != nil {
		return r, err
	}
	var writing sync.WaitGroup
	writing.Go(func() { w.run(ctx, rate, time.Hour) })
	for w.attempts() == 0 && f.sleep(10*time.Millisecond) {
	}
	end, err := f.injectFault(x, seed, rng)
	if err != nil {
		stop()
		writing.Wait()
		return r, err
	}
	length := time.Duration(x.DurationS * float64(time.Second))
	f.sleep(length)
	if err := end(); err != nil {
		return r, err
	}
	// Changes continue until all initiators have those made before the end of the fault.
	took, up, err := f.awaitMarks(w.currentMarks(), settleTimeout)
	if err != nil {
		return r, err
	}
	r.Settled = took.Seconds()
	if up.incomplete(f.hollowCount) {
		r.Settled = -1
	}
	f.sleep(afterFault)
	stop()
	writing.Wait()
	if x.Region != "" {
		f.targets.judgeFrom(time.Now()) // a region that was cut off learns of earlier drains only now
	}
	b, err := f.takeSnapshot()
	if err != nil {
		return r, err
	}
	r.Changes, r.Failed = len(w.marks), w.failed
	f.fillUsage(a, b, &r)
	healed := r.Settled
	if err := f.awaitAndFill(&r, w.marks); err != nil {
		return r, err
	}
	if r.Settled >= 0 {
		r.Settled = healed
	}
	return r, nil
}

// currentMarks returns the marks so far.
func (w *changeWriter) currentMarks() []changeMark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.marks)
}

func (w *changeWriter) attempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.marks) + w.failed
}

// injectFault starts a fault and returns a function that ends it.
func (f *fleet) injectFault(x Fault, seed uint64, rng *rand.Rand) (end func() error, err error) {
	nothing := func() error { return nil }
	randomProcs := func(of []*proc, n int) (hit []*proc) {
		for _, i := range rng.Perm(len(of))[:n] {
			hit = append(hit, of[i])
		}
		return hit
	}
	forEach := func(hit []*proc, do func(*proc) error) func() error {
		return func() error {
			for _, p := range hit {
				if err := do(p); err != nil {
					return err
				}
			}
			return nil
		}
	}
	started := func(p *proc) error { return p.start(false) }
	resumed := func(p *proc) error { p.signal(syscall.SIGCONT); return nil }
	switch x.Kind {
	case "kill-relays", "kill-agent":
		affected, err := f.faultProcesses(x, randomProcs)
		for _, p := range affected {
			f.logf("%s is killed", p.name)
			p.kill()
		}
		return forEach(affected, started), err
	case "pause-relays", "pause-agent":
		affected, err := f.faultProcesses(x, randomProcs)
		for _, p := range affected {
			f.logf("%s is paused", p.name)
			p.signal(syscall.SIGSTOP)
		}
		return forEach(affected, resumed), err
	case "cut-region":
		f.targets.judgeFrom(time.Now().Add(time.Hour))
		return holdLinks(f.links[x.Region]), nil
	case "cut-relays": // they still answer their readers
		var of []*faults.Link
		for _, i := range rng.Perm(len(f.relays))[:x.Number] {
			f.logf("%s is cut off from the agents", f.relays[i].name)
			of = append(of, f.agentLinks[i]...)
		}
		return holdLinks(of), nil
	case "restart", "restart-all", "restart-zone":
		o := hostOrder{Action: "restart", Number: x.Number, Zone: x.Zone, Seed: seed}
		if x.Kind == "restart-all" { // spread over the duration of the fault
			o.SpreadS = x.DurationS
		}
		_, err := f.broadcast(o)
		return nothing, err
	case "deaf":
		_, err := f.broadcast(hostOrder{Action: "deaf", Number: max(1, x.Number/max(1, len(f.hosts)))})
		return func() error { _, err := f.broadcast(hostOrder{Action: "hear"}); return err }, err
	}
	return nothing, nil // a burst consists of its rate of changes alone
}

// holdLinks makes links hold back all data until the returned function is called.
func holdLinks(links []*faults.Link) (end func() error) {
	for _, l := range links {
		l.Set(faults.Impairment{Hold: true}, faults.Impairment{Hold: true})
	}
	return func() error {
		for _, l := range links {
			l.Heal()
		}
		return nil
	}
}

// faultProcesses returns the processes that a fault affects: random relays, or the leader of the agents.
func (f *fleet) faultProcesses(x Fault, choose func([]*proc, int) []*proc) ([]*proc, error) {
	if x.Kind == "kill-relays" || x.Kind == "pause-relays" {
		return choose(f.relays, x.Number), nil
	}
	i, err := f.awaitLeader()
	if err != nil {
		return nil, err
	}
	return []*proc{f.agents[i]}, nil
}
