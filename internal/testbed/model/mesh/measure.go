package mesh

import (
	"fmt"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// Condition is the network and process faults during a measurement.
type Condition struct {
	Name   string
	Loss   float64 // share of the datagrams
	Paused float64 // share of the members that are paused again and again, for 0.2 to 5 s
	Cut    float64 // share of the directed paths between members
}

// Conditions are those whose measurements docs/members.md reports.
var Conditions = []Condition{{Name: "none"}, {Name: "a fifth paused", Paused: 0.2}, {Name: "5% lost", Loss: 0.05}, {Name: "10% lost", Loss: 0.1},
	{Name: "20% lost", Loss: 0.2}, {Name: "a twentieth of the ways cut", Cut: 0.05}, {Name: "paused and 10% lost", Paused: 0.2, Loss: 0.1}}

// Row is the result of one measurement.
type Row struct {
	Trouble            string  `json:"trouble"`
	Size               int     `json:"size"`
	Plain              bool    `json:"plain"`
	MemberHours        float64 `json:"member_hours"`
	FalseVerdicts      int     `json:"false_verdicts"` // of members that were alive and not paused
	FalsePerMemberHour float64 `json:"false_per_member_hour"`
	// Mean time from a kill until the first member, half of the members and all members held the killed one dead, in probe
	// intervals.
	First, Half, All float64
	// Per member and second.
	BytesS    float64 `json:"bytes_s"`
	MessagesS float64 `json:"messages_s"`
	CPUUs     float64 `json:"cpu_us_s"` // microseconds
	ConvergeS float64 `json:"meet_s"`   // seconds from the end of the condition until all views are equal
}

// Measure runs a fleet under a condition for the time lasts, then kills some members one by one, and then ends the condition
// and waits until all views are equal. size returns the encoded size of a message; nil: bytes are not counted.
func Measure(s Spec, t Condition, lasts time.Duration, kills int, size func(*membership.Message) int) (Row, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	s.Loss, s.Joined = t.Loss, true
	m := New(s)
	m.MessageSize = size
	row := Row{Trouble: t.Name, Size: s.Size, Plain: s.Settings.DisableLifeguard}
	if t.Cut > 0 {
		cut := map[[2]int]bool{}
		for i := range s.Size {
			for j := range s.Size {
				if i != j && m.rng.Float64() < t.Cut {
					cut[[2]int{i, j}] = true
				}
			}
		}
		m.Cut = func(from, to *Node, _ membership.Channel) bool { return cut[[2]int{from.Number, to.Number}] }
	}
	name := map[string]*Node{}
	for _, n := range m.Nodes {
		name[addr(n.Number)] = n
	}
	verdicts := map[int][]time.Duration{} // by killed member: the time from the kill to each other member's verdict
	victim := -1
	var killed time.Duration
	// A verdict is false if the member is alive and has never been paused.
	for _, n := range m.Nodes {
		n.OnEvent = func(now time.Duration, e membership.Event) {
			if e.Status != "dead" {
				return
			}
			of := name[e.Name]
			switch {
			case of.Number == victim:
				if n.Alive {
					verdicts[victim] = append(verdicts[victim], now-killed)
				}
			case of.Alive && of.pausedUntil == 0:
				row.FalseVerdicts++
			}
		}
	}
	ending := false
	pausing := int(t.Paused * float64(s.Size))
	for i := range pausing {
		n := m.Nodes[s.Size-1-i]
		var again func()
		again = func() {
			if ending || !n.Alive {
				return
			}
			d := 200*time.Millisecond + time.Duration(m.rng.Int64N(int64(4800*time.Millisecond)))
			m.Pause(n, d)
			m.After(d+200*time.Millisecond+time.Duration(m.rng.Int64N(int64(3*time.Second))), again)
		}
		m.After(time.Duration(m.rng.Int64N(int64(3*time.Second))), again)
	}
	began := time.Now()
	m.Run(lasts)
	cpu := time.Since(began)
	sent, bytes := 0, int64(0)
	for _, n := range m.Nodes {
		sent += n.Sent
		bytes += n.SentBytes
	}
	each := float64(s.Size) * lasts.Seconds()
	row.BytesS, row.MessagesS, row.CPUUs = float64(bytes)/each, float64(sent)/each, float64(cpu.Microseconds())/each
	for k := range kills {
		victim = 1 + k*(s.Size-pausing-2)/max(kills, 1)
		killed = m.now
		m.Kill(m.Nodes[victim])
		living := 0
		for _, n := range m.Nodes {
			if n.Alive {
				living++
			}
		}
		_, ok := m.Until(s.Settings.ProbeInterval/4, 300*s.Settings.ProbeInterval, func() bool { return len(verdicts[victim]) >= living })
		v := verdicts[victim]
		if !ok {
			return row, fmt.Errorf("%s, size %d: %d of %d members have detected the death of member %d", t.Name, s.Size, len(v), living, victim)
		}
		slices.Sort(v)
		period := s.Settings.ProbeInterval.Seconds() * float64(kills)
		row.First += v[0].Seconds() / period
		row.Half += v[len(v)/2].Seconds() / period
		row.All += v[living-1].Seconds() / period
	}
	victim = -1
	row.MemberHours = float64(s.Size) * m.now.Hours()
	row.FalsePerMemberHour = float64(row.FalseVerdicts) / row.MemberHours
	ending = true
	m.spec.Loss, m.Cut = 0, nil
	m.Run(5 * time.Second)
	took, ok := m.Until(s.Settings.ProbeInterval/2, 600*s.Settings.ProbeInterval, m.Converged)
	if row.ConvergeS = took.Seconds() + 5; !ok {
		return row, fmt.Errorf("%s, size %d: views do not converge", t.Name, s.Size)
	}
	return row, nil
}
