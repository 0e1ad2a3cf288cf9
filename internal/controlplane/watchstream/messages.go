package watchstream

// Rejection reports a configuration that an initiator could not apply (a NACK). The last valid
// configuration stays in force.
type Rejection struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// SubscribeRequest is a reader's request to a source. It identifies the reader, acknowledges what it
// has applied, and requests the records after Have.
type SubscribeRequest struct {
	Fleet string   `json:"fleet"`
	Epoch string   `json:"epoch,omitempty"` // that Have and Seen refer to
	Scope          // the reader's identity
	Have  Position `json:"have"`
	// newest head of any source: a source behind it sends nothing (step 4)
	Seen       Position        `json:"seen"`
	Applied    Watermark       `json:"in_force"` // acknowledged (step 8)
	Generation uint64          `json:"turn"`     // increases with each change of source, also across restarts
	Seq        uint64          `json:"seq"`      // increases with each request within a generation
	Rejection  *Rejection      `json:"refused,omitempty"`
	Progress   *DigestProgress `json:"digest,omitempty"` // of a resync by digests; nil: none is running
	Digests    Digests         `json:"sums,omitempty"`   // only if the source requested them (Delta.WantDigests)
	WaitMs     int64           `json:"wait_ms,omitempty"`
}

// Validate returns an error that names the first invalid field.
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

// Delta advances one reader from position From to position To.
type Delta struct {
	Fleet       string       `json:"fleet"`
	Epoch       string       `json:"epoch"`
	Replaces    []string     `json:"replaces,omitempty"`
	Scope       Scope        `json:"for"`
	From        Position     `json:"from"`
	To          Position     `json:"to"`
	Head        Position     `json:"head"` // of the source: a reader at Head is up to date
	Records     []Record     `json:"records,omitempty"`
	Range       *BucketRange `json:"span,omitempty"`
	Buckets     []Bucket     `json:"buckets,omitempty"`
	WantDigests bool         `json:"ask,omitempty"` // requests the reader's digests; such a delta has no content
	AgeMs       int64        `json:"age_ms"`        // upper bound of the age of the source's state
}

// Size returns an upper bound of the delta's encoded bytes.
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
