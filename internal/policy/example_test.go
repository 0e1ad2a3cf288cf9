package policy_test

import (
	"fmt"
	"time"

	"spindlehitch/internal/policy"
)

func Example() {
	settings := policy.Settings{
		Initiators: 1,
		MinStep:    time.Millisecond,
		MeanUnits:  1,
		Classes:    []policy.Class{{Name: "read", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:      []policy.Plan{{Name: "basic", Rate: 10, ReservedRate: 5, PriorityFactor: 1}},
	}
	s, err := policy.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []policy.Event{
		policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "endpoint-a", Shard: 0}}},
		policy.Request{ID: "r1", Class: "read", Plan: "basic", Volume: "v", Units: 1, VolumeInitiators: 1, TimeLeft: time.Second},
	}
	for _, a := range s.Step(time.Second, events) {
		if a.Kind == policy.Send {
			fmt.Println("send", a.Request, "to", a.Endpoint)
		}
	}
	// Output: send r1 to endpoint-a
}
