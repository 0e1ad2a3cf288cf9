// Package readindex delays a leader's answers until its leadership is confirmed, as Raft's read index
// does (Ongaro's thesis, section 6.4): an answer may be sent only after a majority of the agents,
// queried after the answer was decided, has reported no later term. One round of queries confirms all
// answers that were added before it. It does no I/O.
package readindex

// Queue holds answers until a round of queries that started after them has ended. It is not safe for
// concurrent use.
type Queue[T any] struct {
	roundNumber  uint64 // number of the last round started
	roundTerm    uint64 // term that this round confirms
	roundPending bool   // this round has not ended
	waiting      []pendingAnswer[T]
}

// pendingAnswer is an answer that waits for a round.
type pendingAnswer[T any] struct {
	confirmedBy uint64 // first round that confirms it
	term        uint64 // term in which it was decided
	answer      T
}

// Add adds an answer that was decided in that term. In a round that is already running, agents may have
// replied before the decision, so only a later round confirms it.
func (q *Queue[T]) Add(term uint64, answer T) {
	q.waiting = append(q.waiting, pendingAnswer[T]{q.roundNumber + 1, term, answer})
}

// StartRound starts a round for the term in which the agent leads, if answers are waiting and no round
// is pending. It returns the round's number and whether the caller has to send the queries.
func (q *Queue[T]) StartRound(term uint64) (round uint64, due bool) {
	if q.roundPending || len(q.waiting) == 0 {
		return q.roundNumber, false
	}
	q.roundNumber++
	q.roundTerm, q.roundPending = term, true
	return q.roundNumber, true
}

// FinishRound ends a round and returns the answers that were added before it started. Those of the
// round's term are covered: they may be sent if the majority agreed. Those of another term, decided
// before the agent lost its leadership and became leader again, are stale: no round can confirm them.
func (q *Queue[T]) FinishRound(round uint64) (covered, stale []T) {
	if round != q.roundNumber || !q.roundPending {
		return nil, nil
	}
	q.roundPending = false
	kept := q.waiting[:0]
	for _, p := range q.waiting {
		switch {
		case p.confirmedBy > round:
			kept = append(kept, p)
		case p.term == q.roundTerm:
			covered = append(covered, p.answer)
		default:
			stale = append(stale, p.answer)
		}
	}
	q.waiting = kept
	return covered, stale
}

// Waiting returns all answers that are waiting.
func (q *Queue[T]) Waiting() (all []T) {
	for _, p := range q.waiting {
		all = append(all, p.answer)
	}
	return all
}

// MajorityAgrees reports whether a majority of all agents, the leader included, has no later term than
// the leader. Then no later leader had been elected when they reported their terms.
func MajorityAgrees(ownTerm uint64, otherTerms []uint64, agents int) bool {
	agree := 1
	for _, t := range otherTerms {
		if t <= ownTerm {
			agree++
		}
	}
	return 2*agree > agents
}
