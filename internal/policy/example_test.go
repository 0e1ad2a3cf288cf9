package policy_test

import (
	"fmt"
	"time"

	"spindlehitch/internal/policy"
)

func Example() {
	settings := policy.Settings{
		Initiators: 1,
		Tick:       time.Millisecond,
		MeanUnits:  1,
		Classes:    []policy.Class{{Name: "read", Aim: 400 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}},
		Plans:      []policy.Plan{{Name: "basic", Rate: 10, Reserve: 5, Price: 1}},
	}
	s, err := policy.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []policy.Event{
		policy.NodeList{Whole: true, Nodes: []policy.Node{{ID: "node-a", Shard: 0}}},
		policy.Request{ID: "r1", Class: "read", Plan: "basic", Volume: "v", Units: 1, Initiators: 1, Budget: time.Second},
	}
	for _, a := range s.Step(time.Second, events) {
		if a.Kind == policy.Send {
			fmt.Println("send", a.Request, "to", a.Node)
		}
	}
	// Output: send r1 to node-a
}
