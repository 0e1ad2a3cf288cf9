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

// fleetName is the fleet name of the feed in a run.
const fleetName = "scale"

// usesFeed reports whether the feed distributes changes.
func (f *fleet) usesFeed() bool { return f.spec.Mechanism == "feed" }

// startAgents starts the agents and waits for a leader.
func (f *fleet) startAgents() error {
	addrs, err := ports.Free(2 * f.spec.Agents)
	if err != nil {
		return err
	}
	f.agentAddrs = addrs[:f.spec.Agents]
	for i := range f.agentAddrs {
		var b strings.Builder
		dir := filepath.Join(f.dir, fmt.Sprint("agent-", i, ".data"))
		f.agentDirs = append(f.agentDirs, dir)
		fmt.Fprintf(&b, "[agent]\nid = \"agent-%d\"\ndir = %q\n", i, dir)
		for j := range f.agentAddrs {
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
	f.client = &agent.Client{Addrs: f.agentAddrs}
	_, err = f.awaitLeader()
	return err
}

// awaitLeader waits for a leader and returns its index.
func (f *fleet) awaitLeader() (leader int, err error) {
	err = f.waitUntil("a leader of the agents", setupTimeout, func() bool {
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

// startRelays starts the relays, spread over the regions. Each connects to the agents by links of its own.
func (f *fleet) startRelays() error {
	addrs, err := ports.Free(f.spec.Relays)
	if err != nil {
		return err
	}
	for i, listen := range addrs {
		at := relayAddr{ID: fmt.Sprint("relay-", i), Region: f.region(i).Name, Addr: listen}
		var agents []string
		for k, a := range f.agentAddrs {
			way, err := f.newLink(at.Region, fmt.Sprint("agent-", k), a)
			if err != nil {
				return err
			}
			agents = append(agents, fmt.Sprintf("%q", way))
		}
		f.agentLinks = append(f.agentLinks, slices.Clone(f.links[at.Region][len(f.links[at.Region])-len(f.agentAddrs):]))
		text := fmt.Sprintf("[relay]\nid = %q\nfleet = %q\nregion = %q\nlisten = %q\nagents = [%s]\ndir = %q\n", at.ID, fleetName, at.Region, listen,
			strings.Join(agents, ", "), filepath.Join(f.dir, at.ID+".data"))
		path := filepath.Join(f.dir, at.ID+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		p := &proc{name: at.ID, path: f.opt.Program, args: []string{"relay", "--operator", path}, dir: f.dir}
		f.relays, f.relayAddrs = append(f.relays, p), append(f.relayAddrs, at)
		if err := p.start(false); err != nil {
			return err
		}
	}
	for i, at := range f.relayAddrs {
		if err := f.waitUntil(f.relays[i].name+" answers", setupTimeout, func() bool { return respondsOK("http://" + at.Addr + "/v1/feed") }); err != nil {
			return err
		}
	}
	return nil
}

// relaysSeenFrom returns the relays with the addresses that a region uses: its own directly, the others by links of that region.
func (f *fleet) relaysSeenFrom(region string) (all []relayAddr, err error) {
	for _, at := range f.relayAddrs {
		if at.Region != region {
			if at.Addr, err = f.newLink(region, at.ID, at.Addr); err != nil {
				return nil, err
			}
		}
		all = append(all, at)
	}
	return all, nil
}

// putsPerChange is the most targets in one change: a change is sent to a reader in one piece.
const putsPerChange = 50

// publish publishes changed targets and returns the version that includes all of them.
func (f *fleet) publish(ctx context.Context, e []targetlist.Entry) (version uint64, err error) {
	if !f.usesFeed() {
		version, _ = f.discovery.publish(e...)
		return version, nil
	}
	for len(e) > 0 {
		batch := e[:min(putsPerChange, len(e))]
		e = e[len(batch):]
		c := watchstream.Change{Fleet: fleetName}
		for _, x := range batch {
			text, err := jsonFormat.Marshal(x)
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

// layerChange chooses a configuration layer and returns a function that changes it, by one change for all initiators that it applies to.
func (w *changeWriter) layerChange(shared bool) func(context.Context) (changeMark, error) {
	f := w.f
	m := changeMark{Lane: hollow.Config}
	key := "shared"
	if !shared {
		i := w.rng.IntN(max(1, f.hollowCount))
		switch w.rng.IntN(4) {
		case 0:
			m.Region = f.region(i).Name
			key = "region/" + m.Region
		case 1:
			m.Zone = f.zone(i)
			key = "zone/" + m.Zone
		case 2:
			m.Name = hollowName(i)
			key = "instance/" + m.Name
		}
	}
	value := fmt.Appendf(nil, `{"limits":{"sockets":%d}}`, 1024+w.changes%1024)
	return func(ctx context.Context) (_ changeMark, err error) {
		m.At = monotonic.Now()
		m.Version, err = f.client.PutChange(ctx, watchstream.Change{Fleet: fleetName, Puts: []watchstream.Put{{Kind: watchstream.Config, Key: key, Value: value}}})
		return m, err
	}
}

// hollowName returns the name of the hollow initiator with an index.
func hollowName(i int) string { return fmt.Sprintf("h%04d", i) }
