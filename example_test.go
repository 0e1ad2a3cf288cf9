package spindlehitch_test

import (
	"fmt"
	"time"

	"spindlehitch"
)

func Example() {
	settings := spindlehitch.Settings{
		Initiators: 1,
		Tick:       time.Millisecond,
		MeanUnits:  1,
		Classes:    []spindlehitch.Class{{Name: "read", Aim: 400 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}},
		Plans:      []spindlehitch.Plan{{Name: "basic", Rate: 10, Reserve: 5, Price: 1}},
	}
	s, err := spindlehitch.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []spindlehitch.Event{
		spindlehitch.NodeList{Whole: true, Nodes: []spindlehitch.Node{{ID: "node-a", Shard: 0}}},
		spindlehitch.Request{ID: "r1", Class: "read", Plan: "basic", Volume: "v", Units: 1, Initiators: 1, Budget: time.Second},
	}
	for _, a := range s.Step(time.Second, events) {
		if a.Kind == spindlehitch.Send {
			fmt.Println("send", a.Request, "to", a.Node)
		}
	}
	// Output: send r1 to node-a
}
