package giver

// Desk keeps decisions back until a majority has confirmed, after they were taken, that no later term has begun (6). One
// question serves all that wait for it.
type Desk[T any] struct {
	round   uint64 // of the question asked last
	asking  bool
	waiting []decision[T]
}

type decision[T any] struct {
	round uint64 // the first question that confirms it
	it    T
}

// Put keeps a decision back. A question that is already on its way may have been answered before it: the next one counts.
func (d *Desk[T]) Put(it T) { d.waiting = append(d.waiting, decision[T]{d.round + 1, it}) }

// Ask tells whether a question is to be asked now, and its number.
func (d *Desk[T]) Ask() (round uint64, due bool) {
	if d.asking || len(d.waiting) == 0 {
		return d.round, false
	}
	d.round++
	d.asking = true
	return d.round, true
}

// Hear ends a question: what it confirms, or fails to, is returned and waits no more.
func (d *Desk[T]) Hear(round uint64) (done []T) {
	if round != d.round || !d.asking {
		return nil
	}
	d.asking = false
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		if w.round <= round {
			done = append(done, w.it)
		} else {
			kept = append(kept, w)
		}
	}
	d.waiting = kept
	return done
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
