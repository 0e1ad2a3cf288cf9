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
	Instances []string
	From, To  time.Time
	Volumes   []VolumeTimes
	Nodes     []NodeTimes
	Blames    []Blame
	Blamed    time.Duration // on all pairs, those not kept too
	Served    []ShareOf     // of classes and plans; files from before shares have none
	Dropped   Dropped
}

// VolumeTimes is a volume's account; Latency is a sketch as DDSketch encodes it.
type VolumeTimes struct {
	Volume   string
	Requests uint64
	Times    Times
	Latency  []byte
	Share    Share
}

// NodeTimes is what was seen of a node.
type NodeTimes struct {
	Node     string
	Answers  uint64
	Stalls   uint64
	StoodFor time.Duration
}

// Cut returns what the book holds and starts it afresh; open requests go into the next one.
func (b *Book) Cut(instance string, from, to time.Time) Snapshot {
	s := b.Look(instance, from, to)
	b.volumes, b.blames, b.shares, b.Dropped = map[string]*Account{}, newHeavy(b.blames.most), sums{}, Dropped{}
	b.used.Init()
	for _, n := range b.nodes {
		n.Answers, n.Stalls, n.StoodFor = 0, 0, 0
	}
	return s
}

// Look returns what the book holds, volumes and nodes by name.
func (b *Book) Look(instance string, from, to time.Time) Snapshot {
	s := Snapshot{Instances: []string{instance}, From: from, To: to, Blames: b.blames.list(), Blamed: b.blames.whole, Served: shareList(b.shares), Dropped: b.Dropped}
	for _, v := range slices.Sorted(maps.Keys(b.volumes)) {
		a := b.volumes[v]
		var code []byte
		a.Latency.Encode(&code, false)
		s.Volumes = append(s.Volumes, VolumeTimes{v, a.Requests, a.Times, code, a.Share})
	}
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		n := b.nodes[name]
		s.Nodes = append(s.Nodes, NodeTimes{name, n.Answers, n.Stalls, n.StoodFor})
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
func (s *Snapshot) Check() error {
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
	volumes, nodes, pairs := map[string]*VolumeTimes{}, map[string]*NodeTimes{}, map[Pair]*Blame{}
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
		m.Blamed += s.Blamed
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
		for _, n := range s.Nodes {
			t := nodes[n.Node]
			if t == nil {
				t = &NodeTimes{Node: n.Node}
				nodes[n.Node] = t
			}
			t.Answers, t.Stalls, t.StoodFor = t.Answers+n.Answers, t.Stalls+n.Stalls, t.StoodFor+n.StoodFor
		}
		full, here := time.Duration(0), map[Pair]bool{}
		for _, b := range s.Blames {
			here[b.Pair] = true
			if b.Error > 0 { // a pair has been pushed out
				full = s.Blames[len(s.Blames)-1].Waited
			}
		}
		for _, t := range pairs {
			if !here[t.Pair] {
				t.Waited, t.Error = t.Waited+full, t.Error+full
			}
		}
		for _, b := range s.Blames {
			t := pairs[b.Pair]
			if t == nil {
				t = &Blame{Pair: b.Pair, Waited: floor, Error: floor}
				pairs[b.Pair] = t
			}
			t.Waited, t.Error = t.Waited+b.Waited, t.Error+b.Error
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
		m.Nodes = append(m.Nodes, *nodes[name])
	}
	for _, b := range pairs {
		m.Blames = append(m.Blames, *b)
	}
	slices.SortFunc(m.Blames, heaviestFirst)
	return m, nil
}
