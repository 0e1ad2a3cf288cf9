package faults

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/casfile"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/lease/leasework"
)

// Witness records each call that members make to a drill's guarded folder. Members notify it before the call and after
// its return. It is independent of leases and uses its own clock. mu guards calls.
type Witness struct {
	Addr  string
	began time.Time
	mu    sync.Mutex
	calls map[string]*observedCall
}

type observedCall struct {
	leasework.DrillNotice
	call, end time.Duration // end 0: it has not returned
}

// StartWitness starts a witness; it ends with the test.
func (r *Rig) StartWitness() *Witness {
	w := &Witness{began: time.Now(), calls: map[string]*observedCall{}}
	s := httptest.NewServer(http.HandlerFunc(w.handleNotice))
	r.T.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	w.Addr = strings.TrimPrefix(s.URL, "http://")
	return w
}

func (w *Witness) handleNotice(_ http.ResponseWriter, q *http.Request) {
	at := time.Since(w.began)
	var n leasework.DrillNotice
	if json.NewDecoder(q.Body).Decode(&n) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The call counter starts again with the process, but a token is never granted twice.
	id := fmt.Sprintf("%s/%d", n.ID, n.Token)
	switch c := w.calls[id]; {
	case c == nil && !n.Return:
		w.calls[id] = &observedCall{DrillNotice: n, call: at}
	case c != nil && n.Return:
		c.DrillNotice, c.end = n, at
	}
}

// WitnessSummary summarizes what the witness and the folders recorded of a run.
type WitnessSummary struct {
	Calls, Accepted, Rejected, Unknown int
	Tokens                             int // tokens under which operations began: handovers, and the first of each shard
	Operations                         int // operations whose end was accepted
}

func (s WitnessSummary) String() string {
	return fmt.Sprintf("%d calls, %d accepted, %d rejected, %d with unknown result; %d operations ended under %d tokens", s.Calls, s.Accepted, s.Rejected, s.Unknown, s.Operations, s.Tokens)
}

// guardInput is the input of a call in the model of a guarded folder.
type guardInput struct {
	step             string
	token, operation uint64
}

// guardModel specifies a guarded folder: operations run one after the other, in the order of their tokens. It is
// written from the specification, independently of the fencing code.
var guardModel = porcupine.Model{
	Init: func() any { return [3]uint64{} }, // newest token and operation that began; 1 while the operation is in progress
	Step: func(state, in, out any) (bool, any) {
		s, i := state.([3]uint64), in.(guardInput)
		inProgress := s[0] == i.token && s[1] == i.operation && s[2] == 1
		newer := i.token > s[0] || i.token == s[0] && i.operation > s[1]
		allowed := inProgress
		if i.step == "begin" {
			allowed = newer
		}
		next := s
		switch {
		case !allowed:
		case i.step == "begin":
			next = [3]uint64{i.token, i.operation, 1}
		case i.step == "end":
			next[2] = 0
		}
		switch out.(string) {
		case "taken":
			return allowed, next
		case "refused":
			return !allowed, s
		}
		return true, next // unknown result: it was accepted if it could be, now or later
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string {
		i := in.(guardInput)
		return fmt.Sprintf("%s %d.%d %v", i.step, i.token, i.operation, out)
	},
}

// Check checks all recorded calls of a task: for each shard they have to be linearizable as a guarded folder, and the
// folder's own record has to be in order. The error names the shard.
func (w *Witness) Check(task lease.Task) (seen WitnessSummary, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shards := map[int][]porcupine.Operation{}
	tokens := map[uint64]bool{}
	members := map[string]int{}
	last := time.Since(w.began)
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range w.calls {
			if !yield(id) {
				return
			}
		}
	}) {
		c := w.calls[id]
		if c.Task != task.Name {
			continue
		}
		if _, known := members[c.Member]; !known {
			members[c.Member] = len(members)
		}
		seen.Calls++
		out, end := "unknown", last
		if c.end > 0 && c.Error == "" {
			out, end = "refused", c.end
			if c.Accepted {
				out = "taken"
			}
		}
		switch {
		case out == "unknown":
			seen.Unknown++
		case c.Accepted:
			seen.Accepted++
			if tokens[c.Token] = true; c.Step == "end" {
				seen.Operations++
			}
		default:
			seen.Rejected++
		}
		shards[c.Shard] = append(shards[c.Shard], porcupine.Operation{ClientId: members[c.Member], Input: guardInput{c.Step, c.Token, c.Operation}, Call: int64(c.call), Output: out, Return: int64(end)})
	}
	seen.Tokens = len(tokens)
	for shard, history := range shards {
		slices.SortFunc(history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		if got := porcupine.CheckOperationsTimeout(guardModel, history, time.Minute); got != porcupine.Ok {
			return seen, fmt.Errorf("shard %d: %d calls are not linearizable as operations one after the other: %s", shard, len(history), got)
		}
	}
	for shard := range task.Shards {
		s, _, err := casfile.Read[leasework.DrillState](filepath.Join(task.Dir, fmt.Sprintf("%s-%d", task.Name, shard)))
		if err != nil {
			return seen, err
		}
		if err := checkLogOrder(s.Last); err != nil {
			return seen, fmt.Errorf("shard %d, record of its folder: %w", shard, err)
		}
	}
	return seen, nil
}

// checkLogOrder checks the record that a guarded folder keeps.
func checkLogOrder(all []leasework.DrillEntry) error {
	var p fencing.Guard
	for i, e := range all {
		if !e.Accepted {
			continue
		}
		inProgress := e.Token == p.Token && e.Operation == p.Operation && p.InProgress
		newer := e.Token > p.Token || e.Token == p.Token && e.Operation > p.Operation
		if i > 0 && p.Token > 0 && (e.Step == "begin" && !newer || e.Step != "begin" && !inProgress) {
			return fmt.Errorf("entry %d, %+v, was accepted after operation %d under token %d", i, e, p.Operation, p.Token)
		}
		p = fencing.Guard{Token: e.Token, Operation: e.Operation, InProgress: e.Step != "end"}
	}
	return nil
}
