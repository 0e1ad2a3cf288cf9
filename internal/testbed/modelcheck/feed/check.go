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

// check holds whom the step touched against the promises.
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

func (w *World) checkFollower(f *follower) error {
	whole, have, epoch := f.replica.Consistent(), f.replica.Position(), f.replica.Consistent().Epoch
	h := recordsByKey(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config))
	if epoch == "" {
		if len(h) > 0 {
			return fmt.Errorf("broken: %s has something of no history", f.scope.Name)
		}
		return nil
	}
	// It never goes back.
	if was := f.lastConsistent[epoch]; whole.Targets < was.Targets || whole.Config < was.Config {
		return fmt.Errorf("broken: %s went back from %v to %v", f.scope.Name, was, whole.Position)
	}
	if was := f.lastPosition[epoch]; have.Targets < was.Targets || have.Config < was.Config {
		return fmt.Errorf("broken: %s went back from %v to %v in what it reads", f.scope.Name, was, have)
	}
	f.lastConsistent[epoch], f.lastPosition[epoch] = whole.Position, have
	if f.highest[epoch] == nil {
		f.highest[epoch] = map[key]highestVersion{}
	}
	tops := f.highest[epoch]
	for k, r := range h {
		if was := tops[k]; r.Version < was.version || was.deleted && r.Version == was.version {
			return fmt.Errorf("broken: %s went back to version %d of %q", f.scope.Name, r.Version, r.Key)
		}
		tops[k] = highestVersion{r.Version, false}
		if r.Version > w.histories[epoch].head() || !bytes.Equal(w.histories[epoch].states[r.Version][k].Value, r.Value) {
			return fmt.Errorf("broken: %s has %q at version %d as the log never had it", f.scope.Name, r.Key, r.Version)
		}
	}
	for k, t := range tops {
		if _, alive := h[k]; !alive {
			tops[k] = highestVersion{t.version, true}
		}
	}
	// What it has is at least what the log had where it says to be.
	if err := w.histories[epoch].checkSince(h, f.scope, whole.Position, false); err != nil {
		return err
	}
	// A history takes the place of another only whole, as it was when the operator said so or later.
	if word := w.histories[epoch].replacedAt[f.lastEpoch]; f.lastEpoch != "" && f.lastEpoch != epoch && (word == 0 || whole.Min() < word) {
		return fmt.Errorf("broken: %s has %s at %v in place of %s, which it takes the place of from version %d on", f.scope.Name, epoch, whole.Position, f.lastEpoch, word)
	}
	f.lastEpoch = epoch
	return nil
}

// checkForce has what a reader says to be in force be so.
func (w *World) checkInForce(f *follower, mark watchstream.Watermark) error {
	if mark.Epoch == "" || f.scope.All {
		return nil
	}
	earlier := mark.Config == 0 && f.replica.Rejection() != nil // the last good one is of the history before
	if err := w.histories[mark.Epoch].checkSince(f.inForce, f.scope, mark.Position, earlier); err != nil {
		return fmt.Errorf("%w, in force", err)
	}
	return nil
}

// checkTally has the tally count nobody for what it has not said, or that it said in an earlier turn than is known.
func (w *World) checkTracker() (err error) {
	seen := map[string]bool{}
	w.tracker.EachReader(func(relay string, c watchstream.Cursor) {
		var f *follower
		for _, x := range w.followers {
			if x.scope.Name == c.Name {
				f = x
			}
		}
		said, ok := watchstream.Watermark{}, false
		if f != nil {
			said, ok = f.appliedSent[c.Generation]
		}
		switch {
		case err != nil:
		case f == nil || f.scope.All || seen[c.Name]:
			err = fmt.Errorf("broken: %s is counted twice, or is no reader", c.Name)
		case !ok || c.Applied.Epoch == said.Epoch && (c.Applied.Targets > said.Targets || c.Applied.Config > said.Config):
			err = fmt.Errorf("broken: %s counts with %v, and said in turn %d that it has %v in force", c.Name, c.Applied, c.Generation, said)
		case c.Generation < w.lastGeneration[c.Name]:
			err = fmt.Errorf("broken: %s counts as it was in turn %d, and turn %d was known", c.Name, c.Generation, w.lastGeneration[c.Name])
		case c.Generation == w.lastGeneration[c.Name] && c.Applied.Epoch == w.lastApplied[c.Name].Epoch && !notAfter(w.lastApplied[c.Name], c.Applied):
			err = fmt.Errorf("broken: %s counts with %v, and said %v in that turn before", c.Name, c.Applied, w.lastApplied[c.Name])
		}
		seen[c.Name], w.lastGeneration[c.Name], w.lastApplied[c.Name] = true, c.Generation, c.Applied
	})
	if err != nil {
		return err
	}
	s := w.tracker.Status(w.now, w.log.Head())
	said := 0
	for _, f := range w.followers {
		for _, mark := range f.appliedSent {
			if !f.scope.All && mark.Epoch == w.epochName() && mark.Min() >= w.log.Head() {
				said++
				break
			}
		}
	}
	if s.Applied > said && w.log.Head() > 0 {
		return fmt.Errorf("broken: version %d counts as in force at %d, and %d said so", w.log.Head(), s.Applied, said)
	}
	return nil
}

func notAfter(a, b watchstream.Watermark) bool { return a.Targets <= b.Targets && a.Config <= b.Config }

// judgeDelta holds what a source sends against a reader's bytes, and has targets go before configuration.
func (w *World) checkDelta(to int, at readerAtSource, d *watchstream.Delta) error {
	a, rate, burst := w.sent[at], w.setup.Source.ReaderRate, w.setup.Source.ReaderBurst
	if d.Scope.All {
		rate, burst = w.setup.Source.RelayRate, w.setup.Source.RelayBurst
	}
	groups, configs := map[uint64]float64{}, 0.0
	for _, r := range d.Records {
		n := float64(r.Size())
		if a.total += n; r.Kind == watchstream.Targets {
			groups[r.Version] += n
			a.maxTargets = max(a.maxTargets, groups[r.Version])
		} else {
			configs += n
		}
	}
	a.maxConfig = max(a.maxConfig, configs)
	for _, b := range d.Buckets {
		n := float64(b.Size())
		a.total, a.maxTargets = a.total+n, max(a.maxTargets, n)
	}
	if most := burst + rate*(w.now-a.since).Seconds() + a.maxTargets + a.maxConfig; rate > 0 && a.total > most {
		return fmt.Errorf("broken: %s got %.0f bytes from %s, and %.0f at most are for it", at.reader, a.total, at.source, most)
	}
	if source, _, _ := w.source(to); d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets || source.ReaderCount() == 0 {
		return fmt.Errorf("broken: %s sends %s configuration while targets are owed", at.source, at.reader)
	}
	return nil
}

// admitted holds the number of readers that a source takes against its rate.
func (w *World) checkAdmission(at readerAtSource) error {
	a := w.admissions[at]
	if a == nil {
		a = &usage{since: w.now}
		w.admissions[at] = a
	}
	a.total++
	if most := w.setup.Source.AdmitBurst + w.setup.Source.AdmitRate*(w.now-a.since).Seconds(); w.setup.Source.AdmitRate > 0 && a.total > most {
		return fmt.Errorf("broken: %s took %.0f new readers, and %.1f at most may come", at.source, a.total, most)
	}
	return nil
}

// wrong brings a follower deltas that nobody may take: each is refused, and changes nothing.
func (w *World) checkInvalidDeltas(i int) error {
	f := w.followers[i]
	have, whole := f.replica.Position(), f.replica.Consistent()
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
		"a value cut in the midst": func(d *watchstream.Delta) { d.Records[0].Value = json.RawMessage(`{"x":`) },
		"a value that is no map":   func(d *watchstream.Delta) { d.Records[0].Value = json.RawMessage(`[]`) },
		"past its end":             func(d *watchstream.Delta) { d.Records[0].Version++ },
		"before its beginning":     func(d *watchstream.Delta) { d.Records[0].Version = have.Targets },
		"past its source":          func(d *watchstream.Delta) { d.To.Targets++ },
		"twice the same":           func(d *watchstream.Delta) { d.Records = append(d.Records, d.Records[0]) },
		"configuration first":      func(d *watchstream.Delta) { d.To.Targets, d.To.Config, d.Records = have.Targets, head.Config, nil },
		"buckets without a span":   func(d *watchstream.Delta) { d.Buckets = []watchstream.Bucket{{Index: 0}} },
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
	if req.Epoch != whole.Epoch {
		return nil // it builds another history up
	}
	run := good()
	buckets(run)
	for _, d := range []*watchstream.Delta{good(), run} {
		if req.Epoch == "" {
			break
		}
		scratch := watchstream.NewReplica(fleetName, f.scope, 1, w.setup.Limits)
		if err := scratch.Restore(f.replica.Store().Snapshot()); err != nil {
			return fmt.Errorf("broken: %s can't read its own copy: %w", f.scope.Name, err)
		}
		if _, err := scratch.ApplyDelta(d); err != nil {
			return fmt.Errorf("broken: %s doesn't take what is right: %w", f.scope.Name, err)
		}
	}
	before := w.printReplica(i)
	for name, c := range change {
		switch {
		case req.Epoch == "" && (strings.HasPrefix(name, "another epoch") || name == "a source behind"), req.Seen.Targets == 0 && name == "a source behind",
			have.Targets == 0 && (name == "before where it is" || name == "another epoch"), whole.Epoch == "" && name != "another fleet" && name != "no epoch":
			continue
		}
		d := good()
		c(d)
		if _, err := f.replica.ApplyDelta(d); err == nil {
			return fmt.Errorf("broken: %s took a delta with %s", f.scope.Name, name)
		}
		if w.printReplica(i) != before {
			return fmt.Errorf("broken: a delta with %s changed %s", name, f.scope.Name)
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

// Settle ends all faults and checks that everybody comes to have the log's state, those who talk in spite of one who doesn't, and that the
// tally comes to know it.
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
		return nil // nobody reports
	}
	for range 2 { // another agent that leads knows nobody, and comes to know all
		if err := w.checkReported(); err != nil {
			return err
		}
		if err := w.Do(Step{NewLeader, 0}); err != nil {
			return err
		}
	}
	return w.checkReported()
}

func (w *World) checkReported() error {
	for range 3 {
		for i := range w.setup.Relays {
			if err := w.Do(Step{Report, i}); err != nil {
				return err
			}
		}
	}
	if s := w.tracker.Status(w.now, w.log.Head()); s.Applied != w.setup.Readers || s.Readers != w.setup.Readers {
		return fmt.Errorf("broken: all %d have version %d in force, and the tally tells of %d of %d: %+v", w.setup.Readers, s.Version, s.Applied, s.Readers, s.Lagging)
	}
	return nil
}

var errNotConverged = errors.New("broken: not all that talk come to be level")

// level has all followers before the last so many exchange until they are level.
func (w *World) converge(most, rounds int) error {
	for range rounds {
		w.now += time.Second
		all := true
		for i := range most {
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
			return w.checkExact(most)
		}
	}
	for _, f := range w.followers[:most] {
		if f.replica.Consistent().Min() != w.log.Head() || f.replica.Consistent().Epoch != w.epochName() {
			return fmt.Errorf("%w: %s has %v, and the log is at %s %d:\n%s", errNotConverged, f.scope.Name, f.replica.Consistent(), w.epochName(), w.log.Head(), w.Print())
		}
	}
	return errNotConverged
}

// exactly has each of the first so many hold the log's state, and the readers have it in force.
func (w *World) checkExact(most int) error {
	p := w.histories[w.epochName()]
	for _, f := range w.followers[:most] {
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
