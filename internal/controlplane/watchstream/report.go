package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Cursor is the state of one reader as known to its relay.
type Cursor struct {
	Name        string     `json:"name"`
	Region      string     `json:"region,omitempty"`
	Zone        string     `json:"zone,omitempty"`
	Epoch       string     `json:"epoch,omitempty"` // that the reader follows
	Applied     Watermark  `json:"in_force"`
	Generation  uint64     `json:"turn"`
	Rejection   *Rejection `json:"refused,omitempty"`
	Silent      bool       `json:"silent,omitempty"`
	LastHeardMs int64      `json:"ago_ms"` // since the reader's last request
}

// Report is a relay's report to the leader's AckTracker about its readers: all of them, or those that
// changed after Base up to UpTo.
type Report struct {
	Fleet       string    `json:"fleet"`
	Relay       string    `json:"relay"`
	Region      string    `json:"region,omitempty"`
	Incarnation uint64    `json:"life"` // increases with each restart of the relay
	Seq         uint64    `json:"seq"`  // increases with each report of an incarnation
	Base        uint64    `json:"base"` // change number that the tracker has acknowledged
	UpTo        uint64    `json:"upto"`
	Full        bool      `json:"whole,omitempty"`
	Consistent  Watermark `json:"has"`    // of the relay itself
	AgeMs       int64     `json:"age_ms"` // upper bound of the age of the relay's state
	Readers     []Cursor  `json:"readers,omitempty"`
}

// Validate returns an error that names the first invalid field.
func (report *Report) Validate() error {
	switch {
	case report.Relay == "":
		return fieldError("relay", "it is missing")
	case len(report.Relay) > MaxNameBytes || len(report.Region) > MaxNameBytes:
		return fieldError("relay", "over %d bytes", MaxNameBytes)
	case len(report.Readers) > MaxReportedReaders:
		return fieldError("readers", "%d of them: %d at most", len(report.Readers), MaxReportedReaders)
	case report.Base > report.UpTo:
		return fieldError("base", "it is after upto")
	case report.AgeMs < 0:
		return fieldError("age_ms", "%d is below 0", report.AgeMs)
	}
	for i := range report.Readers {
		x := &report.Readers[i]
		switch {
		case x.Name == "" || len(x.Name) > MaxNameBytes:
			return fieldError("readers", "readers[%d].name: missing, or over %d bytes", i, MaxNameBytes)
		case len(x.Region) > MaxNameBytes || len(x.Zone) > MaxNameBytes || len(x.Applied.Epoch) > MaxNameBytes || len(x.Epoch) > MaxNameBytes:
			return fieldError("readers", "readers[%d]: a name over %d bytes", i, MaxNameBytes)
		case x.Rejection != nil && len(x.Rejection.Reason) > MaxReasonBytes:
			return fieldError("readers", "readers[%d].refused.reason: over %d bytes", i, MaxReasonBytes)
		case x.LastHeardMs < 0:
			return fieldError("readers", "readers[%d].ago_ms: %d is below 0", i, x.LastHeardMs)
		}
	}
	return nil
}

// MaxReportedReaders bounds the readers in one report.
const MaxReportedReaders = 1 << 13

// ReportResponse acknowledges a relay's reports up to UpTo. WantFull means that the tracker lacks the
// report's base and needs a full report.
type ReportResponse struct {
	Incarnation uint64 `json:"life"`
	UpTo        uint64 `json:"upto"`
	WantFull    bool   `json:"whole,omitempty"`
}

// BuildReport returns a report of the readers that changed after the last acknowledged report. Readers
// that are relays themselves are left out.
func (s *Source) BuildReport(now time.Duration, relay, region string) Report {
	s.Expire(now)
	s.reportSeq++
	rep := Report{Fleet: s.store.fleet, Relay: relay, Region: region, Incarnation: s.incarnation, Seq: s.reportSeq, Base: s.reportedSeq, UpTo: s.changeSeq, Full: s.reportedSeq == 0,
		Consistent: Watermark{s.store.epoch, s.store.consistent}, AgeMs: s.Age(now).Milliseconds()}
	for name, r := range s.readers {
		if r.changeSeq > s.reportedSeq && !r.request.All {
			req := &r.request
			rep.Readers = append(rep.Readers, Cursor{Name: name, Region: req.Region, Zone: req.Zone, Epoch: req.Epoch, Applied: req.Applied, Generation: req.Generation,
				Rejection: req.Rejection, Silent: r.silent, LastHeardMs: (now - r.lastHeardAt).Milliseconds()})
		}
	}
	slices.SortFunc(rep.Readers, func(a, b Cursor) int { return cmp.Compare(a.Name, b.Name) })
	return rep
}

// ReportAcked processes the tracker's response to a report.
func (s *Source) ReportAcked(resp ReportResponse) {
	switch {
	case resp.Incarnation != s.incarnation:
	case resp.WantFull:
		s.reportedSeq = 0
	case resp.UpTo <= s.changeSeq:
		s.reportedSeq = max(s.reportedSeq, resp.UpTo)
	}
}
