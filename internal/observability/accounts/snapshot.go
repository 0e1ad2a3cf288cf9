package accounts

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Snapshot is the content of the accounts of one or more instances over an interval of time.
type Snapshot struct {
	Instances    []string
	From, To     time.Time
	Volumes      []VolumeTimes
	Targets      []TargetTimes `json:"Nodes"`
	Attributions []Attribution `json:"Blames"`
	Attributed   time.Duration `json:"Blamed"` // to all pairs, including those that were not kept
	Served       []NamedShare  // of classes and plans; empty in files of versions that had no shares
	Dropped      Dropped
}

// VolumeTimes is a volume's account in a Snapshot; Latency is an encoded DDSketch.
type VolumeTimes struct {
	Volume   string
	Requests uint64
	Times    Times
	Latency  []byte
	Share    Share
}

// TargetTimes are the counters of one target.
type TargetTimes struct {
	Target     string `json:"Node"`
	Answers    uint64
	Stalls     uint64
	StalledFor time.Duration `json:"StoodFor"`
}

// SnapshotAndReset returns a Snapshot and clears the accounts. Open requests are counted in the next one.
func (rec *Recorder) SnapshotAndReset(instance string, from, to time.Time) Snapshot {
	s := rec.Snapshot(instance, from, to)
	rec.volumes, rec.attributions, rec.shares, rec.Dropped = map[string]*Account{}, newHeavyHitters(rec.attributions.capacity), shareSums{}, Dropped{}
	rec.lru.Init()
	for _, n := range rec.targets {
		n.Answers, n.Stalls, n.StalledFor = 0, 0, 0
	}
	return s
}

// Snapshot returns the accounts, with volumes and targets ordered by name.
func (rec *Recorder) Snapshot(instance string, from, to time.Time) Snapshot {
	s := Snapshot{Instances: []string{instance}, From: from, To: to, Attributions: rec.attributions.list(), Attributed: rec.attributions.total, Served: sortedShares(rec.shares), Dropped: rec.Dropped}
	for _, v := range slices.Sorted(maps.Keys(rec.volumes)) {
		a := rec.volumes[v]
		var code []byte
		a.Latency.Encode(&code, false)
		s.Volumes = append(s.Volumes, VolumeTimes{v, a.Requests, a.Times, code, a.Share})
	}
	for _, name := range slices.Sorted(maps.Keys(rec.targets)) {
		n := rec.targets[name]
		s.Targets = append(s.Targets, TargetTimes{name, n.Answers, n.Stalls, n.StalledFor})
	}
	return s
}

// Sketch decodes the latencies of a volume.
func (v *VolumeTimes) Sketch() (*ddsketch.DDSketch, error) {
	s, err := ddsketch.DecodeDDSketch(v.Latency, func() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }, nil)
	if err != nil {
		return nil, fmt.Errorf("latencies of volume %s: %w", v.Volume, err)
	}
	own, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil || !s.Equals(own) {
		return nil, fmt.Errorf("latencies of volume %s: not of the accuracy %v", v.Volume, Accuracy)
	}
	return s, nil
}

// Percentiles returns quantiles of the latency of a volume's requests, from arrival to end.
func (v *VolumeTimes) Percentiles(quantiles ...float64) ([]time.Duration, error) {
	s, err := v.Sketch()
	if err != nil {
		return nil, err
	}
	out := make([]time.Duration, len(quantiles))
	for i, q := range quantiles {
		x, err := s.GetValueAtQuantile(q)
		if err != nil {
			return nil, fmt.Errorf("latencies of volume %s: %w", v.Volume, err)
		}
		out[i] = time.Duration(x * float64(time.Second))
	}
	return out, nil
}

// Validate returns an error that names the first inconsistency. A snapshot that was read from a file or the network must not be
// used if it fails.
func (s *Snapshot) Validate() error {
	if s.To.Before(s.From) {
		return fmt.Errorf("ends %v before it begins", s.From.Sub(s.To))
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		sketch, err := v.Sketch()
		if err != nil {
			return err
		}
		if uint64(math.Round(sketch.GetCount())) != v.Requests {
			return fmt.Errorf("volume %s: %v latencies of %d requests", v.Volume, sketch.GetCount(), v.Requests)
		}
		if slices.Min(v.Times[:]) < 0 {
			return fmt.Errorf("volume %s: the time of a phase is negative", v.Volume)
		}
	}
	return nil
}

// Merge merges snapshots of several instances or intervals. Percentiles keep their accuracy. Overestimates of pairs add up: a
// pair that a full snapshot does not contain may have waited there as long as the shortest wait that it contains.
func Merge(all ...Snapshot) (Snapshot, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	var m Snapshot
	volumes, targets, pairs := map[string]*VolumeTimes{}, map[string]*TargetTimes{}, map[WaitPair]*Attribution{}
	sketches := map[string]*ddsketch.DDSketch{}
	shares := shareSums{}
	missedSoFar := time.Duration(0) // what a pair may have waited in the snapshots so far if none contains it
	for i := range all {
		s := &all[i]
		if i == 0 || s.From.Before(m.From) {
			m.From = s.From
		}
		if s.To.After(m.To) {
			m.To = s.To
		}
		m.Instances = append(m.Instances, s.Instances...)
		m.Attributed += s.Attributed
		m.Dropped.Volumes += s.Dropped.Volumes
		m.Dropped.Requests += s.Dropped.Requests
		for j := range s.Volumes {
			v := &s.Volumes[j]
			sketch, err := v.Sketch()
			if err != nil {
				return m, err
			}
			if volumes[v.Volume] == nil {
				volumes[v.Volume], sketches[v.Volume] = &VolumeTimes{Volume: v.Volume}, sketch
			} else if err := sketches[v.Volume].MergeWith(sketch); err != nil {
				return m, fmt.Errorf("latencies of volume %s: %w", v.Volume, err)
			}
			t := volumes[v.Volume]
			t.Requests += v.Requests
			t.Share = t.Share.Plus(v.Share)
			for p := range t.Times {
				t.Times[p] += v.Times[p]
			}
		}
		shares.add(s.Served)
		for _, n := range s.Targets {
			t := targets[n.Target]
			if t == nil {
				t = &TargetTimes{Target: n.Target}
				targets[n.Target] = t
			}
			t.Answers, t.Stalls, t.StalledFor = t.Answers+n.Answers, t.Stalls+n.Stalls, t.StalledFor+n.StalledFor
		}
		missedAtMost, present := time.Duration(0), map[WaitPair]bool{}
		for _, b := range s.Attributions {
			present[b.WaitPair] = true
			if b.Overestimate > 0 { // the snapshot is full: a pair was replaced
				missedAtMost = s.Attributions[len(s.Attributions)-1].Waited
			}
		}
		for _, t := range pairs {
			if !present[t.WaitPair] {
				t.Waited, t.Overestimate = t.Waited+missedAtMost, t.Overestimate+missedAtMost
			}
		}
		for _, b := range s.Attributions {
			t := pairs[b.WaitPair]
			if t == nil {
				t = &Attribution{WaitPair: b.WaitPair, Waited: missedSoFar, Overestimate: missedSoFar}
				pairs[b.WaitPair] = t
			}
			t.Waited, t.Overestimate = t.Waited+b.Waited, t.Overestimate+b.Overestimate
		}
		missedSoFar += missedAtMost
	}
	slices.Sort(m.Instances)
	m.Instances = slices.Compact(m.Instances)
	for _, name := range slices.Sorted(maps.Keys(volumes)) {
		v := volumes[name]
		sketches[name].Encode(&v.Latency, false)
		m.Volumes = append(m.Volumes, *v)
	}
	m.Served = sortedShares(shares)
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		m.Targets = append(m.Targets, *targets[name])
	}
	for _, b := range pairs {
		m.Attributions = append(m.Attributions, *b)
	}
	slices.SortFunc(m.Attributions, heaviestFirst)
	return m, nil
}
