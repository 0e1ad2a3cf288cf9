package config

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Operator is what an operator's file may set up beside the platform's configuration. All of it is off
// where there is no such file.
type OperatorFile struct {
	NVMe     *NVMe     `toml:"nvme"`
	Agent    *Agent    `toml:"agent"`
	Accounts *Accounts `toml:"accounts"`
	Fleet    *Fleet    `toml:"fleet"`
	Relay    *Relay    `toml:"relay"`
	Feed     *Feed     `toml:"feed"`
}

// Fleet has an instance keep to its part of fleet-wide budgets.
type Fleet struct {
	Agents            []string         `toml:"agents" validate:"required_without=Members,dive,addr"`
	Weight            float64          `toml:"weight" default:"1" validate:"gt=0,lte=1000"` // in divisions
	GovernedResources []quota.Resource `toml:"uses" validate:"dive,use"`                    // nothing of these is used before the budgets are known; all where it is not told
	Tasks             []string         `toml:"tasks" validate:"max=64,unique,dive,name"`    // of the fleet, that this instance can do; none where it is not told
	Members           *Membership      `toml:"members"`
}

// Members has instances know each other without the agents.
type Membership struct {
	Bind      string   `toml:"bind" validate:"required,addr"`       // datagrams and streams alike
	Advertise string   `toml:"advertise" validate:"omitempty,addr"` // where others reach it; as bound where it is not told
	Seeds     []string `toml:"seeds" validate:"max=16,dive,addr"`   // some of the others
	Zone      string   `toml:"zone" validate:"max=64"`
	Key       string   `toml:"key" validate:"required,max=64"` // of the fleet: members of another are not heard
	ProbeMs   int      `toml:"probe_ms" default:"1000" validate:"gte=50,lte=60000"`
	TimeoutMs int      `toml:"timeout_ms" default:"300" validate:"gte=5,ltfield=ProbeMs"`
	PauseMs   int      `toml:"pause_ms" default:"2000" validate:"gtfield=ProbeMs"` // past that a stretch between two looks at the clock was one
	CompareMs int      `toml:"compare_ms" default:"10000" validate:"gtfield=ProbeMs"`
	ForgetS   int      `toml:"forget_s" default:"3600" validate:"gte=60"`
}

// SetDefaults implements defaults.Setter.
func (f *Fleet) SetDefaults() {
	if f.GovernedResources == nil {
		f.GovernedResources = slices.Clone(quota.Resources)
	}
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
func ReadBudgets(path string, c *Config) (quota.Config, error) {
	return readFile(path, func(d *quota.Config) error {
		if err := d.Validate(); err != nil || c == nil {
			return err
		}
		return d.ValidateNames(c.PlanNames(), c.ClassNames())
	})
}

// ReadTasks reads a set of tasks and checks it, against the fleet's renewals and seats where they are given.
func ReadTasks(path string, f *quota.Config) (lease.Config, error) {
	return readFile(path, func(d *lease.Config) error { return d.Validate(f) })
}

// Accounts has latency accounts kept by volume.
type Accounts struct {
	Listen  string `toml:"listen" validate:"omitempty,addr"`       // where they are told; empty: nowhere
	Dir     string `toml:"dir"`                                    // where each window's are kept; empty: not
	WindowS int    `toml:"window_s" default:"60" validate:"gt=0"`  // seconds
	Keep    int    `toml:"keep" default:"1440" validate:"gt=0"`    // files
	Volumes int    `toml:"volumes" default:"4096" validate:"gt=0"` // accounts at a time
	Pairs   int    `toml:"pairs" default:"4096" validate:"gt=0"`   // of volume and cause
	Open    int    `toml:"open" default:"8192" validate:"gt=0"`    // requests at a time
	Log     bool   `toml:"log"`                                    // a line with the served shares at the end of each window
}

// Agent sets up one of the few agents that keep the instances' configurations.
type Agent struct {
	ID    string `toml:"id" validate:"required"`
	Dir   string `toml:"dir" validate:"required"`
	Peers []Peer `toml:"peer" validate:"required,min=1,unique=ID,dive"`
}

// Peer is one agent as all agents know it.
type Peer struct {
	ID   string `toml:"id" validate:"required"`
	Raft string `toml:"raft" validate:"addr"` // where it speaks Raft
	API  string `toml:"api" validate:"addr"`  // where commands and instances reach it
}

// NVMe sets up NVMe over TCP in place of the platform's wire, towards hosts and targets alike.
type NVMe struct {
	Listen          string      `toml:"listen" validate:"addr"`
	Subsystem       string      `toml:"subsystem" validate:"nqn"`        // the name hosts connect to
	TargetSubsystem string      `toml:"target_subsystem" validate:"nqn"` // the name targets go by
	HostNQN         string      `toml:"host_nqn" validate:"nqn"`         // this initiator's name towards targets
	HostID          string      `toml:"host_id" validate:"hexadecimal,len=32"`
	QueueDepth      int         `toml:"queue_depth" default:"64" validate:"gte=2,lte=1024"`
	KeepAliveMs     int         `toml:"keep_alive_ms" default:"5000" validate:"gte=200"`
	Digests         bool        `toml:"digests"` // asked of targets; hosts choose for themselves
	TLS             *TLS        `toml:"tls"`
	Namespaces      []Namespace `toml:"namespace" validate:"required,min=1,unique=ID,dive"`
}

// TLS says where the certificates are and how long those before are good after a change.
type TLS struct {
	Cert      string `toml:"cert" validate:"required"`
	Key       string `toml:"key" validate:"required"`
	CA        string `toml:"ca" validate:"required"`
	OverlapMs int    `toml:"overlap_ms" validate:"gte=0"`
}

// Namespace says how reads and writes of one namespace become requests: whose volume it is, on which plan,
// where its blocks lie, and which class a command belongs to.
type Namespace struct {
	ID           uint32 `toml:"id" validate:"gte=1,lt=4294967295"`
	Volume       string `toml:"volume" validate:"hexadecimal,len=16"` // also the namespace's EUI-64
	Plan         string `toml:"plan" validate:"plan"`
	Hosts        int    `toml:"hosts" validate:"gte=1"` // initiators that carry this volume
	BlockBytes   int    `toml:"block_bytes" validate:"oneof=512 1024 2048 4096"`
	Blocks       uint64 `toml:"blocks" validate:"gte=1,lte=281474976710656"`
	StripeBlocks uint64 `toml:"stripe_blocks" validate:"gte=1"` // a piece of data; stripes lie on the shards in turn
	Shards       []int  `toml:"shards" validate:"required,min=1,dive,gte=0"`
	UnitBlocks   uint32 `toml:"unit_blocks" validate:"gte=1"`              // blocks that count as one unit
	Read         string `toml:"read" validate:"class"`                     // class of reads
	Write        string `toml:"write" validate:"class"`                    // class of writes
	Bulk         string `toml:"bulk" validate:"omitempty,class"`           // class of large reads; may be empty
	BulkBlocks   uint32 `toml:"bulk_blocks" validate:"required_with=Bulk"` // from so many blocks on
}

// ReadOperator reads an operator's file and checks it against the platform's settings. A field that is not
// known stops the start as well: it is a spelling mistake that would silently change nothing. All that is wrong is told at once.
func ReadOperatorFile(path string, c *Config) (*OperatorFile, error) {
	o := &OperatorFile{}
	meta, err := toml.DecodeFile(path, o)
	if err == nil && len(meta.Undecoded()) > 0 {
		err = fmt.Errorf("%s: unknown field", meta.Undecoded()[0])
	}
	if err == nil {
		err = check(o, c)
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return o, nil
}

// ReadAgent reads the part of an operator's file that sets up an agent.
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

// API is where this agent answers.
func (a *Agent) API() string {
	for _, p := range a.Peers {
		if p.ID == a.ID {
			return p.API
		}
	}
	return ""
}

// Classes are the names of the classes served.
func (c *Config) ClassNames() map[string]bool {
	m := map[string]bool{}
	for _, k := range c.Policy.Classes {
		m[k.Name] = true
	}
	return m
}

// Plans are the names of the plans known.
func (c *Config) PlanNames() map[string]bool {
	m := map[string]bool{}
	for _, p := range c.Policy.Plans {
		m[p.Name] = true
	}
	return m
}
