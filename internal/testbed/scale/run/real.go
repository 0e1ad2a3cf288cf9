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

// realInitiator is one initiator as it is: spindlehitch serve.
type realInitiator struct {
	*proc
	listen, control string
	spec            hollowSpec // whose name, region and zone it has
}

// startReals starts them, with the whole list as last known.
func (f *fleet) startReals() error {
	addrs, err := ports.Free(2 * f.spec.Real)
	if err != nil {
		return err
	}
	ways, err := f.waysOf()
	if err != nil {
		return err
	}
	for i := range f.spec.Real {
		r := &realInitiator{listen: addrs[2*i], control: addrs[2*i+1], spec: hollowSpec{Name: fmt.Sprint("real-", i), Region: f.region(i).Name, Zone: f.zone(i)}}
		found, err := f.way(r.spec.Region, "discovery", f.service.addr)
		if err != nil {
			return err
		}
		text, err := format.Marshal(map[string]any{"name": r.spec.Name, "listen": r.listen, "control": r.control, "discovery": found, "known": f.service.list(),
			"settings": rawText(fmt.Sprintf(settings, f.spec.Real))})
		path := filepath.Join(f.dir, r.spec.Name+".json")
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			return err
		}
		r.proc = &proc{name: r.spec.Name, path: f.opt.Program, args: []string{"serve"}, env: []string{"PROXY_CONFIG=" + path}, dir: f.dir}
		if f.byFeed() {
			operator := filepath.Join(f.dir, r.spec.Name+".toml")
			if err := os.WriteFile(operator, []byte(f.operator(r.spec, ways[r.spec.Region].Relays)), 0o600); err != nil {
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
		if err := f.until(r.name+" is ready", long, func() bool { return answers("http://" + r.listen + "/-/ready") }); err != nil {
			return err
		}
	}
	return nil
}

// operator is the operator's file of an initiator that takes the feed.
func (f *fleet) operator(x hollowSpec, relays []relayAt) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[feed]\nfleet = %q\nregion = %q\nzone = %q\ndir = %q\n", fleetName, x.Region, x.Zone, filepath.Join(f.dir, x.Name+".data"))
	for _, r := range relays {
		fmt.Fprintf(&b, "[[feed.relay]]\nid = %q\nregion = %q\naddr = %q\n", r.ID, r.Region, r.Addr)
	}
	return b.String()
}

// figures are the numbers that it tells, by name; nil: it does not answer.
func (r *realInitiator) figures(ctx context.Context) map[string]float64 {
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

// lookEvery is how often real initiators are asked what they have in force, while that is measured.
const lookEvery = 20 * time.Millisecond

// look asks all real initiators what they have in force until ctx ends, and notes when what came.
func (f *fleet) look(ctx context.Context) []*hollow.Journal {
	var all sync.WaitGroup
	var journals []*hollow.Journal
	for _, r := range f.reals {
		j := hollow.NewJournal(r.spec.Name)
		journals = append(journals, j)
		all.Go(func() {
			for ctx.Err() == nil {
				// The moment of asking: it may have been in force for a while by the answer.
				if n := r.figures(ctx); n != nil {
					at := monotonic.Now()
					j.Heard(hollow.Targets, uint64(n["feed.in_force.targets"]), at)
					j.Heard(hollow.Config, uint64(n["feed.in_force.config"]), at)
				}
				select {
				case <-time.After(lookEvery):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
	return journals
}

// took is what all real initiators together have taken so far.
func (f *fleet) took() (u use) {
	for _, r := range f.reals {
		x, n := r.used(), r.figures(f.ctx)
		u.CPU, u.RSS, u.In, u.Out = u.CPU+x.CPU, u.RSS+x.RSS, u.In+int64(n["feed.bytes.in"]), u.Out+int64(n["feed.bytes.out"])
	}
	return u
}

// agreement holds as many hollow initiators against real ones, under the same changes and without load: first what each kind takes, then when
// changes are in force at each.
func (f *fleet) agreement(r *Result) error {
	if f.spec.Real == 0 {
		return nil
	}
	if err := f.startReals(); err != nil {
		return err
	}
	idle, err := f.size(f.spec.Real, r)
	if err != nil {
		return err
	}
	f.pause(time.Second)
	had, began := f.took(), time.Now()
	h, err := f.measure("hollow", f.spec.Changes[len(f.spec.Changes)-1], idle)
	if err != nil {
		return err
	}
	has, n, took := f.took(), float64(f.spec.Real), time.Since(began).Seconds()
	x := Row{Of: "real", Initiators: f.spec.Real, Targets: h.Targets, Rate: h.Rate, Seconds: took, Changes: h.Changes, Half: -1, Most: -1, Last: -1,
		In: float64(has.In-had.In) / took / n, Out: float64(has.Out-had.Out) / took / n,
		Kinds: map[kind]Each{"real": {f.spec.Real, (has.CPU - had.CPU).Seconds() / took / n, float64(has.RSS) / n}}}
	if f.byFeed() {
		if err := f.agreeInForce(&h, &x); err != nil {
			return err
		}
	}
	r.Rows = append(r.Rows, h, x)
	f.say("hollow and real, %d each: read %.0f and %.0f, written %.0f and %.0f B/s each, %s and %s, in force at half %.0f and %.0f ms, last %.0f and %.0f ms", f.spec.Real, h.In, x.In,
		h.Out, x.Out, h.kinds(), x.kinds(), h.Half, x.Half, h.Last, x.Last)
	var ends []string
	for _, r := range f.reals {
		ends = append(ends, r.listen)
	}
	f.load.start(ends, f.spec.Answering/2)
	return nil
}

// agreeInForce measures when changes are in force at hollow and at real initiators, side by side.
func (f *fleet) agreeInForce(h, x *Row) error {
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	w := f.newWriter(7)
	looked := make(chan []*hollow.Journal, 1)
	go func() { looked <- f.look(ctx) }()
	w.run(f.ctx, min(2, f.spec.Changes[len(f.spec.Changes)-1]), time.Duration(f.spec.ForS*float64(time.Second)))
	f.pause(2 * time.Second)
	stop()
	journals := <-looked
	if err := f.finish(h, w.marks); err != nil {
		return err
	}
	s := state{Done: map[string]int{}}
	for _, m := range w.marks {
		l := last{Lane: m.Lane, Primary: m.Primary}
		for i, r := range f.reals {
			if _, there := m.of(r.spec); !there {
				continue
			}
			at, done := journals[i].When(m.Lane, m.Version)
			if !done {
				s.Missing++
				continue
			}
			ms := max(0, float64(at-m.At)/float64(time.Millisecond))
			s.Done[fmt.Sprintf("%s %d", m.Lane, int(ms))]++
			if l.Who == "" || ms > l.Ms {
				l.Who, l.Ms = r.spec.Name, ms
			}
		}
		s.Last = append(s.Last, l)
	}
	x.Missing = s.Missing
	x.quantiles(s)
	broken := 0
	for _, j := range journals {
		n, _ := j.Broken()
		broken += n
	}
	f.backwards += broken
	return nil
}

// apart is how far two figures are apart, as a part of the second.
func apart(a, b float64) float64 { return math.Abs(a-b) / b }

// agree are the checks of hollow against real initiators.
func (r *Result) agree(s *Spec) []Check {
	bytes := Check{Name: "agreement of hollow and real in bytes", Unit: "of the real ones'", Limit: s.Limits.Agreement}
	i := slices.IndexFunc(r.Rows, func(x Row) bool { return x.Of == "real" })
	if i > 0 && s.Mechanism == "feed" {
		bytes.take(apart(r.Rows[i-1].In+r.Rows[i-1].Out, r.Rows[i].In+r.Rows[i].Out))
	}
	return []Check{bytes}
}
