package policy

import (
	"slices"
	"time"
)

// request is a queued or sent request. It stays known until it is answered and no attempt is in
// flight.
type request struct {
	Request
	class            *Class
	volume           *volume
	queue            *shardQueue
	firstSeenAt      time.Duration // when its client first asked, retries after a rejection included
	objectiveAt      time.Duration // when its latency objective ends
	deadlineAt       time.Duration // when its client gives up
	answerBy         time.Duration // when it is answered, if no attempt is in flight then
	startTag         time.Duration // eligible from then on
	finishTag        time.Duration // the smallest of the eligible ones goes first
	notBefore        time.Duration // backoff after a failed attempt
	heldSince        time.Duration // when it was queued, first or after the last attempt
	attempts         int           // started
	inFlightAt       *endpoint     // endpoint of the attempt in flight; nil: none
	attemptStartedAt time.Duration
	mayHaveRun       bool // an attempt may have had its effect; where and since when:
	ranInZone        string
	ranInShard       int
	firstRanAt       time.Duration
	rateLimitCharged bool    // its units were taken from the volume's rate limit
	pastObjective    bool    // it cannot be answered within its objective any more
	unitValue        float64 // value of serving one unit, as of the last look
	deferred         bool    // the endpoint cannot serve all in time, and this has the least value
	answered         bool    // its final answer was given
	heapIndex        int     // position in deadlines; -1: not there
}

// tagLead is how much of its time in the queue its start tag lay ahead.
func (r *request) startTagWait(now time.Duration) time.Duration {
	return max(0, min(r.startTag, now)-r.heldSince)
}

// removeRequest returns the list without r.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
