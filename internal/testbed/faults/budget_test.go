package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Budgets of the fault tests. Allocations expire quickly, so that much happens in little time.
const (
	allocationTTLMs = 1500
	workRate        = 200.0
	workBurst       = 100.0
)

const quotaHeader = `seats = 20
renew_ms = 300
part_ms = 1500
seat_s = 6
`

const workBudget = `[[budget]]
name = "work"
use = "work"
whole = 200
burst = 100
least = 1
least_burst = 1
`

const connBudget = `[[budget]]
name = "conns"
use = "connection"
per = "target"
kind = "stock"
whole = 30
least = 1
linger_ms = 2500
`

// fleet is agents, targets and instances under load.
type fleet struct {
	*Rig
	agents    *AgentGroup
	targets   *Targets
	instances []*Instance
}

func newFleet(t *testing.T, instances, targets int, budgets string, rates map[string]float64, o InstanceOptions, clocks ...float64) *fleet {
	t.Helper()
	r := New(t)
	f := &fleet{Rig: r, agents: r.StartAgents(3), targets: r.StartTargets(targets, rates)}
	f.agents.Leader()
	if out, code, _ := r.Run("budget", "set", r.WriteFile("budgets.toml", budgets), "--agents", f.agents.AddrList()); code != 0 {
		t.Fatal(out)
	}
	o.Agents, o.Targets, o.Peers = f.agents, f.targets, instances
	for i := range instances {
		clock := 0.0
		if len(clocks) > 0 {
			clock = clocks[i%len(clocks)]
		}
		f.instances = append(f.instances, r.StartInstance(fmt.Sprint("n", i), o, clock))
	}
	for _, n := range f.instances {
		f.WaitFor(n.Name+" to join", func() bool { return strings.Contains(n.Log(), "FLEET_JOINED") })
	}
	r.StartLoad(t.Context(), f.instances, targets)
	return f
}

func (f *fleet) setLoad(rate float64) {
	for _, n := range f.instances {
		n.SetLoad(rate)
	}
}

// waitServed waits until the fleet serves at least this many requests a second over half a second.
func (f *fleet) waitServed(what string, least float64) {
	f.T.Helper()
	time.Sleep(700 * time.Millisecond) // past the half second before the call
	took := f.WaitFor(fmt.Sprintf("%s: %.0f requests a second", what, least), func() bool { return f.targets.Monitor.Rate(500 * time.Millisecond)[0] >= least })
	f.T.Logf("%s: %.0f requests a second again after %.1f renewals, largest excess %.1f of %.0f", what, least, (took.Seconds()+0.7)/0.3,
		f.targets.Monitor.MaxExcess("work"), workBurst)
}

// TestWorkBudget guards against a fleet that exceeds its budget for all work: eight instances under more load than the
// budget go through kills, pauses, lost traffic and loss of the leader. No window of what the targets count exceeds the
// budget by more than its burst.
func TestWorkBudget(t *testing.T) {
	f := newFleet(t, 8, 2, quotaHeader+workBudget, map[string]float64{"work": workRate}, InstanceOptions{}, 1.0005, 0, 0.9995)
	pauses := 0.0
	time.Sleep(allocationTTLMs * time.Millisecond) // the token buckets fill
	f.setLoad(60)
	f.waitServed("all joined, with full buckets", 0.8*workRate)
	for _, n := range f.instances[2:] {
		n.Kill()
	}
	f.instances[0].SetLoad(250)
	f.instances[1].SetLoad(250)
	f.waitServed("six of eight killed", 0.75*workRate)
	for _, n := range f.instances[2:] {
		n.Restart()
	}
	f.setLoad(60)
	f.WaitFor("all to join again", func() bool { return strings.Count(f.instances[7].Log(), "FLEET_JOINED") == 2 })
	f.waitServed("all joined again", 0.75*workRate)

	f.instances[0].Pause()
	pauses++
	time.Sleep(2 * allocationTTLMs * time.Millisecond)
	f.instances[0].Resume()
	f.instances[1].DropAgentTraffic(true, false)
	f.instances[2].DropAgentTraffic(false, true)
	f.WaitFor("two instances to be cut off", func() bool {
		return strings.Contains(f.instances[1].Log(), "FLEET_CUT_OFF") && strings.Contains(f.instances[2].Log(), "FLEET_CUT_OFF")
	})
	f.waitServed("one paused and resumed, two cut off", 0.7*workRate)
	f.instances[1].Heal()
	f.instances[2].Heal()

	leader := f.agents.Leader()
	f.agents.Procs[leader].Pause()
	time.Sleep(2 * allocationTTLMs * time.Millisecond)
	f.waitServed("the leader paused", 0.7*workRate)
	f.agents.Procs[leader].Resume()
	second := f.agents.Leader()
	f.agents.Isolate(second)
	time.Sleep(allocationTTLMs * time.Millisecond)
	f.waitServed("the leader isolated", 0.7*workRate)
	f.agents.Reconnect(second)
	third := f.agents.Leader()
	f.agents.Procs[third].Kill()
	f.waitServed("the leader killed", 0.7*workRate)
	f.agents.Procs[third].Restart()

	worst, most := f.targets.Monitor.MaxExcess("work"), workBurst+pauses
	t.Logf("largest excess of a window: %.1f, limit %.0f", worst, most)
	if worst > most {
		t.Errorf("a window exceeded the rate by %.1f, limit %.0f", worst, most)
	}
	if lost := f.instances[1].Unanswered.Load(); lost > 0 { // this instance was neither killed nor paused
		t.Errorf("%d requests had no response", lost)
	}
	f.stopAll(f.instances)
	var v struct{ Members []json.RawMessage }
	out, code, _ := f.Run("members", "--json", "--agents", f.agents.AddrList())
	if err := json.Unmarshal([]byte(out), &v); err != nil || code != 0 {
		t.Fatalf("members: exit code %d, %v: %s", code, err, out)
	}
	t.Logf("%d sessions are left, of killed instances", len(v.Members))
}

// stopAll stops the instances at the same time and expects each to exit by itself.
func (f *fleet) stopAll(all []*Instance) {
	f.T.Helper()
	for _, n := range all {
		n.SetLoad(0)
	}
	done := make(chan bool, len(all))
	for _, n := range all {
		go func() { done <- n.Stop(30 * time.Second) }()
	}
	for range all {
		if !<-done {
			f.T.Error("an instance did not exit by itself")
		}
	}
}

// TestOtherBudgets drives six instances under budgets for connections, retries and work at cold targets: one target
// fails, others become cold while a third of the fleet is cut off, and the whole agent group is killed and restarted
// with its disks. No budget may be exceeded.
func TestOtherBudgets(t *testing.T) {
	const conns, repeats, repeatBurst, cold, coldBurst = 30, 20.0, 40.0, 40.0, 48.0
	rules := `{"coldShare":0.2,"warmWithinUs":600000000,"fallUs":2000000,"tipMultiple":2,"resendRatio":5,"extraFree":100,"resendSpanUs":1000000}`
	f := newFleet(t, 6, 3, quotaHeader+connBudget+`[[budget]]
name = "repeats"
use = "repeat"
whole = 20
burst = 40
least = 0.2
least_burst = 1
[[budget]]
name = "cold"
use = "cold"
per = "target"
whole = 40
burst = 48
least = 0.5
least_burst = 1
`, map[string]float64{"repeat": repeats, "cold": cold}, InstanceOptions{Rules: rules})
	for _, target := range f.targets.All {
		target.ServiceTime.Store(int64(20 * time.Millisecond))
	}
	f.setLoad(60)
	f.WaitFor("the fleet to serve", func() bool { return f.targets.Monitor.Rate(time.Second)[0] > 200 })
	f.targets.All[0].FailEvery.Store(3) // not all: a target that fails every request gets one trial at a time
	f.WaitFor("retries to arrive", func() bool { return f.targets.Monitor.Rate(time.Second)[1] > repeats/4 })
	f.instances[0].DropAgentTraffic(true, true)
	f.instances[1].DropAgentTraffic(false, true)
	f.targets.MarkRestarted(f.targets.All[1])
	f.targets.MarkRestarted(f.targets.All[2])
	f.WaitFor("the cold targets to receive requests", func() bool { return f.targets.Monitor.Rate(time.Second)[2] > cold/4 })
	time.Sleep(allocationTTLMs * time.Millisecond)
	f.instances[0].Heal()
	f.instances[1].Heal()
	f.targets.All[0].FailEvery.Store(0)
	for _, p := range f.agents.Procs {
		p.Kill()
	}
	f.WaitFor("all instances to be cut off, with only their floor left", func() bool {
		for _, n := range f.instances {
			if !strings.Contains(n.Log(), "FLEET_CUT_OFF") {
				return false
			}
		}
		return true
	})
	if os.Getenv("SPINDLEHITCH_FAULTS") != "" {
		time.Sleep(time.Minute) // manual runs only; their sessions expire meanwhile
	}
	atFloor := f.targets.Monitor.Rate(500 * time.Millisecond)
	for _, p := range f.agents.Procs {
		p.Restart()
	}
	f.WaitFor("the instances to renew at the agents again", func() bool {
		out, code, _ := f.Run("budget", "show", "conns", "--json", "--agents", f.agents.AddrList())
		return code == 0 && strings.Contains(out, `"name": "n5"`)
	})
	time.Sleep(allocationTTLMs * time.Millisecond)
	t.Logf("requests a second at cold targets: %.0f without agents, %.0f afterwards", atFloor[2], f.targets.Monitor.Rate(500 * time.Millisecond)[2])
	if most := f.targets.MaxConns(); most > conns {
		t.Errorf("%d connections were open at one target, limit %d", most, conns)
	} else {
		t.Logf("at most %d connections open at one target, limit %d", most, conns)
	}
	for name, most := range map[string]float64{"repeat": repeatBurst, "cold.t1": coldBurst, "cold.t2": coldBurst} {
		if worst := f.targets.Monitor.MaxExcess(name); worst > most {
			t.Errorf("%s: a window exceeded the rate by %.1f, limit %.1f", name, worst, most)
		} else {
			t.Logf("%s: largest excess of a window: %.1f, limit %.1f", name, worst, most)
		}
	}
}

// TestSessions checks the outcome for processes without a session: one whose name is taken, an upgrade under the same
// name, one for which no session is left, and one that resumes after its session has expired.
func TestSessions(t *testing.T) {
	small := strings.Replace(strings.Replace(quotaHeader, "seats = 20", "seats = 3", 1), "seat_s = 6", "seat_s = 2", 1)
	f := newFleet(t, 1, 1, small+workBudget, map[string]float64{"work": workRate}, InstanceOptions{})
	o := InstanceOptions{Agents: f.agents, Targets: f.targets, Peers: 3}
	waitReason := func(n *Instance, reason string, times int) {
		t.Helper()
		f.WaitFor(n.Name+": "+reason, func() bool { return strings.Count(n.Log(), "reason="+reason) >= times })
	}
	duplicate := f.StartInstance("n0", o, 0)
	waitReason(duplicate, "FLEET_NAME_TAKEN", 1)
	duplicate.Kill()
	socket, addr := listenSocket(t)
	defer socket.Close()
	o.ListenSocket, o.Listen = socket, addr
	predecessor := f.StartInstance("n1", o, 0)
	waitReason(predecessor, "FLEET_JOINED", 1)
	successor := f.StartInstance("n1", o, 0)
	waitReason(successor, "FLEET_JOINED", 1)
	waitReason(predecessor, "FLEET_LEFT", 1) // the successor serves
	f.WaitFor("the predecessor to exit", func() bool { return !predecessor.Alive() })
	o.ListenSocket, o.Listen = nil, ""
	third := f.StartInstance("n2", o, 0)
	waitReason(third, "FLEET_JOINED", 1)
	fourth := f.StartInstance("n3", o, 0)
	waitReason(fourth, "FLEET_NO_SEAT", 1)
	third.Pause()
	waitReason(fourth, "FLEET_JOINED", 1) // once the paused instance's session has expired
	third.Resume()
	waitReason(third, "FLEET_SEAT_LOST", 1)
	waitReason(third, "FLEET_NO_SEAT", 1)
	if !strings.Contains(third.Metrics(), "edge_proxy.fleet.seated:0|g") {
		t.Errorf("the metrics do not show that there is no session: %s", third.Metrics())
	}
	fourth.Stop(30 * time.Second)
	waitReason(third, "FLEET_JOINED", 2)
}

// TestAgentFaults fills the disk of the leading agent while budgets are changed, restarts an agent with an empty folder,
// and reduces a budget's capacity while all of it is allocated.
func TestAgentFaults(t *testing.T) {
	f := newFleet(t, 3, 1, quotaHeader+workBudget, map[string]float64{"work": workRate}, InstanceOptions{})
	f.setLoad(150)
	f.waitServed("all capacity allocated", 0.8*workRate)
	set := func(whole, burst int) (string, int) {
		text := strings.Replace(strings.Replace(workBudget, "whole = 200", fmt.Sprint("whole = ", whole), 1), "burst = 100\n", fmt.Sprintf("burst = %d\n", burst), 1)
		out, code, _ := f.Run("budget", "set", f.WriteFile("budgets.toml", quotaHeader+text), "--agents", f.agents.AddrList())
		return out, code
	}
	leader := f.agents.Leader()
	if err := f.agents.Procs[leader].FillDisk(f.agents.Dirs[leader]); err != nil {
		t.Fatal(err)
	}
	big := f.WriteFile("big.json", fmt.Sprintf(`{"name":"big","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","pad":%q,"settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"read","promiseUs":500000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, strings.Repeat("x", 600<<10)))
	f.WaitFor("the leader's log to hit the full disk", func() bool {
		out, code, _ := f.Run("config", "put", "big", big, "--agents", f.agents.AddrList())
		t.Logf("put with a full disk: exit code %d, %.200s", code, out)
		return strings.Contains(f.agents.Procs[leader].Log(), "file too large")
	})
	f.waitServed("the leader's disk is full", 0.7*workRate)
	if err := f.agents.Procs[leader].FreeDisk(); err != nil {
		t.Fatal(err)
	}
	f.WaitFor("budgets to be changed again", func() bool { _, code := set(200, 100); return code == 0 })
	emptied := (f.agents.Leader() + 1) % 3
	f.agents.Procs[emptied].Kill()
	if err := os.RemoveAll(f.agents.Dirs[emptied]); err != nil {
		t.Fatal(err)
	}
	f.agents.Procs[emptied].Restart()
	f.WaitFor("the emptied agent to replicate the state", func() bool {
		out, _, _ := f.Run("config", "status", "--agents", f.agents.API[emptied])
		return strings.Contains(out, "Follower") && !strings.Contains(out, "applied=0")
	})
	f.WaitFor("the capacity to be reduced", func() bool { _, code := set(60, 80); return code == 0 })
	f.WaitFor("all instances to keep to the reduced capacity", func() bool { return f.targets.Monitor.Rate(time.Second)[0] <= 66 })
	f.WaitFor("the reduced capacity to be used", func() bool { return f.targets.Monitor.Rate(time.Second)[0] >= 25 })
	if worst := f.targets.Monitor.MaxExcess("work"); worst > 110 {
		t.Errorf("a window exceeded the rate by %.1f, limit 110", worst)
	}
}

// TestBudgetCommands checks that invalid budgets and commands are rejected with one message that names the field and
// with an exit code, and change nothing.
func TestBudgetCommands(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	g.Leader()
	good := quotaHeader + workBudget + connBudget
	for _, c := range []struct{ old, wrong, want string }{
		{"whole = 200", "whole = 0", "budget[0].whole"}, {"whole = 200", "whole = -5", "budget[0].whole"},
		{"least = 1\nleast_burst", "least = 11\nleast_burst", "budget[0].least"}, {"use = \"work\"", "use = \"play\"", "budget[0].use"},
		{"renew_ms = 300", "renew_ms = 500", "renew_ms"}, {"name = \"conns\"", "name = \"work\"", "budget[1].name"},
		{"kind = \"stock\"", "kind = \"rate\"", "budget[1].kind"}, {"linger_ms = 2500", "", "budget[1].linger_ms"},
		{"seats = 20", "seats = 0", "seats"}, {"part_ms", "parts_ms", "parts_ms"}, {"burst = 100", "burst = 50", "budget[0].burst"},
		{"per = \"target\"", "per = \"plan\"", "budget[1].per"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("the valid file does not contain %q", c.old)
		}
		file := r.WriteFile("wrong.toml", strings.Replace(good, c.old, c.wrong, 1))
		for _, command := range []string{"check", "set"} {
			out, code, _ := r.Run("budget", command, file, "--agents", g.AddrList())
			if code != 1 || !strings.Contains(out, c.want+":") || strings.Count(out, "\n") != 1 {
				t.Errorf("budget %s with %q: exit code %d, %s", command, c.wrong, code, out)
			}
		}
	}
	file := r.WriteFile("good.toml", good)
	for _, args := range [][]string{{"budget", "check", file}, {"budget", "set", file}, {"budget", "list"}, {"budget", "show", "conns"}, {"members"}} {
		if out, code, _ := r.Run(append(args, "--agents", g.AddrList())...); code != 0 {
			t.Errorf("%v: exit code %d, %s", args, code, out)
		}
	}
	if out, code, _ := r.Run("budget", "show", "play", "--agents", g.AddrList()); code != 1 || !strings.Contains(out, "play") {
		t.Errorf("an unknown budget: exit code %d, %s", code, out)
	}
	// A follower learns only with the next heartbeat that an entry of its log is committed.
	r.WaitFor("all agents to apply the same entries", func() bool {
		out, _, _ := r.Run("config", "status", "--agents", g.AddrList())
		applied := map[string]bool{}
		for line := range strings.Lines(out) {
			_, after, _ := strings.Cut(line, "applied=")
			applied[after] = true
		}
		return len(applied) == 1
	})
	for _, p := range g.Procs[1:] {
		p.Kill()
	}
	if out, code, _ := r.Run("budget", "list", "--agents", g.AddrList()); code != 3 || !strings.Contains(out, " old") || !strings.Contains(out, "conns") {
		t.Errorf("without a majority: exit code %d, %s", code, out)
	}
	if out, code, _ := r.Run("budget", "set", file, "--agents", g.AddrList()); code != 4 {
		t.Errorf("a change without a majority: exit code %d, %s", code, out)
	}
}

// listenSocket returns a listening socket for processes to inherit, and its address.
func listenSocket(t *testing.T) (*os.File, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	return file, l.Addr().String()
}

// TestRenewPastSilent guards against renewals that stop when the agent that an instance asks first is paused: one agent
// must not use up all the time that a renewal has.
func TestRenewPastSilent(t *testing.T) {
	f := newFleet(t, 1, 1, strings.Replace(quotaHeader, "seat_s = 6", "seat_s = 600", 1)+workBudget, map[string]float64{"work": workRate}, InstanceOptions{})
	renewals := func() (n int) {
		_, after, _ := strings.Cut(f.instances[0].Metrics(), "renewals.taken:")
		_, _ = fmt.Sscanf(after, "%d", &n)
		return n
	}
	f.WaitFor("the instance to renew", func() bool { return renewals() > 0 })
	f.agents.Procs[0].Pause()
	before := renewals()
	took := f.WaitFor("five renewals at another agent", func() bool { return renewals() >= before+5 })
	t.Logf("five more renewals after %v", took)
	f.agents.Procs[0].Resume()
}

// TestRenewalTwice sends duplicated and reordered renewals, as a network may: each sequence number is accepted once and
// an older one never, an unknown member is rejected, and an isolated leader accepts nothing.
func TestRenewalTwice(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	leader := g.Leader()
	if out, code, _ := r.Run("budget", "set", r.WriteFile("budgets.toml", quotaHeader+workBudget), "--agents", g.AddrList()); code != 0 {
		t.Fatal(out)
	}
	post := func(path, body string) (int, string) {
		t.Helper()
		resp, err := http.Post("http://"+g.API[leader]+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, strings.TrimSpace(string(text))
	}
	for range 2 { // the first response may have been lost
		if status, text := post("/v1/fleet/members", `{"id":"m","name":"n","addr":"a","weight":1}`); status != 200 || !strings.Contains(text, `"seats":20`) {
			t.Fatalf("join: %d %s", status, text)
		}
	}
	for _, c := range []struct {
		what, id string
		seq      int
		want     string
	}{{"the first", "m", 2, `"seq":2`}, {"the same again", "m", 2, "OLD_RENEWAL"}, {"an older one", "m", 1, "OLD_RENEWAL"},
		{"the next", "m", 3, `"seq":3`}, {"of no member", "x", 1, "UNKNOWN_MEMBER"}} {
		_, text := post("/v1/fleet/renew", fmt.Sprintf(`{"id":%q,"seq":%d,"version":0,"reports":[{"budget":"work","held":{"rate":0},"want":9}]}`, c.id, c.seq))
		if !strings.Contains(text, c.want) {
			t.Errorf("%s: %s, want %s", c.what, text, c.want)
		}
	}
	g.Isolate(leader) // it may still consider itself the leader, without a majority
	if status, text := post("/v1/fleet/renew", `{"id":"m","seq":4,"version":0}`); status == 200 {
		t.Errorf("an isolated leader accepted a renewal: %s", text)
	}
}
