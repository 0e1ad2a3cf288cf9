package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Causes for which a reader has not applied a version.
const (
	LagSilent      = "silent"  // no recent request of it is known
	LagEpoch       = "epoch"   // it follows or has applied another epoch
	LagRejected    = "refused" // it rejected a configuration, and no later one is applied
	LagRelayBehind = "cut"     // its relay does not have the version either
	LagPending     = "owed"    // its relay has the version, the reader has not acknowledged it
)

// LaggingReader is a reader that has not applied a version.
type LaggingReader struct {
	Name        string     `json:"name"`
	Region      string     `json:"region,omitempty"`
	Relay       string     `json:"relay"`
	Applied     uint64     `json:"has"`
	Cause       string     `json:"why"`
	LastHeardMs int64      `json:"heard_ms"` // time since then
	Rejection   *Rejection `json:"refused,omitempty"`
}

// RelayStatus is the state of a relay as of its last report.
type RelayStatus struct {
	ID          string `json:"id"`
	Region      string `json:"region,omitempty"`
	Consistent  uint64 `json:"has"`
	AgeMs       int64  `json:"age_ms"`
	LastHeardMs int64  `json:"heard_ms"` // time since that report
	Readers     int    `json:"readers"`
}

// Status reports at which readers a version is applied.
type Status struct {
	Epoch        string          `json:"epoch"`
	Version      uint64          `json:"version"`
	Readers      int             `json:"known"`   // tracked readers
	Applied      int             `json:"have"`    // readers that have applied it
	Silent       int             `json:"silent"`  // silent readers, whether they have applied it or not
	Rejected     int             `json:"refused"` // readers with a rejected configuration
	AppliedShare float64         `json:"share"`
	SinceMs      int64           `json:"since_ms"`          // since the version was committed; -1: unknown here
	HalfMs       int64           `json:"half_ms"`           // from the commit until half of the readers had applied it; -1: not yet, or unknown here
	P99Ms        int64           `json:"most_ms"`           // the same for 99 % of the readers
	AllMs        int64           `json:"all_ms"`            // the same for all readers
	Lagging      []LaggingReader `json:"lagging,omitempty"` // at most MaxListed, those furthest behind first
	Relays       []RelayStatus   `json:"relays,omitempty"`
}

// Status returns the status of a version.
func (t *AckTracker) Status(now time.Duration, version uint64) Status {
	t.Expire(now)
	s := Status{Epoch: t.epoch, Version: version, Readers: len(t.readers), SinceMs: -1, HalfMs: -1, P99Ms: -1, AllMs: -1}
	heardReaders := map[string]int{} // readers that are not silent, by relay
	for _, r := range t.readers {
		at, silent := t.lastHeard(now, r)
		if silent {
			s.Silent++
		} else {
			heardReaders[r.relay]++
		}
		if r.Rejection != nil {
			s.Rejected++
		}
		if t.appliedVersion(r) >= version {
			s.Applied++
			continue
		}
		s.Lagging = append(s.Lagging, LaggingReader{Name: r.Name, Region: r.Region, Relay: r.relay, Applied: t.appliedVersion(r),
			Cause: t.lagCause(r, silent, version), LastHeardMs: (now - at).Milliseconds(), Rejection: r.Rejection})
	}
	if s.Readers > 0 {
		s.AppliedShare = float64(s.Applied) / float64(s.Readers)
	}
	slices.SortFunc(s.Lagging, func(a, b LaggingReader) int {
		return cmp.Or(cmp.Compare(a.Applied, b.Applied), cmp.Compare(a.Name, b.Name))
	})
	s.Lagging = slices.Clip(s.Lagging[:min(len(s.Lagging), t.opt.MaxListed)])
	t.fillTimes(&s, now)
	s.Relays = t.relayStates(now, heardReaders)
	return s
}

// lagCause returns the cause for which a reader has not applied a version.
func (t *AckTracker) lagCause(r *trackedReader, silent bool, version uint64) string {
	relay := t.relays[r.relay]
	switch {
	case silent:
		return LagSilent
	case r.Applied.Epoch != t.epoch && r.Applied.Epoch != "" || r.Epoch != t.epoch && r.Epoch != "":
		return LagEpoch
	case r.Rejection != nil:
		return LagRejected
	case relay.Consistent.Epoch != t.epoch || relay.Consistent.Min() < version:
		return LagRelayBehind
	}
	return LagPending
}

// fillTimes adds the times at which the status's version was committed and applied, as far as they are
// known.
func (t *AckTracker) fillTimes(s *Status, now time.Duration) {
	committedAt, known := t.commits.reachedAt(s.Version)
	if !known {
		return
	}
	s.SinceMs = (now - committedAt).Milliseconds()
	for i, ms := range []*int64{&s.HalfMs, &s.P99Ms, &s.AllMs} {
		if reached, known := t.reachedBy[i].reachedAt(s.Version); known {
			*ms = max(0, reached-committedAt).Milliseconds()
		}
	}
}

// relayStates returns the status of all relays in order of their ids.
func (t *AckTracker) relayStates(now time.Duration, heardReaders map[string]int) (states []RelayStatus) {
	for id, r := range t.relays {
		state := RelayStatus{ID: id, Region: r.Region, AgeMs: r.AgeMs, LastHeardMs: (now - r.receivedAt).Milliseconds(), Readers: heardReaders[id]}
		if r.Consistent.Epoch == t.epoch {
			state.Consistent = r.Consistent.Min()
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b RelayStatus) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
