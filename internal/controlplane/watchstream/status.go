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

// RelayStatus is a relay as of its last report.
type RelayStatus struct {
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
	Relays       []RelayStatus   `json:"relays,omitempty"`
}

// Status returns where a version is applied.
func (t *AckTracker) Status(now time.Duration, version uint64) Status {
	t.Expire(now)
	s := Status{Epoch: t.epoch, Version: version, Readers: len(t.readers), SinceMs: -1, HalfMs: -1, P99Ms: -1, AllMs: -1}
	heardReaders := map[string]int{} // by relay
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

// lagCause is why a reader has not applied a version.
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

// fillTimes adds when the status's version was committed and applied, as far as that is known.
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

// relayStates returns the relays in order of their ids.
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
