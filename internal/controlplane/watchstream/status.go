package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Why a reader does not have a version.
const (
	WhySilent  = "silent"  // nobody hears it
	WhyEpoch   = "epoch"   // it holds another history
	WhyRefused = "refused" // it turned a configuration down
	WhyCut     = "cut"     // its relay itself doesn't have it
	WhyOwed    = "owed"    // its relay has it, and it hasn't said that it is in force
)

// Lag is a reader that does not have a version.
type Lag struct {
	Name    string      `json:"name"`
	Region  string      `json:"region,omitempty"`
	Relay   string      `json:"relay"`
	Has     uint64      `json:"has"`
	Why     string      `json:"why"`
	HeardMs int64       `json:"heard_ms"` // ago
	Refused *TurnedDown `json:"refused,omitempty"`
}

// RelayState is a relay as it reported last.
type RelayState struct {
	ID      string `json:"id"`
	Region  string `json:"region,omitempty"`
	Has     uint64 `json:"has"`
	AgeMs   int64  `json:"age_ms"`
	HeardMs int64  `json:"heard_ms"` // ago
	Readers int    `json:"readers"`
}

// Status is where a version is in force.
type Status struct {
	Epoch   string       `json:"epoch"`
	Version uint64       `json:"version"`
	Known   int          `json:"known"`  // readers
	Have    int          `json:"have"`   // and how many of them have it in force
	Silent  int          `json:"silent"` // that nobody hears, whether they have it or not
	Refused int          `json:"refused"`
	Share   float64      `json:"share"`
	SinceMs int64        `json:"since_ms"` // since the log has it; -1: not known here
	HalfMs  int64        `json:"half_ms"`  // from then, or where that isn't known from now on, until half had it; -1: not yet, or not known here
	MostMs  int64        `json:"most_ms"`  // until 99 in 100
	AllMs   int64        `json:"all_ms"`
	Lagging []Lag        `json:"lagging,omitempty"` // some of them, those that are furthest behind first
	Relays  []RelayState `json:"relays,omitempty"`
}

// Status tells of a version.
func (t *Tally) Status(now time.Duration, version uint64) Status {
	t.Sweep(now)
	s := Status{Epoch: t.epoch, Version: version, Known: len(t.readers), SinceMs: -1, HalfMs: -1, MostMs: -1, AllMs: -1}
	readers := map[string]int{}
	for _, c := range t.readers {
		has := t.has(c)
		at, silent := t.last(now, c)
		if silent {
			s.Silent++
		} else {
			readers[c.relay]++
		}
		if c.Refused != nil {
			s.Refused++
		}
		if has >= version {
			s.Have++
			continue
		}
		l := Lag{Name: c.Name, Region: c.Region, Relay: c.relay, Has: has, Why: WhyOwed, HeardMs: (now - at).Milliseconds(), Refused: c.Refused}
		r := t.relays[c.relay]
		switch {
		case silent:
			l.Why = WhySilent
		case c.InForce.Epoch != t.epoch && c.InForce.Epoch != "" || c.Epoch != t.epoch && c.Epoch != "":
			l.Why = WhyEpoch
		case c.Refused != nil:
			l.Why = WhyRefused
		case r.Has.Epoch != t.epoch || r.Has.Least() < version:
			l.Why = WhyCut
		}
		s.Lagging = append(s.Lagging, l)
	}
	if s.Known > 0 {
		s.Share = float64(s.Have) / float64(s.Known)
	}
	slices.SortFunc(s.Lagging, func(a, b Lag) int { return cmp.Or(cmp.Compare(a.Has, b.Has), cmp.Compare(a.Name, b.Name)) })
	s.Lagging = slices.Clip(s.Lagging[:min(len(s.Lagging), t.opt.Listed)])
	if at, known := t.commits.when(version); known {
		s.SinceMs = (now - at).Milliseconds()
		for i, ms := range []*int64{&s.HalfMs, &s.MostMs, &s.AllMs} {
			if reached, known := t.reached[i].when(version); known {
				*ms = max(0, reached-at).Milliseconds()
			}
		}
	}
	for id, r := range t.relays {
		has := uint64(0)
		if r.Has.Epoch == t.epoch {
			has = r.Has.Least()
		}
		s.Relays = append(s.Relays, RelayState{ID: id, Region: r.Region, Has: has, AgeMs: r.AgeMs, HeardMs: (now - r.at).Milliseconds(), Readers: readers[id]})
	}
	slices.SortFunc(s.Relays, func(a, b RelayState) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
