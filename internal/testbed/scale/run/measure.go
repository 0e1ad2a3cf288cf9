package run

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"spindlehitch/internal/testbed/scale/hollow"
)

// Row is the measurement at one size or during one fault.
type Row struct {
	Series     string  `json:"of"` // initiators, targets, changes, agreement, or the fault
	Initiators int     `json:"initiators"`
	Targets    int     `json:"targets"`
	Rate       float64 `json:"changes_s"` // requested rate
	Seconds    float64 `json:"seconds"`
	Changes    int     `json:"changes"` // changes confirmed
	Failed     int     `json:"changes_failed"`
	// Time until a change is in force, from the moment at which it was requested.
	Median        float64 `json:"half_ms"`
	P99           float64 `json:"ninety_nine_ms"`
	Last          float64 `json:"last_ms"`
	LastInitiator string  `json:"last_who"`
	LastPrimary   float64 `json:"primary_last_ms"`
	LastTargets   float64 `json:"targets_last_ms"`
	LastConfig    float64 `json:"config_last_ms"`
	Missing       int     `json:"missing"`   // pairs of an initiator and a change that was not in force there at the timeout
	Settled       float64 `json:"settled_s"` // from the last change, or the fault's end, until all had the newest version; -1 if not within the timeout
	Behind        string  `json:"lags,omitempty"`
	// Averages for each hollow initiator.
	Kinds      map[hostKind]InitiatorUsage `json:"kinds,omitempty"`
	CoreIdle   float64                     `json:"core_off"` // while stopped, as a fraction of a core
	In         float64                     `json:"in_b_s"`
	Out        float64                     `json:"out_b_s"`
	RelayMoves uint64                      `json:"moves"` // connection moves to other relays, of all initiators
	// Control processes.
	Leader   ProcessUsage `json:"leader"`
	Follower ProcessUsage `json:"follower"`     // the largest values of any
	Relay    ProcessUsage `json:"relay"`        // the largest values of any
	LogBytes float64      `json:"log_b_change"` // growth of an agent's directory for each change
}

// InitiatorUsage is the average resource use of the hollow initiators of one kind.
type InitiatorUsage struct {
	Number int     `json:"number"`
	Core   float64 `json:"core"` // fraction of a core, beyond the use while stopped
	Memory float64 `json:"memory_b"`
}

// maxUsage returns the largest use of any kind, and typicalUsage that of the kind with the most initiators.
func (r *Row) maxUsage() (e InitiatorUsage) {
	for _, k := range r.Kinds {
		e.Core, e.Memory = max(e.Core, k.Core), max(e.Memory, k.Memory)
	}
	return e
}

func (r *Row) typicalUsage() (e InitiatorUsage) {
	for _, k := range r.Kinds {
		if k.Number > e.Number {
			e = k
		}
	}
	return e
}

// ProcessUsage is the resource use of a control process.
type ProcessUsage struct {
	Core   float64 `json:"core"`
	Memory int64   `json:"memory_b"`
	In     float64 `json:"in_b_s"`
	Out    float64 `json:"out_b_s"`
	FDs    int     `json:"descriptors"`
}

// usageSnapshot is the resource use of all processes so far.
type usageSnapshot struct {
	at         time.Time
	hosts      []procStats
	agents     []procStats
	relays     []procStats
	relayMoves uint64
	in, out    int64 // of hollow initiators
	logDir     int64
}

func (f *fleet) takeSnapshot() (s usageSnapshot, err error) {
	st, err := f.broadcast(hostOrder{Action: "state"})
	s.at, s.in, s.out, s.relayMoves = time.Now(), st.In, st.Out, st.RelayMoves
	s.in, s.out = s.in+f.discovery.traffic.out.Load(), s.out+f.discovery.traffic.in.Load()
	for _, g := range []struct {
		p    []*proc
		into *[]procStats
	}{{f.hosts, &s.hosts}, {f.agents, &s.agents}, {f.relays, &s.relays}} {
		for _, p := range g.p {
			*g.into = append(*g.into, p.stats())
		}
	}
	for _, dir := range f.agentDirs {
		s.logDir = max(s.logDir, dirSize(dir))
	}
	return s, err
}

// usageBetween returns the resource use of a process between two snapshots.
func usageBetween(a, b procStats, seconds float64) ProcessUsage {
	if b.CPU < a.CPU || b.In < a.In { // restarted in between
		a = procStats{}
	}
	return ProcessUsage{Core: (b.CPU - a.CPU).Seconds() / seconds, Memory: b.RSS, In: float64(b.In-a.In) / seconds, Out: float64(b.Out-a.Out) / seconds, FDs: b.FDs}
}

// raise raises each value to that of o if that is larger.
func (r *ProcessUsage) raise(o ProcessUsage) {
	r.Core, r.Memory, r.In, r.Out, r.FDs = max(r.Core, o.Core), max(r.Memory, o.Memory), max(r.In, o.In), max(r.Out, o.Out), max(r.FDs, o.FDs)
}

// fillUsage sets the resource use of a row between two snapshots.
func (f *fleet) fillUsage(a, b usageSnapshot, r *Row) {
	r.Seconds = b.at.Sub(a.at).Seconds()
	r.Kinds = map[hostKind]InitiatorUsage{}
	for i := range b.hosts {
		x := usageBetween(a.hosts[i], b.hosts[i], r.Seconds)
		e := r.Kinds[f.hostKinds[i]]
		e.Number, e.Core, e.Memory = e.Number+f.hostSizes[i], e.Core+x.Core, e.Memory+float64(x.Memory)
		r.Kinds[f.hostKinds[i]] = e
	}
	for k, e := range r.Kinds {
		e.Core, e.Memory = e.Core/float64(e.Number)-r.CoreIdle, e.Memory/float64(e.Number)
		r.Kinds[k] = e
	}
	n := float64(max(1, f.hollowCount))
	r.In, r.Out = float64(b.in-a.in)/r.Seconds/n, float64(b.out-a.out)/r.Seconds/n
	r.RelayMoves = b.relayMoves - a.relayMoves
	leader := -1
	for i, s := range f.client.Status(f.ctx) {
		if s.State == "Leader" {
			leader = i
		}
	}
	for i := range b.agents {
		x := usageBetween(a.agents[i], b.agents[i], r.Seconds)
		if i == leader {
			r.Leader = x
		} else {
			r.Follower.raise(x)
		}
	}
	for i := range b.relays {
		r.Relay.raise(usageBetween(a.relays[i], b.relays[i], r.Seconds))
	}
	r.LogBytes = float64(b.logDir-a.logDir) / max(1, float64(r.Changes))
}

// settleTimeout bounds the wait until all initiators have the last change.
const settleTimeout = 60 * time.Second

// idlePeriod is how long stopped initiators are measured.
const idlePeriod = 2 * time.Second

// measureRow makes changes at a rate for the run's duration and returns the row. coreIdle is the use of the same initiators while stopped.
func (f *fleet) measureRow(series string, rate, coreIdle float64) (Row, error) {
	r := Row{Series: series, Initiators: f.hollowCount, Targets: len(f.entries), Rate: rate, CoreIdle: coreIdle}
	w := f.newChangeWriter(uint64(len(series)) + uint64(f.hollowCount))
	a, err := f.takeSnapshot()
	if err != nil {
		return r, err
	}
	w.run(f.ctx, rate, time.Duration(f.spec.DurationS*float64(time.Second)))
	b, err := f.takeSnapshot()
	if err != nil {
		return r, err
	}
	r.Changes, r.Failed = len(w.marks), w.failed
	f.fillUsage(a, b, &r)
	return r, f.awaitAndFill(&r, w.marks)
}

// awaitAndFill waits until all initiators have the marks and sets the arrival times of a row.
func (f *fleet) awaitAndFill(r *Row, marks []changeMark) error {
	took, s, err := f.awaitMarks(marks, settleTimeout)
	if err != nil {
		return err
	}
	if r.Settled = took.Seconds(); s.incomplete(f.hollowCount) {
		r.Settled, r.Behind = -1, strings.Join(s.Behind[:min(3, len(s.Behind))], " ")
	}
	if s, err = f.broadcast(hostOrder{Action: "collect", Marks: marks}); err != nil {
		return err
	}
	r.Missing = s.Missing
	r.fillQuantiles(s)
	f.logf("%s: %s", r.Series, r.summary())
	return nil
}

// fillQuantiles sets the quantiles over all pairs of a change and an initiator; pairs that were not reached count as slowest.
func (r *Row) fillQuantiles(s hostState) {
	at := map[int]int{}
	var all int
	for k, n := range s.Latencies {
		_, ms, _ := strings.Cut(k, " ")
		i, _ := strconv.Atoi(ms)
		at[i] += n
		all += n
	}
	all += s.Missing
	var keys []int
	for ms := range at {
		keys = append(keys, ms)
	}
	slices.Sort(keys)
	r.Median, r.P99, r.Last, r.LastInitiator, r.LastTargets, r.LastConfig, r.LastPrimary = -1, -1, 0, "", 0, 0, 0
	n := 0
	for _, ms := range keys {
		n += at[ms]
		if r.Median < 0 && n*2 >= all {
			r.Median = float64(ms)
		}
		if r.P99 < 0 && n*100 >= all*99 {
			r.P99 = float64(ms)
		}
	}
	for _, l := range s.Last {
		if l.Ms > r.Last {
			r.Last, r.LastInitiator = l.Ms, l.Initiator
		}
		if l.Lane == hollow.Targets {
			r.LastTargets = max(r.LastTargets, l.Ms)
		} else {
			r.LastConfig = max(r.LastConfig, l.Ms)
		}
		if l.Primary {
			r.LastPrimary = max(r.LastPrimary, l.Ms)
		}
	}
}

func (r *Row) summary() string {
	return fmt.Sprintf("%d initiators, %d targets, %.3g changes/s: %d in force at half %.0f, 99%% %.0f, last %.0f ms (%s; targets %.0f, configuration %.0f), %d missing; each %s, %.2f+%.2f KB/s; leader %.2f, relay %.2f core",
		r.Initiators, r.Targets, r.Rate, r.Changes, r.Median, r.P99, r.Last, r.LastInitiator, r.LastTargets, r.LastConfig, r.Missing, r.kindSummary(), r.In/1e3, r.Out/1e3, r.Leader.Core, r.Relay.Core)
}

// kindSummary formats the resource use by kind.
func (r *Row) kindSummary() string {
	var all []string
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		all = append(all, fmt.Sprintf("%s %.3f%% core %.1f MB", k, 100*r.Kinds[k].Core, r.Kinds[k].Memory/1e6))
	}
	return strings.Join(all, ", ")
}

// measureIdle measures the hosts from an index on, whose initiators are all stopped, and returns the base use of their processes as a fraction of a core for each
// initiator.
func (f *fleet) measureIdle(from int) (float64, error) {
	n := 0
	for _, some := range f.hostSizes[from:] {
		n += some
	}
	if n == 0 {
		return 0, errNoInitiators
	}
	for _, p := range f.hosts[from:] {
		if err := p.call(hostOrder{Action: "gc"}, nil); err != nil {
			return 0, err
		}
	}
	used := func() (cpu time.Duration) {
		for _, p := range f.hosts[from:] {
			cpu += p.stats().CPU
		}
		return cpu
	}
	before, began := used(), time.Now()
	f.sleep(idlePeriod)
	return (used() - before).Seconds() / time.Since(began).Seconds() / float64(n), nil
}
