package lessee

import (
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Operation is one operation of a task. It runs under a token and has no effects after its deadline,
// even if it has not been finished by then.
type Operation struct {
	lease.Key
	Token    uint64
	Number   uint64        // grows with each operation of the process
	Deadline time.Duration // it has no effects from then on
}

// StartOperation starts an operation on a shard if one is due and can end within the lease (step 5).
func (l *Lessee) StartOperation(now time.Duration, k lease.Key) (Operation, bool) {
	h, holds := l.held[k]
	task := l.config.Task(k.Task)
	_, busy := l.running[k]
	if !holds || task == nil || h.recalled || busy || now < h.nextOperationAt || now+task.OperationTimeout() > h.expiresAt {
		return Operation{}, false
	}
	h.nextOperationAt = now + task.Interval()
	l.held[k] = h
	l.operations++
	op := Operation{k, h.token, l.operations, now + task.OperationTimeout()}
	l.running[k] = op
	return op, true
}

// MayProceed reports whether a running operation may still have effects.
func (l *Lessee) MayProceed(now time.Duration, op Operation) bool {
	h, holds := l.held[op.Key]
	return holds && h.token == op.Token && now < h.expiresAt && now < op.Deadline && l.running[op.Key] == op
}

// Outcome is how an operation ended.
type Outcome int

// Outcomes of operations.
const (
	Completed Outcome = iota
	Fenced            // rejected by the resource, which has seen a newer token
	Failed            // ended with another error
)

// FinishOperation ends an operation. seenToken is the newest token that the resource reported; 0: none.
func (l *Lessee) FinishOperation(op Operation, outcome Outcome, seenToken uint64) {
	if l.running[op.Key] == op {
		delete(l.running, op.Key)
	}
	if h, holds := l.held[op.Key]; holds && h.token == op.Token {
		switch outcome {
		case Completed:
			h.completed++
		case Fenced:
			h.fenced++
		case Failed:
			h.failed++
		}
		l.held[op.Key] = h
		if outcome == Fenced && seenToken > op.Token {
			h.recalled = true // there is a newer grant, or the resource has seen tokens from before the agents lost their log
			l.held[op.Key] = h
		}
	}
	l.highestToken = max(l.highestToken, seenToken)
	l.releaseIfIdle(op.Key)
}

// NextOperation returns when the next operation of a shard is due.
func (l *Lessee) NextOperation(k lease.Key) time.Duration { return l.held[k].nextOperationAt }
