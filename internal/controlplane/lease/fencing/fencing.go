// Package fencing is the check that a shared resource makes of fencing tokens. Of any two operations
// whose changes it accepts, one ends before the other begins, in the order of their tokens. It does no
// I/O: whoever stores the state must make each call, together with the change that it guards, one
// atomic step (package lease, step 12).
package fencing

import "fmt"

// Guard is the state kept with the resource. The zero value has seen nothing.
type Guard struct {
	Token      uint64 `json:"token"` // newest token under which an operation began
	Operation  uint64 `json:"act"`   // newest operation under it
	InProgress bool   `json:"open"`  // that operation has not ended
}

// RejectedError tells why nothing was changed.
type RejectedError struct {
	Token, Operation uint64 // what was tried
	Current          Guard  // what the resource has seen
}

// Error names the operation and what the resource has seen.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("refused: act %d under token %d, the place has seen act %d under token %d", r.Operation, r.Token, r.Current.Operation, r.Current.Token)
}

// Begin begins an operation. It ends any operation before it, of which nothing is accepted any more.
// Operations under one token have growing numbers.
func (g *Guard) Begin(token, act uint64) error {
	if token < g.Token || token == g.Token && act <= g.Operation {
		return &RejectedError{token, act, *g}
	}
	*g = Guard{token, act, true}
	return nil
}

// CheckChange reports whether a change by the operation is accepted: it must be the one in progress.
func (g *Guard) CheckChange(token, act uint64) error {
	if !g.InProgress || token != g.Token || act != g.Operation {
		return &RejectedError{token, act, *g}
	}
	return nil
}

// End ends an operation.
func (g *Guard) End(token, act uint64) error {
	if err := g.CheckChange(token, act); err != nil {
		return err
	}
	g.InProgress = false
	return nil
}
