// Package fencing implements a shared resource's check of fencing tokens. Of any two operations whose
// changes it accepts, one ends before the other begins, in the order of their tokens. It does no I/O:
// the caller stores the state, and must make each call, together with the change that it guards, one
// atomic step (package lease, step 12).
package fencing

import "fmt"

// Guard is the fencing state stored with the resource. The zero value has seen no operation.
type Guard struct {
	Token      uint64 `json:"token"` // newest token under which an operation began
	Operation  uint64 `json:"act"`   // newest operation under it
	InProgress bool   `json:"open"`  // that operation has not ended
}

// RejectedError is returned for an operation that is not the newest; the change was not made.
type RejectedError struct {
	Token, Operation uint64 // of the rejected operation
	Current          Guard  // state of the resource
}

// Error names the rejected operation and the newest one that the resource has seen.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("refused: act %d under token %d, the place has seen act %d under token %d", r.Operation, r.Token, r.Current.Operation, r.Current.Token)
}

// Begin begins an operation. It ends any earlier operation, whose changes are rejected from then on.
// Operations under one token must have increasing numbers.
func (g *Guard) Begin(token, operation uint64) error {
	if token < g.Token || token == g.Token && operation <= g.Operation {
		return &RejectedError{token, operation, *g}
	}
	*g = Guard{token, operation, true}
	return nil
}

// CheckChange reports whether a change by the operation is accepted: it must be the one in progress.
func (g *Guard) CheckChange(token, operation uint64) error {
	if !g.InProgress || token != g.Token || operation != g.Operation {
		return &RejectedError{token, operation, *g}
	}
	return nil
}

// End ends an operation.
func (g *Guard) End(token, operation uint64) error {
	if err := g.CheckChange(token, operation); err != nil {
		return err
	}
	g.InProgress = false
	return nil
}
