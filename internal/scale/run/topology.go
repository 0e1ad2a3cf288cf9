package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/agent"
	"spindlehitch/internal/faults"
	"spindlehitch/internal/listing"
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
	spec    *Spec
	opt     Options
	ctx     context.Context
	dir     string
	began   time.Time
	service *service
	targets *answering
	agents  []*proc
	apis    []string // the agents'
	dirs    []string // the agents'
	relays  []*proc
	relayAt []relayAt
	ways    map[string]ways
	hosts   []*proc
	kinds   []kind   // of each host's initiators
	counts  []int    // how many each has
	hollow  int      // initiators in hosts
	seeds   []string // members that others begin with
	reals   []*proc
	ends    []string                  // the reals' addresses
	links   map[string][]*faults.Link // of each region, to all that is outside it
	client  *agent.Client
	entries []listing.Entry
	turns   []int64 // changes of each
	mu      sync.Mutex
	load    load
}

// newFleet starts discovery, targets, agents and what else there is before the first initiator.
func newFleet(ctx context.Context, spec *Spec, opt Options) (f *fleet, err error) {
	f = &fleet{spec: spec, opt: opt, ctx: ctx, dir: opt.Dir, began: time.Now(), links: map[string][]*faults.Link{}}
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

// grow makes more targets and returns them, each a shard of its own. The first few answer.
func (f *fleet) grow(to int) []listing.Entry {
	from := len(f.entries)
	for i := from; i < to; i++ {
		e := listing.Entry{ID: fmt.Sprintf("t%05d", i), Addr: "127.0.0.1:9", Zone: f.zone(i), Cell: new(int), State: "SERVING"}
		if *e.Cell = i; i < len(f.targets.addrs) {
			e.Addr = f.targets.addrs[i]
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

// startAgents starts them and waits for a leader.
func (f *fleet) startAgents() error {
	addrs, err := freeAddrs(2 * f.spec.Agents)
	if err != nil {
		return err
	}
	f.apis = addrs[:f.spec.Agents]
	for i := range f.apis {
		var b strings.Builder
		dir := filepath.Join(f.dir, fmt.Sprint("agent-", i, ".data"))
		f.dirs = append(f.dirs, dir)
		fmt.Fprintf(&b, "[agent]\nid = \"agent-%d\"\ndir = %q\n", i, dir)
		for j := range f.apis {
			fmt.Fprintf(&b, "[[agent.peer]]\nid = \"agent-%d\"\nraft = %q\napi = %q\n", j, addrs[f.spec.Agents+j], addrs[j])
		}
		path := filepath.Join(f.dir, fmt.Sprintf("agent-%d.toml", i))
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			return err
		}
		p := &proc{name: fmt.Sprint("agent-", i), path: f.opt.Program, args: []string{"agent", "--operator", path}, dir: f.dir}
		f.agents = append(f.agents, p)
		if err := p.start(false); err != nil {
			return err
		}
	}
	f.client = &agent.Client{Addrs: f.apis}
	_, err = f.leader()
	return err
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

// leader waits until an agent leads, and tells which.
func (f *fleet) leader() (leader int, err error) {
	err = f.until("a leader of the agents", long, func() bool {
		for i, s := range f.client.Status(f.ctx) {
			if s.State == "Leader" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader, err
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
	member   kind = "member" // they know each other
)

// mostSeeds is how many members others are told of at their start.
const mostSeeds = 8

// kindOf is that of the initiator of a number: kinds are spread evenly, so that each size has its share.
func (f *fleet) kindOf(i int) kind {
	switch {
	case every(i, f.spec.Modules, f.spec.all()):
		return deciding
	case every(i, f.spec.Members, f.spec.all()):
		return member
	case f.byFeed() && every(i, f.spec.Disk, f.spec.all()):
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
		x := hollowSpec{Name: nameOf(i), Region: f.region(i).Name, Zone: f.zone(i), Seed: f.spec.Seed + uint64(i), Module: k == deciding, Disk: k == onDisk}
		if k == member {
			bind, err := freeAddrs(1)
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
	for _, k := range []kind{plain, onDisk, member, deciding} {
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

// each has all hosts do something at a time and adds up their answers.
func (f *fleet) each(o order) (sum state, err error) {
	answers, errs := make([]state, len(f.hosts)), make([]error, len(f.hosts))
	var all sync.WaitGroup
	for i, p := range f.hosts {
		mine := o
		mine.Seed += uint64(i)
		if o.Do == "restart" && o.Number > 0 { // shared out
			mine.Number = o.Number/len(f.hosts) + btoi(i < o.Number%len(f.hosts))
			if mine.Number == 0 {
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

// startReals starts initiators as they are.
func (f *fleet) startReals() error {
	addrs, err := freeAddrs(2 * f.spec.Real)
	if err != nil {
		return err
	}
	for i := range f.spec.Real {
		r := f.region(i)
		found, err := f.way(r.Name, "discovery", f.service.addr)
		if err != nil {
			return err
		}
		name := fmt.Sprint("real-", i)
		text, err := format.Marshal(map[string]any{"name": name, "listen": addrs[2*i], "control": addrs[2*i+1], "discovery": found, "known": f.service.list(),
			"settings": rawText(fmt.Sprintf(settings, f.spec.all()+f.spec.Real))})
		path := filepath.Join(f.dir, name+".json")
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			return err
		}
		p := &proc{name: name, path: f.opt.Program, args: []string{"serve"}, env: []string{"PROXY_CONFIG=" + path}, dir: f.dir}
		if err := p.start(false); err != nil {
			return err
		}
		f.reals, f.ends = append(f.reals, p), append(f.ends, addrs[2*i])
	}
	for i, at := range f.ends {
		if err := f.until(f.reals[i].name+" is ready", long, func() bool { return answers("http://" + at + "/-/ready") }); err != nil {
			return err
		}
	}
	return nil
}

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
	for i, p := range [][]*proc{f.reals, f.relays, f.agents, f.hosts} {
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

// answering is the targets that answer.
type answering struct {
	addrs   []string
	servers []*http.Server
	asked   []atomic.Int64
	drained []atomic.Int64 // since when it is, in Unix milliseconds; 0: it is not
	late    atomic.Int64   // requests longer after a drain than any initiator may be without it
	from    atomic.Int64   // requests are judged since then, in Unix milliseconds
}

// drainBy is when all are told of a drain where nothing is cut off.
const drainBy = 15 * time.Second

func newAnswering(n int) (*answering, error) {
	a := &answering{asked: make([]atomic.Int64, n), drained: make([]atomic.Int64, n)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, err
		}
		s := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a.asked[i].Add(1)
			if since := a.drained[i].Load(); since > 0 && time.Now().UnixMilli()-max(since, a.from.Load()) > drainBy.Milliseconds() {
				a.late.Add(1)
			}
			fmt.Fprint(w, "from the target")
		})}
		a.addrs, a.servers = append(a.addrs, l.Addr().String()), append(a.servers, s)
		go s.Serve(l)
	}
	return a, nil
}

// judgeFrom has requests be judged from then on.
func (a *answering) judgeFrom(at time.Time) { a.from.Store(at.UnixMilli()) }

func (a *answering) total() (n int64) {
	for i := range a.asked {
		n += a.asked[i].Load()
	}
	return n
}

func (a *answering) close() {
	for _, s := range a.servers {
		s.Close()
	}
}
