package run

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/ports"
	"spindlehitch/internal/testbed/scale/hollow"
)

// realInitiator is a process of spindlehitch serve.
type realInitiator struct {
	*proc
	listen, control string
	spec            hollowSpec // its name, region and zone
}

// startReals starts the real initiators with the full list as the last known one, and waits until they are ready.
func (f *fleet) startReals() error {
	addrs, err := ports.Free(2 * f.spec.Real)
	if err != nil {
		return err
	}
	regionAddrs, err := f.controlAddrs()
	if err != nil {
		return err
	}
	for i := range f.spec.Real {
		r := &realInitiator{listen: addrs[2*i], control: addrs[2*i+1], spec: hollowSpec{Name: fmt.Sprint("real-", i), Region: f.region(i).Name, Zone: f.zone(i)}}
		discovery, err := f.newLink(r.spec.Region, "discovery", f.discovery.addr)
		if err != nil {
			return err
		}
		text, err := jsonFormat.Marshal(map[string]any{"name": r.spec.Name, "listen": r.listen, "control": r.control, "discovery": discovery, "known": f.discovery.list(),
			"settings": rawJSON(fmt.Sprintf(settingsTemplate, f.spec.Real))})
		path := filepath.Join(f.dir, r.spec.Name+".json")
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			return err
		}
		r.proc = &proc{name: r.spec.Name, path: f.opt.Program, args: []string{"serve"}, env: []string{"PROXY_CONFIG=" + path}, dir: f.dir}
		if f.usesFeed() {
			operator := filepath.Join(f.dir, r.spec.Name+".toml")
			if err := os.WriteFile(operator, []byte(f.operatorFile(r.spec, regionAddrs[r.spec.Region].Relays)), 0o600); err != nil {
				return err
			}
			r.args = append(r.args, "--operator", operator)
		}
		f.reals = append(f.reals, r)
		if err := r.start(false); err != nil {
			return err
		}
	}
	for _, r := range f.reals {
		if err := f.waitUntil(r.name+" is ready", setupTimeout, func() bool { return respondsOK("http://" + r.listen + "/-/ready") }); err != nil {
			return err
		}
	}
	return nil
}

// operatorFile returns the operator's file of an initiator that reads the feed.
func (f *fleet) operatorFile(x hollowSpec, relays []relayAddr) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[feed]\nfleet = %q\nregion = %q\nzone = %q\ndir = %q\n", fleetName, x.Region, x.Zone, filepath.Join(f.dir, x.Name+".data"))
	for _, r := range relays {
		fmt.Fprintf(&b, "[[feed.relay]]\nid = %q\nregion = %q\naddr = %q\n", r.ID, r.Region, r.Addr)
	}
	return b.String()
}

// metrics returns its metrics by name, or nil if it does not answer.
func (r *realInitiator) metrics(ctx context.Context) map[string]float64 {
	ctx, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.control+"/v1/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil
	}
	all := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			all[strings.TrimPrefix(name, "edge_proxy.")] = v
		}
	}
	return all
}

// pollInterval is the interval at which real initiators are polled for the versions that they have in force.
const pollInterval = 20 * time.Millisecond

// pollReals polls all real initiators for the versions that they have in force until ctx ends, and returns a journal of each.
func (f *fleet) pollReals(ctx context.Context) []*hollow.Checker {
	var all sync.WaitGroup
	var journals []*hollow.Checker
	for _, r := range f.reals {
		j := hollow.NewChecker(r.spec.Name)
		journals = append(journals, j)
		all.Go(func() {
			for ctx.Err() == nil {
				// The version may have been in force for up to a poll interval by now.
				if n := r.metrics(ctx); n != nil {
					at := monotonic.Now()
					j.RecordApplied(hollow.Targets, uint64(n["feed.in_force.targets"]), at)
					j.RecordApplied(hollow.Config, uint64(n["feed.in_force.config"]), at)
				}
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
	return journals
}

// realUsage returns the resource use of all real initiators together so far.
func (f *fleet) realUsage() (u procStats) {
	for _, r := range f.reals {
		x, n := r.stats(), r.metrics(f.ctx)
		u.CPU, u.RSS, u.In, u.Out = u.CPU+x.CPU, u.RSS+x.RSS, u.In+int64(n["feed.bytes.in"]), u.Out+int64(n["feed.bytes.out"])
	}
	return u
}

// compareReal compares an equal number of hollow and real initiators, under the same changes and without requests: first their resource use, then the
// time until changes are in force.
func (f *fleet) compareReal(r *Result) error {
	if f.spec.Real == 0 {
		return nil
	}
	if err := f.startReals(); err != nil {
		return err
	}
	idle, err := f.scaleInitiators(f.spec.Real, r)
	if err != nil {
		return err
	}
	f.sleep(time.Second)
	usageBefore, began := f.realUsage(), time.Now()
	h, err := f.measureRow("hollow", f.spec.Changes[len(f.spec.Changes)-1], idle)
	if err != nil {
		return err
	}
	usageAfter, n, seconds := f.realUsage(), float64(f.spec.Real), time.Since(began).Seconds()
	x := Row{Series: "real", Initiators: f.spec.Real, Targets: h.Targets, Rate: h.Rate, Seconds: seconds, Changes: h.Changes, Median: -1, P99: -1, Last: -1,
		In: float64(usageAfter.In-usageBefore.In) / seconds / n, Out: float64(usageAfter.Out-usageBefore.Out) / seconds / n,
		Kinds: map[hostKind]InitiatorUsage{"real": {f.spec.Real, (usageAfter.CPU - usageBefore.CPU).Seconds() / seconds / n, float64(usageAfter.RSS) / n}}}
	if f.usesFeed() {
		if err := f.compareInForce(&h, &x); err != nil {
			return err
		}
	}
	r.Rows = append(r.Rows, h, x)
	f.logf("hollow and real, %d each: read %.0f and %.0f, written %.0f and %.0f B/s each, %s and %s, in force at half %.0f and %.0f ms, last %.0f and %.0f ms", f.spec.Real, h.In, x.In,
		h.Out, x.Out, h.kindSummary(), x.kindSummary(), h.Median, x.Median, h.Last, x.Last)
	var ends []string
	for _, r := range f.reals {
		ends = append(ends, r.listen)
	}
	f.load.start(ends, f.spec.AnsweringTargets/2)
	return nil
}

// compareInForce measures the time until changes are in force at hollow and at real initiators, concurrently.
func (f *fleet) compareInForce(h, x *Row) error {
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	w := f.newChangeWriter(7)
	polled := make(chan []*hollow.Checker, 1)
	go func() { polled <- f.pollReals(ctx) }()
	w.run(f.ctx, min(2, f.spec.Changes[len(f.spec.Changes)-1]), time.Duration(f.spec.DurationS*float64(time.Second)))
	f.sleep(2 * time.Second)
	stop()
	journals := <-polled
	if err := f.awaitAndFill(h, w.marks); err != nil {
		return err
	}
	s := hostState{Latencies: map[string]int{}}
	for _, m := range w.marks {
		l := lastArrival{Lane: m.Lane, Primary: m.Primary}
		for i, r := range f.reals {
			if _, applies := m.versionFor(r.spec); !applies {
				continue
			}
			at, done := journals[i].AppliedAt(m.Lane, m.Version)
			if !done {
				s.Missing++
				continue
			}
			ms := max(0, float64(at-m.At)/float64(time.Millisecond))
			s.Latencies[fmt.Sprintf("%s %d", m.Lane, int(ms))]++
			if l.Initiator == "" || ms > l.Ms {
				l.Initiator, l.Ms = r.spec.Name, ms
			}
		}
		s.Last = append(s.Last, l)
	}
	x.Missing = s.Missing
	x.fillQuantiles(s)
	broken := 0
	for _, j := range journals {
		n, _ := j.Violations()
		broken += n
	}
	f.regressions += broken
	return nil
}

// relativeDiff returns the difference of two values relative to the second.
func relativeDiff(a, b float64) float64 { return math.Abs(a-b) / b }

// agreementChecks returns the checks that compare hollow with real initiators.
func (r *Result) agreementChecks(s *Spec) []Check {
	bytes := Check{Name: "agreement of hollow and real in bytes", Unit: "of the real ones'", Limit: s.Limits.Agreement}
	i := slices.IndexFunc(r.Rows, func(x Row) bool { return x.Series == "real" })
	if i > 0 && s.Mechanism == "feed" {
		bytes.record(relativeDiff(r.Rows[i-1].In+r.Rows[i-1].Out, r.Rows[i].In+r.Rows[i].Out))
	}
	return []Check{bytes}
}
