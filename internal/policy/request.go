package policy

import (
	"slices"
	"time"
)

// request is a queued or sent request. It is kept until it is answered and no attempt is in flight.
type request struct {
	Request
	class            *Class
	volume           *volume
	queue            *shardQueue
	firstSeenAt      time.Duration // when it arrived; for a retry after a rejection, when the first try arrived
	objectiveAt      time.Duration // end of its latency objective
	deadlineAt       time.Duration // when its client gives up
	answerBy         time.Duration // when it is answered without being served, unless an attempt is in flight
	startTag         time.Duration // it is eligible from then on
	finishTag        time.Duration // of the eligible requests the one with the smallest is sent first
	notBefore        time.Duration // no attempt is sent before: backoff after a failed one
	queuedSince      time.Duration // when it was last queued: at arrival or after an attempt
	attempts         int           // number of attempts started
	inFlightAt       *endpoint     // endpoint of the attempt in flight; nil: none
	attemptStartedAt time.Duration
	mayHaveRun       bool // an attempt may have taken effect; of the first such attempt:
	ranInZone        string
	ranInShard       int
	firstRanAt       time.Duration
	rateLimitCharged bool    // its units were taken from the volume's rate limit
	unservable       bool    // it cannot be served any more and is answered in this step (markUnservable)
	valuePerUnit     float64 // value of serving one unit, as of the last filterSendable
	deferred         bool    // the endpoint cannot serve all in time, and this one is among the least valuable
	answered         bool    // its final answer was given
	heapIndex        int     // index in Scheduler.deadlines; -1: not in it
}

// startTagWait is how long, since it was last queued, the request has waited for its start tag.
func (r *request) startTagWait(now time.Duration) time.Duration {
	return max(0, min(r.startTag, now)-r.queuedSince)
}

// removeRequest returns the list without r.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
