// Package explore searches the states of small models, breadth first or by random walks. To show that
// a search detects faults, it also plants mistakes into the code under test and checks that each is
// found.
package explore

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// World is one state of a model: the state machines with all messages in transit between them.
type World[S fmt.Stringer] interface {
	Steps() []S    // the steps that are possible next, in a fixed order
	Do(S) error    // takes one of them and checks the invariants
	Print() string // the state as text; equal states give equal texts
}

// ViolationError is a violated invariant and the steps that lead to it.
type ViolationError struct {
	Case  string
	Steps []string
	Err   error
}

func (f *ViolationError) Error() string {
	return fmt.Sprintf("%s: %v, after / %s", f.Case, f.Err, strings.Join(f.Steps, " / "))
}

// NewViolation returns a ViolationError for the case of that name with these steps.
func NewViolation[S fmt.Stringer](name string, steps []S, err error) *ViolationError {
	f := &ViolationError{Case: name, Err: err}
	for _, s := range steps {
		f.Steps = append(f.Steps, s.String())
	}
	return f
}

// Replay takes the steps, beginning at the initial state that first returns.
func Replay[S fmt.Stringer, W World[S]](name string, first func() (W, error), steps []S) (W, error) {
	w, err := first()
	if err != nil {
		return w, err
	}
	for i, x := range steps {
		if err := w.Do(x); err != nil {
			return w, NewViolation(name, steps[:i+1], err)
		}
	}
	return w, nil
}

// Search visits all states within depth steps of the initial one, each once, and returns their number.
// It is breadth first, so that a violation is found with as few steps as possible. It stops after the
// level at which it has seen more than limit states; complete reports whether it visited all. If
// checkState is not nil, it is called with one state in sixteen, selected by the state's hash.
func Search[S fmt.Stringer, W World[S]](name string, first func() (W, error), depth, limit int, checkState func(W) error) (states int, complete bool, err error) { //nolint:gocognit // to be split with its package, see docs/left.md
	seen := map[uint64]bool{}
	level := [][]S{nil}
	type next struct {
		steps []S
		hash  uint64
	}
	for range depth {
		found := make([][]next, len(level))
		var mu sync.Mutex // guards broken and brokenAt
		var broken *ViolationError
		brokenAt := len(level)
		var wg sync.WaitGroup
		work := make(chan int) // indices into level; closed once all are sent, which ends the workers
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for at := range work {
					w, err := Replay(name, first, level[at])
					if err != nil {
						continue // reported at the previous level
					}
					for _, x := range w.Steps() {
						steps := append(level[at][:len(level[at]):len(level[at])], x)
						w, err := Replay(name, first, steps)
						var hash uint64
						if err == nil {
							if hash = xxhash.Sum64String(w.Print()); checkState != nil && hash%16 == 0 {
								if err = checkState(w); err != nil {
									err = NewViolation(name, steps, err)
								}
							}
						}
						if err != nil {
							mu.Lock()
							if f := (*ViolationError)(nil); errors.As(err, &f) && at < brokenAt {
								broken, brokenAt = f, at
							}
							mu.Unlock()
							break
						}
						found[at] = append(found[at], next{steps, hash})
					}
				}
			})
		}
		for at := range level {
			work <- at
		}
		close(work)
		wg.Wait()
		if broken != nil {
			return len(seen), false, broken
		}
		level = nil
		for _, f := range found {
			for _, n := range f {
				if !seen[n.hash] {
					seen[n.hash] = true
					level = append(level, n.steps)
				}
			}
		}
		if len(seen) > limit {
			return len(seen), false, nil
		}
	}
	return len(seen), true, nil
}

// Walk takes n random steps. It draws the kind of a step first, then one step of that kind, so that a
// kind with many possible steps doesn't crowd out the others. In addition, one step in oneIn is of the
// kind tick. It returns the steps, and a ViolationError if the last of them violates an invariant.
func Walk[S fmt.Stringer, K comparable, W World[S]](name string, w W, t *rapid.T, n int, kind func(S) K, tick K, oneIn int) (steps []S, err error) {
	for range n {
		possible := w.Steps()
		k := kind(possible[rapid.IntRange(0, len(possible)-1).Draw(t, "kind")])
		if rapid.IntRange(0, oneIn-1).Draw(t, "time") == 0 {
			k = tick
		}
		var candidates []S
		for _, x := range possible {
			if kind(x) == k {
				candidates = append(candidates, x)
			}
		}
		x := candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "which")]
		steps = append(steps, x)
		if err := w.Do(x); err != nil {
			return steps, NewViolation(name, steps, err)
		}
	}
	return steps, nil
}
