package watchstream

// Rejection is a configuration that could not be served: the last good one stays in force.
type Rejection struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// SubscribeRequest is a reader's word to a source: who it is, what it has, and what of it is in force.
type SubscribeRequest struct {
	Fleet      string          `json:"fleet"`
	Epoch      string          `json:"epoch,omitempty"` // of Have and Seen
	Scope                      // who it is
	Have       Position        `json:"have"`
	Seen       Position        `json:"seen"`     // the furthest that it has heard of: a source that is behind brings it nothing (step 4)
	Applied    Watermark       `json:"in_force"` // what is applied: this counts as acknowledged (step 8)
	Generation uint64          `json:"turn"`     // grows with each move to another source, over restarts too
	Seq        uint64          `json:"seq"`      // grows with each hello of a turn
	Rejection  *Rejection      `json:"refused,omitempty"`
	Progress   *DigestProgress `json:"digest,omitempty"`
	Digests    Digests         `json:"sums,omitempty"` // only when asked for
	WaitMs     int64           `json:"wait_ms,omitempty"`
}

// Validate names the first field that cannot be used.
func (h *SubscribeRequest) Validate() error {
	if err := h.Scope.Validate(); err != nil {
		return err
	}
	switch {
	case h.Fleet == "":
		return fieldError("fleet", "it is missing")
	case len(h.Epoch) > MaxNameBytes || len(h.Applied.Epoch) > MaxNameBytes:
		return fieldError("epoch", "over %d bytes", MaxNameBytes)
	case h.Rejection != nil && len(h.Rejection.Reason) > MaxReasonBytes:
		return fieldError("refused.reason", "over %d bytes", MaxReasonBytes)
	case h.Progress != nil && h.Progress.NextBucket < 0:
		return fieldError("digest.at", "%d is below 0", h.Progress.NextBucket)
	case !h.Have.notAfter(h.Seen):
		return fieldError("seen", "it is before have")
	}
	return nil
}

// MaxReasonBytes bounds the reason of one who turned something down, in bytes.
const MaxReasonBytes = 512

// Delta brings one reader from a position to another.
type Delta struct {
	Fleet       string       `json:"fleet"`
	Epoch       string       `json:"epoch"`
	Replaces    []string     `json:"replaces,omitempty"`
	Scope       Scope        `json:"for"`
	From        Position     `json:"from"`
	To          Position     `json:"to"`
	Head        Position     `json:"head"` // of the source: where To is as far, all is there
	Records     []Record     `json:"records,omitempty"`
	Range       *BucketRange `json:"span,omitempty"`
	Buckets     []Bucket     `json:"buckets,omitempty"`
	WantDigests bool         `json:"ask,omitempty"` // the reader's sums are wanted; nothing else is in it
	AgeMs       int64        `json:"age_ms"`        // since the source knew the log's head for certain
}

// Size is the bytes that a delta takes, at most.
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
