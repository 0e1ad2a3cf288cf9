// Package fencing is a place that tasks change, as it checks the tokens of leases: of any two acts whose changes it takes, one ends
// before the other begins, in the order of their tokens. It does no I/O; whoever keeps the state has to make each call of it, with
// the change that goes with it, one atomic step (docs/leases.md, step 12).
package fencing

import "fmt"

// Place is the state. Its zero value has seen nothing.
type Place struct {
	Token uint64 `json:"token"` // the newest that an act was begun under
	Act   uint64 `json:"act"`   // the newest act under it
	Open  bool   `json:"open"`  // that act is under way
}

// Refusal tells why nothing was changed.
type Refusal struct {
	Token, Act uint64 // what was tried
	Seen       Place  // what the place has seen
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: act %d under token %d, the place has seen act %d under token %d", r.Act, r.Token, r.Seen.Act, r.Seen.Token)
}

// Begin begins an act: whatever was under way before has ended by that, and nothing of it will be taken any more. Acts under one token
// have numbers that grow.
func (p *Place) Begin(token, act uint64) error {
	if token < p.Token || token == p.Token && act <= p.Act {
		return &Refusal{token, act, *p}
	}
	*p = Place{token, act, true}
	return nil
}

// Take tells whether a change by an act may be made: it is the one under way.
func (p *Place) Take(token, act uint64) error {
	if !p.Open || token != p.Token || act != p.Act {
		return &Refusal{token, act, *p}
	}
	return nil
}

// End ends an act.
func (p *Place) End(token, act uint64) error {
	if err := p.Take(token, act); err != nil {
		return err
	}
	p.Open = false
	return nil
}
