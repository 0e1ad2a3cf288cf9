package config

import (
	"fmt"

	"github.com/go-playground/validator/v10"
)

// Relay sets up one of the control machines that carry the feed of changes from the agents to the initiators of a region.
type Relay struct {
	ID     string   `toml:"id" validate:"required,max=64"`
	Fleet  string   `toml:"fleet" validate:"required,max=64"` // a feed of another fleet is not taken
	Region string   `toml:"region" validate:"required,max=64"`
	Listen string   `toml:"listen" validate:"required,addr"`
	Agents []string `toml:"agents" validate:"required,min=1,max=64,unique,dive,addr"`
	Dir    string   `toml:"dir"` // for the copy that it starts from; empty: it starts from nothing
	// Pointers, since a size of 0 is a mistake and no default.
	Readers *int `toml:"readers" default:"3000" validate:"gte=1,lte=20000"`       // at a time
	Rate    *int `toml:"rate" default:"10000" validate:"gte=1000,lte=100000000"`  // bytes a second for each reader
	Burst   *int `toml:"burst" default:"20000" validate:"gte=1000,lte=100000000"` // bytes
	Admit   *int `toml:"admit" default:"100" validate:"gte=1,lte=10000"`          // new readers a second
}

// Feed has an initiator take changes of targets and configuration from relays.
type Feed struct {
	Fleet   string      `toml:"fleet" validate:"required,max=64"`
	Region  string      `toml:"region" validate:"required,max=64"`
	Zone    string      `toml:"zone" validate:"max=64"`
	Dir     string      `toml:"dir"`                                        // for the copy that it starts from; empty: it starts from nothing
	Regions []Region    `toml:"regions" validate:"max=64,unique=Name,dive"` // all there are, where zones and relays are to be held against them
	Relays  []FeedRelay `toml:"relay" validate:"required,min=1,max=256,unique=ID,dive"`
}

// Region is a region with its zones.
type Region struct {
	Name  string   `toml:"name" validate:"required,max=64"`
	Zones []string `toml:"zones" validate:"max=64,unique,dive,required,max=64"`
}

// FeedRelay is one relay as initiators know it.
type FeedRelay struct {
	ID     string `toml:"id" validate:"required,max=64"`
	Region string `toml:"region" validate:"required,max=64"`
	Addr   string `toml:"addr" validate:"required,addr"`
}

// checkFeed holds the names of regions and zones against those that there are.
func checkFeed(s validator.StructLevel) {
	f := s.Current().Interface().(Feed)
	if len(f.Regions) == 0 {
		return
	}
	home := map[string]string{} // of a zone
	known := map[string]bool{}
	for i, r := range f.Regions {
		if known[r.Name] {
			return // the rule of the field says so, and the others would only say what comes of it
		}
		known[r.Name] = true
		for j, z := range r.Zones {
			at := fmt.Sprintf("regions[%d].zones[%d]", i, j)
			if other, twice := home[z]; twice && other != r.Name {
				s.ReportError(z, at, at, "two_regions", other)
			}
			home[z] = r.Name
		}
	}
	if !known[f.Region] {
		s.ReportError(f.Region, "region", "Region", "no_region", "")
	} else if f.Zone != "" && home[f.Zone] != f.Region {
		s.ReportError(f.Zone, "zone", "Zone", "no_zone", f.Region)
	}
	for i, r := range f.Relays {
		if at := fmt.Sprintf("relay[%d].region", i); !known[r.Region] {
			s.ReportError(r.Region, at, at, "no_region", "")
		}
	}
}

// ReadRelay reads the part of an operator's file that sets up a relay.
func ReadRelay(path string) (*Relay, error) {
	o, err := ReadOperatorFile(path, nil)
	switch {
	case err != nil:
		return nil, err
	case o.Relay == nil:
		return nil, fmt.Errorf("operator's file: %w", MissingField("relay"))
	}
	return o.Relay, nil
}

// ReadFeed reads the part of an operator's file that has an initiator take the feed.
func ReadFeed(path string) (*Feed, error) {
	o, err := ReadOperatorFile(path, nil)
	switch {
	case err != nil:
		return nil, err
	case o.Feed == nil:
		return nil, fmt.Errorf("operator's file: %w", MissingField("feed"))
	}
	return o.Feed, nil
}
