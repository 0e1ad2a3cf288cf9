package config

import (
	"fmt"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/policy"
)

// Limits are what the machine grants the process.
type Limits struct {
	Cores    float64 `json:"cores" default:"1" validate:"gte=0"`
	MemoryMB int     `json:"memory_mb" default:"192" validate:"gte=0"`
	Sockets  int     `json:"sockets" default:"1024" validate:"gte=64"`
}

// Config is everything the program is told.
type Config struct {
	Name             string
	Listen           string
	InheritedFD      string // the number of the descriptor that listens there already; empty: none
	Control          string // the second address; empty: none
	Discovery        string
	Seed             uint64
	Limits           Limits
	LastKnownTargets *listing.List // the list as last had; nil: none
	Policy           policy.Settings
	MaxOpenRequests  int
	ConnIdleTimeout  time.Duration
	DialTimeout      time.Duration
	HealthProbes     bool // targets may be asked for their health
}

// file is the platform's JSON.
type file struct {
	Name      string            `json:"name" validate:"required"`
	Listen    string            `json:"listen" validate:"required,addr"`
	Control   string            `json:"control" validate:"omitempty,addr"`
	Discovery string            `json:"discovery" validate:"required,addr"`
	Seed      string            `json:"seed" validate:"omitempty,hex64"`
	Limits    Limits            `json:"limits"`
	Known     *listing.List     `json:"known" validate:"-"` // which has the check of every list
	Settings  *PlatformSettings `json:"settings" validate:"required"`
}

// SocketFD names the descriptor of the clients' listening socket, where the platform holds it.
const SocketFDEnv = "PROXY_SOCKET_FD"

const (
	// mostHeld bounds open requests also where the settings name more: each may hold a body.
	mostHeld = 4000
	// usualDial is how long a connection to a target may take to come up where the settings do not say.
	usualDial = 250 * time.Millisecond
)

// Load reads the environment and the JSON file that it names. The environment's words, where given, win.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, MissingField("PROXY_CONFIG")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return Parse(raw, getenv)
}

// Reload reads the file again. Its word on discovery wins over the environment's, which the process has had since its
// start: it is the file that was replaced.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Parse checks the JSON of a configuration and turns it into typed values. Errors name the field.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var f file
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, v := range []struct {
		name string
		into *string
	}{{"PROXY_NAME", &f.Name}, {"PROXY_LISTEN", &f.Listen}, {"PROXY_CONTROL", &f.Control}, {"PROXY_DISCOVERY", &f.Discovery}} {
		if s := getenv(v.name); s != "" {
			*v.into = s
		}
	}
	if err := check(&f, nil); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Control: f.Control, InheritedFD: getenv(SocketFDEnv), Discovery: f.Discovery, Limits: f.Limits, LastKnownTargets: f.Known}
	if c.LastKnownTargets != nil {
		if err := c.LastKnownTargets.Check(); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if c.Seed = uint64(time.Now().UnixNano()); f.Seed != "" {
		c.Seed, _ = strconv.ParseUint(f.Seed, 16, 64)
	}
	var err error
	if c.Policy, err = f.Settings.PolicySettings(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err = c.Policy.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	l := f.Settings.Limits
	c.MaxOpenRequests = atMost(l.MostHeld, mostHeld)
	c.DialTimeout = orElse(Microseconds(l.DialTimeoutUs), usualDial)
	c.ConnIdleTimeout = orElse(Microseconds(l.ConnIdleUs), 30*time.Second)
	c.HealthProbes = f.Settings.Limits.Probes
	return c, nil
}

func atMost(n, most int) int {
	if n <= 0 {
		return most
	}
	return min(n, most)
}

func orElse(d, other time.Duration) time.Duration {
	if d <= 0 {
		return other
	}
	return d
}
