// Package leaders is what the worlds of the proof share that a group of agents leads: terms, leaders that don't know that they lead no more,
// letters that are late or come twice, and the majority that a leader asks before it answers.
package leaders

import (
	"fmt"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/readindex"
)

// Letter is a question to a leader, or an answer.
type Letter interface {
	Asks() bool
	Print([]byte) []byte // equal letters print alike
}

// Lead is one leader with its book.
type Lead[B any, L Letter] struct {
	Book  B
	Desk  readindex.Queue[L]
	Term  uint64
	Rate  float64 // of its clock
	round uint64  // asked
	told  uint64  // the term that the majority told; 0: nothing yet
}

// Round is the question that is out; 0: none.
func (l *Lead[B, L]) Round() uint64 { return l.round }

// Put keeps an answer until a majority has confirmed.
func (l *Lead[B, L]) Put(m L) { l.Desk.Add(l.Term, m) }

// Group is the leaders, the last of whom leads, and the mail.
type Group[B fmt.Stringer, L Letter] struct {
	Leads []*Lead[B, L]
	Term  uint64
	Mail  []L
}

// Scaled is a true time by a clock of that rate.
func Scaled(t time.Duration, rate float64) time.Duration { return time.Duration(float64(t) * rate) }

// Lead is the one that leads.
func (g *Group[B, L]) Lead() *Lead[B, L] { return g.Leads[len(g.Leads)-1] }

// Rate is the clock of the next leader, of those in turn.
func (g *Group[B, L]) Rate(rates []float64) float64 { return rates[int(g.Term)%len(rates)] }

// Elect has another lead with that book; the one before doesn't know.
func (g *Group[B, L]) Elect(rate float64, book B) {
	g.Term++
	g.Leads = append(g.Leads, &Lead[B, L]{Book: book, Term: g.Term, Rate: rate})
	if len(g.Leads) > 2 {
		g.Leads = g.Leads[1:]
	}
}

// Deliveries are the numbers that Take knows: a letter, and for a question the leader that it comes to.
func (g *Group[B, L]) Deliveries() (on []int) {
	for i, m := range g.Mail {
		for j := range g.Leads {
			if m.Asks() {
				on = append(on, i*4+j)
			}
		}
		if !m.Asks() {
			on = append(on, i*4)
		}
	}
	return on
}

// Take is the letter of that number, which is still on its way where it is to come again; to is nil for an answer.
func (g *Group[B, L]) Take(on int, again bool) (m L, to *Lead[B, L]) {
	m = g.Mail[on/4]
	if !again {
		g.Mail = slices.Delete(slices.Clone(g.Mail), on/4, on/4+1)
	}
	if m.Asks() {
		to = g.Leads[on%4]
	}
	return m, to
}

// Question is a step of a leader's question to the majority.
type Question int

// The steps of a question.
const (
	Ask    Question = iota
	Told            // the majority answers
	Heard           // the answer to that arrives
	Finish          // asked and heard at once
)

// Can are the leaders that can take a step of a question.
func (g *Group[B, L]) Can(q Question) (on []int) {
	for j, l := range g.Leads {
		asks := l.round == 0 && len(l.Desk.Waiting()) > 0
		if (q == Ask || q == Finish) && asks || q == Told && l.round != 0 && l.told == 0 || q == Heard && l.told != 0 {
			on = append(on, j)
		}
	}
	return on
}

// Step takes a step of a question; answers that may go out are in the mail then.
func (g *Group[B, L]) Step(q Question, on int) {
	l := g.Leads[on]
	switch q {
	case Ask:
		if round, due := l.Desk.StartRound(l.Term); due {
			l.round, l.told = round, 0
		}
	case Told:
		l.told = g.Term
	case Heard:
		g.Mail = append(g.Mail, g.hear(l)...)
	case Finish:
		l.round, _ = l.Desk.StartRound(l.Term)
		l.told = g.Term
		g.Mail = append(g.Mail, g.hear(l)...)
	}
}

// Now asks the majority and hears it at once, where no question is out; it returns what may go out.
func (g *Group[B, L]) Now(l *Lead[B, L]) []L {
	round, due := l.Desk.StartRound(l.Term)
	if !due {
		return nil
	}
	l.round, l.told = round, g.Term
	return g.hear(l)
}

// Drain ends a question that is out; nothing goes out.
func (g *Group[B, L]) Drain(l *Lead[B, L]) {
	if l.round != 0 {
		l.told = g.Term
		g.hear(l)
	}
}

// hear has a leader hear what the majority told, of three agents.
func (g *Group[B, L]) hear(l *Lead[B, L]) []L {
	agreed := readindex.MajorityAgrees(l.Term, []uint64{l.told}, 3)
	done, _ := l.Desk.FinishRound(l.round)
	l.round, l.told = 0, 0
	if !agreed {
		return nil
	}
	return done
}

// Print writes all of it down.
func (g *Group[B, L]) Print(b []byte) []byte {
	for _, l := range g.Leads {
		b = fmt.Appendf(b, "%v %d %d %d", l.Book, l.Term, l.round, l.told)
		for _, m := range l.Desk.Waiting() {
			b = m.Print(b)
		}
	}
	for _, m := range g.Mail {
		b = m.Print(b)
	}
	return b
}
