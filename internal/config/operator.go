package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/agent"
	"spindlehitch/internal/control"
	"spindlehitch/internal/fleet"
	"spindlehitch/internal/fleet/lease"
	"spindlehitch/internal/keys"
	"spindlehitch/internal/nvme"
)

// Operator is what an operator's file may set up beside the platform's configuration. All of it is off
// where there is no such file.
type Operator struct {
	NVMe     *NVMe     `toml:"nvme"`
	Agent    *Agent    `toml:"agent"`
	Accounts *Accounts `toml:"accounts"`
	Fleet    *Fleet    `toml:"fleet"`
}

// Fleet has an instance keep to its part of fleet-wide budgets.
type Fleet struct {
	Agents []string    `toml:"agents"`
	Weight float64     `toml:"weight"` // in divisions, 1 where it is not told
	Uses   []fleet.Use `toml:"uses"`   // nothing of these is used before the budgets are known; all where it is not told
	Tasks  []string    `toml:"tasks"`  // of the fleet, that this instance can do; none where it is not told
}

func (f *Fleet) check() error {
	if len(f.Agents) == 0 {
		return Missing("agents")
	}
	for i, a := range f.Agents {
		if err := checkAddr(a); err != nil {
			return fmt.Errorf("agents[%d]: %w", i, err)
		}
	}
	if f.Weight == 0 {
		f.Weight = 1
	}
	if !(f.Weight > 0 && f.Weight <= 1000) {
		return fmt.Errorf("weight: %v is not over 0 and up to 1000", f.Weight)
	}
	if f.Uses == nil {
		f.Uses = slices.Clone(fleet.Uses)
	}
	for i, u := range f.Uses {
		if !slices.Contains(fleet.Uses, u) {
			return fmt.Errorf("uses[%d]: unknown use %q", i, u)
		}
	}
	if len(f.Tasks) > lease.MostTasks {
		return fmt.Errorf("tasks: %d are too many, %d at most", len(f.Tasks), lease.MostTasks)
	}
	for i, t := range f.Tasks {
		switch {
		case t == "" || len(t) > fleet.MostName:
			return fmt.Errorf("tasks[%d]: wanted 1 to %d bytes", i, fleet.MostName)
		case slices.Contains(f.Tasks[:i], t):
			return fmt.Errorf("tasks[%d]: %q is there twice", i, t)
		}
	}
	return nil
}

// readFile reads a file of its own, and has it checked; errors name file and field.
func readFile[D any](path string, check func(*D) error) (d D, err error) {
	meta, err := toml.DecodeFile(path, &d)
	switch {
	case err != nil:
	case len(meta.Undecoded()) > 0:
		err = fmt.Errorf("%s: unknown field", meta.Undecoded()[0])
	default:
		err = check(&d)
	}
	if err != nil {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// ReadBudgets reads a set of budgets and checks it, against an instance's configuration where one is given.
func ReadBudgets(path string, c *Config) (fleet.Doc, error) {
	return readFile(path, func(d *fleet.Doc) error {
		if err := d.Check(); err != nil || c == nil {
			return err
		}
		return d.CheckNames(c.Plans(), c.Classes())
	})
}

// ReadTasks reads a set of tasks and checks it, against the fleet's renewals and seats where they are given.
func ReadTasks(path string, f *fleet.Doc) (lease.Doc, error) {
	return readFile(path, func(d *lease.Doc) error { return d.Check(f) })
}

// Accounts has latency accounts kept by volume.
type Accounts struct {
	Listen  string `toml:"listen"`   // where they are told; empty: nowhere
	Dir     string `toml:"dir"`      // where each window's are kept; empty: not
	WindowS int    `toml:"window_s"` // 60 where it is not told
	Keep    int    `toml:"keep"`     // files, 1,440 where it is not told
	Volumes int    `toml:"volumes"`  // accounts at a time, 4,096 where it is not told
	Pairs   int    `toml:"pairs"`    // of volume and cause, 4,096 where it is not told
	Open    int    `toml:"open"`     // requests at a time, 8,192 where it is not told
}

func (a *Accounts) check() error {
	if a.Listen != "" {
		if err := checkAddr(a.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	for _, f := range []struct {
		field string
		value *int
		usual int
	}{{"window_s", &a.WindowS, 60}, {"keep", &a.Keep, 1440}, {"volumes", &a.Volumes, 4096}, {"pairs", &a.Pairs, 4096}, {"open", &a.Open, 8192}} {
		if *f.value < 0 {
			return fmt.Errorf("%s: %d is negative", f.field, *f.value)
		}
		if *f.value == 0 {
			*f.value = f.usual
		}
	}
	return nil
}

// Agent sets up one of the few agents that keep the instances' configurations.
type Agent struct {
	ID    string       `toml:"id"`
	Dir   string       `toml:"dir"`
	Peers []agent.Peer `toml:"peer"`
}

// NVMe sets up NVMe over TCP in place of the platform's wire, towards hosts and targets alike.
type NVMe struct {
	Listen          string           `toml:"listen"`
	Subsystem       string           `toml:"subsystem"`        // the name hosts connect to
	TargetSubsystem string           `toml:"target_subsystem"` // the name targets go by
	HostNQN         string           `toml:"host_nqn"`         // this initiator's name towards targets
	HostID          string           `toml:"host_id"`          // 32 hex digits
	QueueDepth      int              `toml:"queue_depth"`
	KeepAliveMs     int              `toml:"keep_alive_ms"`
	Digests         bool             `toml:"digests"` // asked of targets; hosts choose for themselves
	TLS             *keys.Files      `toml:"tls"`
	Namespaces      []nvme.Namespace `toml:"namespace"`
}

// ReadOperator reads an operator's file and checks it against the platform's settings. A field that is not
// known stops the start as well: it is a spelling mistake that would silently change nothing.
func ReadOperator(path string, c *Config) (*Operator, error) {
	o, err := readOperator(path)
	if err == nil && o.NVMe != nil {
		if err = o.NVMe.check(c); err != nil {
			err = fmt.Errorf("operator's file: nvme.%w", err)
		}
	}
	return o, err
}

// ReadAgent reads the part of an operator's file that sets up an agent.
func ReadAgent(path string) (*Agent, error) {
	o, err := readOperator(path)
	switch {
	case err != nil:
		return nil, err
	case o.Agent == nil:
		return nil, fmt.Errorf("operator's file: %w", Missing("agent"))
	}
	return o.Agent, nil
}

func readOperator(path string) (*Operator, error) {
	var o Operator
	meta, err := toml.DecodeFile(path, &o)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("operator's file: %s: unknown field", unknown[0])
	}
	if o.Agent != nil {
		if err := o.Agent.check(); err != nil {
			return nil, fmt.Errorf("operator's file: agent.%w", err)
		}
	}
	if o.Accounts != nil {
		if err := o.Accounts.check(); err != nil {
			return nil, fmt.Errorf("operator's file: accounts.%w", err)
		}
	}
	if o.Fleet != nil {
		if err := o.Fleet.check(); err != nil {
			return nil, fmt.Errorf("operator's file: fleet.%w", err)
		}
	}
	return &o, nil
}

func (a *Agent) check() error {
	switch {
	case a.Dir == "":
		return Missing("dir")
	case len(a.Peers) == 0:
		return Missing("peer")
	}
	seen := map[string]bool{}
	for i, p := range a.Peers {
		if p.ID == "" || seen[p.ID] {
			return fmt.Errorf("peer[%d].id: missing or there twice", i)
		}
		seen[p.ID] = true
		for _, f := range []struct{ field, addr string }{{"raft", p.Raft}, {"api", p.API}} {
			if err := checkAddr(f.addr); err != nil {
				return fmt.Errorf("peer[%d].%s: %w", i, f.field, err)
			}
		}
	}
	if !seen[a.ID] {
		return fmt.Errorf("id: %q is none of the peers", a.ID)
	}
	return nil
}

// API is where this agent answers.
func (a *Agent) API() string {
	for _, p := range a.Peers {
		if p.ID == a.ID {
			return p.API
		}
	}
	return ""
}

func (n *NVMe) check(c *Config) error {
	if err := checkAddr(n.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	for _, f := range []struct{ field, nqn string }{{"subsystem", n.Subsystem},
		{"target_subsystem", n.TargetSubsystem}, {"host_nqn", n.HostNQN}} {
		if l := len(f.nqn); l == 0 || l > 223 {
			return fmt.Errorf("%s: wanted 1 to 223 bytes", f.field)
		}
	}
	if n.QueueDepth == 0 {
		n.QueueDepth = 64
	}
	if n.KeepAliveMs == 0 {
		n.KeepAliveMs = 5000
	}
	switch id, err := hex.DecodeString(n.HostID); {
	case err != nil || len(id) != 16:
		return errors.New("host_id: wanted 32 hex digits")
	case n.QueueDepth < 2 || n.QueueDepth > 1024:
		return errors.New("queue_depth: wanted 2 to 1024")
	case n.KeepAliveMs < 200:
		return errors.New("keep_alive_ms: at least 200")
	case len(n.Namespaces) == 0:
		return errors.New("namespace: at least one")
	}
	if n.TLS != nil {
		if err := n.TLS.Check(); err != nil {
			return fmt.Errorf("tls.%w", err)
		}
	}
	classes, plans := c.Classes(), c.Plans()
	seen := map[uint32]bool{}
	for i := range n.Namespaces {
		s := &n.Namespaces[i]
		if err := s.Check(classes, plans); err != nil {
			return fmt.Errorf("namespace[%d].%w", i, err)
		}
		if seen[s.ID] {
			return fmt.Errorf("namespace[%d].id: %d is there twice", i, s.ID)
		}
		seen[s.ID] = true
	}
	return nil
}

// Host is this initiator as a host of its targets.
func (n *NVMe) Host() nvme.HostOptions {
	h := nvme.HostOptions{Subsystem: n.TargetSubsystem, HostNQN: n.HostNQN, Digests: n.Digests,
		KeepAlive: time.Duration(n.KeepAliveMs) * time.Millisecond}
	id, _ := hex.DecodeString(n.HostID)
	copy(h.HostID[:], id)
	return h
}

// Controller is this initiator as its hosts' controller. Connections and data held have their part of the
// process's limits.
func (n *NVMe) Controller(c *Config) nvme.Options {
	o := nvme.Options{Subsystem: n.Subsystem, Namespaces: n.Namespaces, QueueDepth: n.QueueDepth,
		MostConn: c.ClientConns(), MostBytes: int64(c.Limits.MemoryMB) << 20 / 4, Patience: map[string]time.Duration{}}
	for _, k := range c.Module.Classes {
		o.Patience[k.Name] = k.Deadline
	}
	return o
}

// Classes are the names of the classes served.
func (c *Config) Classes() map[string]bool {
	m := map[string]bool{}
	for _, k := range c.Module.Classes {
		m[k.Name] = true
	}
	return m
}

// Plans are the names of the plans known.
func (c *Config) Plans() map[string]bool {
	m := map[string]bool{}
	for _, p := range c.Module.Plans {
		m[p.Name] = true
	}
	return m
}

// spareFiles are descriptors kept for discovery, the listener, logs and the runtime, some dozen, and for connections past
// the clients' cap.
const spareFiles = 28

// clientBytes is about what a client's connection takes: buffers, a goroutine's stack, a request.
const clientBytes = 24 << 10

// ClientConns is how many connections clients may hold, beside the targets' and the spare descriptors, and in a third of
// the memory.
func (c *Config) ClientConns() int {
	n := min(c.Limits.Sockets-c.AllTargetConns()-spareFiles-control.MostFiles, c.Limits.MemoryMB<<20/3/clientBytes)
	return max(n, 8)
}

// Part is what one of so many processes, which share the limits, may have.
func (c *Config) Part(parts int) *Config {
	part := *c
	part.Limits.Sockets, part.Limits.MemoryMB = c.Limits.Sockets/max(parts, 1), c.Limits.MemoryMB/max(parts, 1)
	return &part
}

// EasyConns is how many connections of clients may be without a request: half of the third of all descriptors that
// clients hold at most.
func (c *Config) EasyConns() int { return c.Limits.Sockets / 6 }

// TargetConns is how many connections one target's pool may hold: more than the module ever has out there,
// overdue attempts and answers that pass through slowly included, where the descriptors allow it.
func (c *Config) TargetConns() int { return min(160, c.AllTargetConns()) }

// AllTargetConns is how many connections all targets' pools may hold together.
func (c *Config) AllTargetConns() int { return c.Limits.Sockets * 3 / 10 }
