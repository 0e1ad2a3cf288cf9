// Case 10: the answers to an operator's `budget set` get lost for a moment. Its change is made, another operator's later change takes its
// place, and then the first command makes its own change a second time.
package main

import (
	"fmt"
	"strings"
	"time"

	"spindlehitch/review/lab"
)

func main() {
	l := lab.New()
	l.Timeout(60 * time.Second)
	agents := l.StartAgents(3)
	file := func(name, whole string) string {
		return l.File(name, "seats = 4\nrenew_ms = 1000\npart_ms = 4000\nseat_s = 3600\nclock_ppm = 1000\n\n[[budget]]\nname = \"repeats\"\nuse = \"repeat\"\nwhole = "+whole+
			"\nburst = 160\nleast = 1\nleast_burst = 2\n")
	}
	inForce := func() string {
		out, err := l.Run("bin/spindlehitch budget list --json --agents " + agents.List())
		if err != nil {
			return "unknown"
		}
		for _, whole := range []string{"200", "100", "50"} {
			if strings.Contains(strings.ReplaceAll(out, " ", ""), "\"whole\":"+whole) {
				return whole
			}
		}
		return "unknown"
	}
	_, err := l.Run("bin/spindlehitch budget set " + file("0.toml", "200") + " --agents " + agents.List())
	l.Must(err, "budget set")
	if inForce() != "200" {
		l.End(2, "could not run: no budget in force")
	}
	// The first operator's way to the agents, the one that leads first.
	out, err := l.Run("bin/spindlehitch config status --agents " + agents.List())
	l.Must(err, "config status")
	leader := 0
	for i := range agents.API {
		if strings.Contains(out, fmt.Sprintf("agent-%d\tLeader", i+1)) {
			leader = i
		}
	}
	var links []*lab.Link
	var addrs []string
	for i := range agents.API {
		k := l.NewLink(agents.API[(leader+i)%len(agents.API)])
		links, addrs = append(links, k), append(addrs, k.Addr)
	}
	if l.Trouble {
		for _, k := range links {
			k.LoseReplies(true)
		}
		l.Note("answers to the first operator are lost")
	}
	done := make(chan error, 1)
	first := file("1.toml", "100")
	go func() {
		_, err := l.Run("bin/spindlehitch budget set " + first + " --agents " + strings.Join(addrs, ","))
		done <- err
	}()
	l.Must(lab.Wait(3*time.Second, func() bool { return inForce() == "100" }), "the first operator's change is in force")
	l.Note("the first operator's change is in force")
	_, err = l.Run("bin/spindlehitch budget set " + file("2.toml", "50") + " --agents " + agents.List())
	l.Must(err, "second operator's budget set")
	if inForce() != "50" {
		l.End(2, "could not run: the second operator's change is not in force")
	}
	l.Note("the second operator's change was accepted and is in force")
	for _, k := range links {
		k.LoseReplies(false)
	}
	l.Note("answers pass again; the first operator's command ended: %v", <-done)
	time.Sleep(time.Second)
	switch got := inForce(); got {
	case "50":
		l.End(0, "held: the change that was made last is in force")
	case "100":
		l.End(1, "broken: the first operator's change was applied twice, and the second operator's accepted change is undone")
	default:
		l.End(2, "could not run: %s in force", got)
	}
}
