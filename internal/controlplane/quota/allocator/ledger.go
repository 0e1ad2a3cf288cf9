package allocator

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// ledger has the entries of one limit, in order of member id, so that sums are always made in the same
// order.
type ledger struct {
	entries     []entry
	sharesAt    time.Duration // when fair shares were last computed
	sharesStale bool          // they have to be computed again

	// Sums over blocks of entries, each computed from its entries alone, so that equal entries give equal sums.
	// A renewal has one block of about the square root of all entries summed again.
	blockSums []blockSum
	blockSize int // entries of a block
}

// blockSum is the sum over a block of entries. It is valid from a moment until one of its amounts
// expires.
type blockSum struct {
	total                 quota.Amount
	validFrom, validUntil time.Duration // not valid unless before validUntil
}

// find returns the position of a member's entry, or where to insert it.
func (p *ledger) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.entries, id, func(r entry, id string) int { return strings.Compare(r.memberID, id) })
}

// insert adds an empty entry for a member.
func (p *ledger) insert(at int, id string) {
	p.entries = slices.Insert(p.entries, at, entry{memberID: id})
	p.invalidateAll()
}

// removeIf removes the entries that gone accepts and returns how many are left.
func (p *ledger) removeIf(gone func(entry) bool) (left int) {
	before := len(p.entries)
	if p.entries = slices.DeleteFunc(p.entries, gone); len(p.entries) < before {
		p.sharesStale = true
		p.invalidateAll()
	}
	return len(p.entries)
}

// invalidateAll drops all sums: entries have other positions.
func (p *ledger) invalidateAll() { p.blockSums = p.blockSums[:0] }

// invalidate drops the sum of the block that has the entry.
func (p *ledger) invalidate(at int) {
	if len(p.blockSums) > 0 {
		p.blockSums[at/p.blockSize] = blockSum{}
	}
}

// outstandingExcept is what all members may hold but the one at that position.
func (p *ledger) outstandingExcept(now time.Duration, but int) (all quota.Amount) {
	if len(p.blockSums) == 0 { // a power of two near the square root
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

// block returns the entries of a block.
func (p *ledger) block(i int) []entry {
	return p.entries[i*p.blockSize : min((i+1)*p.blockSize, len(p.entries))]
}

// sumBlock adds up what the members of a block may hold.
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

// addAmounts is the sum of both figures.
func addAmounts(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// String prints the entries; sums follow from them.
func (p *ledger) String() string {
	return fmt.Sprintf("%+v %v %v", p.entries, p.sharesAt, p.sharesStale)
}
