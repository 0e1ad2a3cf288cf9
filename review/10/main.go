//go:build review

// Case 10: an initiator is killed outright and started again under its name and addresses. From then on, for as long as its former seat
// lasts (an hour by deploy/budgets.toml), the fleet's report of latency accounts counts each of its requests twice.
package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/parquet-go/parquet-go"

	"spindlehitch/review/lab"
)

const (
	volume = "00000003b4d60021"
	window = 10 * time.Second
	sent   = 20 // requests in the window that is looked at
)

// row is what is read of a line of the report.
type row struct {
	Volume   string `parquet:"volume,dict"`
	Requests uint64 `parquet:"requests"`
}

func main() {
	l := lab.New()
	l.Timeout(115 * time.Second)
	agents := l.StartAgents(3)
	target := l.NewTarget("s-1")
	disc := l.NewDiscovery(1, target.Entry(0, "SERVING"))
	reports := filepath.Join(l.Dir, "reports")
	set := func(command string) {
		l.Must(lab.Wait(15*time.Second, func() bool {
			_, err := l.Run(command + " --agents " + agents.List())
			return err == nil
		}), command)
	}
	// The times of deploy/budgets.toml and deploy/leases.toml, but for a shorter window and what follows from it.
	set("bin/spindlehitch budget set " + l.File("budgets.toml", "seats = 40\nrenew_ms = 1000\npart_ms = 4000\nseat_s = 3600\nclock_ppm = 1000\n"))
	set("bin/spindlehitch lease set " + l.File("leases.toml", fmt.Sprintf("[[task]]\nname = \"account\"\nkind = \"account\"\nlease_ms = 6000\nact_ms = 2000\nevery_ms = 2000\n"+
		"progress_ms = 32000\nwindow_s = %d\nkeep = 1440\ndir = %q\n", int(window.Seconds()), reports)))
	type instance struct {
		listen, command, env string
		proc                 *lab.Proc
	}
	var all []*instance
	for _, name := range []string{"n1", "n2"} {
		x := &instance{listen: l.FreeAddr()}
		config := l.File(name+".json", lab.Config(name, x.listen, disc.Addr, lab.Settings("standard"), nil))
		operator := l.File(name+".toml", fmt.Sprintf("[accounts]\nlisten = %q\nwindow_s = %d\n\n[fleet]\nagents = [%q, %q, %q]\nuses = []\ntasks = [\"account\"]\n",
			l.FreeAddr(), int(window.Seconds()), agents.API[0], agents.API[1], agents.API[2]))
		x.command, x.env = "exec bin/spindlehitch serve --operator "+operator, "PROXY_CONFIG="+config
		x.proc = l.Start(name, x.command, x.env)
		l.Must(x.proc.WaitLog("FLEET_JOINED", 1, 15*time.Second), name+" joins")
		l.WaitReady(x.listen, 10*time.Second)
		all = append(all, x)
	}
	n1 := all[0]
	if l.Trouble {
		n1.proc.Kill()
		l.Note("n1 was killed outright")
		n1.proc = l.Start("n1", n1.command, n1.env)
		l.Must(n1.proc.WaitLog("FLEET_JOINED", 2, 15*time.Second), "n1 joins again")
		l.WaitReady(n1.listen, 10*time.Second)
	}
	// A window that begins after all that. Nothing is sent in the windows beside it.
	start := time.Now().Add(time.Second).Truncate(window).Add(window)
	l.Note("the window begins at %s", start.UTC().Format(time.RFC3339))
	time.Sleep(time.Until(start.Add(2 * time.Second)))
	served := 0
	for range sent {
		r := l.Send(n1.listen, lab.Request{Class: "position-read", Plan: "standard", Volume: volume, Timeout: 750 * time.Millisecond})
		if r.Status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served != sent {
		l.End(2, "could not run: %d of %d requests were served", served, sent)
	}
	if _, err := l.Run("bin/spindlehitch members --agents " + agents.List()); err != nil {
		l.End(2, "could not run: members: %v", err)
	}
	var path string
	l.Must(lab.Wait(50*time.Second, func() bool {
		time.Sleep(time.Second)
		out, err := l.Run("bin/spindlehitch report --fleet " + reports) // it lists the file once it is the window's report
		found, _ := filepath.Glob(filepath.Join(reports, "fleet-"+start.UTC().Format("20060102T150405Z")+"-*.parquet"))
		if err == nil && len(found) == 1 && strings.Contains(out, filepath.Base(found[0])) {
			path = found[0]
		}
		return path != ""
	}), "the window's report")
	rows, err := parquet.ReadFile[row](path)
	l.Must(err, "report")
	reported := uint64(0)
	for _, r := range rows {
		l.Note("report %s: volume %s: %d requests", filepath.Base(path), r.Volume, r.Requests)
		if r.Volume == volume {
			reported += r.Requests
		}
	}
	if reported > sent {
		l.End(1, "broken: the report has %d requests of a volume of which clients sent %d", reported, sent)
	}
	if reported < sent {
		l.End(2, "could not run: the report has %d requests of the %d that were sent", reported, sent)
	}
	l.End(0, "held: the report has the %d requests that were sent", reported)
}
