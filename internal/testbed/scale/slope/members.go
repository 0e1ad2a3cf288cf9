package slope

import (
	"context"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/testbed/model/mesh"
)

// encodedSize returns the size of a message on the wire.
func encodedSize(m *membership.Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		return 0
	}
	return len(b)
}

func memberProbes() []Probe {
	period := func(size int) time.Duration { return 20 * time.Second }
	return []Probe{{
		Description: "internal/testbed/model/mesh: members that all know all, 8 zones, 2 ms a message, without trouble, for 20 s of virtual time",
		Metrics: []Metric{{Name: "members.wire", Unit: "B/s", Subject: "what a member sends", Per: "member", Exact: true}, {Name: "members.messages", Unit: "messages/s", Subject: "what a member sends", Per: "member", Exact: true},
			{Name: "members.cpu", Unit: "us/s", Subject: "a member's machine, its network's model included", Per: "member", Noisy: true}, {Name: "members.memory", Unit: "B", Subject: "a member's machine", Per: "member", Noisy: true}},
		Sizes: []float64{100, 200, 400, 800, 1600}, ShortSizes: []float64{25, 50, 100, 200},
		Run: func(_ context.Context, size int) ([]float64, error) {
			before := heapBytes()
			m := mesh.New(mesh.Spec{Size: size, Zones: 8, Seed: 1, Settings: membership.DefaultConfig, Delay: 2 * time.Millisecond, Joined: true})
			began := cpuTime()
			m.Run(period(size))
			used := cpuTime() - began
			held := max(0, heapBytes()-before)
			each := float64(size) * period(size).Seconds()
			bytes, sent := 0, 0
			m.MessageSize = encodedSize // counted in a second run, so that encoding costs are not attributed to the members
			for _, n := range m.Nodes {
				n.Sent = 0
			}
			m.Run(5 * time.Second)
			for _, n := range m.Nodes {
				bytes += int(n.SentBytes)
				sent += n.Sent
			}
			runtime.KeepAlive(m)
			after := float64(size) * 5
			return []float64{float64(bytes) / after, float64(sent) / after, float64(used.Microseconds()) / each, held / float64(size)}, nil
		}}}
}
