package config

import (
	"fmt"

	"github.com/go-playground/validator/v10"
)

// Relay configures a relay: one of the processes that pass the feed of changes from the agents on to the initiators of a region.
type Relay struct {
	ID     string   `toml:"id" validate:"required,max=64"`
	Fleet  string   `toml:"fleet" validate:"required,max=64"` // a feed of another fleet is rejected
	Region string   `toml:"region" validate:"required,max=64"`
	Listen string   `toml:"listen" validate:"required,addr"`
	Agents []string `toml:"agents" validate:"required,min=1,max=64,unique,dive,addr"`
	Dir    string   `toml:"dir"` // of the snapshot that it starts from; empty: it starts without one
	// Pointers, so that an explicit 0 is rejected instead of replaced by the default.
	Readers *int `toml:"readers" default:"3000" validate:"gte=1,lte=20000"`       // connected at a time
	Rate    *int `toml:"rate" default:"10000" validate:"gte=1000,lte=100000000"`  // bytes per second to each reader
	Burst   *int `toml:"burst" default:"20000" validate:"gte=1000,lte=100000000"` // bytes
	Admit   *int `toml:"admit" default:"100" validate:"gte=1,lte=10000"`          // new readers per second
}

// Feed configures an initiator to follow changes of targets and of the configuration at relays.
type Feed struct {
	Fleet   string      `toml:"fleet" validate:"required,max=64"`
	Region  string      `toml:"region" validate:"required,max=64"`
	Zone    string      `toml:"zone" validate:"max=64"`
	Dir     string      `toml:"dir"`                                        // of the snapshot that it starts from; empty: it starts without one
	Regions []Region    `toml:"regions" validate:"max=64,unique=Name,dive"` // all regions of the fleet, to check zones and relays against; empty: unchecked
	Relays  []FeedRelay `toml:"relay" validate:"required,min=1,max=256,unique=ID,dive"`
}

// Region is a region with its zones.
type Region struct {
	Name  string   `toml:"name" validate:"required,max=64"`
	Zones []string `toml:"zones" validate:"max=64,unique,dive,required,max=64"`
}

// FeedRelay is a relay that an initiator may follow.
type FeedRelay struct {
	ID     string `toml:"id" validate:"required,max=64"`
	Region string `toml:"region" validate:"required,max=64"`
	Addr   string `toml:"addr" validate:"required,addr"`
}

// validateFeed checks the names of regions and zones against the list of regions, if there is one.
func validateFeed(s validator.StructLevel) {
	f := s.Current().Interface().(Feed)
	if len(f.Regions) == 0 {
		return
	}
	regionOf := map[string]string{} // by zone
	regions := map[string]bool{}
	for i, r := range f.Regions {
		if regions[r.Name] {
			return // the field's unique rule reports it; further errors would only follow from it
		}
		regions[r.Name] = true
		for j, z := range r.Zones {
			field := fmt.Sprintf("regions[%d].zones[%d]", i, j)
			if other, found := regionOf[z]; found && other != r.Name {
				s.ReportError(z, field, field, "two_regions", other)
			}
			regionOf[z] = r.Name
		}
	}
	if !regions[f.Region] {
		s.ReportError(f.Region, "region", "Region", "no_region", "")
	} else if f.Zone != "" && regionOf[f.Zone] != f.Region {
		s.ReportError(f.Zone, "zone", "Zone", "no_zone", f.Region)
	}
	for i, r := range f.Relays {
		if field := fmt.Sprintf("relay[%d].region", i); !regions[r.Region] {
			s.ReportError(r.Region, field, field, "no_region", "")
		}
	}
}

// ReadRelay reads the section of an operator's file that configures a relay.
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

// ReadFeed reads the section of an operator's file that configures an initiator's feed.
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
