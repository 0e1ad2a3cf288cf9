//go:build review

// Case 9: discovery is down for 8 s, as on the herd day. A new configuration that moves the second address comes in that time. The
// initiator, the same process, has been told long before that a target drains, and sends it new requests again.
package main

import (
	"net/http"
	"time"

	"spindlehitch/review/lab"
)

const (
	outage = 8 * time.Second         // "discovery is down for 8 s"
	grace  = 2050 * time.Millisecond // rules.drainGraceUs, and 50 ms on sockets
)

func main() {
	l := lab.New()
	l.Timeout(100 * time.Second)
	agents := l.StartAgents(3)
	old, next := l.NewTarget("s-old"), l.NewTarget("s-new")
	disc := l.NewDiscovery(41, old.Entry(0, "SERVING"))
	known := disc.List() // as this initiator last had it when its configuration was written; it may be old
	listen, control := l.FreeAddr(), []string{l.FreeAddr(), l.FreeAddr()}
	put := func(file, control string) {
		path := l.File(file, lab.Config("n1", listen, disc.Addr, lab.Settings("standard"), map[string]any{"known": known, "control": control}))
		l.Must(lab.Wait(15*time.Second, func() bool {
			_, err := l.Run("bin/spindlehitch config put n1 " + path + " --agents " + agents.List())
			return err == nil
		}), "config put")
	}
	put("n1-1.json", control[0])
	l.Start("n1", "exec bin/spindlehitch serve --agents "+agents.List(), "PROXY_NAME=n1")
	l.WaitReady(listen, 10*time.Second)
	served, all := 0, 0
	send := func() {
		all++
		r := l.Send(listen, lab.Request{Class: "event-write", Plan: "standard", Volume: "00000003b4d60021", Timeout: 1200 * time.Millisecond, Body: []byte("position")})
		if r.Status == http.StatusOK {
			served++
		}
	}
	sendFor := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			send()
		}
	}
	sendFor(time.Second)
	if served == 0 || len(old.Arrivals()) == 0 {
		l.End(2, "could not run: nothing is served")
	}
	// The shard moves to s-new, and s-old drains.
	told := disc.Change(old.Entry(0, "DRAINING"), next.Entry(0, "SERVING"))
	sendFor(4 * time.Second)
	old.SetDraining(true)
	sendFor(2 * time.Second)
	before := len(next.Arrivals())
	if before == 0 {
		l.End(2, "could not run: the initiator did not hear of the drain")
	}
	if l.Trouble {
		disc.SetSilent(true)
		time.AfterFunc(outage, func() { disc.SetSilent(false) })
	}
	sendFor(time.Second)
	// Clients rest while the configuration is taken over, with or without the outage.
	put("n1-2.json", control[1])
	l.Must(lab.Wait(5*time.Second, func() bool {
		status, _ := lab.Get("http://" + control[1] + "/v1/readyz")
		return status == http.StatusOK
	}), "the new second address says yes")
	time.Sleep(500 * time.Millisecond)
	served, all = 0, 0
	sendFor(12 * time.Second)
	late := 0
	for _, a := range old.Arrivals() {
		if a.At.Sub(told) > grace {
			late++
			l.Note("sent to s-old %.3f s after it was told to drain: %s %s", a.At.Sub(told).Seconds(), a.ID, a.Path)
		}
	}
	l.Note("after the new configuration %d of %d requests were served", served, all)
	if late > 0 {
		l.End(1, "broken: %d sends to a target later than %v after the initiator was told that it drains", late, grace)
	}
	l.End(0, "held: nothing new to the draining target")
}
