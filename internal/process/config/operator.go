package config

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// OperatorFile is what an operator may configure beside the platform's configuration. Without such a file, all of it is
// off.
type OperatorFile struct {
	NVMe     *NVMe     `toml:"nvme"`
	Agent    *Agent    `toml:"agent"`
	Accounts *Accounts `toml:"accounts"`
	Fleet    *Fleet    `toml:"fleet"`
	Relay    *Relay    `toml:"relay"`
	Feed     *Feed     `toml:"feed"`
}

// Fleet configures an instance's part in fleet-wide budgets and tasks.
type Fleet struct {
	Agents            []string         `toml:"agents" validate:"required_without=Members,dive,addr"`
	Weight            float64          `toml:"weight" default:"1" validate:"gt=0,lte=1000"` // when budgets are divided among instances
	GovernedResources []quota.Resource `toml:"uses" validate:"dive,use"`                    // not used before the budgets are known; missing: all resources
	Tasks             []string         `toml:"tasks" validate:"max=64,unique,dive,name"`    // of the fleet that this instance can run; missing: none
	Members           *Membership      `toml:"members"`
}

// Membership configures the membership group, in which instances detect each other's failures without the agents.
type Membership struct {
	Bind             string   `toml:"bind" validate:"required,addr"`       // for UDP and TCP
	Advertise        string   `toml:"advertise" validate:"omitempty,addr"` // the address that others use; empty: Bind
	Seeds            []string `toml:"seeds" validate:"max=16,dive,addr"`   // addresses of some other members
	Zone             string   `toml:"zone" validate:"max=64"`
	Key              string   `toml:"key" validate:"required,max=64"` // of the fleet; messages with another key are ignored
	ProbeMs          int      `toml:"probe_ms" default:"1000" validate:"gte=50,lte=60000"`
	ProbeTimeoutMs   int      `toml:"timeout_ms" default:"300" validate:"gte=5,ltfield=ProbeMs"`
	PauseThresholdMs int      `toml:"pause_ms" default:"2000" validate:"gtfield=ProbeMs"` // a longer gap between two reads of the clock counts as a pause of the process
	SyncIntervalMs   int      `toml:"compare_ms" default:"10000" validate:"gtfield=ProbeMs"`
	TombstoneTTLS    int      `toml:"forget_s" default:"3600" validate:"gte=60"`
}

// SetDefaults implements defaults.Setter.
func (f *Fleet) SetDefaults() {
	if f.GovernedResources == nil {
		f.GovernedResources = slices.Clone(quota.Resources)
	}
}

// readTOML reads a TOML file and checks it; errors name the file and the field.
func readTOML[D any](path string, check func(*D) error) (d D, err error) {
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

// ReadBudgets reads a set of budgets and checks it; with an instance's configuration, also the names of plans and classes.
func ReadBudgets(path string, cfg *Config) (quota.Config, error) {
	return readTOML(path, func(d *quota.Config) error {
		if err := d.Validate(); err != nil || cfg == nil {
			return err
		}
		return d.ValidateNames(cfg.PlanNames(), cfg.ClassNames())
	})
}

// ReadTasks reads a set of tasks and checks it; with the budgets, also against the renewals and sessions of the fleet.
func ReadTasks(path string, budgets *quota.Config) (lease.Config, error) {
	return readTOML(path, func(d *lease.Config) error { return d.Validate(budgets) })
}

// Accounts configures latency accounts by volume.
type Accounts struct {
	Listen  string `toml:"listen" validate:"omitempty,addr"`       // address that serves the accounts; empty: they aren't served
	Dir     string `toml:"dir"`                                    // folder of each window's file; empty: no files
	WindowS int    `toml:"window_s" default:"60" validate:"gt=0"`  // seconds
	Keep    int    `toml:"keep" default:"1440" validate:"gt=0"`    // files
	Volumes int    `toml:"volumes" default:"4096" validate:"gt=0"` // accounts kept at a time
	Pairs   int    `toml:"pairs" default:"4096" validate:"gt=0"`   // of volume and cause, kept at a time
	Open    int    `toml:"open" default:"8192" validate:"gt=0"`    // open requests tracked at a time
	Log     bool   `toml:"log"`                                    // log the served shares at the end of each window
}

// Agent configures one of the few agents that replicate the control state by Raft, which has the instances' configurations.
type Agent struct {
	ID    string `toml:"id" validate:"required"`
	Dir   string `toml:"dir" validate:"required"`
	Peers []Peer `toml:"peer" validate:"required,min=1,unique=ID,dive"`
}

// Peer is an agent's addresses, which all agents have in their files.
type Peer struct {
	ID   string `toml:"id" validate:"required"`
	Raft string `toml:"raft" validate:"addr"` // address of the Raft transport
	API  string `toml:"api" validate:"addr"`  // address for commands and instances
}

// NVMe configures NVMe over TCP in place of the platform's HTTP, towards hosts and targets alike.
type NVMe struct {
	Listen          string      `toml:"listen" validate:"addr"`
	Subsystem       string      `toml:"subsystem" validate:"nqn"`        // NQN that hosts connect to
	TargetSubsystem string      `toml:"target_subsystem" validate:"nqn"` // NQN of the targets' subsystems
	HostNQN         string      `toml:"host_nqn" validate:"nqn"`         // NQN of this initiator as a host of its targets
	HostID          string      `toml:"host_id" validate:"hexadecimal,len=32"`
	QueueDepth      int         `toml:"queue_depth" default:"64" validate:"gte=2,lte=1024"`
	KeepAliveMs     int         `toml:"keep_alive_ms" default:"5000" validate:"gte=200"`
	Digests         bool        `toml:"digests"` // requested from targets; hosts choose for themselves
	TLS             *TLS        `toml:"tls"`
	Namespaces      []Namespace `toml:"namespace" validate:"required,min=1,unique=ID,dive"`
}

// TLS names the certificate files, and how long the previous certificates stay valid after a change.
type TLS struct {
	Cert      string `toml:"cert" validate:"required"`
	Key       string `toml:"key" validate:"required"`
	CA        string `toml:"ca" validate:"required"`
	OverlapMs int    `toml:"overlap_ms" validate:"gte=0"`
}

// Namespace defines how reads and writes of one namespace become requests: its volume and plan, where its blocks are
// stored, and the class of each command.
type Namespace struct {
	ID           uint32 `toml:"id" validate:"gte=1,lt=4294967295"`
	Volume       string `toml:"volume" validate:"hexadecimal,len=16"` // also the namespace's EUI-64
	Plan         string `toml:"plan" validate:"plan"`
	Hosts        int    `toml:"hosts" validate:"gte=1"` // number of initiators that serve this volume
	BlockBytes   int    `toml:"block_bytes" validate:"oneof=512 1024 2048 4096"`
	Blocks       uint64 `toml:"blocks" validate:"gte=1,lte=281474976710656"`
	StripeBlocks uint64 `toml:"stripe_blocks" validate:"gte=1"` // size of a stripe; stripes are placed on the shards in turn
	Shards       []int  `toml:"shards" validate:"required,min=1,dive,gte=0"`
	UnitBlocks   uint32 `toml:"unit_blocks" validate:"gte=1"`              // blocks that count as one unit
	Read         string `toml:"read" validate:"class"`                     // class of reads
	Write        string `toml:"write" validate:"class"`                    // class of writes
	Bulk         string `toml:"bulk" validate:"omitempty,class"`           // class of large reads; empty: that of reads
	BulkBlocks   uint32 `toml:"bulk_blocks" validate:"required_with=Bulk"` // least number of blocks of a large read
}

// ReadOperatorFile reads an operator's file and checks it, with cfg also against the platform's settings. Unknown fields are
// rejected, since a misspelled one would silently have no effect. The error lists all invalid fields.
func ReadOperatorFile(path string, cfg *Config) (*OperatorFile, error) {
	o := &OperatorFile{}
	meta, err := toml.DecodeFile(path, o)
	if err == nil && len(meta.Undecoded()) > 0 {
		err = fmt.Errorf("%s: unknown field", meta.Undecoded()[0])
	}
	if err == nil {
		err = validate(o, cfg)
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return o, nil
}

// ReadAgent reads the section of an operator's file that configures an agent.
func ReadAgent(path string) (*Agent, error) {
	o, err := ReadOperatorFile(path, nil)
	switch {
	case err != nil:
		return nil, err
	case o.Agent == nil:
		return nil, fmt.Errorf("operator's file: %w", MissingField("agent"))
	}
	return o.Agent, nil
}

// API returns the address for commands and instances of this agent; empty if it is none of the peers.
func (a *Agent) API() string {
	for _, p := range a.Peers {
		if p.ID == a.ID {
			return p.API
		}
	}
	return ""
}

// ClassNames returns the names of all classes.
func (c *Config) ClassNames() map[string]bool {
	m := map[string]bool{}
	for _, k := range c.Policy.Classes {
		m[k.Name] = true
	}
	return m
}

// PlanNames returns the names of all plans.
func (c *Config) PlanNames() map[string]bool {
	m := map[string]bool{}
	for _, p := range c.Policy.Plans {
		m[p.Name] = true
	}
	return m
}
