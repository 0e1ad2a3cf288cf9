package proof

import (
	"fmt"
	"hash/maphash"
	"runtime"
	"strings"
	"sync"
)

// Found is a broken promise and the steps to it.
type Found struct {
	Setup Setup
	Steps []Step
	Err   error
}

func (f *Found) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %v, after", f.Setup.Name, f.Err)
	for _, s := range f.Steps {
		fmt.Fprintf(&b, " / %v", s)
	}
	return b.String()
}

// Replay takes the steps from the first state on.
func Replay(s Setup, steps []Step) (*World, error) {
	w, err := New(s)
	if err != nil {
		return nil, err
	}
	for i, x := range steps {
		if err := w.Do(x); err != nil {
			return nil, &Found{s, steps[:i+1], err}
		}
	}
	return w, nil
}

// Search goes through all states within depth steps of the first, each once, and returns how many there are. Breadth first: what
// it finds is as short as can be. Past most states it goes no deeper; full tells whether it went through all.
func Search(s Setup, depth, most int) (states int, full bool, err error) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	level := [][]Step{nil}
	type next struct {
		steps []Step
		hash  uint64
	}
	for range depth {
		found := make([][]next, len(level))
		var mu sync.Mutex
		var first *Found
		firstAt := len(level)
		var wg sync.WaitGroup
		work := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for at := range work {
					w, err := Replay(s, level[at])
					if err != nil {
						continue // told before
					}
					for _, x := range w.Steps() {
						steps := append(level[at][:len(level[at]):len(level[at])], x)
						w, err := Replay(s, steps)
						if err != nil {
							mu.Lock()
							if f, ok := err.(*Found); ok && at < firstAt {
								first, firstAt = f, at
							}
							mu.Unlock()
							break
						}
						found[at] = append(found[at], next{steps, maphash.String(seed, w.Print())})
					}
				}
			})
		}
		for at := range level {
			work <- at
		}
		close(work)
		wg.Wait()
		if first != nil {
			return len(seen), false, first
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
		if len(seen) > most {
			return len(seen), false, nil
		}
	}
	return len(seen), true, nil
}
