package accounts

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Pair is a volume that waited and what it waited behind: another volume, itself, or a node that stood still.
type WaitPair struct {
	Volume string
	Cause  string
	Stall  bool // Cause is a node
}

// Blame is a pair's time; Error is by how much it may be over.
type Attribution struct {
	WaitPair
	Waited       time.Duration
	Overestimate time.Duration `json:"Error"`
	at           int
}

// heavy keeps the pairs that most time was blamed on, by SpaceSaving: a new pair takes the place, and as its error the time,
// of the least. No pair of more than the whole divided by most is missing.
type heavy struct {
	most  int
	pairs map[WaitPair]*Attribution
	least leastFirst
	whole time.Duration
}

func newHeavy(most int) *heavy { return &heavy{most: most, pairs: map[WaitPair]*Attribution{}} }

func (h *heavy) add(p WaitPair, d time.Duration) {
	if d <= 0 {
		return
	}
	h.whole += d
	b := h.pairs[p]
	switch {
	case b != nil:
	case len(h.pairs) < h.most:
		b = &Attribution{WaitPair: p}
		h.pairs[p] = b
		heap.Push(&h.least, b)
	default:
		b = h.least[0]
		delete(h.pairs, b.WaitPair)
		b.WaitPair, b.Overestimate = p, b.Waited
		h.pairs[p] = b
	}
	b.Waited += d
	heap.Fix(&h.least, b.at)
}

// heaviestFirst orders blames, those of the same weight by name.
func heaviestFirst(a, b Attribution) int {
	return cmp.Or(cmp.Compare(b.Waited, a.Waited), cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Cause, b.Cause))
}

// list has the heaviest first.
func (h *heavy) list() []Attribution {
	all := make([]Attribution, 0, len(h.pairs))
	for _, b := range h.pairs {
		all = append(all, *b)
	}
	slices.SortFunc(all, heaviestFirst)
	return all
}

type leastFirst []*Attribution

func (l leastFirst) Len() int           { return len(l) }
func (l leastFirst) Less(i, j int) bool { return l[i].Waited < l[j].Waited }
func (l leastFirst) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].at, l[j].at = i, j
}
func (l *leastFirst) Push(x any) {
	b := x.(*Attribution)
	b.at = len(*l)
	*l = append(*l, b)
}
func (l *leastFirst) Pop() any {
	old := *l
	b := old[len(old)-1]
	*l = old[:len(old)-1]
	return b
}
