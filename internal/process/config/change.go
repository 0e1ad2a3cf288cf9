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
	"spindlehitch/internal/datapath/targetlist"
)

// changeFile is a file with a change of the feed, as an operator writes it.
type changeFile struct {
	Fleet     string    `toml:"fleet" json:"fleet"`
	Epoch     string    `toml:"epoch" json:"epoch"`
	Replaces  string    `toml:"replaces" json:"replaces"`
	IfVersion *uint64   `toml:"if" json:"if"` // the change is only applied to this version
	Puts      []putFile `toml:"puts" json:"puts"`
}

type putFile struct {
	Kind    string `toml:"kind" json:"kind"`
	Key     string `toml:"key" json:"key"`
	Deleted bool   `toml:"gone" json:"gone"`
	Value   any    `toml:"value" json:"value"`
}

// maxChangeFileBytes bounds the size of a file: a change of the largest size, with room for white space.
const maxChangeFileBytes = 4 * watchstream.MaxChangeBytes

// ReadChange reads a change from a file, TOML or JSON (.json), and checks it. If feed lists the regions and zones, the change must
// name no others. Errors name the file and the field.
func ReadChange(path string, feed *Feed) (watchstream.Change, error) {
	c, err := readChange(path, feed)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func readChange(path string, feed *Feed) (c watchstream.Change, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return c, err
	}
	if info.Size() > maxChangeFileBytes {
		return c, fmt.Errorf("%d bytes: at most %d are allowed", info.Size(), maxChangeFileBytes)
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
			err = fmt.Errorf("data after the end of the document")
		}
	} else {
		var meta toml.MetaData
		meta, err = toml.Decode(string(text), &in)
		// Fields of a value are not checked here: they belong to the target's entry or to the configuration.
		unknown := slices.DeleteFunc(meta.Undecoded(), func(k toml.Key) bool { return len(k) > 2 && k[0] == "puts" && k[1] == "value" })
		if err == nil && len(unknown) > 0 {
			err = fmt.Errorf("%s: unknown field", unknown[0])
		}
	}
	if err != nil {
		return c, err
	}
	c = watchstream.Change{Fleet: in.Fleet, Epoch: in.Epoch, Replaces: in.Replaces, IfVersion: in.IfVersion}
	for i, p := range in.Puts {
		field := fmt.Sprintf("puts[%d].", i)
		put := watchstream.Put{Key: p.Key, Deleted: p.Deleted}
		if err := put.Kind.UnmarshalText([]byte(p.Kind)); err != nil {
			return c, fmt.Errorf("%skind: %w", field, err)
		}
		if p.Value != nil {
			if put.Value, err = json.Marshal(p.Value); err != nil {
				return c, fmt.Errorf("%svalue: %w", field, err)
			}
		}
		c.Puts = append(c.Puts, put)
	}
	if err := c.Validate(); err != nil {
		return c, err
	}
	for i := range c.Puts {
		if err := checkPut(&c.Puts[i], feed); err != nil {
			return c, fmt.Errorf("puts[%d].%w", i, err)
		}
	}
	return c, nil
}

// checkPut checks that a target's entry could stand in a target list, and that a configuration layer is for a known region or zone.
func checkPut(p *watchstream.Put, feed *Feed) error {
	if p.Kind == watchstream.Targets {
		return CheckTarget(p)
	}
	scope, name, _ := strings.Cut(p.Key, "/")
	if feed == nil || len(feed.Regions) == 0 {
		return nil
	}
	known := slices.ContainsFunc(feed.Regions, func(r Region) bool {
		return scope == "region" && r.Name == name || scope == "zone" && slices.Contains(r.Zones, name)
	})
	if (scope == "region" || scope == "zone") && !known {
		return fmt.Errorf("key: %q is none of the %ss", name, scope)
	}
	return nil
}

// CheckTarget checks that the value of a put could stand in a list of targets.
func CheckTarget(p *watchstream.Put) error {
	if p.Deleted {
		return nil
	}
	var e targetlist.Entry
	if err := json.Unmarshal(p.Value, &e); err != nil {
		return fmt.Errorf("value: %w", err)
	}
	switch {
	case e.ID != p.Key:
		return fmt.Errorf("value.id: %q is not the key %q", e.ID, p.Key)
	case e.Shard == nil:
		return fmt.Errorf("value.cell: %w", ErrMissingField)
	case e.State != "SERVING" && e.State != "DRAINING":
		return fmt.Errorf("value.state: %q is neither SERVING nor DRAINING; a target is taken away by gone = true", e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil {
		return fmt.Errorf("value.addr: %w", err)
	}
	return nil
}
