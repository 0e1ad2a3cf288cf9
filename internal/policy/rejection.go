package policy

import (
	"container/heap"
	"time"
)

// answerUnserved answers the requests that are not served, except those with an unknown class or plan or
// with no time left, which handleRequest rejects at arrival. A request is answered unserved if:
//
//   - It cannot meet its latency objective: the endpoint's base latency alone would exceed it
//     (filterSendable), it has passed (answerExpired), or it had passed when the request, a client's
//     retry, arrived (handleRequest). The request is marked unservable and answered in the same step.
//   - Half of its time has passed without an attempt (answerExpired): its client should have time to
//     retry elsewhere. After an attempt it waits until its objective instead (request.answerBy).
//   - An attempt failed and no further one is allowed (handleOutcome, mayRetry).
//   - Most of its body was sent to an endpoint that no longer serves its shard (earliestSend). It is
//     marked unservable too.
//
// The answer is Reject, after which a retry is safe, unless the request may have run and its class does
// not allow a repeat: then it is Fail.

// requestIdentity is the fields that an unserved request and its client's retry have in common. The
// request id is not part of it, since clients generate a new one for a retry.
type requestIdentity struct {
	class, volume, extent string
	units                 float64
}

// identity returns the key by which a retry of the request is recognized.
func (r *request) identity() requestIdentity {
	return requestIdentity{r.Class, r.Volume, r.Extent, r.Units}
}

// markUnservable marks a request that cannot be served any more, in most cases because it cannot meet
// its latency objective: it is answered before the step ends. Waiting longer would block its client's
// connection, and a late answer has almost no value.
func (s *Scheduler) markUnservable(r *request) {
	if r.unservable {
		return
	}
	r.unservable, r.answerBy = true, s.now
	if r.queue.endpoint != nil {
		r.queue.endpoint.congestedAt = s.now
	}
	s.refundTags(r)
	if r.heapIndex >= 0 {
		heap.Fix(&s.deadlines, r.heapIndex)
	}
}

// answerUnserved ends a request that was not served: with Reject where a retry is safe, otherwise with
// Fail. It also drops the unserved requests whose retries are no longer recognized.
func (s *Scheduler) answerUnserved(r *request) {
	c, kind, wait := r.class, Reject, time.Duration(0)
	if r.unservable {
		wait = r.deadlineAt - s.now // a retry would miss the objective as well
	} else if r.startTag > s.now {
		wait = r.startTag - s.now // the volume exceeds its rate until then
	}
	if r.mayHaveRun && c.Effect != Idempotent && (c.Effect != IdempotentWithKey || c.DedupScope != DedupFleet || r.MissingKey) {
		kind, wait = Fail, 0
	}
	end := Action{Kind: kind, Request: r.ID, Wait: wait, StartTagWait: r.startTagWait(s.now)}
	if r.queue.endpoint != nil {
		end.Endpoint = r.queue.endpoint.ID
	}
	s.emit(end)
	s.unserved[r.identity()] = r
	s.unservedInOrder = append(s.unservedInOrder, r)
	for len(s.unservedInOrder) > 0 && s.now > s.unservedInOrder[0].firstSeenAt+s.unservedInOrder[0].class.Deadline {
		if old := s.unservedInOrder[0]; s.unserved[old.identity()] == old {
			delete(s.unserved, old.identity())
		}
		s.unservedInOrder = s.unservedInOrder[1:]
	}
	s.finishRequest(r)
}

// finishRequest marks the request as answered. It is kept while an attempt is in flight.
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

// answerExpired answers the queued requests whose answerBy has passed: those that cannot meet their
// objective, and those without an attempt after half of their time.
func (s *Scheduler) answerExpired() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.answerBy > s.now {
			return
		}
		if r.inFlightAt != nil {
			// The attempt times out at the deadline at the latest; its outcome answers or requeues the request.
			heap.Pop(&s.deadlines)
			continue
		}
		if s.now >= r.objectiveAt {
			s.markUnservable(r)
		}
		s.answerUnserved(r)
	}
}

// deadlineHeap orders requests by the time at which they must be answered (container/heap).
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
