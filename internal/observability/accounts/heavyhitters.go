package accounts

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// WaitPair is a volume that waited and what it waited behind: another volume, itself, or a stalled target.
type WaitPair struct {
	Volume string
	Cause  string
	Stall  bool // Cause is a target
}

// Attribution is the waiting time attributed to a pair. The true time is at most Waited and at least Waited-Overestimate.
type Attribution struct {
	WaitPair
	Waited       time.Duration
	Overestimate time.Duration `json:"Error"`
	heapIndex    int
}

// heavyHitters keeps the pairs with the longest waits, by the SpaceSaving algorithm: at capacity, a new pair replaces the one
// with the shortest wait, whose wait becomes its overestimate. No pair with more than total/capacity is missing.
type heavyHitters struct {
	capacity int
	pairs    map[WaitPair]*Attribution
	minHeap  attributionHeap
	total    time.Duration
}

func newHeavyHitters(capacity int) *heavyHitters {
	return &heavyHitters{capacity: capacity, pairs: map[WaitPair]*Attribution{}}
}

func (h *heavyHitters) add(p WaitPair, d time.Duration) {
	if d <= 0 {
		return
	}
	h.total += d
	b := h.pairs[p]
	switch {
	case b != nil:
	case len(h.pairs) < h.capacity:
		b = &Attribution{WaitPair: p}
		h.pairs[p] = b
		heap.Push(&h.minHeap, b)
	default:
		b = h.minHeap[0]
		delete(h.pairs, b.WaitPair)
		b.WaitPair, b.Overestimate = p, b.Waited
		h.pairs[p] = b
	}
	b.Waited += d
	heap.Fix(&h.minHeap, b.heapIndex)
}

// heaviestFirst orders attributions by descending wait, then by name.
func heaviestFirst(a, b Attribution) int {
	return cmp.Or(cmp.Compare(b.Waited, a.Waited), cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Cause, b.Cause))
}

// list returns all attributions in the order of heaviestFirst.
func (h *heavyHitters) list() []Attribution {
	all := make([]Attribution, 0, len(h.pairs))
	for _, b := range h.pairs {
		all = append(all, *b)
	}
	slices.SortFunc(all, heaviestFirst)
	return all
}

// attributionHeap is a heap.Interface with the shortest wait first. It keeps each attribution's heapIndex up to date.
type attributionHeap []*Attribution

func (l attributionHeap) Len() int           { return len(l) }
func (l attributionHeap) Less(i, j int) bool { return l[i].Waited < l[j].Waited }
func (l attributionHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].heapIndex, l[j].heapIndex = i, j
}
func (l *attributionHeap) Push(x any) {
	b := x.(*Attribution)
	b.heapIndex = len(*l)
	*l = append(*l, b)
}
func (l *attributionHeap) Pop() any {
	old := *l
	b := old[len(old)-1]
	*l = old[:len(old)-1]
	return b
}
