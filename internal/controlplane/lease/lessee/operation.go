package lessee

import (
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Operation is one operation of a task. It runs under a token, has a bounded duration, and ends
// whether or not it is seen to end.
type Operation struct {
	lease.Key
	Token    uint64
	Number   uint64        // grows with each operation of the process
	Deadline time.Duration // it does nothing from then on
}

// StartOperation starts an operation if one is due and can end within the lease (step 5).
func (t *Lessee) StartOperation(now time.Duration, k lease.Key) (Operation, bool) {
	h, holds := t.held[k]
	task := t.config.Task(k.Task)
	_, acts := t.running[k]
	if !holds || task == nil || h.recalled || acts || now < h.nextOperationAt || now+task.OperationTimeout() > h.expiresAt {
		return Operation{}, false
	}
	h.nextOperationAt = now + task.Interval()
	t.held[k] = h
	t.operations++
	a := Operation{k, h.token, t.operations, now + task.OperationTimeout()}
	t.running[k] = a
	return a, true
}

// MayProceed reports whether a running operation may still have effects.
func (t *Lessee) MayProceed(now time.Duration, a Operation) bool {
	h, holds := t.held[a.Key]
	return holds && h.token == a.Token && now < h.expiresAt && now < a.Deadline && t.running[a.Key] == a
}

// Outcome is how an operation ended.
type Outcome int

// The outcomes.
const (
	Completed Outcome = iota
	Fenced            // the resource has seen a newer token
	Failed            // for another reason
)

// FinishOperation ends an operation. seen is the newest token that the resource has shown; 0: none.
func (t *Lessee) FinishOperation(a Operation, how Outcome, seen uint64) {
	if t.running[a.Key] == a {
		delete(t.running, a.Key)
	}
	if h, holds := t.held[a.Key]; holds && h.token == a.Token {
		switch how {
		case Completed:
			h.completed++
		case Fenced:
			h.fenced++
		case Failed:
			h.failed++
		}
		t.held[a.Key] = h
		if how == Fenced && seen > a.Token {
			h.recalled = true // there is a newer grant, or the resource has seen tokens of an earlier group of agents
			t.held[a.Key] = h
		}
	}
	t.highestToken = max(t.highestToken, seen)
	t.releaseIfIdle(a.Key)
}

// NextOperation is when the next operation of a shard is due.
func (t *Lessee) NextOperation(k lease.Key) time.Duration { return t.held[k].nextOperationAt }
