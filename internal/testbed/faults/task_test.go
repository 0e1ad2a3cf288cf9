package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"spindlehitch/internal/controlplane/lease/leasework"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/observability/accounts"
)

// newTaskFleet starts agents, targets and members that run the tasks of a file.
func newTaskFleet(t *testing.T, members, targets int, file, runs string, more func(i int) string) *leaseFleet {
	t.Helper()
	r := New(t)
	d := &leaseFleet{fleet: &fleet{Rig: r, agents: r.StartAgents(3), targets: r.StartTargets(targets, nil)}}
	d.agents.Leader()
	d.mustRun("budget", "set", r.WriteFile("seats.toml", leaseQuotaHeader))
	if file != "" {
		d.mustRun("lease", "set", r.WriteFile("tasks.toml", file))
	}
	for i := range members {
		uses := "uses = []\n"
		if file != "" {
			uses += "tasks = [" + runs + "]\n"
		}
		if more != nil {
			uses += more(i)
		}
		d.instances = append(d.instances, r.StartInstance(fmt.Sprint("n", i), InstanceOptions{Agents: d.agents, Targets: d.targets, Peers: members, FleetTOML: uses}, 0))
	}
	for _, n := range d.instances {
		d.WaitFor(n.Name+" to join", func() bool { return strings.Contains(n.Log(), "FLEET_JOINED") })
	}
	r.StartLoad(t.Context(), d.instances, targets)
	return d
}

const watchTask = "[[task]]\nname = \"watch\"\nkind = \"watch\"\nshards = 4\nlease_ms = 1500\nact_ms = 600\nevery_ms = 300\nprogress_ms = 4000\npause_ms = 300\n"

// TestSharedProbes has a target answer all requests with errors: the members eject it, one of them probes it for all,
// another does after that one is killed, and all use the target once it is healthy.
func TestSharedProbes(t *testing.T) {
	t.Parallel()
	d := newTaskFleet(t, 4, 2, watchTask, `"watch"`, nil)
	bad := d.targets.All[1]
	for _, n := range d.instances {
		n.SetLoad(12)
	}
	bad.FailEvery.Store(1)
	bad.Unhealthy.Store(true)
	probeStatus := func() (ejectedBy int, healthy, found bool, token uint64) {
		out, _, _ := d.Run("lease", "show", "watch", "--json", "--agents", d.agents.AddrList())
		var s struct {
			Leases []lessor.LeaseStatus
			Board  []struct {
				Target string
				By     int `json:"avoided_by"`
				Found  *struct {
					Well  bool
					Token uint64
				}
			}
		}
		if json.Unmarshal([]byte(out), &s) != nil {
			return
		}
		for _, b := range s.Board {
			if b.Target == bad.ID {
				ejectedBy = b.By
				if b.Found != nil {
					healthy, found, token = b.Found.Well, true, b.Found.Token
				}
			}
		}
		return
	}
	var token uint64
	d.WaitFor("members to eject the target and one to probe it", func() bool {
		ejectedBy, healthy, found, currentToken := probeStatus()
		token = currentToken
		return ejectedBy >= 2 && found && !healthy
	})
	probesBefore := bad.HealthChecks.Load()
	time.Sleep(3 * time.Second)
	// Operations begin at most every 300 ms. A member may be missing from the status for a moment while it does not
	// eject the target.
	probes := bad.HealthChecks.Load() - probesBefore
	t.Logf("%d probes in 3 s by one member for all", probes)
	if probes < 1 || probes > 13 {
		t.Errorf("%d probes in 3 s, want at most one every 0.3 s by the whole fleet", probes)
	}
	var holder *Instance
	out := d.mustRun("lease", "show", "watch", "--json")
	var s struct{ Leases []lessor.LeaseStatus }
	if err := json.Unmarshal([]byte(out), &s); err != nil {
		t.Fatal(err)
	}
	for _, l := range s.Leases {
		for _, n := range d.instances {
			if l.Token == token && n.Name == l.HolderName {
				holder = n
			}
		}
	}
	if holder == nil {
		t.Fatalf("no member holds token %d: %s", token, out)
	}
	holder.Kill()
	d.WaitFor("another member to probe the target", func() bool { _, _, found, next := probeStatus(); return found && next > token })
	bad.Unhealthy.Store(false)
	bad.FailEvery.Store(0)
	d.WaitFor("all members to learn that the target is healthy", func() bool { by, well, _, _ := probeStatus(); return by == 0 || well })
	served := bad.failCandidates.Load()
	d.WaitFor("the target to receive requests again", func() bool {
		return bad.failCandidates.Load() > served+20 || d.targets.Monitor.Rate(time.Second)[0] > 20
	})
}

const accountTask = "[[task]]\nname = \"account\"\nkind = \"account\"\nlease_ms = 1500\nact_ms = 700\nevery_ms = 200\nprogress_ms = 4000\nwindow_s = 2\ndir = %q\n"

// TestFleetAccount has the holder of the fleet's account killed or stopped at each step of writing a report. Each
// window must have exactly one complete report, which names the instances that could not be asked.
func TestFleetAccount(t *testing.T) { //nolint:gocognit // one sequential scenario
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "reports")
	listens := FreeAddrs(t, 3)
	d := newTaskFleet(t, 3, 1, fmt.Sprintf(accountTask, dir), `"account"`, func(i int) string {
		if i == 2 {
			return "" // without accounts
		}
		return fmt.Sprintf("[accounts]\nlisten = %q\nwindow_s = 2\n", listens[i])
	})
	d.setLoad(20)
	reports := func() []leasework.ReportWindow {
		all, err := leasework.Reports(dir)
		if err != nil && !os.IsNotExist(err) && !strings.Contains(err.Error(), "no report") {
			t.Fatal(err)
		}
		return all
	}
	d.WaitFor("the first report", func() bool { return len(reports()) > 0 })
	holdersHit := 0
	for i, step := range []string{"account.begun", "account.asked", "account.written", "account.synced", "place.link", "account.committed"} {
		reportsBefore := len(reports())
		what := []string{"stop", "kill"}[i%2]
		for _, n := range d.instances {
			n.ArmFailpoint(step, what)
		}
		var holder *Instance
		d.WaitFor("the holder to reach "+step, func() bool {
			for _, n := range d.instances {
				if n.FailpointHit(step) {
					holder = n
				}
			}
			return holder != nil
		})
		holdersHit++
		for _, n := range d.instances {
			n.DisarmFailpoint(step)
		}
		d.WaitFor(fmt.Sprintf("%s at %s: another member to continue the reports", what, step), func() bool { return len(reports()) >= min(reportsBefore+2, 1000) })
		if what == "kill" {
			holder.Restart()
		} else {
			holder.Resume()
		}
	}
	all := reports()
	windows := map[int64]bool{}
	served := uint64(0)
	for i, w := range all {
		if windows[w.Start] || i > 0 && (w.Start <= all[i-1].Start || w.Token < all[i-1].Token) {
			t.Errorf("window %d after %d, token %d", w.Start, all[max(0, i-1)].Start, w.Token)
		}
		windows[w.Start] = true
		path := filepath.Join(dir, w.File)
		f, err := os.Open(path)
		if err != nil {
			t.Errorf("window %d has no file: %v", w.Start, err)
			continue
		}
		info, _ := f.Stat()
		p, err := parquet.OpenFile(f, info.Size())
		if err != nil {
			t.Errorf("%s is incomplete: %v", path, err)
			continue
		}
		missing, _ := p.Lookup("missing")
		if !strings.Contains(missing, "n2: it keeps no accounts") {
			t.Errorf("%s names %q as missing", path, missing)
		}
		rows := make([]accounts.Row, p.NumRows())
		reader := parquet.NewGenericReader[accounts.Row](p)
		_, _ = reader.Read(rows)
		reader.Close()
		f.Close()
		for _, r := range rows {
			served += r.Requests
		}
	}
	out, code, _ := d.Run("report", "--fleet", dir)
	if code != 0 || strings.Count(out, "fleet-") != len(all) {
		t.Errorf("report --fleet: exit code %d, %s", code, out)
	}
	t.Logf("%d windows, each with one complete report; %d requests in them; %d holders stopped or killed", len(all), served, holdersHit)
	if served == 0 {
		t.Error("the reports contain no request")
	}
}

// TestLeaseCommands checks that invalid commands and files are rejected with one message that names the field, and
// change nothing.
func TestLeaseCommands(t *testing.T) {
	t.Parallel()
	d := newLeaseFleet(t, 2, 2)
	before := d.leases()
	task := d.taskFile()
	agents := []string{"--agents", d.agents.AddrList()}
	budgets := d.WriteFile("seats2.toml", leaseQuotaHeader)
	for _, c := range []struct {
		what, file string
		args       []string
		says       string
		code       int
	}{
		{"unknown task", "", append([]string{"lease", "move", "dril", "0", "n0"}, agents...), "task: unknown", 1},
		{"unknown task, shown", "", append([]string{"lease", "show", "dril"}, agents...), `task: no task "dril"`, 1},
		{"unknown shard", "", append([]string{"lease", "release", "drill", "7"}, agents...), "shard: the task has no such shard", 1},
		{"no number", "", append([]string{"lease", "release", "drill", "x"}, agents...), "shard:", 1},
		{"a member that does not live", "", append([]string{"lease", "move", "drill", "0", "n9"}, agents...), "member: no such member lives", 1},
		{"its holder", "", append([]string{"lease", "move", "drill", "0", before[0].HolderName}, agents...), "member: it holds this shard", 1},
		{"two tasks under one name", task + task, append([]string{"lease", "set", "FILE"}, agents...), `task[1].name: "drill" is there twice`, 1},
		{"a lease too short", strings.Replace(task, "lease_ms = 1500", "lease_ms = 900", 1), append([]string{"lease", "set", "FILE"}, agents...), "lease_ms: an act of 500 ms after three renewals", 1},
		{"checked against budgets", strings.Replace(task, "lease_ms = 1500", "lease_ms = 900", 1), []string{"lease", "check", "FILE", "--budgets", budgets}, "lease_ms: an act", 1},
		{"held, and changed", strings.Replace(task, "shards = 2", "shards = 3", 1), append([]string{"lease", "set", "FILE"}, agents...), `task "drill": shards: can't be changed while its shards are held`, 1},
		{"held, and taken away", "", append([]string{"lease", "set", "FILE"}, agents...), `task "drill": can't be taken away`, 1},
		{"unknown field", task + "leese_ms = 4\n", []string{"lease", "check", "FILE"}, "task.leese_ms: unknown field", 1},
		{"unknown kind", strings.Replace(task, "\"drill\"\nshards", "\"cron\"\nshards", 1), []string{"lease", "check", "FILE"}, `task[0].kind: "cron"`, 1},
		{"no bound on pauses", "[[task]]\nname = \"w\"\nkind = \"watch\"\n", []string{"lease", "check", "FILE"}, "task[0].pause_ms:", 1},
		{"no folder", strings.Replace(task, "dir =", "#", 1), []string{"lease", "check", "FILE"}, "task[0].dir:", 1},
		{"progress too short", strings.Replace(task, "progress_ms = 3000", "progress_ms = 300", 1), []string{"lease", "check", "FILE"}, "task[0].progress_ms: 300 is shorter", 1},
		{"no agent", "", []string{"lease", "release", "drill", "0", "--agents", "127.0.0.1:1"}, "agent 127.0.0.1:1", 4},
	} {
		path := d.WriteFile("bad.toml", c.file)
		for i, a := range c.args {
			if a == "FILE" {
				c.args[i] = path
			}
		}
		out, code, _ := d.Run(c.args...)
		if code != c.code || !strings.Contains(out, c.says) || strings.Count(strings.TrimSpace(out), "\n") > 0 && c.code == 1 {
			t.Errorf("%s: exit code %d, want %d; output %q, want %q", c.what, code, c.code, out, c.says)
		}
	}
	for i, l := range d.leases() {
		if l.Token != before[i].Token {
			t.Errorf("%v has token %d after the rejections, %d before", l.Key, l.Token, before[i].Token)
		}
	}
	// With the task off all shards are released, and the task may be changed.
	d.mustRun("lease", "set", d.WriteFile("off.toml", task+"off = true\n"))
	d.WaitFor("all shards to be released", func() bool {
		for _, l := range d.leases() {
			if l.State != "off" {
				return false
			}
		}
		return true
	})
	d.mustRun("lease", "set", d.WriteFile("three.toml", strings.Replace(task, "shards = 2", "shards = 3", 1)))
	d.task.Shards = 3
	d.waitBalanced("three shards to be held", 2)
	out := d.mustRun("lease", "list")
	if !strings.Contains(out, "drill") || !strings.Contains(out, "1.5s") {
		t.Errorf("lease list: %s", out)
	}
	leader := d.agents.Leader()
	for i := range 2 {
		d.agents.Procs[(leader+1+i)%3].Pause()
	}
	if out, code, _ := d.Run(append([]string{"lease", "show", "drill"}, agents...)...); code != 3 || !strings.Contains(out, "unknown") {
		t.Errorf("without a majority: exit code %d, %s", code, out)
	}
	for _, p := range d.agents.Procs {
		p.Resume()
	}
	d.checkWitness()
}

// TestMeasureSharedProbes measures the probes at an ejected target and the time until members learn that it is healthy
// again, with one member probing for all against each on its own. Manual only, with SPINDLEHITCH_FAULTS set.
func TestMeasureSharedProbes(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	for _, file := range []string{"", watchTask} {
		d := newTaskFleet(t, 10, 2, file, `"watch"`, nil)
		bad := d.targets.All[1]
		d.setLoad(8)
		time.Sleep(2 * time.Second)
		bad.ServiceTime.Store(int64(3 * time.Second)) // it stalls, health checks included
		bad.Unhealthy.Store(true)
		time.Sleep(6 * time.Second)
		asked, probed := bad.requests.Load(), bad.HealthChecks.Load()
		time.Sleep(10 * time.Second)
		asked, probed = bad.requests.Load()-asked, bad.HealthChecks.Load()-probed
		bad.ServiceTime.Store(0)
		bad.Unhealthy.Store(false)
		began := time.Now()
		learnedAfter := map[string]time.Duration{}
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		for len(learnedAfter) < len(d.instances) && ctx.Err() == nil {
			for _, n := range d.instances {
				if _, knows := learnedAfter[n.Name]; !knows && ejectedTargets(n) == 0 {
					learnedAfter[n.Name] = time.Since(began)
				}
			}
		}
		stop()
		var sum, most time.Duration
		for _, k := range learnedAfter {
			sum, most = sum+k, max(most, k)
		}
		t.Logf("one member for all %v: while it stalled, %.1f requests and %.1f probes a second reached it; healthy again, %d of %d learned it after %v on average, %v at most",
			file != "", float64(asked)/10, float64(probed)/10, len(learnedAfter), len(d.instances), sum/time.Duration(max(1, len(learnedAfter))), most)
		for _, p := range append(d.agents.Procs, instanceProcs(d.instances)...) {
			p.Kill()
		}
	}
}

func instanceProcs(all []*Instance) (p []*Proc) {
	for _, n := range all {
		p = append(p, n.Proc)
	}
	return p
}

// ejectedTargets returns how many targets an instance has ejected, by its metrics; -1 if it does not report them.
func ejectedTargets(n *Instance) int {
	var k int
	for line := range strings.Lines(n.Metrics()) {
		if _, after, found := strings.Cut(line, "targets_disabled:"); found {
			_, _ = fmt.Sscanf(after, "%d", &k)
			return k
		}
	}
	return -1
}
