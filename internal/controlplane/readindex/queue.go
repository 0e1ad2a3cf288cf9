package readindex

// Queue keeps decisions back until a majority has confirmed, after they were taken, that no later term has begun (6). One
// question serves all that wait for it.
type Queue[T any] struct {
	roundNumber  uint64 // of the question asked last
	roundTerm    uint64 // that it was asked for
	roundPending bool
	waiting      []pendingAnswer[T]
}

type pendingAnswer[T any] struct {
	confirmedBy uint64 // the first question that confirms it
	term        uint64 // of the giver that took it
	answer      T
}

// Add keeps back a decision of that term's giver. A question that is already on its way may have been answered before it: the next
// one counts.
func (d *Queue[T]) Add(term uint64, it T) {
	d.waiting = append(d.waiting, pendingAnswer[T]{d.roundNumber + 1, term, it})
}

// StartRound tells whether a question is to be asked now, for the term that the agent leads in, and its number.
func (d *Queue[T]) StartRound(term uint64) (round uint64, due bool) {
	if d.roundPending || len(d.waiting) == 0 {
		return d.roundNumber, false
	}
	d.roundNumber++
	d.roundTerm, d.roundPending = term, true
	return d.roundNumber, true
}

// FinishRound ends a question: what it confirms, or fails to, is returned and waits no more. No question confirms a decision of
// another term, as of an agent that led before, lost its lead and has it again: void is those.
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

// Waiting is all that is kept back.
func (d *Queue[T]) Waiting() (all []T) {
	for _, w := range d.waiting {
		all = append(all, w.answer)
	}
	return all
}

// MajorityAgrees tells whether the terms that other agents have just told, with the asker's own, are those of a majority of so many
// that know of no later term: then nobody had been elected in one.
func MajorityAgrees(own uint64, others []uint64, agents int) bool {
	agree := 1
	for _, t := range others {
		if t <= own {
			agree++
		}
	}
	return 2*agree > agents
}
