package watchstream

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Relay is where readers call.
type Relay struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
}

// Order is the relays as a reader of that region and name goes to them: its region's first, each part by rendezvous hashing. With one gone
// its readers go to several others; all others stay where they are.
func Order(relays []Relay, region, reader string) []Relay {
	weight := func(r Relay) uint64 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(r.ID))))
		_, _ = d.WriteString(r.ID)
		_, _ = d.WriteString(reader)
		return d.Sum64()
	}
	list := slices.Clone(relays)
	slices.SortFunc(list, func(a, b Relay) int {
		if (a.Region == region) != (b.Region == region) {
			if a.Region == region {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // with a delta, or that there is none
	Failed                  // not at all, or with an error of the source's own
	Silent                  // within its time there was no answer
	Turned                  // with a Busy: not now
	Refused                 // with another refusal: what this source has is not for this reader now
)

// MoverOptions are the waits. What is zero is as Moves has it.
type MoverOptions struct {
	Least, Most         time.Duration // before another relay is called: drawn from Least to twice that, doubled by each failure up to Most
	HomeLeast, HomeMost time.Duration // after a move the first of the order is tried again: drawn between them
	Patience            int           // failures of one relay one after another before the next is called
	Aged                time.Duration // past that age of what a relay has, others are asked whether theirs is newer
}

// Moves is the usual waits.
var Moves = MoverOptions{Least: 100 * time.Millisecond, Most: 2 * time.Second, HomeLeast: 10 * time.Second, HomeMost: 30 * time.Second, Patience: 1,
	Aged: 3 * time.Second}

// Mover decides which relay a reader calls, and when.
type Mover struct {
	order   []Relay
	near    int // of them are of the reader's region
	opt     MoverOptions
	rand    *rand.Rand
	at      int           // who is called now
	due     time.Duration // and when, at the earliest
	home    time.Duration // when the first is tried again; 0: it is being called
	back    int           // who answered before home was tried; -1: home isn't being tried
	fails   int           // one after another, of any
	here    int           // of this relay
	settled int           // who answered last; -1: nobody
	moves   uint64

	age    time.Duration // of what who answered last had
	from   int           // where it looks about from; -1: it doesn't
	ahead  []int         // who is asked yet, after the one that is called
	lookAt time.Duration // when it may look about again
}

// NewMover returns a mover that has not called yet. Equal arguments give equal waits. Without relays Next tells of none.
func NewMover(relays []Relay, region, reader string, seed uint64, o MoverOptions) *Mover {
	o.Least, o.Most, o.Patience = cmp.Or(o.Least, Moves.Least), cmp.Or(o.Most, Moves.Most), cmp.Or(o.Patience, Moves.Patience)
	o.HomeLeast, o.HomeMost = cmp.Or(o.HomeLeast, Moves.HomeLeast), cmp.Or(o.HomeMost, Moves.HomeMost)
	o.Aged = cmp.Or(o.Aged, Moves.Aged)
	m := &Mover{order: Order(relays, region, reader), opt: o, rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(reader))), back: -1, settled: -1, from: -1}
	for m.near < len(m.order) && m.order[m.near].Region == region {
		m.near++
	}
	return m
}

// Next is whom to call, and when: not before at. Whoever then calls another relay than the last time tells the Replica by Moved first.
func (m *Mover) Next(now time.Duration) (r Relay, at time.Duration) {
	if len(m.order) == 0 {
		return Relay{}, now + m.opt.Most
	}
	if m.at != 0 && m.from < 0 && m.back < 0 && m.fails == 0 && m.here == 0 && m.home > 0 && now >= m.home {
		m.back, m.at, m.due = m.at, 0, now
	}
	return m.order[m.at], max(m.due, now)
}

// Moves is how often another relay answered than the one before.
func (m *Mover) Moves() uint64 { return m.moves }

// Ended tells how the call ended; after is what a Busy said, age how old what one has may be who answered.
func (m *Mover) Ended(now time.Duration, o Outcome, after, age time.Duration) {
	if len(m.order) == 0 {
		return
	}
	aged := o == Answered && age > m.opt.Aged
	switch {
	case m.from >= 0:
		m.looked(now, o, age)
	case o == Answered && !(aged && m.back >= 0 && !m.newer(age)):
		m.settle(now, age)
		if aged && now >= m.lookAt {
			m.look(now)
		}
	case m.back >= 0: // home isn't ready: go on where it was
		m.at, m.back, m.due = m.back, -1, now
		m.home = now + max(after, m.between(m.opt.HomeLeast, m.opt.HomeMost))
	case o == Turned:
		// Its own place first: whoever goes on at once asks everybody while all are busy. Told twice, it looks elsewhere.
		if m.here++; m.here > 1 {
			m.next(now)
		}
		m.due = now + after + m.between(0, m.opt.Least)
	default:
		m.fails++
		if m.here++; m.here >= m.opt.Patience {
			m.next(now)
		}
		wait := min(m.opt.Least<<min(m.fails-1, 16), m.opt.Most)
		m.due = now + m.between(wait, 2*wait)
	}
}

// settle stays with who has answered.
func (m *Mover) settle(now, age time.Duration) {
	if m.settled >= 0 && m.settled != m.at {
		m.moves++
	}
	m.settled, m.fails, m.here, m.back, m.due, m.age = m.at, 0, 0, -1, now, age
	switch {
	case m.at == 0:
		m.home = 0
	case m.home == 0: // one whose time has come stays so until it is tried
		m.home = now + m.between(m.opt.HomeLeast, m.opt.HomeMost)
	}
}

// newer tells whether what is so old is worth a move from where it is now: what isn't aged, or is not half as old. Where all are cut off
// from the same, all are about as old, and everybody stays.
func (m *Mover) newer(age time.Duration) bool { return age <= m.opt.Aged || age <= m.age/2 }

// look asks the others of its region whether what they have is newer, and one of another region, which is the next in the reader's own order and so not
// the same for all.
func (m *Mover) look(now time.Duration) {
	m.from, m.ahead = m.at, m.ahead[:0]
	for i := range min(m.near+1, len(m.order)) {
		if i != m.at {
			m.ahead = append(m.ahead, i)
		}
	}
	m.ask(now)
}

// ask calls the next of those that are asked, or goes back to where it was, for a while.
func (m *Mover) ask(now time.Duration) {
	if m.due = now; len(m.ahead) > 0 {
		m.at, m.ahead = m.ahead[0], m.ahead[1:]
		return
	}
	m.at, m.from, m.lookAt = m.from, -1, now+m.between(m.opt.HomeLeast, m.opt.HomeMost)
}

// looked takes the end of a call of one that is asked. One that is busy or doesn't answer is passed by: who asks has somebody who does.
func (m *Mover) looked(now time.Duration, o Outcome, age time.Duration) {
	if o != Answered || !m.newer(age) {
		m.ask(now)
		return
	}
	m.from, m.lookAt = -1, 0
	if age > m.opt.Aged {
		m.lookAt = now + m.between(m.opt.HomeLeast, m.opt.HomeMost)
	}
	m.settle(now, age)
}

func (m *Mover) next(now time.Duration) {
	m.at, m.here = (m.at+1)%len(m.order), 0
	if m.at == 0 {
		m.home = 0
	} else if m.home == 0 {
		m.home = now + m.between(m.opt.HomeLeast, m.opt.HomeMost)
	}
}

func (m *Mover) between(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(m.rand.Int64N(int64(b-a)))
}
