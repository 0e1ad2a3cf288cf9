package leasework

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/lease/casfile"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/process/failpoint"
)

// Drill runs operations on a guarded folder that contains only the record of these operations. It tests
// whether leases are exclusive on these machines and this file system without risk to other data.
type Drill struct {
	Name        string // of the instance
	client      http.Client
	noticeCount atomic.Uint64 // numbers the calls that the witness is notified of
}

// DrillState is the state of a drill's folder for one shard.
type DrillState struct {
	fencing.Guard
	Changes uint64       `json:"count"`   // accepted changes
	Fenced  uint64       `json:"refused"` // rejected steps
	Last    []DrillEntry `json:"last"`    // newest steps, accepted and rejected
}

// DrillEntry is one step of an operation.
type DrillEntry struct {
	Token     uint64 `json:"token"`
	Operation uint64 `json:"act"`
	Step      string `json:"op"` // begin, take, end
	Member    string `json:"member"`
	Accepted  bool   `json:"taken"`
}

// maxEntries is how many of the newest steps are kept.
const maxEntries = 256

// record appends a step and drops the oldest beyond maxEntries.
func (s *DrillState) record(e DrillEntry) {
	s.Last = append(s.Last, e)
	s.Last = s.Last[max(0, len(s.Last)-maxEntries):]
}

// DrillNotice is sent to the witness before each call and after its return.
type DrillNotice struct {
	DrillEntry
	ID     string `json:"id"` // of the call
	Task   string `json:"task"`
	Shard  int    `json:"shard"`
	Return bool   `json:"return"`
	Error  string `json:"error,omitempty"` // set if it is unknown whether the call was accepted
}

// changesPerOperation is how many changes one operation makes.
const changesPerOperation = 2

// Run implements Job. It begins the operation, makes changesPerOperation changes and ends the operation,
// each in one atomic change of the folder.
func (d *Drill) Run(ctx context.Context, operation *Operation) error {
	dir := filepath.Join(operation.Task.Dir, fmt.Sprintf("%s-%d", operation.Task.Name, operation.Shard))
	step := func(stepName string, apply func(*fencing.Guard) error) error {
		if !operation.MayProceed() {
			return errExpired
		}
		failpoint.Hit("act.checked")
		e := DrillEntry{Token: operation.Token, Operation: operation.Number, Step: stepName, Member: d.Name}
		n := DrillNotice{DrillEntry: e, ID: fmt.Sprintf("%s-%d", d.Name, d.noticeCount.Add(1)), Task: operation.Task.Name, Shard: operation.Shard}
		d.notifyWitness(ctx, operation, n)
		_, err := casfile.Update(dir, func(s *DrillState) error {
			if err := apply(&s.Guard); err != nil {
				return err
			}
			if stepName == "take" {
				s.Changes++
			}
			e.Accepted = true
			s.record(e)
			return nil
		})
		var rejected *fencing.RejectedError
		fenced := errors.As(err, &rejected)
		if n.Return, n.Accepted = true, err == nil; err != nil && !fenced {
			n.Error = err.Error()
		}
		d.notifyWitness(ctx, operation, n)
		if fenced {
			_, _ = casfile.Update(dir, func(s *DrillState) error {
				s.Fenced++
				e.Accepted = false
				s.record(e)
				return nil
			})
			return rejected
		}
		return err
	}
	if err := step("begin", func(g *fencing.Guard) error { return g.Begin(operation.Token, operation.Number) }); err != nil {
		return err
	}
	failpoint.Hit("act.opened")
	for range changesPerOperation {
		if err := step("take", func(g *fencing.Guard) error { return g.CheckChange(operation.Token, operation.Number) }); err != nil {
			return err
		}
		failpoint.Hit("act.taken")
	}
	return step("end", func(g *fencing.Guard) error { return g.End(operation.Token, operation.Number) })
}

// notifyWitness sends a notice to the task's witness, if it has one. A notice that cannot be delivered
// is dropped.
func (d *Drill) notifyWitness(ctx context.Context, op *Operation, n DrillNotice) {
	if op.Task.Witness == "" {
		return
	}
	// The timeout bounds how long a witness that does not answer delays the operation. The return is reported even after
	// the operation's deadline, so ctx's cancellation is ignored.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	body, err := json.Marshal(n)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+op.Task.Witness+"/", bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := d.client.Do(req); err == nil {
		resp.Body.Close()
	}
}
