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

// Result is the result of a run.
type Result struct {
	Name            string           `json:"name"`
	Mechanism       string           `json:"mechanism"`
	Date            string           `json:"date"`
	Seed            uint64           `json:"seed"`
	Cores           int              `json:"cores"`
	Seconds         float64          `json:"seconds"`
	Hosts           int              `json:"hosts"`
	Modules         int              `json:"modules"` // hollow initiators that ran the scheduler
	Members         int              `json:"members"`
	Rows            []Row            `json:"rows"`
	Startups        []Startup        `json:"ups"`
	TargetIncreases []TargetIncrease `json:"mores"`
	Fits            []Fit            `json:"fits"`
	Checks          []Check          `json:"limits"`
	Violations      int              `json:"broken"` // violations in the journals: a version that went backwards, or a request sent to a target that was draining
	ViolationTexts  []string         `json:"what,omitempty"`
	Load            Load             `json:"load"`
	Notes           []string         `json:"notes,omitempty"`
	idleCore        float64          // processor time of a stopped initiator at the last size, as a fraction of a core
}

// Startup is the time that a number of initiators took to start.
type Startup struct {
	Initiators int     `json:"initiators"`
	Seconds    float64 `json:"seconds"` // until the last one had the newest versions; -1 if not within the timeout
}

// TargetIncrease is the time until all initiators had targets that were added at once, at the byte rate allowed for each reader.
type TargetIncrease struct {
	Targets    int     `json:"targets"`
	Initiators int     `json:"initiators"`
	Seconds    float64 `json:"seconds"`
	Missing    int     `json:"without"`  // initiators that did not have all of them at the timeout
	NextChange float64 `json:"behind_s"` // time until all had a single change made right after them
}

// Load is the outcome of the requests sent to real initiators.
type Load struct {
	Requests       int64 `json:"asked"`
	Served         int64 `json:"served"`
	Failed         int64 `json:"other"`
	LateRequests   int64 `json:"late"`    // first bytes at a target later than drainDeadline after its drain
	TargetRequests int64 `json:"targets"` // requests received by targets
}

// Fit is a slope fitted over the rows of one series.
type Fit struct {
	Quantity        string  `json:"of"`
	Per             string  `json:"per"`
	Coefficient     float64 `json:"rise"`
	StdError        float64 `json:"error"`
	Base            float64 `json:"base"`
	Power           float64 `json:"power"`
	PredictionError float64 `json:"off"` // relative error of the value predicted for the largest size from the others
}

// Run executes a run. It stops all processes that it started before it returns, also if ctx ends.
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

// startupTimeout bounds the wait for initiators that have to receive the full state.
const startupTimeout = 10 * time.Minute

// scaleInitiators increases the fleet to n hollow initiators, measures the new ones while they are stopped, and starts them.
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

// scaleTargets increases the targets to n in all and waits until all initiators have them.
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
	// The new targets used up the byte budget of each reader, so measure how long a single change takes after them.
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

// fitSlopes fits a slope for each series with enough sizes.
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

// evaluateLimits compares the measured values with the limits.
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

// never is the value, in seconds, of an event that had not happened at its timeout.
const never = 1e9

func secondsOrNever(s float64) float64 {
	if s < 0 {
		return never
	}
	return s
}

// lastOrNever returns the time until the last initiator had a change, in seconds, or never if one did not get it.
func (r *Row) lastOrNever() float64 {
	if r.Missing > 0 {
		return never
	}
	return r.Last / 1000
}

// Check compares a measured value with a limit.
type Check struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Limit    float64 `json:"limit"`
	Unit     string  `json:"unit"`
	Measured bool    `json:"measured"`
}

// record keeps the largest of the recorded values.
func (c *Check) record(v float64) {
	if !c.Measured || v > c.Value {
		c.Value, c.Measured = v, true
	}
}

// Held reports whether the value was measured and is within the limit.
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
