package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/testbed/faults"
	"spindlehitch/internal/testbed/ports"
)

// Options are what a run is told beside its file.
type Options struct {
	Self    string    // the program of the run, which its hosts run as well
	Program string    // spindlehitch
	Dir     string    // for logs and state; empty: a folder that goes with the run
	Log     io.Writer // what is under way
}

// fleet is all processes of a run, and what stands in for the rest.
type fleet struct {
	spec      *Spec
	opt       Options
	ctx       context.Context
	dir       string
	began     time.Time
	service   *service
	targets   *answering
	agents    []*proc
	apis      []string // the agents'
	dirs      []string // the agents'
	relays    []*proc
	relayAt   []relayAt
	ways      map[string]ways
	hosts     []*proc
	kinds     []kind   // of each host's initiators
	counts    []int    // how many each has
	hollow    int      // initiators in hosts
	seeds     []string // members that others begin with
	reals     []*realInitiator
	backwards int                       // times that a real one said that an older version is in force
	links     map[string][]*faults.Link // of each region, to all that is outside it
	toAgents  [][]*faults.Link          // of each relay, among those
	client    *agent.Client
	entries   []targetlist.Entry
	turns     []int64      // changes of each
	busy      map[int]bool // a change of it is under way
	mu        sync.Mutex
	load      load
}

// newFleet starts discovery, targets, agents and what else there is before the first initiator.
func newFleet(ctx context.Context, spec *Spec, opt Options) (f *fleet, err error) {
	f = &fleet{spec: spec, opt: opt, ctx: ctx, dir: opt.Dir, began: time.Now(), links: map[string][]*faults.Link{}, busy: map[int]bool{}}
	if f.dir == "" {
		if f.dir, err = os.MkdirTemp("", "spindlehitch-scale"); err != nil {
			return nil, err
		}
	} else if err = os.MkdirAll(f.dir, 0o700); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.targets, err = newAnswering(spec.Answering); err != nil {
		return nil, err
	}
	f.grow(spec.Targets[0])
	if f.service, err = newService(f.entries); err != nil {
		return nil, err
	}
	if err = f.startAgents(); err != nil || !f.byFeed() {
		return f, err
	}
	if _, err = f.put(ctx, f.entries); err != nil {
		return f, err
	}
	return f, f.startRelays()
}

// say tells what is under way.
func (f *fleet) say(form string, about ...any) {
	fmt.Fprintf(f.opt.Log, "%6.1f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(form, about...))
}

// grow makes more targets and returns them, each a shard of its own. The first few answer: two of these have a shard in common.
func (f *fleet) grow(to int) []targetlist.Entry {
	from := len(f.entries)
	for i := from; i < to; i++ {
		e := targetlist.Entry{ID: fmt.Sprintf("t%05d", i), Addr: "127.0.0.1:9", Zone: f.zone(i), Shard: new(int), State: "SERVING"}
		if *e.Shard = i; i < len(f.targets.addrs) {
			e.Addr, *e.Shard = f.targets.addrs[i], i/2
		}
		f.entries, f.turns = append(f.entries, e), append(f.turns, 0)
	}
	return f.entries[from:]
}

// region and zone are those of the initiator, relay or target of a number: spread evenly.
func (f *fleet) region(i int) Region { return f.spec.Regions[i%len(f.spec.Regions)] }
func (f *fleet) zone(i int) string {
	r := f.region(i)
	return r.Zones[i/len(f.spec.Regions)%len(r.Zones)]
}

// long is a bound for whatever a busy machine needs time for.
const long = 2 * time.Minute

// until waits until done.
func (f *fleet) until(what string, within time.Duration, done func() bool) error {
	for end := time.Now().Add(within); !done(); {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
		if !f.pause(50 * time.Millisecond) {
			return f.ctx.Err()
		}
	}
	return nil
}

// pause waits; false: the run is interrupted.
func (f *fleet) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ctx.Done():
		return false
	}
}

// way makes a link from a region to something outside it.
func (f *fleet) way(region, to, addr string) (string, error) {
	l, err := faults.NewLink(region, to, addr)
	if err != nil {
		return "", err
	}
	f.links[region] = append(f.links[region], l)
	return l.Addr, nil
}

// waysOf is how each region meets control: by the relays, or where discovery carries the changes by the service and the agents.
func (f *fleet) waysOf() (_ map[string]ways, err error) {
	if f.ways != nil {
		return f.ways, nil
	}
	all := map[string]ways{}
	for _, r := range f.spec.Regions {
		var w ways
		if f.byFeed() {
			if w.Relays, err = f.relaysFrom(r.Name); err != nil {
				return nil, err
			}
			all[r.Name] = w
			continue
		}
		at, err := f.way(r.Name, "discovery", f.service.addr)
		if err != nil {
			return nil, err
		}
		w.Discovery = at
		for i, a := range f.apis {
			if at, err = f.way(r.Name, fmt.Sprint("agent-", i), a); err != nil {
				return nil, err
			}
			w.Agents = append(w.Agents, at)
		}
		all[r.Name] = w
	}
	f.ways = all
	return all, nil
}

// kind is what a host's initiators have beside the rest: each kind is measured by itself.
type kind string

const (
	plain    kind = "plain"
	onDisk   kind = "disk"   // they keep a copy of what they have
	deciding kind = "module" // they run the module
	whole    kind = "whole"  // both: as many as there are real ones, to be held against them
	member   kind = "member" // they know each other
)

// mostSeeds is how many members others are told of at their start.
const mostSeeds = 8

// beside keeps those with a copy on disk from being the members, where there are as many of both.
const beside = 7

// kindOf is that of the initiator of a number: kinds are spread evenly, so that each size has its share.
func (f *fleet) kindOf(i int) kind {
	switch {
	case i < f.spec.Real:
		return whole
	case every(i, f.spec.Modules, f.spec.all()):
		return deciding
	case every(i, f.spec.Members, f.spec.all()):
		return member
	case f.byFeed() && every(i+beside, f.spec.Disk, f.spec.all()):
		return onDisk
	}
	return plain
}

// scale starts hosts until so many hollow initiators are there, off as yet.
func (f *fleet) scale(to int) error {
	ways, err := f.waysOf()
	if err != nil {
		return err
	}
	groups := map[kind][]hollowSpec{}
	for i := f.hollow; i < to; i++ {
		k := f.kindOf(i)
		x := hollowSpec{Name: nameOf(i), Region: f.region(i).Name, Zone: f.zone(i), Seed: f.spec.Seed + uint64(i), Module: k == deciding || k == whole, Disk: k == onDisk || k == whole}
		if k == member {
			bind, err := ports.Free(1)
			if err != nil {
				return err
			}
			x.Bind, x.Seeds = bind[0], f.seeds
			if len(f.seeds) < mostSeeds {
				f.seeds = append(slices.Clone(f.seeds), x.Bind)
			}
		}
		groups[k] = append(groups[k], x)
	}
	for _, k := range []kind{plain, onDisk, member, deciding, whole} {
		for some := range slices.Chunk(groups[k], f.spec.PerProcess) {
			p := &proc{name: fmt.Sprint("host-", len(f.hosts)), path: f.opt.Self, args: []string{"host"}, dir: f.dir}
			if err := p.start(true); err != nil {
				return err
			}
			f.hosts, f.kinds, f.counts = append(f.hosts, p), append(f.kinds, k), append(f.counts, len(some))
			o := order{Do: "add", Add: some, Ways: ways, Crowd: f.spec.all(), Dir: f.dir, Fleet: fleetName}
			if !f.byFeed() {
				o.Known = f.service.list()
			}
			if err := p.tell(o, nil); err != nil {
				return err
			}
		}
	}
	f.hollow = max(f.hollow, to)
	return nil
}

// every tells whether the i-th of all is one of so many, spread evenly.
func every(i, some, all int) bool { return i*some/all != (i+1)*some/all }

// shares shares out so many of all initiators over the hosts: those with a copy on disk first, as initiators have one.
func (f *fleet) shares(n int) []int {
	shares := make([]int, len(f.hosts))
	for _, first := range []bool{true, false} {
		for i, k := range f.kinds {
			if (k == onDisk || k == whole) == first {
				shares[i] = min(n, f.counts[i])
				n -= shares[i]
			}
		}
	}
	return shares
}

// each has all hosts do something at a time and adds up their answers.
func (f *fleet) each(o order) (sum state, err error) {
	answers, errs := make([]state, len(f.hosts)), make([]error, len(f.hosts))
	shares := f.shares(o.Number)
	var all sync.WaitGroup
	for i, p := range f.hosts {
		mine := o
		mine.Seed += uint64(i)
		if o.Do == "restart" && o.Number > 0 {
			if mine.Number = shares[i]; mine.Number == 0 {
				continue
			}
		}
		all.Go(func() { errs[i] = p.tell(mine, &answers[i]) })
	}
	all.Wait()
	for _, a := range answers {
		sum.add(a)
	}
	return sum, errors.Join(errs...)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// add adds what another host has answered.
func (s *state) add(a state) {
	s.Running, s.Pending, s.Reached, s.Broken, s.Missing = s.Running+a.Running, s.Pending+a.Pending, s.Reached+a.Reached, s.Broken+a.Broken, s.Missing+a.Missing
	s.In, s.Out, s.Moves = s.In+a.In, s.Out+a.Out, s.Moves+a.Moves
	s.Lags, s.What, s.Names = append(s.Lags, a.Lags...), append(s.What, a.What...), append(s.Names, a.Names...)
	for at, n := range a.Done {
		if s.Done == nil {
			s.Done = map[string]int{}
		}
		s.Done[at] += n
	}
	for i, l := range a.Last {
		if i == len(s.Last) {
			s.Last = append(s.Last, l)
		} else if l.Who != "" && (s.Last[i].Who == "" || l.Ms > s.Last[i].Ms) {
			s.Last[i] = l
		}
	}
}

// lacks tells whether, of so many, one does not run or has not what was asked about.
func (s *state) lacks(of int) bool { return s.Pending > 0 || s.Running < of || s.Reached < s.Running }

func answers(url string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends whatever was begun.
func (f *fleet) close() {
	f.load.stop()
	for _, p := range f.hosts {
		if p.alive() {
			p.in.Close() // it ends by itself then
		}
	}
	var all sync.WaitGroup
	var reals []*proc
	for _, r := range f.reals {
		reals = append(reals, r.proc)
	}
	for i, p := range [][]*proc{reals, f.relays, f.agents, f.hosts} {
		for _, p := range p {
			if p.cmd == nil || !p.alive() {
				continue
			}
			all.Go(func() {
				p.signal(contSignal) // a paused one hears nothing else
				p.stop([]time.Duration{6 * time.Second, 3 * time.Second, 3 * time.Second, 10 * time.Second}[i])
			})
		}
	}
	all.Wait()
	for _, links := range f.links {
		for _, l := range links {
			l.Close()
		}
	}
	if f.service != nil {
		f.service.close()
	}
	if f.targets != nil {
		f.targets.close()
	}
	if f.opt.Dir == "" {
		os.RemoveAll(f.dir)
	}
}
