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

// Options are the parameters of a run that are not in its file.
type Options struct {
	Self    string    // path of the program of the run, which the hosts run as well
	Program string    // path of spindlehitch
	Dir     string    // directory for logs and state; if empty, a temporary one that is removed after the run
	Log     io.Writer // receives progress messages
}

// fleet is all processes of a run and the stand-ins for discovery and the targets. mu guards entries, stateChanges and changing while changes are being made.
type fleet struct {
	spec         *Spec
	opt          Options
	ctx          context.Context
	dir          string
	began        time.Time
	discovery    *discoveryService
	targets      *targetServers
	agents       []*proc
	agentAddrs   []string
	agentDirs    []string
	relays       []*proc
	relayAddrs   []relayAddr
	addrs        map[string]controlAddrs // by region, set by controlAddrs on its first call
	hosts        []*proc
	hostKinds    []hostKind // of the initiators of each host
	hostSizes    []int      // number of initiators in each host
	hollowCount  int        // hollow initiators in all hosts
	memberSeeds  []string   // addresses of the members that new members join through
	reals        []*realInitiator
	regressions  int                       // times that a real initiator reported an older version than before
	links        map[string][]*faults.Link // by region, to everything outside it
	agentLinks   [][]*faults.Link          // by relay, the subset of links that leads to the agents
	client       *agent.Client
	entries      []targetlist.Entry
	stateChanges []int64      // number of state changes of each entry
	changing     map[int]bool // indexes of the entries with a change in progress
	mu           sync.Mutex
	load         load
}

// newFleet starts discovery, targets, agents and relays, but no initiator.
func newFleet(ctx context.Context, spec *Spec, opt Options) (f *fleet, err error) {
	f = &fleet{spec: spec, opt: opt, ctx: ctx, dir: opt.Dir, began: time.Now(), links: map[string][]*faults.Link{}, changing: map[int]bool{}}
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
	if f.targets, err = newTargetServers(spec.AnsweringTargets); err != nil {
		return nil, err
	}
	f.addTargets(spec.Targets[0])
	if f.discovery, err = newDiscoveryService(f.entries); err != nil {
		return nil, err
	}
	if err = f.startAgents(); err != nil || !f.usesFeed() {
		return f, err
	}
	if _, err = f.publish(ctx, f.entries); err != nil {
		return f, err
	}
	return f, f.startRelays()
}

// logf writes a progress message.
func (f *fleet) logf(layout string, args ...any) {
	fmt.Fprintf(f.opt.Log, "%6.1f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(layout, args...))
}

// addTargets creates targets up to a number in all and returns the new ones. The first few answer requests and share a shard in pairs; each other target is a shard of
// its own.
func (f *fleet) addTargets(total int) []targetlist.Entry {
	from := len(f.entries)
	for i := from; i < total; i++ {
		e := targetlist.Entry{ID: fmt.Sprintf("t%05d", i), Addr: "127.0.0.1:9", Zone: f.zone(i), Shard: new(int), State: "SERVING"}
		if *e.Shard = i; i < len(f.targets.addrs) {
			e.Addr, *e.Shard = f.targets.addrs[i], i/2
		}
		f.entries, f.stateChanges = append(f.entries, e), append(f.stateChanges, 0)
	}
	return f.entries[from:]
}

// region and zone return those of the initiator, relay or target with an index, which are spread evenly.
func (f *fleet) region(i int) Region { return f.spec.Regions[i%len(f.spec.Regions)] }
func (f *fleet) zone(i int) string {
	r := f.region(i)
	return r.Zones[i/len(f.spec.Regions)%len(r.Zones)]
}

// setupTimeout bounds each step of the setup, long enough for a busy machine.
const setupTimeout = 2 * time.Minute

// waitUntil polls until done returns true.
func (f *fleet) waitUntil(what string, within time.Duration, done func() bool) error {
	for end := time.Now().Add(within); !done(); {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
		if !f.sleep(50 * time.Millisecond) {
			return f.ctx.Err()
		}
	}
	return nil
}

// sleep waits for d and returns false if the run is interrupted.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ctx.Done():
		return false
	}
}

// newLink creates a link from a region to an address outside it and returns the link's address.
func (f *fleet) newLink(region, to, addr string) (string, error) {
	l, err := faults.NewLink(region, to, addr)
	if err != nil {
		return "", err
	}
	f.links[region] = append(f.links[region], l)
	return l.Addr, nil
}

// controlAddrs returns the control addresses of each region: the relays with the feed, and otherwise the discovery service and the agents, by links.
func (f *fleet) controlAddrs() (_ map[string]controlAddrs, err error) {
	if f.addrs != nil {
		return f.addrs, nil
	}
	all := map[string]controlAddrs{}
	for _, r := range f.spec.Regions {
		var w controlAddrs
		if f.usesFeed() {
			if w.Relays, err = f.relaysSeenFrom(r.Name); err != nil {
				return nil, err
			}
			all[r.Name] = w
			continue
		}
		at, err := f.newLink(r.Name, "discovery", f.discovery.addr)
		if err != nil {
			return nil, err
		}
		w.Discovery = at
		for i, a := range f.agentAddrs {
			if at, err = f.newLink(r.Name, fmt.Sprint("agent-", i), a); err != nil {
				return nil, err
			}
			w.Agents = append(w.Agents, at)
		}
		all[r.Name] = w
	}
	f.addrs = all
	return all, nil
}

// hostKind is the optional part that a host's initiators run. Each kind is measured separately.
type hostKind string

const (
	plain      hostKind = "plain"
	withDisk   hostKind = "disk"   // they keep a copy of their state on disk
	withModule hostKind = "module" // they run the scheduler
	withBoth   hostKind = "whole"  // both disk and scheduler: as many as there are real initiators, for comparison
	asMember   hostKind = "member" // they are members of the membership group
)

// maxSeeds is the most member addresses that a new member gets.
const maxSeeds = 8

// diskOffset shifts the selection of initiators with a copy on disk, so that they are not the members if there are as many of both.
const diskOffset = 7

// kindOf returns the kind of the initiator with an index. Kinds are spread evenly, so that each size has its share of them.
func (f *fleet) kindOf(i int) hostKind {
	switch {
	case i < f.spec.Real:
		return withBoth
	case evenlyChosen(i, f.spec.Modules, f.spec.maxInitiators()):
		return withModule
	case evenlyChosen(i, f.spec.Members, f.spec.maxInitiators()):
		return asMember
	case f.usesFeed() && evenlyChosen(i+diskOffset, f.spec.DiskCopies, f.spec.maxInitiators()):
		return withDisk
	}
	return plain
}

// startHosts starts hosts until there are a number of hollow initiators, which are not started yet.
func (f *fleet) startHosts(total int) error {
	regionAddrs, err := f.controlAddrs()
	if err != nil {
		return err
	}
	groups := map[hostKind][]hollowSpec{}
	for i := f.hollowCount; i < total; i++ {
		k := f.kindOf(i)
		x := hollowSpec{Name: hollowName(i), Region: f.region(i).Name, Zone: f.zone(i), Seed: f.spec.Seed + uint64(i), Module: k == withModule || k == withBoth, Disk: k == withDisk || k == withBoth}
		if k == asMember {
			bind, err := ports.Free(1)
			if err != nil {
				return err
			}
			x.Bind, x.Seeds = bind[0], f.memberSeeds
			if len(f.memberSeeds) < maxSeeds {
				f.memberSeeds = append(slices.Clone(f.memberSeeds), x.Bind)
			}
		}
		groups[k] = append(groups[k], x)
	}
	for _, k := range []hostKind{plain, withDisk, asMember, withModule, withBoth} {
		for specs := range slices.Chunk(groups[k], f.spec.PerProcess) {
			p := &proc{name: fmt.Sprint("host-", len(f.hosts)), path: f.opt.Self, args: []string{"host"}, dir: f.dir}
			if err := p.start(true); err != nil {
				return err
			}
			f.hosts, f.hostKinds, f.hostSizes = append(f.hosts, p), append(f.hostKinds, k), append(f.hostSizes, len(specs))
			o := hostOrder{Action: "add", Add: specs, ControlAddrs: regionAddrs, Initiators: f.spec.maxInitiators(), Dir: f.dir, Fleet: fleetName}
			if !f.usesFeed() {
				o.LastKnown = f.discovery.list()
			}
			if err := p.call(o, nil); err != nil {
				return err
			}
		}
	}
	f.hollowCount = max(f.hollowCount, total)
	return nil
}

// evenlyChosen reports whether the i-th of all items is one of a number of items that are spread evenly.
func evenlyChosen(i, chosen, all int) bool { return i*chosen/all != (i+1)*chosen/all }

// distribute assigns a number of initiators to the hosts, those with a copy on disk first, as real initiators have one.
func (f *fleet) distribute(n int) []int {
	shares := make([]int, len(f.hosts))
	for _, first := range []bool{true, false} {
		for i, k := range f.hostKinds {
			if (k == withDisk || k == withBoth) == first {
				shares[i] = min(n, f.hostSizes[i])
				n -= shares[i]
			}
		}
	}
	return shares
}

// broadcast sends an order to all hosts concurrently and returns the sum of their states.
func (f *fleet) broadcast(o hostOrder) (sum hostState, err error) {
	answers, errs := make([]hostState, len(f.hosts)), make([]error, len(f.hosts))
	shares := f.distribute(o.Number)
	var all sync.WaitGroup
	for i, p := range f.hosts {
		orderForHost := o
		orderForHost.Seed += uint64(i)
		if o.Action == "restart" && o.Number > 0 {
			if orderForHost.Number = shares[i]; orderForHost.Number == 0 {
				continue
			}
		}
		all.Go(func() { errs[i] = p.call(orderForHost, &answers[i]) })
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

// add adds the state of another host.
func (s *hostState) add(a hostState) {
	s.Running, s.Pending, s.Reached, s.Violations, s.Missing = s.Running+a.Running, s.Pending+a.Pending, s.Reached+a.Reached, s.Violations+a.Violations, s.Missing+a.Missing
	s.In, s.Out, s.RelayMoves = s.In+a.In, s.Out+a.Out, s.RelayMoves+a.RelayMoves
	s.Behind, s.ViolationTexts, s.Names = append(s.Behind, a.Behind...), append(s.ViolationTexts, a.ViolationTexts...), append(s.Names, a.Names...)
	for at, n := range a.Latencies {
		if s.Latencies == nil {
			s.Latencies = map[string]int{}
		}
		s.Latencies[at] += n
	}
	for i, l := range a.Last {
		if i == len(s.Last) {
			s.Last = append(s.Last, l)
		} else if l.Initiator != "" && (s.Last[i].Initiator == "" || l.Ms > s.Last[i].Ms) {
			s.Last[i] = l
		}
	}
}

// incomplete reports whether fewer than a number of initiators run, one is yet to restart, or one has not reached all marks.
func (s *hostState) incomplete(of int) bool {
	return s.Pending > 0 || s.Running < of || s.Reached < s.Running
}

func respondsOK(url string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close stops all processes, links and servers of the run.
func (f *fleet) close() {
	f.load.stop()
	for _, p := range f.hosts {
		if p.alive() {
			p.in.Close() // the host exits when its input ends
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
				p.signal(contSignal) // a paused process does not handle other signals
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
	if f.discovery != nil {
		f.discovery.close()
	}
	if f.targets != nil {
		f.targets.close()
	}
	if f.opt.Dir == "" {
		os.RemoveAll(f.dir)
	}
}
