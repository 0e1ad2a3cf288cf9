package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Why a reader lacks a version.
const (
	LagSilent      = "silent"  // it is not heard
	LagEpoch       = "epoch"   // it has another history
	LagRejected    = "refused" // it rejected a configuration
	LagRelayBehind = "cut"     // its relay lacks the version, too
	LagPending     = "owed"    // its relay has it, and it has not acknowledged it
)

// LaggingReader is a reader that has not applied a version.
type LaggingReader struct {
	Name        string     `json:"name"`
	Region      string     `json:"region,omitempty"`
	Relay       string     `json:"relay"`
	Applied     uint64     `json:"has"`
	Cause       string     `json:"why"`
	LastHeardMs int64      `json:"heard_ms"` // ago
	Rejection   *Rejection `json:"refused,omitempty"`
}

// RelayState is a relay as of its last report.
type RelayState struct {
	ID          string `json:"id"`
	Region      string `json:"region,omitempty"`
	Consistent  uint64 `json:"has"`
	AgeMs       int64  `json:"age_ms"`
	LastHeardMs int64  `json:"heard_ms"` // ago
	Readers     int    `json:"readers"`
}

// Status is where a version is applied.
type Status struct {
	Epoch        string          `json:"epoch"`
	Version      uint64          `json:"version"`
	Readers      int             `json:"known"`  // known
	Applied      int             `json:"have"`   // readers that have applied it
	Silent       int             `json:"silent"` // readers that are not heard, whether they have applied it or not
	Rejected     int             `json:"refused"`
	AppliedShare float64         `json:"share"`
	SinceMs      int64           `json:"since_ms"` // since the log has it; -1: unknown here
	HalfMs       int64           `json:"half_ms"`  // from then until half had applied it; -1: not yet, or unknown here
	P99Ms        int64           `json:"most_ms"`  // until 99 of 100 had
	AllMs        int64           `json:"all_ms"`
	Lagging      []LaggingReader `json:"lagging,omitempty"` // some of them, those furthest behind first
	Relays       []RelayState    `json:"relays,omitempty"`
}

// Status returns where a version is applied.
func (t *AckTracker) Status(now time.Duration, version uint64) Status {
	t.Expire(now)
	s := Status{Epoch: t.epoch, Version: version, Readers: len(t.readers), SinceMs: -1, HalfMs: -1, P99Ms: -1, AllMs: -1}
	readers := map[string]int{}
	for _, c := range t.readers {
		has := t.appliedVersion(c)
		at, silent := t.lastHeard(now, c)
		if silent {
			s.Silent++
		} else {
			readers[c.relay]++
		}
		if c.Rejection != nil {
			s.Rejected++
		}
		if has >= version {
			s.Applied++
			continue
		}
		l := LaggingReader{Name: c.Name, Region: c.Region, Relay: c.relay, Applied: has, Cause: LagPending, LastHeardMs: (now - at).Milliseconds(), Rejection: c.Rejection}
		r := t.relays[c.relay]
		switch {
		case silent:
			l.Cause = LagSilent
		case c.Applied.Epoch != t.epoch && c.Applied.Epoch != "" || c.Epoch != t.epoch && c.Epoch != "":
			l.Cause = LagEpoch
		case c.Rejection != nil:
			l.Cause = LagRejected
		case r.Consistent.Epoch != t.epoch || r.Consistent.Min() < version:
			l.Cause = LagRelayBehind
		}
		s.Lagging = append(s.Lagging, l)
	}
	if s.Readers > 0 {
		s.AppliedShare = float64(s.Applied) / float64(s.Readers)
	}
	slices.SortFunc(s.Lagging, func(a, b LaggingReader) int {
		return cmp.Or(cmp.Compare(a.Applied, b.Applied), cmp.Compare(a.Name, b.Name))
	})
	s.Lagging = slices.Clip(s.Lagging[:min(len(s.Lagging), t.opt.MaxListed)])
	if at, known := t.commits.reachedAt(version); known {
		s.SinceMs = (now - at).Milliseconds()
		for i, ms := range []*int64{&s.HalfMs, &s.P99Ms, &s.AllMs} {
			if reached, known := t.reachedBy[i].reachedAt(version); known {
				*ms = max(0, reached-at).Milliseconds()
			}
		}
	}
	for id, r := range t.relays {
		has := uint64(0)
		if r.Consistent.Epoch == t.epoch {
			has = r.Consistent.Min()
		}
		s.Relays = append(s.Relays, RelayState{ID: id, Region: r.Region, Consistent: has, AgeMs: r.AgeMs, LastHeardMs: (now - r.receivedAt).Milliseconds(), Readers: readers[id]})
	}
	slices.SortFunc(s.Relays, func(a, b RelayState) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
