package allocator

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// ledger has the entries of one limit, in order of member id, so that sums are always computed in the
// same order.
type ledger struct {
	entries     []entry
	sharesAt    time.Duration // when fair shares were last computed
	sharesStale bool          // they must be recomputed

	// Sums over blocks of entries, each computed from its entries alone, so that equal entries give equal sums.
	// A renewal invalidates one block, whose size is about the square root of the number of entries.
	blockSums []blockSum
	blockSize int // entries per block
}

// blockSum is the sum over a block of entries. It is valid from when it was computed until one of its
// amounts expires.
type blockSum struct {
	total                 quota.Amount
	validFrom, validUntil time.Duration // valid from validFrom until before validUntil; zero: invalid
}

// find returns the position of a member's entry, or where to insert it.
func (l *ledger) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.entries, id, func(e entry, id string) int { return strings.Compare(e.memberID, id) })
}

// insert adds an empty entry for a member.
func (l *ledger) insert(at int, id string) {
	l.entries = slices.Insert(l.entries, at, entry{memberID: id})
	l.invalidateAll()
}

// removeIf removes the entries that remove returns true for, and returns how many remain.
func (l *ledger) removeIf(remove func(entry) bool) (remaining int) {
	before := len(l.entries)
	if l.entries = slices.DeleteFunc(l.entries, remove); len(l.entries) < before {
		l.sharesStale = true
		l.invalidateAll()
	}
	return len(l.entries)
}

// invalidateAll drops all sums, since the positions of entries have changed.
func (l *ledger) invalidateAll() { l.blockSums = l.blockSums[:0] }

// invalidate drops the sum of the block that contains the entry at that position.
func (l *ledger) invalidate(at int) {
	if len(l.blockSums) > 0 {
		l.blockSums[at/l.blockSize] = blockSum{}
	}
}

// outstandingExcept returns what all members except the one at that position may hold.
func (l *ledger) outstandingExcept(now time.Duration, except int) (sum quota.Amount) {
	if len(l.blockSums) == 0 { // a power of two near the square root of the number of entries
		l.blockSize = 1 << (bits.Len(uint(len(l.entries))) / 2)
		l.blockSums = append(l.blockSums, make([]blockSum, (len(l.entries)+l.blockSize-1)/l.blockSize)...)
	}
	for i := range l.blockSums {
		s := &l.blockSums[i]
		if i == except/l.blockSize {
			for k := range l.block(i) {
				if at := i*l.blockSize + k; at != except {
					sum = addAmounts(sum, l.entries[at].maxOutstanding(now))
				}
			}
			continue
		}
		if now < s.validFrom || now >= s.validUntil {
			*s = l.sumBlock(now, i)
		}
		sum = addAmounts(sum, s.total)
	}
	return sum
}

// block returns the entries of a block.
func (l *ledger) block(i int) []entry {
	return l.entries[i*l.blockSize : min((i+1)*l.blockSize, len(l.entries))]
}

// sumBlock computes the sum of what the members of a block may hold.
func (l *ledger) sumBlock(now time.Duration, i int) blockSum {
	s := blockSum{validFrom: now, validUntil: 1<<63 - 1}
	for _, e := range l.block(i) {
		s.total = addAmounts(s.total, e.maxOutstanding(now))
		for _, end := range []time.Duration{e.reportedUntil, e.grantedUntil} {
			if now < end {
				s.validUntil = min(s.validUntil, end)
			}
		}
	}
	return s
}

// addAmounts adds rates and bursts.
func addAmounts(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// String returns the entries as text; block sums are omitted, since they follow from the entries.
func (l *ledger) String() string {
	return fmt.Sprintf("%+v %v %v", l.entries, l.sharesAt, l.sharesStale)
}
