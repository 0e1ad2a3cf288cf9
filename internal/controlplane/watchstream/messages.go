package watchstream

// Rejection is a configuration that an initiator could not apply (a NACK): the last good one stays in
// force.
type Rejection struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// SubscribeRequest is a reader's request to a source: who it is, what it has, and what it has applied.
// It acknowledges what is applied and asks for what comes next.
type SubscribeRequest struct {
	Fleet string   `json:"fleet"`
	Epoch string   `json:"epoch,omitempty"` // of Have and Seen
	Scope          // who it is
	Have  Position `json:"have"`
	// newest position it has heard of: a source behind it sends nothing (step 4)
	Seen       Position        `json:"seen"`
	Applied    Watermark       `json:"in_force"` // acknowledged (step 8)
	Generation uint64          `json:"turn"`     // grows with each change of source, also over restarts
	Seq        uint64          `json:"seq"`      // grows with each request of a generation
	Rejection  *Rejection      `json:"refused,omitempty"`
	Progress   *DigestProgress `json:"digest,omitempty"` // of a resync by digests
	Digests    Digests         `json:"sums,omitempty"`   // only if the source asked for them
	WaitMs     int64           `json:"wait_ms,omitempty"`
}

// Validate returns an error that names the first field that cannot be used.
func (req *SubscribeRequest) Validate() error {
	if err := req.Scope.Validate(); err != nil {
		return err
	}
	switch {
	case req.Fleet == "":
		return fieldError("fleet", "it is missing")
	case len(req.Epoch) > MaxNameBytes || len(req.Applied.Epoch) > MaxNameBytes:
		return fieldError("epoch", "over %d bytes", MaxNameBytes)
	case req.Rejection != nil && len(req.Rejection.Reason) > MaxReasonBytes:
		return fieldError("refused.reason", "over %d bytes", MaxReasonBytes)
	case req.Progress != nil && req.Progress.NextBucket < 0:
		return fieldError("digest.at", "%d is below 0", req.Progress.NextBucket)
	case !req.Have.notAfter(req.Seen):
		return fieldError("seen", "it is before have")
	}
	return nil
}

// MaxReasonBytes bounds the reason of a rejection.
const MaxReasonBytes = 512

// Delta brings one reader from a position to another.
type Delta struct {
	Fleet       string       `json:"fleet"`
	Epoch       string       `json:"epoch"`
	Replaces    []string     `json:"replaces,omitempty"`
	Scope       Scope        `json:"for"`
	From        Position     `json:"from"`
	To          Position     `json:"to"`
	Head        Position     `json:"head"` // of the source: a reader at Head has everything
	Records     []Record     `json:"records,omitempty"`
	Range       *BucketRange `json:"span,omitempty"`
	Buckets     []Bucket     `json:"buckets,omitempty"`
	WantDigests bool         `json:"ask,omitempty"` // the reader's digests are needed; nothing else is in this delta
	AgeMs       int64        `json:"age_ms"`        // since the source surely had the newest state
}

// Size is an upper bound of the delta's bytes.
func (d *Delta) Size() int {
	n := 512
	for i := range d.Records {
		n += d.Records[i].Size()
	}
	for i := range d.Buckets {
		n += d.Buckets[i].Size()
	}
	return n
}
