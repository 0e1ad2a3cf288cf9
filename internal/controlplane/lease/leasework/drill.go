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

// Drill runs operations at a guarded folder that holds nothing but their record: it shows whether
// leases hold on these machines and this file system, without a task that matters.
type Drill struct {
	Name        string // of the instance
	client      http.Client
	noticeCount atomic.Uint64
}

// DrillState is the state of a drill's folder for one shard.
type DrillState struct {
	fencing.Guard
	Changes uint64       `json:"count"`   // accepted
	Fenced  uint64       `json:"refused"` // rejected operations
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

// maxEntries bounds the steps that are recorded.
const maxEntries = 256

// record adds a step.
func (s *DrillState) record(e DrillEntry) {
	s.Last = append(s.Last, e)
	s.Last = s.Last[max(0, len(s.Last)-maxEntries):]
}

// DrillNotice is what the witness is told before each call and after its return.
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

// Run implements Job: begin, a few changes, end, each one atomic step of the folder.
func (d *Drill) Run(ctx context.Context, act *Operation) error {
	dir := filepath.Join(act.Task.Dir, fmt.Sprintf("%s-%d", act.Task.Name, act.Shard))
	step := func(op string, do func(*fencing.Guard) error) error {
		if !act.MayProceed() {
			return errExpired
		}
		failpoint.Hit("act.checked")
		e := DrillEntry{Token: act.Token, Operation: act.Number, Step: op, Member: d.Name}
		n := DrillNotice{DrillEntry: e, ID: fmt.Sprintf("%s-%d", d.Name, d.noticeCount.Add(1)), Task: act.Task.Name, Shard: act.Shard}
		d.notifyWitness(ctx, act, n)
		_, err := casfile.Update(dir, func(s *DrillState) error {
			if err := do(&s.Guard); err != nil {
				return err
			}
			if op == "take" {
				s.Changes++
			}
			e.Accepted = true
			s.record(e)
			return nil
		})
		var rejected *fencing.RejectedError
		isRejected := errors.As(err, &rejected)
		if n.Return, n.Accepted = true, err == nil; err != nil && !isRejected {
			n.Error = err.Error()
		}
		d.notifyWitness(ctx, act, n)
		if isRejected {
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
	if err := step("begin", func(g *fencing.Guard) error { return g.Begin(act.Token, act.Number) }); err != nil {
		return err
	}
	failpoint.Hit("act.opened")
	for range changesPerOperation {
		if err := step("take", func(g *fencing.Guard) error { return g.CheckChange(act.Token, act.Number) }); err != nil {
			return err
		}
		failpoint.Hit("act.taken")
	}
	return step("end", func(g *fencing.Guard) error { return g.End(act.Token, act.Number) })
}

// notifyWitness tells the witness. A notice that cannot be delivered is dropped.
func (d *Drill) notifyWitness(ctx context.Context, op *Operation, n DrillNotice) {
	if op.Task.Witness == "" {
		return
	}
	// A witness that does not answer costs the operation some of its time. The return is told even after its end.
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer done()
	text, err := json.Marshal(n)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+op.Task.Witness+"/", bytes.NewReader(text))
	if err != nil {
		return
	}
	if resp, err := d.client.Do(req); err == nil {
		resp.Body.Close()
	}
}
