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
		p, now := &ledger{}, time.Hour
		amount := func() quota.Amount {
			return quota.Amount{Rate: float64(rapid.IntRange(0, 8).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 8).Draw(t, "burst"))}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(10, 59).Draw(t, "who"))
			at, there := p.find(id)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.removeIf(func(r entry) bool { return r.memberID == id })
			case 1:
				now += time.Duration(rapid.IntRange(-20, 300).Draw(t, "ms")) * time.Millisecond
			default:
				if !there {
					p.insert(at, id)
				}
				x := &p.entries[at]
				x.reported, x.reportedUntil = amount(), now+time.Duration(rapid.IntRange(-10, 900).Draw(t, "held"))*time.Millisecond
				if rapid.Bool().Draw(t, "granted") {
					x.granted, x.grantedUntil = amount(), now+time.Duration(rapid.IntRange(-10, 900).Draw(t, "granted for"))*time.Millisecond
				}
				p.invalidate(at)
			}
			if len(p.entries) == 0 {
				continue
			}
			but := rapid.IntRange(0, len(p.entries)-1).Draw(t, "but")
			var want quota.Amount
			for i, r := range p.entries {
				if i != but {
					want = addAmounts(want, r.maxOutstanding(now))
				}
			}
			if got := p.outstandingExcept(now, but); got != want { // of whole numbers, so that no order of adding differs
				t.Fatalf("others than %d of %d at %v: %v, want %v", but, len(p.entries), now, got, want)
			}
		}
	})
}

// TestEqualRowsEqualSums has two pages come to the same rows by different ways: what they tell is the same to the last digit, since the searches
// take equal states for one.
func TestEqualRowsEqualSums(t *testing.T) {
	now := time.Hour
	fill := func(order []int, look bool) *ledger {
		p := &ledger{}
		for _, i := range order {
			id := fmt.Sprint(10 + i)
			at, _ := p.find(id)
			p.insert(at, id)
			p.entries[at].reported, p.entries[at].reportedUntil = quota.Amount{Rate: 1 / float64(i+3), Burst: 0.1 * float64(i)}, now+time.Second
			p.invalidate(at)
			if look {
				p.outstandingExcept(now, at)
			}
		}
		return p
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
	p, now := &ledger{}, time.Hour
	const rows = 4096
	for i := range rows {
		id := fmt.Sprintf("%05d", i)
		p.insert(i, id)
		p.entries[i].reported, p.entries[i].reportedUntil = quota.Amount{Rate: 1}, now+time.Minute
	}
	p.outstandingExcept(now, 0)
	summed := 0
	for i := range rows {
		now += time.Millisecond
		p.outstandingExcept(now, i)
		for _, s := range p.blockSums {
			if s.validFrom == now {
				summed++
			}
		}
		p.invalidate(i)
	}
	require.LessOrEqual(t, summed, rows, "runs summed anew by %d renewals", rows)
	require.LessOrEqual(t, p.blockSize*len(p.blockSums), 2*rows)
	require.LessOrEqual(t, len(p.blockSums)+p.blockSize, 4*64)
}
