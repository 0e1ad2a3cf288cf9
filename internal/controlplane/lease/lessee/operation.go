package lessee

import (
	"spindlehitch/internal/controlplane/lease"
	"time"
)

// Operation is one act of a task. It is begun under a token, has a bounded length, and ends, seen or not.
type Operation struct {
	lease.Key
	Token    uint64
	Number   uint64        // grows with each act of the process
	Deadline time.Duration // it does nothing any more from then on
}

// StartOperation begins an act, if one may begin now and can end within the lease (5).
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

// MayProceed tells whether an act may still do something at that moment.
func (t *Lessee) MayProceed(now time.Duration, a Operation) bool {
	h, holds := t.held[a.Key]
	return holds && h.token == a.Token && now < h.expiresAt && now < a.Deadline && t.running[a.Key] == a
}

// Outcome is how an act ended.
type Outcome int

const (
	Completed Outcome = iota
	Fenced            // the place has seen a newer token
	Failed            // for another reason
)

// FinishOperation ends an act. seen is the newest token that the place has shown; 0: none.
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
			h.recalled = true // there is a newer one, or the place has seen one of a group of agents before this
			t.held[a.Key] = h
		}
	}
	t.highestToken = max(t.highestToken, seen)
	t.releaseIfIdle(a.Key)
}

// NextOperation is when the next act at a shard is due.
func (t *Lessee) NextOperation(k lease.Key) time.Duration { return t.held[k].nextOperationAt }
