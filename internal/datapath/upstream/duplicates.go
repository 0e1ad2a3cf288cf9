package upstream

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"spindlehitch/internal/policy"
)

// An HTTP answer names no request. If a target sends an answer twice and the copy arrives after the next request was written, the copy
// looks like that request's answer, and from then on each answer on the connection would go to the request behind its own. The rules
// below hold for a copy that begins to arrive within DuplicateWindow of the answer's end:
//
//   - Data on an idle connection ends it.
//   - An answer that may be a copy of the previous one, since both are equal and the request was written within the window, is held back
//     until the target's own answer has had time to follow. If it does, the request fails.
//   - After an answer that could not be told from its copy in that way, the connection rests for the window before it is reused, so that
//     a copy arrives while it is idle. These are answers that were streamed, which are not compared, and answers that the target has
//     given to different requests.
//
// At worst this costs a request duplicateCheckTimeout, once for each answer that a target repeats, and the rest of DuplicateWindow where
// all connections that are allowed to the target rest.
const (
	// DuplicateWindow is how long after an answer a copy of it is expected. Targets send copies some milliseconds late.
	DuplicateWindow = 50 * time.Millisecond
	// duplicateCheckTimeout is how long an answer that may be a copy is held back.
	duplicateCheckTimeout = 250 * time.Millisecond
	// maxRepeatedAnswers is how many repeated answers are known of a target.
	maxRepeatedAnswers = 16
)

// answerIdentity is what is kept of an answer for recognizing its copy.
type answerIdentity struct {
	sum      uint64 // of the status and the body
	streamed bool   // the body was streamed, and sum is not set
	repeats  bool   // equals the answer before it on its connection
}

// following returns the identity of an answer that comes after previous on the same connection.
func (a *answer) following(previous answerIdentity) answerIdentity {
	if a.stream != nil {
		return answerIdentity{streamed: true}
	}
	sum := a.fingerprint()
	return answerIdentity{sum: sum, repeats: !previous.streamed && previous.sum == sum}
}

// answerSet holds the fingerprints of the answers added last, maxRepeatedAnswers at most.
type answerSet struct {
	sums []uint64
	next int // the oldest one, once the set is full
}

func (s *answerSet) contains(sum uint64) bool { return slices.Contains(s.sums, sum) }

func (s *answerSet) add(sum uint64) {
	switch {
	case s.contains(sum):
	case len(s.sums) < maxRepeatedAnswers:
		s.sums = append(s.sums, sum)
	default:
		s.sums[s.next] = sum
		s.next = (s.next + 1) % maxRepeatedAnswers
	}
}

// awaitOwnAnswer waits for data behind an answer that may be a copy of the previous one. Without any the answer is the request's own, and
// the reason is empty.
func (r *answerReader) awaitOwnAnswer() (code policy.OutcomeCode, reason string) {
	r.conn.deadline, r.conn.maxGap = r.attempt.Deadline, duplicateCheckTimeout
	_, err := r.in.Peek(1)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		r.session.unsolicited = err == nil
		return policy.ConnectionReset, "ANSWER_TWICE"
	case !time.Now().Before(r.attempt.Deadline):
		return policy.TimedOut, "READ_TIMEOUT"
	}
	return policy.Served, ""
}

// noteAnswer learns from a connection's last answer which answers the target repeats, and reports whether the connection has to rest.
func (t *target) noteAnswer(last answerIdentity) (rests bool) {
	if last.repeats {
		t.repeated.add(last.sum)
	}
	return t.opt.ReuseDelay > 0 && (last.streamed || t.repeated.contains(last.sum))
}

// reusableAt returns when an idle connection may be reused.
func (t *target) reusableAt(c *conn) time.Time {
	if c.rests || t.unsolicited {
		return c.idleSince.Add(t.opt.ReuseDelay)
	}
	return c.idleSince
}

// awaitReusable waits until the connection has rested, or until ctx ends.
func (c *conn) awaitReusable(ctx context.Context) {
	wait := time.Until(c.reusableAt)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
