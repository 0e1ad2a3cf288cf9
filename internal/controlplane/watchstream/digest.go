package watchstream

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

// Digests are the digests of all buckets. In JSON they are the base64 text of eight bytes each, little
// endian.
type Digests []uint64

// MarshalText implements encoding.TextMarshaler.
func (d Digests) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 8*len(d))
	for _, x := range d {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return base64.StdEncoding.AppendEncode(nil, b), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digests) UnmarshalText(text []byte) error {
	b, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil || len(b)%8 != 0 {
		return fmt.Errorf("sums: not base64 of whole sums")
	}
	*d = make(Digests, len(b)/8)
	for i := range *d {
		(*d)[i] = binary.LittleEndian.Uint64(b[8*i:])
	}
	return nil
}

// DigestProgress is how far a reader's resync by digests has progressed: the buckets before NextBucket
// have the source's state at version Start or later.
type DigestProgress struct {
	Start      uint64 `json:"start"`
	NextBucket int    `json:"at"`
}

// Bucket has all live targets of one bucket: a target that it does not name was deleted. Unchanged names
// those that the reader already has, since they last changed at or before its position. Digest is the
// bucket's digest at the source, over both.
type Bucket struct {
	Index     int      `json:"n"`
	Digest    uint64   `json:"sum"`
	Unchanged []string `json:"held,omitempty"`
	Records   []Record `json:"records,omitempty"`
}

// Size returns an upper bound of the bucket's encoded bytes in a delta.
func (b *Bucket) Size() int {
	n := 64
	for _, key := range b.Unchanged {
		n += len(key) + 3
	}
	return n + recordsSize(b.Records)
}

// BucketRange is the range of buckets, From to To-1, that a delta by digests covers: those that the
// delta does not contain are equal at the source and the reader. Start is the version from which deltas
// by version continue once all buckets are covered.
type BucketRange struct {
	Start uint64 `json:"start"`
	From  int    `json:"from"`
	To    int    `json:"to"`
}

// fillByDigest fills a delta with the next buckets that differ, or requests the reader's digests. It
// returns how long to wait if the reader's rate does not allow that now, and 0 otherwise.
func (s *Source) fillByDigest(r *reader, d *Delta, newEpoch bool) (wait time.Duration) {
	st, p := s.store, r.request.Progress
	from := 0
	switch {
	case newEpoch:
		r.resync = &digestResync{epoch: st.epoch, start: d.Head.Targets}
	case r.resync != nil && r.resync.epoch == st.epoch && p == nil: // the reader's digests have just arrived
	case r.resync != nil && r.resync.epoch == st.epoch && p != nil && r.resync.start == p.Start && p.NextBucket <= len(st.digests):
		from = p.NextBucket
	default:
		// Digests are requested only if the reader's rate allows both them and a first part at once; otherwise the
		// reader would send them repeatedly.
		requestBytes := float64(digestBytes * len(st.digests))
		if wait = r.waitForBytes(min(requestBytes+(r.targetTokens.burst+r.sharedTokens.burst)/4, r.targetTokens.burst+r.sharedTokens.burst)); wait > 0 {
			return wait
		}
		r.sharedTokens.tokens -= requestBytes
		r.resync, d.WantDigests = nil, true
		return 0
	}
	budget := r.targetBudget()
	limit, total, truncated, to := min(budget, maxDeltaFill), 0, false, from
	for ; to < len(st.digests); to++ {
		readerDigest := uint64(0)
		if r.resync.digests != nil {
			readerDigest = r.resync.digests[to]
		}
		if st.digests[to] == readerDigest {
			continue
		}
		if truncated = total > 0 && float64(total) >= limit; truncated {
			break
		}
		b := Bucket{Index: to, Digest: st.digests[to]}
		for _, record := range st.buckets[to] {
			if record.Version <= d.From.Targets { // the reader has this version (step 2)
				b.Unchanged = append(b.Unchanged, record.Key)
			} else {
				b.Records = append(b.Records, *record)
			}
		}
		d.Buckets = append(d.Buckets, b)
		total += b.Size()
	}
	if wait = r.pacingWait(budget, truncated, total > 0, Targets); wait > 0 {
		return wait
	}
	r.spendTargetBytes(total)
	if d.Range = (&BucketRange{r.resync.start, from, to}); to == len(st.digests) {
		d.To.Targets = r.resync.start
	}
	return 0
}

// digestResync is the state of one reader's resync by digests.
type digestResync struct {
	epoch   string
	start   uint64
	digests Digests // of the reader when the resync began; nil: it had nothing of this epoch
}
