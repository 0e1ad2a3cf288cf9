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
func (d *Queue[T]) Add(term uint64, it T) {
	d.waiting = append(d.waiting, pendingAnswer[T]{d.roundNumber + 1, term, it})
}

// StartRound reports whether a round of questions has to be started now, for the term that the agent
// leads in, and its number.
func (d *Queue[T]) StartRound(term uint64) (round uint64, due bool) {
	if d.roundPending || len(d.waiting) == 0 {
		return d.roundNumber, false
	}
	d.roundNumber++
	d.roundTerm, d.roundPending = term, true
	return d.roundNumber, true
}

// FinishRound ends a round and returns the answers that it decides on: done may be sent if the
// majority agreed. No round confirms an answer of another term, as of an agent that led before, lost
// its leadership and leads again: those are void.
func (d *Queue[T]) FinishRound(round uint64) (done, void []T) {
	if round != d.roundNumber || !d.roundPending {
		return nil, nil
	}
	d.roundPending = false
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		switch {
		case w.confirmedBy > round:
			kept = append(kept, w)
		case w.term == d.roundTerm:
			done = append(done, w.answer)
		default:
			void = append(void, w.answer)
		}
	}
	d.waiting = kept
	return done, void
}

// Waiting returns all answers that are held.
func (d *Queue[T]) Waiting() (all []T) {
	for _, w := range d.waiting {
		all = append(all, w.answer)
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
