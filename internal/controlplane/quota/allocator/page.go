package allocator

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// page is one whole's: those who may hold of it, in order of their ids, so that sums are made in the same order each time.
type page struct {
	rows []row
	at   time.Duration // when shares were reckoned
	old  bool          // they are to be reckoned anew

	// What those of a run of rows may hold together, by place of the run. It follows from the rows alone, so that equal rows give equal sums. A
	// member that renews has one run of about the root of all rows summed anew, and not all.
	sums  []sum
	width int // rows of a run
}

// sum is what the rows of a run may hold, from a moment until one of them may hold less: for want of a renewal.
type sum struct {
	may         quota.Amount
	from, until time.Duration // known where from is before until
}

func (p *page) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.rows, id, func(r row, id string) int { return strings.Compare(r.id, id) })
}

// enter makes a row for a member that has none.
func (p *page) enter(at int, id string) {
	p.rows = slices.Insert(p.rows, at, row{id: id})
	p.moved()
}

// drop takes out the rows that are told, and tells how many are left.
func (p *page) drop(gone func(row) bool) (left int) {
	before := len(p.rows)
	if p.rows = slices.DeleteFunc(p.rows, gone); len(p.rows) < before {
		p.old = true
		p.moved()
	}
	return len(p.rows)
}

// moved notes that rows have other places.
func (p *page) moved() { p.sums = p.sums[:0] }

// touch notes that a row's member may hold something else.
func (p *page) touch(at int) {
	if len(p.sums) > 0 {
		p.sums[at/p.width] = sum{}
	}
}

// others is what all but the member of a row may hold.
func (p *page) others(now time.Duration, but int) (all quota.Amount) {
	if len(p.sums) == 0 {
		p.width = 1 << (bits.Len(uint(len(p.rows))) / 2)
		p.sums = append(p.sums, make([]sum, (len(p.rows)+p.width-1)/p.width)...)
	}
	for i := range p.sums {
		s := &p.sums[i]
		if i == but/p.width {
			for k := range p.run(i) {
				if at := i*p.width + k; at != but {
					all = plus(all, p.rows[at].may(now))
				}
			}
			continue
		}
		if now < s.from || now >= s.until {
			*s = p.sum(now, i)
		}
		all = plus(all, s.may)
	}
	return all
}

// run is the rows of a run.
func (p *page) run(i int) []row { return p.rows[i*p.width : min((i+1)*p.width, len(p.rows))] }

// sum adds up what a run's members may hold, which stands until the first of what was given to one of them ends.
func (p *page) sum(now time.Duration, i int) sum {
	s := sum{from: now, until: 1<<63 - 1}
	for _, r := range p.run(i) {
		s.may = plus(s.may, r.may(now))
		for _, end := range []time.Duration{r.heldEnd, r.grantedEnd} {
			if now < end {
				s.until = min(s.until, end)
			}
		}
	}
	return s
}

func plus(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst}
}

// String is what the page says; sums follow from it.
func (p *page) String() string { return fmt.Sprintf("%+v %v %v", p.rows, p.at, p.old) }
