package allocator

// Desk keeps decisions back until a majority has confirmed, after they were taken, that no later term has begun (6). One
// question serves all that wait for it.
type Desk[T any] struct {
	round   uint64 // of the question asked last
	term    uint64 // that it was asked for
	asking  bool
	waiting []decision[T]
}

type decision[T any] struct {
	round uint64 // the first question that confirms it
	term  uint64 // of the giver that took it
	it    T
}

// Put keeps back a decision of that term's giver. A question that is already on its way may have been answered before it: the next
// one counts.
func (d *Desk[T]) Put(term uint64, it T) {
	d.waiting = append(d.waiting, decision[T]{d.round + 1, term, it})
}

// Ask tells whether a question is to be asked now, for the term that the agent leads in, and its number.
func (d *Desk[T]) Ask(term uint64) (round uint64, due bool) {
	if d.asking || len(d.waiting) == 0 {
		return d.round, false
	}
	d.round++
	d.term, d.asking = term, true
	return d.round, true
}

// Hear ends a question: what it confirms, or fails to, is returned and waits no more. No question confirms a decision of
// another term, as of an agent that led before, lost its lead and has it again: void is those.
func (d *Desk[T]) Hear(round uint64) (done, void []T) {
	if round != d.round || !d.asking {
		return nil, nil
	}
	d.asking = false
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		switch {
		case w.round > round:
			kept = append(kept, w)
		case w.term == d.term:
			done = append(done, w.it)
		default:
			void = append(void, w.it)
		}
	}
	d.waiting = kept
	return done, void
}

// Waiting is all that is kept back.
func (d *Desk[T]) Waiting() (all []T) {
	for _, w := range d.waiting {
		all = append(all, w.it)
	}
	return all
}

// Majority tells whether the terms that other agents have just told, with the asker's own, are those of a majority of so many
// that know of no later term: then nobody had been elected in one.
func Majority(own uint64, others []uint64, agents int) bool {
	agree := 1
	for _, t := range others {
		if t <= own {
			agree++
		}
	}
	return 2*agree > agents
}
