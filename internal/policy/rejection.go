package policy

import (
	"container/heap"
	"time"
)

// requestIdentity is what two tries of one client have in common.
type requestIdentity struct {
	class, volume, extent string
	units                 float64
}

func (r *request) identity() requestIdentity {
	return requestIdentity{r.Class, r.Volume, r.Extent, r.Units}
}

// expireObjective gives up a request that can no longer make its aim: it is answered before the step is over. Waiting
// on, it would hold a connection that its client needs for the next, and a late answer earns next to nothing.
func (s *Scheduler) expireObjective(r *request) {
	if r.pastObjective {
		return
	}
	r.pastObjective, r.answerBy = true, s.now
	if r.queue.endpoint != nil {
		r.queue.endpoint.congestedAt = s.now
	}
	s.refundTags(r)
	if r.heapIndex >= 0 {
		heap.Fix(&s.deadlines, r.heapIndex)
	}
}

// answerUnserved gives the final answer: a refusal where a client's retry is harmless, otherwise a failure.
func (s *Scheduler) answerUnserved(r *request) {
	c, kind, wait := r.class, Reject, time.Duration(0)
	if r.pastObjective {
		wait = r.deadlineAt - s.now // a further try of the same ask would come too late for its aim
	} else if r.startTag > s.now {
		wait = r.startTag - s.now // the volume is ahead of its rate until then
	}
	if r.mayHaveRun && c.Effect != Idempotent && (c.Effect != IdempotentWithKey || c.DedupScope != DedupFleet || r.MissingKey) {
		kind, wait = Fail, 0
	}
	end := Action{Kind: kind, Request: r.ID, Wait: wait, TagLead: r.tagLead(s.now)}
	if r.queue.endpoint != nil {
		end.Endpoint = r.queue.endpoint.ID
	}
	s.emit(end)
	s.rejected[r.identity()] = r
	s.rejectedInOrder = append(s.rejectedInOrder, r)
	for len(s.rejectedInOrder) > 0 && s.now > s.rejectedInOrder[0].firstSeenAt+s.rejectedInOrder[0].class.Deadline {
		if old := s.rejectedInOrder[0]; s.rejected[old.identity()] == old {
			delete(s.rejected, old.identity())
		}
		s.rejectedInOrder = s.rejectedInOrder[1:]
	}
	s.finishRequest(r)
}

// finishRequest notes that the request has its final answer.
func (s *Scheduler) finishRequest(r *request) {
	r.answered = true
	if r.heapIndex >= 0 {
		heap.Remove(&s.deadlines, r.heapIndex)
	}
	if r.inFlightAt == nil {
		r.dequeue()
		s.forget(r)
	}
}

// answerExpired ends the held requests that can no longer make their aim, and those of which half the time is
// over without an attempt: what still comes of them earns next to nothing, and clients pay for being held.
func (s *Scheduler) answerExpired() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.answerBy > s.now {
			return
		}
		if r.inFlightAt != nil {
			// Its attempt was cut to end with the budget; the outcome brings the answer, or puts it back.
			heap.Pop(&s.deadlines)
			continue
		}
		if s.now >= r.objectiveAt {
			s.expireObjective(r)
		}
		s.answerUnserved(r)
	}
}

// deadlineHeap orders requests by when they must be answered.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].answerBy < h[j].answerBy || h[i].answerBy == h[j].answerBy && h[i].ID < h[j].ID
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	r.heapIndex = -1
	*h = old[:len(old)-1]
	return r
}
