package lease

import (
	"fmt"

	"spindlehitch/internal/controlplane/quota"
)

// Bounds on the sizes of lists and maps.
const (
	MaxTasks   = 16
	MaxShards  = 1024 // per task
	MaxTargets = 1024 // in one renewal request or response
)

// Config is the set of all tasks, replicated as a unit.
type Config struct {
	Version uint64 `toml:"-" json:"version"`
	Tasks   []Task `toml:"task" json:"tasks"`
}

// Task returns the task of that name, or nil.
func (c *Config) Task(name string) *Task {
	for i := range c.Tasks {
		if c.Tasks[i].Name == name {
			return &c.Tasks[i]
		}
	}
	return nil
}

// Validate fills in defaults and returns an error that names the first invalid field. If quotaConfig
// is not nil, times are checked against its renewal interval, session TTL and clock drift.
func (c *Config) Validate(quotaConfig *quota.Config) error {
	if len(c.Tasks) > MaxTasks {
		return fmt.Errorf("task: %d are too many, %d at most", len(c.Tasks), MaxTasks)
	}
	seen := map[string]bool{}
	for i := range c.Tasks {
		t := &c.Tasks[i]
		if err := t.validate(quotaConfig); err != nil {
			return fmt.Errorf("task[%d].%w", i, err)
		}
		if seen[t.Name] {
			return fmt.Errorf("task[%d].name: %q is there twice", i, t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

// ValidateChange returns an error if the config may not replace previous while shards are held: a
// member that cannot reach the agents keeps using the old times.
func (c *Config) ValidateChange(previous *Config, held func(task string) bool) error {
	for i := range previous.Tasks {
		old := &previous.Tasks[i]
		if !held(old.Name) {
			continue
		}
		t := c.Task(old.Name)
		if t == nil {
			return fmt.Errorf("task %q: can't be taken away while its shards are held; have it off = true first", old.Name)
		}
		for _, f := range []struct {
			field string
			same  bool
		}{{"kind", t.Kind == old.Kind}, {"shards", t.Shards == old.Shards}, {"lease_ms", t.TTLMs == old.TTLMs}, {"act_ms", t.OperationTimeoutMs == old.OperationTimeoutMs},
			{"pause_ms", t.MaxPauseMs == old.MaxPauseMs}, {"dir", t.Dir == old.Dir}, {"window_s", t.WindowS == old.WindowS}} {
			if !f.same {
				return fmt.Errorf("task %q: %s: can't be changed while its shards are held; have it off = true first", old.Name, f.field)
			}
		}
	}
	return nil
}
