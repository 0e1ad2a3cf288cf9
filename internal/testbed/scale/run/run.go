package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"spindlehitch/internal/testbed/scale/hollow"
	"spindlehitch/internal/testbed/scale/slope"
)

// Result is what a run has found.
type Result struct {
	Name            string           `json:"name"`
	Mechanism       string           `json:"mechanism"`
	Date            string           `json:"date"`
	Seed            uint64           `json:"seed"`
	Cores           int              `json:"cores"`
	Seconds         float64          `json:"seconds"`
	Hosts           int              `json:"hosts"`
	Modules         int              `json:"modules"` // hollow initiators that ran the module
	Members         int              `json:"members"`
	Rows            []Row            `json:"rows"`
	Startups        []Startup        `json:"ups"`
	TargetIncreases []TargetIncrease `json:"mores"`
	Fits            []Fit            `json:"fits"`
	Checks          []Check          `json:"limits"`
	Violations      int              `json:"broken"` // promises, by the judge
	ViolationTexts  []string         `json:"what,omitempty"`
	Load            Load             `json:"load"`
	Notes           []string         `json:"notes,omitempty"`
	idleCore        float64          // what an initiator takes switched off, at the last size
}

// Up is how long a number of initiators took to come up.
type Startup struct {
	Initiators int     `json:"initiators"`
	Seconds    float64 `json:"seconds"` // until the last had the newest versions; -1: not within the wait
}

// More is how long it took until all had targets that came in one go, at the rate that each may be sent.
type TargetIncrease struct {
	Targets    int     `json:"targets"`
	Initiators int     `json:"initiators"`
	Seconds    float64 `json:"seconds"`
	Missing    int     `json:"without"`  // that had not all of them when the wait was over
	NextChange float64 `json:"behind_s"` // that a single change made right after them took to all
}

// Load is what became of the load on real initiators.
type Load struct {
	Requests       int64 `json:"asked"`
	Served         int64 `json:"served"`
	Failed         int64 `json:"other"`
	LateRequests   int64 `json:"late"`    // first bytes at targets whose drain all were told of
	TargetRequests int64 `json:"targets"` // requests that came to targets
}

// Fit is a slope over the rows of one dimension.
type Fit struct {
	Quantity        string  `json:"of"`
	Per             string  `json:"per"`
	Coefficient     float64 `json:"rise"`
	StdError        float64 `json:"error"`
	Base            float64 `json:"base"`
	Power           float64 `json:"power"`
	PredictionError float64 `json:"off"` // the largest size, foretold from the rest, less what was measured, as a part of that
}

// Run makes a run. It ends whatever it began, also when ctx ends.
func Run(ctx context.Context, spec *Spec, opt Options) (*Result, error) {
	f, err := newFleet(ctx, spec, opt)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &Result{Name: spec.Name, Mechanism: spec.Mechanism, Date: time.Now().Format(time.DateOnly), Seed: spec.Seed, Modules: spec.Modules, Members: spec.Members}
	for _, step := range []func(*Result) error{f.compareReal, f.measureInitiatorSizes, f.measureTargetSizes, f.measureChangeRates, f.runFaults} {
		if err := step(r); err != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
	s, err := f.broadcast(hostOrder{Action: "state"})
	if err != nil {
		return nil, err
	}
	f.load.stop()
	r.Violations, r.ViolationTexts, r.Hosts, r.Seconds = s.Violations+f.regressions, s.ViolationTexts, len(f.hosts), time.Since(f.began).Seconds()
	r.Load = Load{Requests: f.load.requests.Load(), Served: f.load.served.Load(), Failed: f.load.failed.Load(), LateRequests: f.targets.lateRequests.Load(), TargetRequests: f.targets.total()}
	r.fitSlopes()
	r.evaluateLimits(spec)
	return r, nil
}

// bringUp is how long is waited for initiators that have to be sent all there is.
const startupTimeout = 10 * time.Minute

// size brings the fleet to so many hollow initiators, measures them switched off and has them come up.
func (f *fleet) scaleInitiators(n int, r *Result) (coreIdle float64, err error) {
	from := len(f.hosts)
	if err := f.startHosts(n); err != nil {
		return 0, err
	}
	if coreIdle, err = f.measureIdle(from); err != nil {
		return 0, err
	}
	w := f.newChangeWriter(uint64(n))
	m, err := w.changeConfig(f.ctx)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if _, err := f.broadcast(hostOrder{Action: "on", Seed: f.spec.Seed}); err != nil {
		return 0, err
	}
	_, s, err := f.awaitMarks([]changeMark{m}, startupTimeout)
	if err != nil {
		return 0, err
	}
	up := Startup{n, time.Since(began).Seconds()}
	if s.Reached < n {
		up.Seconds = -1
	}
	f.logf("%d initiators up after %.1f s", n, up.Seconds)
	r.Startups = append(r.Startups, up)
	return coreIdle, nil
}

func (f *fleet) measureTargetSizes(r *Result) error {
	for _, n := range f.spec.Targets {
		if err := f.scaleTargets(n, r); err != nil {
			return err
		}
		row, err := f.measureRow("targets", f.spec.Changes[0], r.idleCore)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, row)
	}
	return nil
}

// more has so many targets in all, and waits until all initiators know them.
func (f *fleet) scaleTargets(n int, r *Result) error {
	if n <= len(f.entries) {
		return nil
	}
	f.mu.Lock()
	added := f.addTargets(n)
	f.mu.Unlock()
	v, err := f.publish(f.ctx, added)
	if err != nil {
		return err
	}
	took, s, err := f.awaitMarks([]changeMark{{Lane: hollow.Targets, Version: v}}, startupTimeout)
	f.logf("%d targets more: %d of %d had them after %.1f s", len(added), s.Reached, s.Running, took.Seconds())
	if err != nil {
		return err
	}
	// What each may be sent was used up by them: how long a single change takes behind them.
	m, err := f.newChangeWriter(uint64(n)).changeOneTarget(f.ctx)
	if err != nil {
		return err
	}
	behind, late, err := f.awaitMarks([]changeMark{m}, startupTimeout)
	f.logf("one change behind them: %d of %d had it after %.1f s", late.Reached, late.Running, behind.Seconds())
	r.TargetIncreases = append(r.TargetIncreases, TargetIncrease{len(added), f.hollowCount, took.Seconds(), f.hollowCount - s.Reached, behind.Seconds()})
	return err
}

func (f *fleet) measureInitiatorSizes(r *Result) error {
	for _, n := range f.spec.Initiators {
		if n > f.hollowCount {
			var err error
			if r.idleCore, err = f.scaleInitiators(n, r); err != nil {
				return err
			}
		}
		row, err := f.measureRow("initiators", f.spec.Changes[0], r.idleCore)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, row)
	}
	return nil
}

func (f *fleet) measureChangeRates(r *Result) error {
	for _, rate := range f.spec.Changes {
		row, err := f.measureRow("changes", rate, r.idleCore)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, row)
	}
	return nil
}

// fit fits slopes where a dimension has sizes enough.
func (r *Result) fitSlopes() {
	for _, d := range []struct {
		of   string
		size func(Row) float64
	}{{"initiators", func(r Row) float64 { return float64(r.Initiators) }}, {"targets", func(r Row) float64 { return float64(r.Targets) }},
		{"changes", func(r Row) float64 { return r.Rate }}} {
		for _, c := range []struct {
			name string
			cost func(Row) float64
		}{{"last in force, ms", func(r Row) float64 { return r.Last }}, {"initiator, core", func(r Row) float64 { return r.typicalUsage().Core }}, {"initiator, B", func(r Row) float64 { return r.typicalUsage().Memory }},
			{"initiator with a copy on disk, core", func(r Row) float64 { return r.Kinds[withDisk].Core }}, {"initiator with a module, core", func(r Row) float64 { return r.Kinds[withModule].Core }},
			{"initiator, B/s", func(r Row) float64 { return r.In + r.Out }}, {"leader, core", func(r Row) float64 { return r.Leader.Core }}, {"leader, B/s", func(r Row) float64 { return r.Leader.In + r.Leader.Out }},
			{"leader, descriptors", func(r Row) float64 { return float64(r.Leader.FDs) }}, {"relay, core", func(r Row) float64 { return r.Relay.Core }}, {"relay, B/s", func(r Row) float64 { return r.Relay.In + r.Relay.Out }},
			{"relay, descriptors", func(r Row) float64 { return float64(r.Relay.FDs) }}, {"log, B a change", func(r Row) float64 { return r.LogBytes }}} {
			var points []slope.Point
			for _, row := range r.Rows {
				if row.Series == d.of {
					points = append(points, slope.Point{Size: d.size(row), Cost: c.cost(row)})
				}
			}
			l, err := slope.Fit(points)
			if err != nil || l.Base == 0 && l.Coefficient == 0 {
				continue
			}
			r.Fits = append(r.Fits, Fit{c.name, d.of, l.Coefficient, l.StdError, l.Base, l.Power, l.PredictionError})
		}
	}
}

// check holds what was measured against the limits.
func (r *Result) evaluateLimits(s *Spec) {
	for _, rate := range slices.Compact([]float64{s.Changes[0], s.Changes[len(s.Changes)-1]}) {
		c := Check{Name: fmt.Sprintf("in force at %g changes/s", rate), Unit: "s", Limit: s.Limits.InForce}
		for _, row := range r.Rows {
			if row.Series == "changes" && row.Rate == rate {
				c.record(row.lastOrNever())
			}
		}
		r.Checks = append(r.Checks, c)
	}
	primary := Check{Name: "change of primary", Unit: "s", Limit: s.Limits.Primary}
	core := Check{Name: "initiator's processor", Unit: "core", Limit: s.Limits.Core}
	memory := Check{Name: "initiator's memory", Unit: "MB", Limit: s.Limits.Memory}
	wire := Check{Name: "initiator's bytes", Unit: "KB/s", Limit: s.Limits.Wire}
	leader := Check{Name: "leader's processor", Unit: "core", Limit: s.Limits.AgentCore}
	relay := Check{Name: "relay's processor", Unit: "core", Limit: s.Limits.RelayCore}
	relayMB := Check{Name: "relay's memory", Unit: "MB", Limit: s.Limits.RelayMB}
	for _, row := range r.Rows {
		if row.Series != "changes" {
			continue
		}
		if row.LastPrimary > 0 {
			primary.record(row.LastPrimary / 1000)
		}
		core.record(row.maxUsage().Core)
		memory.record(row.maxUsage().Memory / 1e6)
		wire.record((row.In + row.Out) / 1e3)
		leader.record(row.Leader.Core)
		if s.Relays > 0 && s.Mechanism == "feed" {
			relay.record(row.Relay.Core)
			relayMB.record(float64(row.Relay.Memory) / 1e6)
		}
	}
	r.Checks = append(r.Checks, primary, core, memory, wire, leader, relay, relayMB)
	for i, x := range s.Faults {
		c := Check{Name: x.label() + ": all at one version after it", Unit: "s", Limit: x.RecoveryS}
		if c.Limit == 0 {
			c.Limit = s.Limits.InForce
		}
		during := Check{Name: x.label() + ": in force meanwhile", Unit: "s", Limit: s.Limits.InForce}
		for _, row := range r.Rows {
			if row.Series == faultRow(i, x) {
				c.record(secondsOrNever(row.Settled))
				during.record(row.lastOrNever())
			}
		}
		r.Checks = append(r.Checks, c)
		switch x.Kind {
		case "kill-relays", "pause-relays", "cut-relays", "burst", "deaf":
			r.Checks = append(r.Checks, during)
		}
	}
	missing := Check{Name: "changes that did not reach all", Limit: 0}
	for _, row := range r.Rows {
		missing.record(float64(row.Missing))
	}
	broken := Check{Name: "promises broken", Limit: 0, Measured: true, Value: float64(r.Violations)}
	late := Check{Name: "first bytes past a drain at real initiators", Limit: 0, Measured: s.Real > 0, Value: float64(r.Load.LateRequests)}
	unserved := Check{Name: "requests not served by real initiators", Unit: "of all", Limit: 0.01, Measured: r.Load.Requests > 0}
	if unserved.Measured {
		unserved.Value = float64(r.Load.Failed) / float64(r.Load.Requests)
	}
	r.Checks = append(append(r.Checks, missing, broken, late, unserved), r.agreementChecks(s)...)
}

// never stands for what had not come when the wait for it was over.
const never = 1e9

func secondsOrNever(s float64) float64 {
	if s < 0 {
		return never
	}
	return s
}

// lastOrMissing is when the last one had a change, in seconds.
func (r *Row) lastOrNever() float64 {
	if r.Missing > 0 {
		return never
	}
	return r.Last / 1000
}

// Check is a limit, and whether it is held.
type Check struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Limit    float64 `json:"limit"`
	Unit     string  `json:"unit"`
	Measured bool    `json:"measured"`
}

// take takes a value over, the worst of all.
func (c *Check) record(v float64) {
	if !c.Measured || v > c.Value {
		c.Value, c.Measured = v, true
	}
}

// Held tells whether it is.
func (c Check) Held() bool { return c.Measured && c.Value <= c.Limit }

func (c Check) String() string {
	verdict := "not measured"
	switch {
	case c.Held():
		verdict = "held"
	case c.Measured:
		verdict = "not held"
	}
	value := fmt.Sprintf("%.3g", c.Value)
	if c.Value >= never {
		value = "never"
	} else if !c.Measured {
		value = "-"
	}
	return fmt.Sprintf("limit %s: %s  %s of %.3g %s", c.Name, verdict, value, c.Limit, c.Unit)
}
