package feed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
)

// check checks the invariants of the followers that the step changed and, after a report, of the tracker.
func (w *World) check() error {
	for i, f := range w.touched {
		if slices.Contains(w.touched[:i], f) {
			continue
		}
		if err := w.checkFollower(f); err != nil {
			return err
		}
	}
	if w.reportDelivered {
		return w.checkTracker()
	}
	return nil
}

// checkFollower checks that a follower's positions and versions never go back, that its records are those of the log, and
// that it replaces a history only as permitted.
func (w *World) checkFollower(f *follower) error {
	consistent, position, epoch := f.replica.Consistent(), f.replica.Position(), f.replica.Consistent().Epoch
	h := recordsByKey(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config))
	if epoch == "" {
		if len(h) > 0 {
			return fmt.Errorf("broken: %s has records and no epoch", f.scope.Name)
		}
		return nil
	}
	// Positions never go back.
	if was := f.lastConsistent[epoch]; consistent.Targets < was.Targets || consistent.Config < was.Config {
		return fmt.Errorf("broken: the consistent position of %s went back from %v to %v", f.scope.Name, was, consistent.Position)
	}
	if was := f.lastPosition[epoch]; position.Targets < was.Targets || position.Config < was.Config {
		return fmt.Errorf("broken: the position of %s went back from %v to %v", f.scope.Name, was, position)
	}
	f.lastConsistent[epoch], f.lastPosition[epoch] = consistent.Position, position
	if f.highest[epoch] == nil {
		f.highest[epoch] = map[key]highestVersion{}
	}
	highest := f.highest[epoch]
	for k, r := range h {
		if was := highest[k]; r.Version < was.version || was.deleted && r.Version == was.version {
			return fmt.Errorf("broken: %s has %[3]q again at the older or deleted version %[2]d", f.scope.Name, r.Version, r.Key)
		}
		highest[k] = highestVersion{r.Version, false}
		if r.Version > w.histories[epoch].head() || !bytes.Equal(w.histories[epoch].states[r.Version][k].Value, r.Value) {
			return fmt.Errorf("broken: %s has a value of %q at version %d that the log did not have", f.scope.Name, r.Key, r.Version)
		}
	}
	for k, t := range highest {
		if _, alive := h[k]; !alive {
			highest[k] = highestVersion{t.version, true}
		}
	}
	// Its records are those of the log at its position or later.
	if err := w.histories[epoch].checkSince(h, f.scope, consistent.Position, false); err != nil {
		return err
	}
	// A history replaces another only when it is complete up to the operator's declaration, or beyond.
	if declaredAt := w.histories[epoch].replacedAt[f.lastEpoch]; f.lastEpoch != "" && f.lastEpoch != epoch && (declaredAt == 0 || consistent.Min() < declaredAt) {
		return fmt.Errorf("broken: %s has %s at %v in place of %s, which it replaces from version %d on (0: never)", f.scope.Name, epoch, consistent.Position, f.lastEpoch, declaredAt)
	}
	f.lastEpoch = epoch
	return nil
}

// checkInForce checks that a reader has in force what it acknowledges as applied.
func (w *World) checkInForce(f *follower, mark watchstream.Watermark) error {
	if mark.Epoch == "" || f.scope.All {
		return nil
	}
	earlier := mark.Config == 0 && f.replica.Rejection() != nil // the last usable configuration is of the previous history
	if err := w.histories[mark.Epoch].checkSince(f.inForce, f.scope, mark.Position, earlier); err != nil {
		return fmt.Errorf("%w, in force", err)
	}
	return nil
}

// checkTracker checks that the tracker counts each reader once, with no more than the reader has acknowledged, and never
// goes back to an earlier generation or acknowledgement.
func (w *World) checkTracker() (err error) {
	seen := map[string]bool{}
	w.tracker.EachReader(func(relay string, c watchstream.Cursor) {
		var f *follower
		for _, x := range w.followers {
			if x.scope.Name == c.Name {
				f = x
			}
		}
		acked, ok := watchstream.Watermark{}, false
		if f != nil {
			acked, ok = f.appliedSent[c.Generation]
		}
		switch {
		case err != nil:
		case f == nil || f.scope.All || seen[c.Name]:
			err = fmt.Errorf("broken: %s is counted twice, or is not a reader", c.Name)
		case !ok || c.Applied.Epoch == acked.Epoch && (c.Applied.Targets > acked.Targets || c.Applied.Config > acked.Config):
			err = fmt.Errorf("broken: %s counts with %v, but acknowledged %[4]v in generation %[3]d", c.Name, c.Applied, c.Generation, acked)
		case c.Generation < w.lastGeneration[c.Name]:
			err = fmt.Errorf("broken: %s counts with generation %d after generation %d", c.Name, c.Generation, w.lastGeneration[c.Name])
		case c.Generation == w.lastGeneration[c.Name] && c.Applied.Epoch == w.lastApplied[c.Name].Epoch && !notAfter(w.lastApplied[c.Name], c.Applied):
			err = fmt.Errorf("broken: %s counts with %v after %v in the same generation", c.Name, c.Applied, w.lastApplied[c.Name])
		}
		seen[c.Name], w.lastGeneration[c.Name], w.lastApplied[c.Name] = true, c.Generation, c.Applied
	})
	if err != nil {
		return err
	}
	s := w.tracker.Status(w.now, w.log.Head())
	acked := 0
	for _, f := range w.followers {
		for _, mark := range f.appliedSent {
			if !f.scope.All && mark.Epoch == w.epochName() && mark.Min() >= w.log.Head() {
				acked++
				break
			}
		}
	}
	if s.Applied > acked && w.log.Head() > 0 {
		return fmt.Errorf("broken: version %d counts as applied by %d readers, but %d acknowledged it", w.log.Head(), s.Applied, acked)
	}
	return nil
}

func notAfter(a, b watchstream.Watermark) bool { return a.Targets <= b.Targets && a.Config <= b.Config }

// checkDelta checks that a source sends a reader no more bytes than its rate and burst permit, beyond what can't be
// divided, and no new configuration before all targets.
func (w *World) checkDelta(to int, at readerAtSource, d *watchstream.Delta) error {
	sent, rate, burst := w.sent[at], w.setup.Source.ReaderRate, w.setup.Source.ReaderBurst
	if d.Scope.All {
		rate, burst = w.setup.Source.RelayRate, w.setup.Source.RelayBurst
	}
	groups, configs := map[uint64]float64{}, 0.0
	for _, r := range d.Records {
		n := float64(r.Size())
		if sent.total += n; r.Kind == watchstream.Targets {
			groups[r.Version] += n
			sent.maxTargets = max(sent.maxTargets, groups[r.Version])
		} else {
			configs += n
		}
	}
	sent.maxConfig = max(sent.maxConfig, configs)
	for _, b := range d.Buckets {
		n := float64(b.Size())
		sent.total, sent.maxTargets = sent.total+n, max(sent.maxTargets, n)
	}
	if most := burst + rate*(w.now-sent.since).Seconds() + sent.maxTargets + sent.maxConfig; rate > 0 && sent.total > most {
		return fmt.Errorf("broken: %s received %.0f bytes from %s, limit %.0f", at.reader, sent.total, at.source, most)
	}
	if source, _, _ := w.source(to); d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets || source.ReaderCount() == 0 {
		return fmt.Errorf("broken: %s sends %s configuration while targets are pending", at.source, at.reader)
	}
	return nil
}

// checkAdmission checks that a source admits no more new readers than its rate and burst permit.
func (w *World) checkAdmission(at readerAtSource) error {
	admitted := w.admissions[at]
	if admitted == nil {
		admitted = &usage{since: w.now}
		w.admissions[at] = admitted
	}
	admitted.total++
	if most := w.setup.Source.AdmitBurst + w.setup.Source.AdmitRate*(w.now-admitted.since).Seconds(); w.setup.Source.AdmitRate > 0 && admitted.total > most {
		return fmt.Errorf("broken: %s admitted %.0f new readers, limit %.1f", at.source, admitted.total, most)
	}
	return nil
}

// checkInvalidDeltas checks that a follower rejects each of a list of invalid deltas without changing its state, and that
// it applies the valid deltas that they are made from.
func (w *World) checkInvalidDeltas(i int) error {
	f := w.followers[i]
	have, consistent := f.replica.Position(), f.replica.Consistent()
	req, err := w.subscribe(i)
	if err != nil {
		return err
	}
	head := watchstream.Position{Targets: req.Seen.Targets + 1, Config: req.Seen.Config + 1}
	good := func() *watchstream.Delta {
		return &watchstream.Delta{Fleet: fleetName, Epoch: req.Epoch, Replaces: f.replica.Store().Replaces(), Scope: f.scope, From: have, To: watchstream.Position{Targets: head.Targets, Config: have.Config},
			Head: head, Records: []watchstream.Record{{Kind: watchstream.Targets, Key: "x", Version: head.Targets, Value: json.RawMessage(`{"x":0}`)}}}
	}
	buckets := func(d *watchstream.Delta) {
		d.Records, d.Range = nil, &watchstream.BucketRange{Start: head.Targets, To: w.setup.Limits.Buckets}
		d.To = watchstream.Position{Targets: head.Targets, Config: have.Config}
	}
	change := map[string]func(d *watchstream.Delta){
		"another fleet":            func(d *watchstream.Delta) { d.Fleet = "g" },
		"another fleet's digests":  func(d *watchstream.Delta) { d.Fleet = "g"; buckets(d) },
		"another reader":           func(d *watchstream.Delta) { d.Scope.Name = "other" },
		"another region":           func(d *watchstream.Delta) { d.Scope.Region = "other" },
		"another region's digests": func(d *watchstream.Delta) { d.Scope.Region = "other"; buckets(d) },
		"another epoch":            func(d *watchstream.Delta) { d.Epoch, d.From = "other", watchstream.Position{} },
		"another epoch's digests":  func(d *watchstream.Delta) { d.Epoch, d.From = "other", watchstream.Position{}; buckets(d) },
		"no epoch":                 func(d *watchstream.Delta) { d.Epoch = "" },
		"a gap":                    func(d *watchstream.Delta) { d.From.Targets++; d.To.Targets++; d.Head.Targets++; d.Records[0].Version++ },
		"a gap in configuration":   func(d *watchstream.Delta) { d.From.Config, d.To.Config = d.From.Config+1, d.To.Config+1 },
		"before where it is":       func(d *watchstream.Delta) { d.From.Targets--; d.To.Targets = d.From.Targets },
		"a source behind": func(d *watchstream.Delta) {
			d.Head.Targets = req.Seen.Targets - 1
			d.To.Targets, d.Records = have.Targets, nil
		},
		"over its size": func(d *watchstream.Delta) {
			for i := range watchstream.MaxDeltaBytes / len(largestValue) {
				d.Records = append(d.Records, watchstream.Record{Kind: watchstream.Targets, Key: fmt.Sprint("y", i), Version: head.Targets, Value: largestValue})
			}
		},
		"a truncated value":         func(d *watchstream.Delta) { d.Records[0].Value = json.RawMessage(`{"x":`) },
		"a value that is no object": func(d *watchstream.Delta) { d.Records[0].Value = json.RawMessage(`[]`) },
		"past its end":              func(d *watchstream.Delta) { d.Records[0].Version++ },
		"before its beginning":      func(d *watchstream.Delta) { d.Records[0].Version = have.Targets },
		"past its source":           func(d *watchstream.Delta) { d.To.Targets++ },
		"twice the same":            func(d *watchstream.Delta) { d.Records = append(d.Records, d.Records[0]) },
		"configuration first":       func(d *watchstream.Delta) { d.To.Targets, d.To.Config, d.Records = have.Targets, head.Config, nil },
		"buckets without a span":    func(d *watchstream.Delta) { d.Buckets = []watchstream.Bucket{{Index: 0}} },
		"the end of a run": func(d *watchstream.Delta) {
			buckets(d)
			d.Range.From = w.setup.Limits.Buckets - 1
			d.Range.Start++
			d.Head.Targets++
			d.To.Targets++
		},
		"a bucket past its span": func(d *watchstream.Delta) {
			buckets(d)
			d.Buckets = []watchstream.Bucket{{Index: w.setup.Limits.Buckets}}
		},
		"another's layer": func(d *watchstream.Delta) {
			d.To.Config = head.Config
			d.Records = append(d.Records, watchstream.Record{Kind: watchstream.Config, Key: "region/other", Version: head.Config, Value: json.RawMessage(`{}`)})
			if f.scope.All {
				d.Records[1].Key = "other"
			}
		},
	}
	if req.Epoch != consistent.Epoch {
		return nil // it is receiving another history
	}
	run := good()
	buckets(run)
	for _, d := range []*watchstream.Delta{good(), run} {
		if req.Epoch == "" {
			break
		}
		scratch := watchstream.NewReplica(fleetName, f.scope, 1, w.setup.Limits)
		if err := scratch.Restore(f.replica.Store().Snapshot()); err != nil {
			return fmt.Errorf("broken: %s can't restore its own snapshot: %w", f.scope.Name, err)
		}
		if _, err := scratch.ApplyDelta(d); err != nil {
			return fmt.Errorf("broken: %s rejects a valid delta: %w", f.scope.Name, err)
		}
	}
	before := w.printReplica(i)
	for name, c := range change {
		switch {
		case req.Epoch == "" && (strings.HasPrefix(name, "another epoch") || name == "a source behind"), req.Seen.Targets == 0 && name == "a source behind",
			have.Targets == 0 && (name == "before where it is" || name == "another epoch"), consistent.Epoch == "" && name != "another fleet" && name != "no epoch":
			continue
		}
		d := good()
		c(d)
		if _, err := f.replica.ApplyDelta(d); err == nil {
			return fmt.Errorf("broken: %s applied an invalid delta: %s", f.scope.Name, name)
		}
		if w.printReplica(i) != before {
			return fmt.Errorf("broken: an invalid delta (%s) changed %s", name, f.scope.Name)
		}
	}
	return nil
}

var largestValue = json.RawMessage(`{"x":"` + strings.Repeat("x", watchstream.MaxTargetBytes-8) + `"}`)

func (w *World) printReplica(i int) string {
	var b strings.Builder
	w.followers[i].replica.DebugPrint(&b)
	return b.String()
}

// Settle ends all faults and checks that all followers converge to the log's state, first while the last one is silent
// and then with it, and that the tracker counts all readers.
func (w *World) Settle() error {
	w.inTransit = nil
	if w.epoch > 1 && len(w.log.Replaces()) == 0 {
		if err := w.replaceHistories(); err != nil {
			return err
		}
	}
	if err := w.commit(watchstream.Change{Puts: []watchstream.Put{{Kind: watchstream.Config, Key: "shared", Value: json.RawMessage(`{"last":1}`)}, {Kind: watchstream.Config, Key: "region/r", Deleted: true},
		{Kind: watchstream.Config, Key: "instance/" + w.followers[len(w.followers)-1].scope.Name, Deleted: true}, {Kind: watchstream.Targets, Key: "last", Value: json.RawMessage(`{"last":1}`)}}}); err != nil {
		return err
	}
	last := len(w.followers) - 1
	if err := w.converge(last, 60); err != nil {
		return fmt.Errorf("%w, while another is silent", err)
	}
	if err := w.converge(len(w.followers), 60); err != nil {
		return err
	}
	if w.setup.Relays == 0 {
		return nil // only relays send reports
	}
	for range 2 { // the tracker of a new leader is empty, and must come to count all readers
		if err := w.checkReported(); err != nil {
			return err
		}
		if err := w.Do(Step{NewLeader, 0}); err != nil {
			return err
		}
	}
	return w.checkReported()
}

// checkReported has all relays report, and checks that the tracker counts all readers as having applied the log's head.
func (w *World) checkReported() error {
	for range 3 {
		for i := range w.setup.Relays {
			if err := w.Do(Step{Report, i}); err != nil {
				return err
			}
		}
	}
	if s := w.tracker.Status(w.now, w.log.Head()); s.Applied != w.setup.Readers || s.Readers != w.setup.Readers {
		return fmt.Errorf("broken: all %d readers have version %d in force, but the tracker counts %d of %d: %+v", w.setup.Readers, s.Version, s.Applied, s.Readers, s.Lagging)
	}
	return nil
}

var errNotConverged = errors.New("broken: followers don't converge")

// converge has the first most followers poll and apply until they all have the log's state, for at most so many rounds.
func (w *World) converge(count, rounds int) error {
	for range rounds {
		w.now += time.Second
		all := true
		for i := range count {
			for range 4 {
				if err := w.Do(Step{PollAtOnce, i}); err != nil {
					return err
				}
			}
			f := w.followers[i]
			if f.pending {
				if err := w.Do(Step{Apply, i}); err != nil {
					return err
				}
			}
			mark := f.replica.Consistent()
			if !f.scope.All {
				mark = f.replica.Applied()
			}
			if mark != (watchstream.Watermark{Epoch: w.epochName(), Position: watchstream.Position{Targets: w.log.Head(), Config: w.log.Head()}}) {
				all = false
			}
		}
		if all {
			return w.checkExact(count)
		}
	}
	for _, f := range w.followers[:count] {
		if f.replica.Consistent().Min() != w.log.Head() || f.replica.Consistent().Epoch != w.epochName() {
			return fmt.Errorf("%w: %s has %v, and the log is at %s %d:\n%s", errNotConverged, f.scope.Name, f.replica.Consistent(), w.epochName(), w.log.Head(), w.Print())
		}
	}
	return errNotConverged
}

// checkExact checks that each of the first most followers has exactly the log's state, and that readers have it in force.
func (w *World) checkExact(count int) error {
	p := w.histories[w.epochName()]
	for _, f := range w.followers[:count] {
		for _, kind := range watchstream.Kinds {
			if err := p.checkExact(recordsByKey(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config)), f.scope, kind, p.head()); err != nil {
				return err
			}
			if !f.scope.All {
				if err := p.checkExact(f.inForce, f.scope, kind, p.head()); err != nil {
					return fmt.Errorf("%w, in force", err)
				}
			}
		}
	}
	return nil
}
