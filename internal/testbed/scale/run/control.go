package run

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/ports"
	"spindlehitch/internal/testbed/scale/hollow"
)

// fleetName is the run's.
const fleetName = "scale"

// byFeed tells whether the feed carries changes.
func (f *fleet) byFeed() bool { return f.spec.Mechanism == "feed" }

// startAgents starts them and waits for a leader.
func (f *fleet) startAgents() error {
	addrs, err := ports.Free(2 * f.spec.Agents)
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

// startRelays starts them, spread over the regions; each meets the agents by its region's links.
func (f *fleet) startRelays() error {
	addrs, err := ports.Free(f.spec.Relays)
	if err != nil {
		return err
	}
	for i, listen := range addrs {
		at := relayAt{ID: fmt.Sprint("relay-", i), Region: f.region(i).Name, Addr: listen}
		var agents []string
		for k, a := range f.apis {
			way, err := f.way(at.Region, fmt.Sprint("agent-", k), a)
			if err != nil {
				return err
			}
			agents = append(agents, fmt.Sprintf("%q", way))
		}
		f.toAgents = append(f.toAgents, slices.Clone(f.links[at.Region][len(f.links[at.Region])-len(f.apis):]))
		text := fmt.Sprintf("[relay]\nid = %q\nfleet = %q\nregion = %q\nlisten = %q\nagents = [%s]\ndir = %q\n", at.ID, fleetName, at.Region, listen,
			strings.Join(agents, ", "), filepath.Join(f.dir, at.ID+".data"))
		path := filepath.Join(f.dir, at.ID+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		p := &proc{name: at.ID, path: f.opt.Program, args: []string{"relay", "--operator", path}, dir: f.dir}
		f.relays, f.relayAt = append(f.relays, p), append(f.relayAt, at)
		if err := p.start(false); err != nil {
			return err
		}
	}
	for i, at := range f.relayAt {
		if err := f.until(f.relays[i].name+" answers", long, func() bool { return answers("http://" + at.Addr + "/v1/feed") }); err != nil {
			return err
		}
	}
	return nil
}

// relaysFrom is the relays as a region meets them: its own at their addresses, the others by links of that region.
func (f *fleet) relaysFrom(region string) (all []relayAt, err error) {
	for _, at := range f.relayAt {
		if at.Region != region {
			if at.Addr, err = f.way(region, at.ID, at.Addr); err != nil {
				return nil, err
			}
		}
		all = append(all, at)
	}
	return all, nil
}

// putsOf is how many targets go in one change where many come: a change goes to a reader in one piece.
const putsOf = 50

// put has targets changed, and tells the version with which all of it is.
func (f *fleet) put(ctx context.Context, e []targetlist.Entry) (version uint64, err error) {
	if !f.byFeed() {
		version, _ = f.service.change(e...)
		return version, nil
	}
	for len(e) > 0 {
		some := e[:min(putsOf, len(e))]
		e = e[len(some):]
		c := watchstream.Change{Fleet: fleetName}
		for _, x := range some {
			text, err := format.Marshal(x)
			if err != nil {
				return 0, err
			}
			c.Puts = append(c.Puts, watchstream.Put{Kind: watchstream.Targets, Key: x.ID, Value: text})
		}
		if version, err = f.client.PutChange(ctx, c); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// layer decides on a layer of the configuration and returns what changes it: one change, whatever it reaches.
func (w *writer) layer(shared bool) func(context.Context) (mark, error) {
	f := w.f
	m := mark{Lane: hollow.Config}
	key := "shared"
	if !shared {
		i := w.rng.IntN(max(1, f.hollow))
		switch w.rng.IntN(4) {
		case 0:
			m.Region = f.region(i).Name
			key = "region/" + m.Region
		case 1:
			m.Zone = f.zone(i)
			key = "zone/" + m.Zone
		case 2:
			m.Name = nameOf(i)
			key = "instance/" + m.Name
		}
	}
	value := fmt.Appendf(nil, `{"limits":{"sockets":%d}}`, 1024+w.made%1024)
	return func(ctx context.Context) (_ mark, err error) {
		m.At = monotonic.Now()
		m.Version, err = f.client.PutChange(ctx, watchstream.Change{Fleet: fleetName, Puts: []watchstream.Put{{Kind: watchstream.Config, Key: key, Value: value}}})
		return m, err
	}
}

// nameOf is the name of the hollow initiator of a number.
func nameOf(i int) string { return fmt.Sprintf("h%04d", i) }
