package allocator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/quota"
)

// TestOutstandingExcept compares the cached block sums with sums over all entries, on random ledgers and times: entries are added,
// removed, changed and expire, and the time may go back.
func TestOutstandingExcept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := &ledger{}, time.Hour
		amount := func() quota.Amount {
			return quota.Amount{Rate: float64(rapid.IntRange(0, 8).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 8).Draw(t, "burst"))}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(10, 59).Draw(t, "member"))
			at, found := l.find(id)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				l.removeIf(func(e entry) bool { return e.memberID == id })
			case 1:
				now += time.Duration(rapid.IntRange(-20, 300).Draw(t, "ms")) * time.Millisecond
			default:
				if !found {
					l.insert(at, id)
				}
				x := &l.entries[at]
				x.reported, x.reportedUntil = amount(), now+time.Duration(rapid.IntRange(-10, 900).Draw(t, "held"))*time.Millisecond
				if rapid.Bool().Draw(t, "granted") {
					x.granted, x.grantedUntil = amount(), now+time.Duration(rapid.IntRange(-10, 900).Draw(t, "granted for"))*time.Millisecond
				}
				l.invalidate(at)
			}
			if len(l.entries) == 0 {
				continue
			}
			except := rapid.IntRange(0, len(l.entries)-1).Draw(t, "except")
			var want quota.Amount
			for i, e := range l.entries {
				if i != except {
					want = addAmounts(want, e.maxOutstanding(now))
				}
			}
			if got := l.outstandingExcept(now, except); got != want { // the amounts are integers, so the order of addition does not matter
				t.Fatalf("outstanding except %d of %d at %v: %v, want %v", except, len(l.entries), now, got, want)
			}
		}
	})
}

// TestEqualEntriesEqualSums builds two ledgers with equal entries in different orders. Their sums must be equal to the last bit, since
// the state search of the model checker treats states with equal texts as one.
func TestEqualEntriesEqualSums(t *testing.T) {
	now := time.Hour
	fill := func(order []int, sumEachTime bool) *ledger {
		l := &ledger{}
		for _, i := range order {
			id := fmt.Sprint(10 + i)
			at, _ := l.find(id)
			l.insert(at, id)
			l.entries[at].reported, l.entries[at].reportedUntil = quota.Amount{Rate: 1 / float64(i+3), Burst: 0.1 * float64(i)}, now+time.Second
			l.invalidate(at)
			if sumEachTime {
				l.outstandingExcept(now, at)
			}
		}
		return l
	}
	order := make([]int, 40)
	for i := range order {
		order[i] = i
	}
	one := fill(order, false)
	slices.Reverse(order)
	two := fill(order, true)
	require.Equal(t, one.String(), two.String())
	for i := range order {
		require.Equal(t, one.outstandingExcept(now, i), two.outstandingExcept(now, i))
	}
}

// TestRenewCost counts the blocks that renewals sum again. A renewal must cost about two blocks, not all entries.
func TestRenewCost(t *testing.T) {
	l, now := &ledger{}, time.Hour
	const entries = 4096
	for i := range entries {
		id := fmt.Sprintf("%05d", i)
		l.insert(i, id)
		l.entries[i].reported, l.entries[i].reportedUntil = quota.Amount{Rate: 1}, now+time.Minute
	}
	l.outstandingExcept(now, 0)
	summed := 0
	for i := range entries {
		now += time.Millisecond
		l.outstandingExcept(now, i)
		for _, s := range l.blockSums {
			if s.validFrom == now {
				summed++
			}
		}
		l.invalidate(i)
	}
	require.LessOrEqual(t, summed, entries, "blocks summed again by %d renewals", entries)
	require.LessOrEqual(t, l.blockSize*len(l.blockSums), 2*entries)
	require.LessOrEqual(t, len(l.blockSums)+l.blockSize, 4*64)
}
