package allocator

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// ledger is one whole's: those who may hold of it, in order of their ids, so that sums are made in the same order each time.
type ledger struct {
	entries     []entry
	sharesAt    time.Duration // when shares were reckoned
	sharesStale bool          // they are to be reckoned anew

	// What those of a run of rows may hold together, by place of the run. It follows from the rows alone, so that equal rows give equal sums. A
	// member that renews has one run of about the root of all rows summed anew, and not all.
	blockSums []blockSum
	blockSize int // rows of a run
}

// blockSum is what the rows of a run may hold, from a moment until one of them may hold less: for want of a renewal.
type blockSum struct {
	total                 quota.Amount
	validFrom, validUntil time.Duration // known where from is before until
}

func (p *ledger) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.entries, id, func(r entry, id string) int { return strings.Compare(r.memberID, id) })
}

// insert makes a row for a member that has none.
func (p *ledger) insert(at int, id string) {
	p.entries = slices.Insert(p.entries, at, entry{memberID: id})
	p.invalidateAll()
}

// removeIf takes out the rows that are told, and tells how many are left.
func (p *ledger) removeIf(gone func(entry) bool) (left int) {
	before := len(p.entries)
	if p.entries = slices.DeleteFunc(p.entries, gone); len(p.entries) < before {
		p.sharesStale = true
		p.invalidateAll()
	}
	return len(p.entries)
}

// invalidateAll notes that rows have other places.
func (p *ledger) invalidateAll() { p.blockSums = p.blockSums[:0] }

// invalidate notes that a row's member may hold something else.
func (p *ledger) invalidate(at int) {
	if len(p.blockSums) > 0 {
		p.blockSums[at/p.blockSize] = blockSum{}
	}
}

// outstandingExcept is what all but the member of a row may hold.
func (p *ledger) outstandingExcept(now time.Duration, but int) (all quota.Amount) {
	if len(p.blockSums) == 0 {
		p.blockSize = 1 << (bits.Len(uint(len(p.entries))) / 2)
		p.blockSums = append(p.blockSums, make([]blockSum, (len(p.entries)+p.blockSize-1)/p.blockSize)...)
	}
	for i := range p.blockSums {
		s := &p.blockSums[i]
		if i == but/p.blockSize {
			for k := range p.block(i) {
				if at := i*p.blockSize + k; at != but {
					all = addAmounts(all, p.entries[at].maxOutstanding(now))
				}
			}
			continue
		}
		if now < s.validFrom || now >= s.validUntil {
			*s = p.sumBlock(now, i)
		}
		all = addAmounts(all, s.total)
	}
	return all
}

// block is the rows of a run.
func (p *ledger) block(i int) []entry {
	return p.entries[i*p.blockSize : min((i+1)*p.blockSize, len(p.entries))]
}

// sumBlock adds up what a run's members may hold, which stands until the first of what was given to one of them ends.
func (p *ledger) sumBlock(now time.Duration, i int) blockSum {
	s := blockSum{validFrom: now, validUntil: 1<<63 - 1}
	for _, r := range p.block(i) {
		s.total = addAmounts(s.total, r.maxOutstanding(now))
		for _, end := range []time.Duration{r.reportedUntil, r.grantedUntil} {
			if now < end {
				s.validUntil = min(s.validUntil, end)
			}
		}
	}
	return s
}

func addAmounts(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// String is what the page says; sums follow from it.
func (p *ledger) String() string {
	return fmt.Sprintf("%+v %v %v", p.entries, p.sharesAt, p.sharesStale)
}
