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

// TestOthers holds the sums that are kept against those made anew, over random pages and times: rows come, go, change and run out, and the
// clock may be asked about a moment that is past.
func TestOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := &ledger{}, time.Hour
		amount := func() quota.Amount {
			return quota.Amount{Rate: float64(rapid.IntRange(0, 8).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 8).Draw(t, "burst"))}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(10, 59).Draw(t, "who"))
			at, there := l.find(id)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.removeIf(func(e entry) bool { return e.memberID == id })
			case 1:
				now += time.Duration(rapid.IntRange(-20, 300).Draw(t, "ms")) * time.Millisecond
			default:
				if !there {
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
			but := rapid.IntRange(0, len(l.entries)-1).Draw(t, "but")
			var want quota.Amount
			for i, e := range l.entries {
				if i != but {
					want = addAmounts(want, e.maxOutstanding(now))
				}
			}
			if got := l.outstandingExcept(now, but); got != want { // of whole numbers, so that no order of adding differs
				t.Fatalf("others than %d of %d at %v: %v, want %v", but, len(l.entries), now, got, want)
			}
		}
	})
}

// TestEqualRowsEqualSums has two pages come to the same rows by different ways: what they tell is the same to the last digit, since the searches
// take equal states for one.
func TestEqualRowsEqualSums(t *testing.T) {
	now := time.Hour
	fill := func(order []int, look bool) *ledger {
		l := &ledger{}
		for _, i := range order {
			id := fmt.Sprint(10 + i)
			at, _ := l.find(id)
			l.insert(at, id)
			l.entries[at].reported, l.entries[at].reportedUntil = quota.Amount{Rate: 1 / float64(i+3), Burst: 0.1 * float64(i)}, now+time.Second
			l.invalidate(at)
			if look {
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

// TestRenewCost counts what a renewal looks at: about two runs of rows, and not all.
func TestRenewCost(t *testing.T) {
	l, now := &ledger{}, time.Hour
	const rows = 4096
	for i := range rows {
		id := fmt.Sprintf("%05d", i)
		l.insert(i, id)
		l.entries[i].reported, l.entries[i].reportedUntil = quota.Amount{Rate: 1}, now+time.Minute
	}
	l.outstandingExcept(now, 0)
	summed := 0
	for i := range rows {
		now += time.Millisecond
		l.outstandingExcept(now, i)
		for _, s := range l.blockSums {
			if s.validFrom == now {
				summed++
			}
		}
		l.invalidate(i)
	}
	require.LessOrEqual(t, summed, rows, "runs summed anew by %d renewals", rows)
	require.LessOrEqual(t, l.blockSize*len(l.blockSums), 2*rows)
	require.LessOrEqual(t, len(l.blockSums)+l.blockSize, 4*64)
}
