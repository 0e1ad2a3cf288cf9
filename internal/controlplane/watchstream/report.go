package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Reading is one reader as its relay knows it.
type Reading struct {
	Name    string      `json:"name"`
	Region  string      `json:"region,omitempty"`
	Zone    string      `json:"zone,omitempty"`
	Epoch   string      `json:"epoch,omitempty"` // that it follows
	InForce Mark        `json:"in_force"`
	Turn    uint64      `json:"turn"`
	Refused *TurnedDown `json:"refused,omitempty"`
	Silent  bool        `json:"silent,omitempty"`
	AgoMs   int64       `json:"ago_ms"` // since it was heard
}

// Report is what a relay tells the agents' leader of its readers: those that changed since Base, or all.
type Report struct {
	Fleet   string    `json:"fleet"`
	Relay   string    `json:"relay"`
	Region  string    `json:"region,omitempty"`
	Life    uint64    `json:"life"` // grows over the relay's restarts
	Seq     uint64    `json:"seq"`  // grows with each report of a life
	Base    uint64    `json:"base"`
	Upto    uint64    `json:"upto"`
	Whole   bool      `json:"whole,omitempty"`
	Has     Mark      `json:"has"`    // what the relay has whole
	AgeMs   int64     `json:"age_ms"` // how old that may be
	Readers []Reading `json:"readers,omitempty"`
}

// Check names the first field that cannot be used.
func (r *Report) Check() error {
	switch {
	case r.Relay == "":
		return field("relay", "it is missing")
	case len(r.Relay) > MostName || len(r.Region) > MostName:
		return field("relay", "over %d bytes", MostName)
	case len(r.Readers) > MostReported:
		return field("readers", "%d of them: %d at most", len(r.Readers), MostReported)
	case r.Base > r.Upto:
		return field("base", "it is after upto")
	case r.AgeMs < 0:
		return field("age_ms", "%d is below 0", r.AgeMs)
	}
	for i := range r.Readers {
		x := &r.Readers[i]
		switch {
		case x.Name == "" || len(x.Name) > MostName:
			return field("readers", "readers[%d].name: missing, or over %d bytes", i, MostName)
		case len(x.Region) > MostName || len(x.Zone) > MostName || len(x.InForce.Epoch) > MostName || len(x.Epoch) > MostName:
			return field("readers", "readers[%d]: a name over %d bytes", i, MostName)
		case x.Refused != nil && len(x.Refused.Reason) > MostReason:
			return field("readers", "readers[%d].refused.reason: over %d bytes", i, MostReason)
		case x.AgoMs < 0:
			return field("readers", "readers[%d].ago_ms: %d is below 0", i, x.AgoMs)
		}
	}
	return nil
}

// MostReported bounds the readers of one report.
const MostReported = 1 << 13

// ReportAnswer is what the tally has of a relay then; Whole says that it has no base and wants all.
type ReportAnswer struct {
	Life  uint64 `json:"life"`
	Upto  uint64 `json:"upto"`
	Whole bool   `json:"whole,omitempty"`
}

// Report tells of the readers that changed since what the tally was last known to have. Readers that are relays themselves are left out.
func (s *Source) Report(now time.Duration, relay, region string) Report {
	s.Sweep(now)
	s.reports++
	rep := Report{Fleet: s.store.fleet, Relay: relay, Region: region, Life: s.life, Seq: s.reports, Base: s.base, Upto: s.changes, Whole: s.base == 0,
		Has: Mark{s.store.epoch, s.store.whole}, AgeMs: s.Age(now).Milliseconds()}
	for name, r := range s.readers {
		if r.change > s.base && !r.hello.All {
			h := &r.hello
			rep.Readers = append(rep.Readers, Reading{Name: name, Region: h.Region, Zone: h.Zone, Epoch: h.Epoch, InForce: h.InForce, Turn: h.Turn,
				Refused: h.Refused, Silent: r.silent, AgoMs: (now - r.heard).Milliseconds()})
		}
	}
	slices.SortFunc(rep.Readers, func(a, b Reading) int { return cmp.Compare(a.Name, b.Name) })
	return rep
}

// Reported takes the tally's answer to a report.
func (s *Source) Reported(a ReportAnswer) {
	switch {
	case a.Life != s.life:
	case a.Whole:
		s.base = 0
	case a.Upto <= s.changes:
		s.base = max(s.base, a.Upto)
	}
}
