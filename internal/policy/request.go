package policy

import (
	"slices"
	"time"
)

// request is a held or sent request; it stays known until it is answered and no attempt is out.
type request struct {
	Request
	class            *Class
	volume           *volume
	queue            *shardQueue
	firstSeenAt      time.Duration // when its client first asked
	objectiveAt      time.Duration // when the aim ends
	deadlineAt       time.Duration // when the client leaves
	answerBy         time.Duration // when it gets its answer, if nothing is out then
	startTag         time.Duration // start tag
	finishTag        time.Duration // finish tag
	notBefore        time.Duration // no attempt before
	heldSince        time.Duration // since when it is held, now or last
	attempts         int
	inFlightAt       *endpoint // where its attempt is, if any
	attemptStartedAt time.Duration
	mayHaveRun       bool          // an attempt may have run
	ranInZone        string        // where
	ranInShard       int           // and at which shard
	firstRanAt       time.Duration // since when
	rateLimitCharged bool          // its units were drawn from the volume's limit
	pastObjective    bool          // can no longer be answered within the aim
	unitValue        float64       // what a unit of it earns, as last looked at
	deferred         bool          // set aside: the node cannot do all in time, and this earns least
	answered         bool
	heapIndex        int // place among the times to answer by; -1: not there
}

// tagLead is how much of the time that it has been held for its start tag lay ahead.
func (r *request) tagLead(now time.Duration) time.Duration {
	return max(0, min(r.startTag, now)-r.heldSince)
}

// removeRequest returns the list with r taken out.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
