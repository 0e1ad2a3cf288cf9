// Package fencing is a place that tasks change, as it checks the tokens of leases: of any two acts whose changes it takes, one ends
// before the other begins, in the order of their tokens. It does no I/O; whoever keeps the state has to make each call of it, with
// the change that goes with it, one atomic step (docs/leases.md, step 12).
package fencing

import "fmt"

// Guard is the state. Its zero value has seen nothing.
type Guard struct {
	Token      uint64 `json:"token"` // the newest that an act was begun under
	Operation  uint64 `json:"act"`   // the newest act under it
	InProgress bool   `json:"open"`  // that act is under way
}

// RejectedError tells why nothing was changed.
type RejectedError struct {
	Token, Operation uint64 // what was tried
	Current          Guard  // what the place has seen
}

func (r *RejectedError) Error() string {
	return fmt.Sprintf("refused: act %d under token %d, the place has seen act %d under token %d", r.Operation, r.Token, r.Current.Operation, r.Current.Token)
}

// Begin begins an act: whatever was under way before has ended by that, and nothing of it will be taken any more. Acts under one token
// have numbers that grow.
func (p *Guard) Begin(token, act uint64) error {
	if token < p.Token || token == p.Token && act <= p.Operation {
		return &RejectedError{token, act, *p}
	}
	*p = Guard{token, act, true}
	return nil
}

// CheckChange tells whether a change by an act may be made: it is the one under way.
func (p *Guard) CheckChange(token, act uint64) error {
	if !p.InProgress || token != p.Token || act != p.Operation {
		return &RejectedError{token, act, *p}
	}
	return nil
}

// End ends an act.
func (p *Guard) End(token, act uint64) error {
	if err := p.CheckChange(token, act); err != nil {
		return err
	}
	p.InProgress = false
	return nil
}
