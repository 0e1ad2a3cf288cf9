package config

import (
	"fmt"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
)

// Limits are the resources that the machine grants the process.
type Limits struct {
	Cores    float64 `json:"cores" default:"1" validate:"gte=0"`
	MemoryMB int     `json:"memory_mb" default:"192" validate:"gte=0"`
	Sockets  int     `json:"sockets" default:"1024" validate:"gte=64"` // file descriptors
}

// Config is the program's configuration.
type Config struct {
	Name             string
	Listen           string
	InheritedFD      string // number of the inherited descriptor that listens at Listen; empty: none
	Control          string // address of health, metrics and membership pages; empty: none
	Discovery        string
	Seed             uint64
	Limits           Limits
	LastKnownTargets *targetlist.List // the target list to start with; nil: none
	Policy           policy.Settings
	MaxOpenRequests  int
	ConnIdleTimeout  time.Duration
	DialTimeout      time.Duration
	HealthProbes     bool // targets may be probed for their health
}

// platformFile is the JSON file that the platform writes.
type platformFile struct {
	Name      string            `json:"name" validate:"required"`
	Listen    string            `json:"listen" validate:"required,addr"`
	Control   string            `json:"control" validate:"omitempty,addr"`
	Discovery string            `json:"discovery" validate:"required,addr"`
	Seed      string            `json:"seed" validate:"omitempty,hex64"`
	Limits    Limits            `json:"limits"`
	Known     *targetlist.List  `json:"known" validate:"-"` // checked by List.Check
	Settings  *PlatformSettings `json:"settings" validate:"required"`
}

// SocketFDEnv is the environment variable with the number of the descriptor of the clients' listening socket, if the platform
// opened it.
const SocketFDEnv = "PROXY_SOCKET_FD"

const (
	// maxOpenRequests bounds open requests even if the settings allow more, since each may hold a body in memory.
	maxOpenRequests = 4000
	// defaultDialTimeout is how long connecting to a target may take if the settings don't set a timeout.
	defaultDialTimeout = 250 * time.Millisecond
)

// Load reads the environment and the JSON file that it names. Values set in the environment take precedence.
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

// Reload reads the file again. The file's address of discovery takes precedence over the environment's, which is from the start
// of the process, while the file may have been replaced since.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Parse checks the JSON of a configuration and converts it to typed values. Errors name the field.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var f platformFile
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
	if err := validate(&f, nil); err != nil {
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
	c.MaxOpenRequests = capAt(l.MaxOpenRequests, maxOpenRequests)
	c.DialTimeout = orDefault(Microseconds(l.DialTimeoutUs), defaultDialTimeout)
	c.ConnIdleTimeout = orDefault(Microseconds(l.ConnIdleUs), 30*time.Second)
	c.HealthProbes = f.Settings.Limits.Probes
	return c, nil
}

// capAt returns n, at most limit; an n of 0 or less is unset and gives the limit.
func capAt(n, limit int) int {
	if n <= 0 {
		return limit
	}
	return min(n, limit)
}

// orDefault returns d; a d of 0 or less is unset and gives the fallback.
func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
