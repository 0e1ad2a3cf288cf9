package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/listing"
)

// changeFile is a change of the feed as an operator writes it.
type changeFile struct {
	Fleet    string    `toml:"fleet" json:"fleet"`
	Epoch    string    `toml:"epoch" json:"epoch"`
	Replaces string    `toml:"replaces" json:"replaces"`
	If       *uint64   `toml:"if" json:"if"` // only over this version
	Puts     []putFile `toml:"puts" json:"puts"`
}

type putFile struct {
	Kind  string `toml:"kind" json:"kind"`
	Key   string `toml:"key" json:"key"`
	Gone  bool   `toml:"gone" json:"gone"`
	Value any    `toml:"value" json:"value"`
}

// mostChangeFile bounds what is read: a change of the largest size with room for spaces.
const mostChangeFile = 4 * watchstream.MaxChangeBytes

// ReadChange reads a file of changes, TOML or JSON (.json), and checks it; where the regions and zones are told, also that
// it names no others. Errors name file and field.
func ReadChange(path string, f *Feed) (watchstream.Change, error) {
	c, err := readChange(path, f)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func readChange(path string, f *Feed) (c watchstream.Change, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return c, err
	}
	if info.Size() > mostChangeFile {
		return c, fmt.Errorf("%d bytes: %d at most", info.Size(), mostChangeFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	var in changeFile
	if filepath.Ext(path) == ".json" {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		d.UseNumber()
		if err = d.Decode(&in); err == nil && d.More() {
			err = fmt.Errorf("there is more after its end")
		}
	} else {
		var meta toml.MetaData
		meta, err = toml.Decode(string(text), &in)
		// Any field of a value is known: it is the target's or the configuration's own.
		odd := slices.DeleteFunc(meta.Undecoded(), func(k toml.Key) bool { return len(k) > 2 && k[0] == "puts" && k[1] == "value" })
		if err == nil && len(odd) > 0 {
			err = fmt.Errorf("%s: unknown field", odd[0])
		}
	}
	if err != nil {
		return c, err
	}
	c = watchstream.Change{Fleet: in.Fleet, Epoch: in.Epoch, Replaces: in.Replaces, IfVersion: in.If}
	for i, p := range in.Puts {
		at := fmt.Sprintf("puts[%d].", i)
		put := watchstream.Put{Key: p.Key, Deleted: p.Gone}
		if err := put.Kind.UnmarshalText([]byte(p.Kind)); err != nil {
			return c, fmt.Errorf("%skind: %w", at, err)
		}
		if p.Value != nil {
			if put.Value, err = json.Marshal(p.Value); err != nil {
				return c, fmt.Errorf("%svalue: %w", at, err)
			}
		}
		c.Puts = append(c.Puts, put)
	}
	if err := c.Validate(); err != nil {
		return c, err
	}
	for i := range c.Puts {
		if err := checkPut(&c.Puts[i], f); err != nil {
			return c, fmt.Errorf("puts[%d].%w", i, err)
		}
	}
	return c, nil
}

// checkPut holds a put against what is made of it: a target's entry is one of a list, and a layer is of a region or zone there is.
func checkPut(p *watchstream.Put, f *Feed) error {
	if p.Kind == watchstream.Targets {
		return CheckTarget(p)
	}
	scope, name, _ := strings.Cut(p.Key, "/")
	if f == nil || len(f.Regions) == 0 {
		return nil
	}
	known := slices.ContainsFunc(f.Regions, func(r Region) bool {
		return scope == "region" && r.Name == name || scope == "zone" && slices.Contains(r.Zones, name)
	})
	if (scope == "region" || scope == "zone") && !known {
		return fmt.Errorf("key: %q is none of the %ss", name, scope)
	}
	return nil
}

// CheckTarget tells whether a put of a target could stand in a list of targets.
func CheckTarget(p *watchstream.Put) error {
	if p.Deleted {
		return nil
	}
	var e listing.Entry
	if err := json.Unmarshal(p.Value, &e); err != nil {
		return fmt.Errorf("value: %w", err)
	}
	switch {
	case e.ID != p.Key:
		return fmt.Errorf("value.id: %q is not the key %q", e.ID, p.Key)
	case e.Shard == nil:
		return fmt.Errorf("value.cell: %w", ErrMissing)
	case e.State != "SERVING" && e.State != "DRAINING":
		return fmt.Errorf("value.state: %q is neither SERVING nor DRAINING; a target is taken away by gone = true", e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil {
		return fmt.Errorf("value.addr: %w", err)
	}
	return nil
}
