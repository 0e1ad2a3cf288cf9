// Package leaders is the part of the worlds that concerns leadership: terms, leaders that do not know
// that they have been replaced, messages that are late or arrive twice, and the majority that a leader
// asks before it answers.
package leaders

import (
	"fmt"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/readindex"
)

// Message is a request to a leader, or an answer.
type Message interface {
	IsRequest() bool
	Print([]byte) []byte // equal letters print alike
}

// Leader is one leader with its state.
type Leader[B any, L Message] struct {
	State         B
	Confirmations readindex.Queue[L]
	Term          uint64
	Rate          float64 // of its clock
	round         uint64  // in progress; 0: none
	answeredTerm  uint64  // term that the majority answered; 0: no answer yet
}

// Round is the round in progress; 0: none.
func (l *Leader[B, L]) Round() uint64 { return l.round }

// Put keeps an answer until a majority has confirmed.
func (l *Leader[B, L]) AwaitConfirmation(m L) { l.Confirmations.Add(l.Term, m) }

// Group is the leaders, the last of whom is the current one, and the messages in transit.
type Group[B fmt.Stringer, L Message] struct {
	Leaders   []*Leader[B, L]
	Term      uint64
	InTransit []L
}

// Scaled is a true time as a clock of that rate shows it.
func LocalTime(t time.Duration, rate float64) time.Duration { return time.Duration(float64(t) * rate) }

// Leader is the one that leads.
func (g *Group[B, L]) Leader() *Leader[B, L] { return g.Leaders[len(g.Leaders)-1] }

// NextRate is the rate of the next leader's clock.
func (g *Group[B, L]) NextRate(rates []float64) float64 { return rates[int(g.Term)%len(rates)] }

// Elect makes another agent the leader; the previous one does not know.
func (g *Group[B, L]) Elect(rate float64, book B) {
	g.Term++
	g.Leaders = append(g.Leaders, &Leader[B, L]{State: book, Term: g.Term, Rate: rate})
	if len(g.Leaders) > 2 {
		g.Leaders = g.Leaders[1:]
	}
}

// Deliveries returns the numbers that Receive accepts: a message, and for a request the leader that
// gets it.
func (g *Group[B, L]) Deliveries() (on []int) {
	for i, m := range g.InTransit {
		for j := range g.Leaders {
			if m.IsRequest() {
				on = append(on, i*4+j)
			}
		}
		if !m.IsRequest() {
			on = append(on, i*4)
		}
	}
	return on
}

// Receive returns the message of that number, which stays in transit if it is to arrive again; to is
// nil for an answer.
func (g *Group[B, L]) Receive(on int, again bool) (m L, to *Leader[B, L]) {
	m = g.InTransit[on/4]
	if !again {
		g.InTransit = slices.Delete(slices.Clone(g.InTransit), on/4, on/4+1)
	}
	if m.IsRequest() {
		to = g.Leaders[on%4]
	}
	return m, to
}

// Question is a step of a round of questions to the majority.
type RoundStep int

// The steps.
const (
	StartRound      RoundStep = iota
	MajorityAnswers           // the majority answers
	FinishRound               // the answers arrive
	RoundAtOnce               // all of it at once
)

// PossibleSteps returns the leaders that can take a step.
func (g *Group[B, L]) PossibleSteps(q RoundStep) (on []int) {
	for j, l := range g.Leaders {
		asks := l.round == 0 && len(l.Confirmations.Waiting()) > 0
		if (q == StartRound || q == RoundAtOnce) && asks || q == MajorityAnswers && l.round != 0 && l.answeredTerm == 0 || q == FinishRound && l.answeredTerm != 0 {
			on = append(on, j)
		}
	}
	return on
}

// Step takes a step; answers that may be sent are in transit then.
func (g *Group[B, L]) Step(q RoundStep, on int) {
	l := g.Leaders[on]
	switch q {
	case StartRound:
		if round, due := l.Confirmations.StartRound(l.Term); due {
			l.round, l.answeredTerm = round, 0
		}
	case MajorityAnswers:
		l.answeredTerm = g.Term
	case FinishRound:
		g.InTransit = append(g.InTransit, g.finishRound(l)...)
	case RoundAtOnce:
		l.round, _ = l.Confirmations.StartRound(l.Term)
		l.answeredTerm = g.Term
		g.InTransit = append(g.InTransit, g.finishRound(l)...)
	}
}

// ConfirmNow runs a whole round, if none is in progress, and returns the answers that may be sent.
func (g *Group[B, L]) ConfirmNow(l *Leader[B, L]) []L {
	round, due := l.Confirmations.StartRound(l.Term)
	if !due {
		return nil
	}
	l.round, l.answeredTerm = round, g.Term
	return g.finishRound(l)
}

// AbandonRound ends a round without sending answers.
func (g *Group[B, L]) AbandonRound(l *Leader[B, L]) {
	if l.round != 0 {
		l.answeredTerm = g.Term
		g.finishRound(l)
	}
}

// finishRound ends a round with what the majority of three agents answered.
func (g *Group[B, L]) finishRound(l *Leader[B, L]) []L {
	agreed := readindex.MajorityAgrees(l.Term, []uint64{l.answeredTerm}, 3)
	done, _ := l.Confirmations.FinishRound(l.round)
	l.round, l.answeredTerm = 0, 0
	if !agreed {
		return nil
	}
	return done
}

// Print writes the state as text.
func (g *Group[B, L]) Print(b []byte) []byte {
	for _, l := range g.Leaders {
		b = fmt.Appendf(b, "%v %d %d %d", l.State, l.Term, l.round, l.answeredTerm)
		for _, m := range l.Confirmations.Waiting() {
			b = m.Print(b)
		}
	}
	for _, m := range g.InTransit {
		b = m.Print(b)
	}
	return b
}
