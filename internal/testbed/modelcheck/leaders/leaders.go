// Package leaders models leadership for the model checks: terms, leaders that have been replaced
// without having learned of it, messages that are delayed or duplicated, and the read-index round by
// which a leader confirms its term with a majority before it sends an answer.
package leaders

import (
	"fmt"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/readindex"
)

// Message is a request to a leader, or its response.
type Message interface {
	IsRequest() bool
	Print([]byte) []byte // appends the message as text; equal messages give equal texts
}

// Leader is an agent that believes to be the leader, with its state. B is the state machine that it
// runs, L the type of the messages.
type Leader[B any, L Message] struct {
	State         B
	Confirmations readindex.Queue[L]
	Term          uint64
	Rate          float64 // of its clock against true time
	round         uint64  // number of the confirmation round in progress; 0: none
	answeredTerm  uint64  // term that the majority answered in this round; 0: no answer yet
}

// Round returns the number of the confirmation round in progress; 0: none.
func (l *Leader[B, L]) Round() uint64 { return l.round }

// AwaitConfirmation queues a response until a majority has confirmed the leader's term.
func (l *Leader[B, L]) AwaitConfirmation(m L) { l.Confirmations.Add(l.Term, m) }

// Group is the newest two leaders, of which the last is the current one, and the messages in transit.
type Group[B fmt.Stringer, L Message] struct {
	Leaders   []*Leader[B, L]
	Term      uint64
	InTransit []L
}

// LocalTime converts a true time to the time that a clock of that rate shows.
func LocalTime(t time.Duration, rate float64) time.Duration { return time.Duration(float64(t) * rate) }

// Leader returns the current leader.
func (g *Group[B, L]) Leader() *Leader[B, L] { return g.Leaders[len(g.Leaders)-1] }

// NextRate returns the rate of the next leader's clock.
func (g *Group[B, L]) NextRate(rates []float64) float64 { return rates[int(g.Term)%len(rates)] }

// Elect makes another agent the leader. The previous leader is not notified and goes on as before.
func (g *Group[B, L]) Elect(rate float64, book B) {
	g.Term++
	g.Leaders = append(g.Leaders, &Leader[B, L]{State: book, Term: g.Term, Rate: rate})
	if len(g.Leaders) > 2 {
		g.Leaders = g.Leaders[1:]
	}
}

// Deliveries returns the numbers that Receive accepts: four times the message's index, plus the index
// of the leader that receives it if it is a request.
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

// Receive returns the message of that number, and the leader that receives it (nil for a response).
// The message is removed from those in transit unless it is to be delivered again.
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

// RoundStep is a step of a confirmation round, in which a leader asks the majority for their terms.
type RoundStep int

// The steps.
const (
	StartRound      RoundStep = iota // the leader sends the question
	MajorityAnswers                  // the majority answers with its term
	FinishRound                      // the answers arrive at the leader
	RoundAtOnce                      // the three steps with nothing in between
)

// PossibleSteps returns the indices of the leaders that can take the step.
func (g *Group[B, L]) PossibleSteps(q RoundStep) (on []int) {
	for j, l := range g.Leaders {
		asks := l.round == 0 && len(l.Confirmations.Waiting()) > 0
		if (q == StartRound || q == RoundAtOnce) && asks || q == MajorityAnswers && l.round != 0 && l.answeredTerm == 0 || q == FinishRound && l.answeredTerm != 0 {
			on = append(on, j)
		}
	}
	return on
}

// Step takes a step of the leader's round. Responses that the round confirms are put in transit.
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

// ConfirmNow runs a whole round, if one is due, and returns the responses that it confirms.
func (g *Group[B, L]) ConfirmNow(l *Leader[B, L]) []L {
	round, due := l.Confirmations.StartRound(l.Term)
	if !due {
		return nil
	}
	l.round, l.answeredTerm = round, g.Term
	return g.finishRound(l)
}

// AbandonRound ends the round in progress and drops the responses that it would have confirmed.
func (g *Group[B, L]) AbandonRound(l *Leader[B, L]) {
	if l.round != 0 {
		l.answeredTerm = g.Term
		g.finishRound(l)
	}
}

// finishRound ends the round and returns the responses that it confirms: none unless a majority of the
// three agents answered with a term that agrees with the leader's.
func (g *Group[B, L]) finishRound(l *Leader[B, L]) []L {
	agreed := readindex.MajorityAgrees(l.Term, []uint64{l.answeredTerm}, 3)
	done, _ := l.Confirmations.FinishRound(l.round)
	l.round, l.answeredTerm = 0, 0
	if !agreed {
		return nil
	}
	return done
}

// Print appends the state as text.
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
