// Package readindex delays a leader's answers until its leadership is confirmed, as Raft's read index
// does (Ongaro's thesis, section 6.4): an answer may be sent only after a majority of the agents has
// said, later than the answer was decided, that it knows of no later term. One round of questions
// serves all answers that wait for it. It does no I/O.
package readindex

// Queue holds answers until a round of questions that began after them has ended.
type Queue[T any] struct {
	roundNumber  uint64 // of the round started last
	roundTerm    uint64 // the term that it confirms
	roundPending bool
	waiting      []pendingAnswer[T]
}

// pendingAnswer is an answer that waits.
type pendingAnswer[T any] struct {
	confirmedBy uint64 // first round that confirms it
	term        uint64 // in which it was decided
	answer      T
}

// Add holds an answer that was decided in that term. A round that is already running may have been
// answered before, so the next one counts.
func (q *Queue[T]) Add(term uint64, it T) {
	q.waiting = append(q.waiting, pendingAnswer[T]{q.roundNumber + 1, term, it})
}

// StartRound reports whether a round of questions has to be started now, for the term that the agent
// leads in, and its number.
func (q *Queue[T]) StartRound(term uint64) (round uint64, due bool) {
	if q.roundPending || len(q.waiting) == 0 {
		return q.roundNumber, false
	}
	q.roundNumber++
	q.roundTerm, q.roundPending = term, true
	return q.roundNumber, true
}

// FinishRound ends a round and returns the answers that it decides on: done may be sent if the
// majority agreed. No round confirms an answer of another term, as of an agent that led before, lost
// its leadership and leads again: those are void.
func (q *Queue[T]) FinishRound(round uint64) (done, void []T) {
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
			done = append(done, p.answer)
		default:
			void = append(void, p.answer)
		}
	}
	q.waiting = kept
	return done, void
}

// Waiting returns all answers that are held.
func (q *Queue[T]) Waiting() (all []T) {
	for _, p := range q.waiting {
		all = append(all, p.answer)
	}
	return all
}

// MajorityAgrees reports whether the leader's own term is not behind the terms that others have just
// told, for a majority of all agents: then no later leader had been elected.
func MajorityAgrees(own uint64, others []uint64, agents int) bool {
	agree := 1
	for _, t := range others {
		if t <= own {
			agree++
		}
	}
	return 2*agree > agents
}
