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

// Snapshot is what the accounts held over a stretch of time, of one instance or several.
type Snapshot struct {
	Instances    []string
	From, To     time.Time
	Volumes      []VolumeTimes
	Targets      []TargetTimes `json:"Nodes"`
	Attributions []Attribution `json:"Blames"`
	Attributed   time.Duration `json:"Blamed"` // to all pairs, including those that were not kept
	Served       []NamedShare  // of classes and plans; files from before shares have none
	Dropped      Dropped
}

// VolumeTimes is a volume's account; Latency is a sketch as DDSketch encodes it.
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

// Cut returns what the book holds and starts it afresh; open requests go into the next one.
func (b *Recorder) SnapshotAndReset(instance string, from, to time.Time) Snapshot {
	s := b.Snapshot(instance, from, to)
	b.volumes, b.blames, b.shares, b.Dropped = map[string]*Account{}, newHeavy(b.blames.most), sums{}, Dropped{}
	b.used.Init()
	for _, n := range b.nodes {
		n.Answers, n.Stalls, n.StoodFor = 0, 0, 0
	}
	return s
}

// Look returns what the book holds, volumes and nodes by name.
func (b *Recorder) Snapshot(instance string, from, to time.Time) Snapshot {
	s := Snapshot{Instances: []string{instance}, From: from, To: to, Attributions: b.blames.list(), Attributed: b.blames.whole, Served: shareList(b.shares), Dropped: b.Dropped}
	for _, v := range slices.Sorted(maps.Keys(b.volumes)) {
		a := b.volumes[v]
		var code []byte
		a.Latency.Encode(&code, false)
		s.Volumes = append(s.Volumes, VolumeTimes{v, a.Requests, a.Times, code, a.Share})
	}
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		n := b.nodes[name]
		s.Targets = append(s.Targets, TargetTimes{name, n.Answers, n.Stalls, n.StoodFor})
	}
	return s
}

// Sketch decodes the latencies of a volume.
func (v *VolumeTimes) Sketch() (*ddsketch.DDSketch, error) {
	s, err := ddsketch.DecodeDDSketch(v.Latency, func() store.Store { return store.NewCollapsingLowestDenseStore(bins) }, nil)
	if err != nil {
		return nil, fmt.Errorf("latencies of volume %s: %w", v.Volume, err)
	}
	own, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil || !s.Equals(own) {
		return nil, fmt.Errorf("latencies of volume %s: not of the accuracy %v", v.Volume, Accuracy)
	}
	return s, nil
}

// Percentiles are of a volume's whole requests.
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

// Check names what cannot be right, so that what was read from elsewhere is never trusted by halves.
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
			return fmt.Errorf("volume %s: a part is negative", v.Volume)
		}
	}
	return nil
}

// Merge puts snapshots of several instances or stretches together. Percentiles keep their accuracy; the errors of pairs add
// up, and a pair that a full snapshot does not have may have waited there as long as the least that it has.
func Merge(all ...Snapshot) (Snapshot, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	var m Snapshot
	volumes, nodes, pairs := map[string]*VolumeTimes{}, map[string]*TargetTimes{}, map[WaitPair]*Attribution{}
	sketches := map[string]*ddsketch.DDSketch{}
	shares := sums{}
	floor := time.Duration(0) // what a pair may have waited in the snapshots so far, none of which has it
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
			t := nodes[n.Target]
			if t == nil {
				t = &TargetTimes{Target: n.Target}
				nodes[n.Target] = t
			}
			t.Answers, t.Stalls, t.StalledFor = t.Answers+n.Answers, t.Stalls+n.Stalls, t.StalledFor+n.StalledFor
		}
		full, here := time.Duration(0), map[WaitPair]bool{}
		for _, b := range s.Attributions {
			here[b.WaitPair] = true
			if b.Overestimate > 0 { // a pair has been pushed out
				full = s.Attributions[len(s.Attributions)-1].Waited
			}
		}
		for _, t := range pairs {
			if !here[t.WaitPair] {
				t.Waited, t.Overestimate = t.Waited+full, t.Overestimate+full
			}
		}
		for _, b := range s.Attributions {
			t := pairs[b.WaitPair]
			if t == nil {
				t = &Attribution{WaitPair: b.WaitPair, Waited: floor, Overestimate: floor}
				pairs[b.WaitPair] = t
			}
			t.Waited, t.Overestimate = t.Waited+b.Waited, t.Overestimate+b.Overestimate
		}
		floor += full
	}
	slices.Sort(m.Instances)
	m.Instances = slices.Compact(m.Instances)
	for _, name := range slices.Sorted(maps.Keys(volumes)) {
		v := volumes[name]
		sketches[name].Encode(&v.Latency, false)
		m.Volumes = append(m.Volumes, *v)
	}
	m.Served = shareList(shares)
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		m.Targets = append(m.Targets, *nodes[name])
	}
	for _, b := range pairs {
		m.Attributions = append(m.Attributions, *b)
	}
	slices.SortFunc(m.Attributions, heaviestFirst)
	return m, nil
}
