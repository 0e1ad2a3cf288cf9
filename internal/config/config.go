package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch"
	"spindlehitch/internal/discovery"
	"spindlehitch/internal/listen"
)

// Limits are what the machine grants the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is everything the program is told.
type Config struct {
	Name      string
	Listen    string
	Inherited string // the number of the descriptor that listens there already; empty: none
	Control   string // the second address; empty: none
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     *discovery.List // the list as last had; nil: none
	Module    spindlehitch.Settings
	MostHeld  int
	ConnIdle  time.Duration
	Dial      time.Duration
	Probes    bool // targets may be asked for their health
}

// file is the platform's JSON.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Control   string          `json:"control"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     *discovery.List `json:"known"`
	Settings  *Options        `json:"settings"`
}

const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	// mostHeld bounds open requests also where the settings name more: each may hold a body.
	mostHeld = 4000
	maxDial  = 250 * time.Millisecond
)

// Load reads the environment and the JSON file that it names. The environment's words, where given, win.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, Missing("PROXY_CONFIG")
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
	c := &Config{Name: f.Name, Listen: f.Listen, Control: f.Control, Inherited: getenv(listen.Variable), Discovery: f.Discovery, Limits: f.Limits, Known: f.Known}
	if c.Name == "" {
		return nil, Missing("name")
	}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"control", c.Control}, {"discovery", c.Discovery}} {
		if a.addr == "" {
			if a.field == "control" {
				continue
			}
			return nil, Missing(a.field)
		}
		if err := checkAddr(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, err
	}
	if c.Known != nil {
		if err := c.Known.Check(); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	if f.Settings == nil {
		return nil, Missing("settings")
	}
	if c.Module, err = f.Settings.Module(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err = spindlehitch.New(c.Module, c.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	l := f.Settings.Limits
	c.MostHeld = atMost(l.MostHeld, mostHeld)
	c.Dial = min(orElse(Us(l.DialTimeoutUs), maxDial), maxDial)
	c.ConnIdle = orElse(Us(l.ConnIdleUs), 30*time.Second)
	c.Probes = f.Settings.Limits.Probes
	return c, nil
}

func checkAddr(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	return nil
}

func parseSeed(s string) (uint64, error) {
	if s == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", s)
	}
	return n, nil
}

// check fills in what is not told and names what cannot be.
func (l *Limits) check() error {
	switch {
	case l.Cores < 0 || math.IsNaN(l.Cores):
		return fmt.Errorf("limits.cores: %v is not a number of cores", l.Cores)
	case l.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %d is negative", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is too few, at least 64", l.Sockets)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return nil
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
