package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/membership"
)

const probeMs = 400

// allReport reports whether is holds for the state of a name at all running members, except the named one, those that
// are stopped and those in but.
func (m *Mesh) allReport(name string, is func(membership.MemberView) bool, but ...int) bool {
	for _, n := range m.Members {
		if n.Running() && !n.Stopped() && n.Name() != name && !slices.Contains(but, n.Index) && !is(n.StateOf(name)) {
			return false
		}
	}
	return true
}

func inState(states ...membership.State) func(membership.MemberView) bool {
	return func(s membership.MemberView) bool { return slices.Contains(states, s.State) }
}

func isLive(s membership.MemberView) bool {
	return s.Name != "" && !inState(membership.StateDead, membership.StateLeft)(s)
}

// TestMembers starts twenty instances without agents and goes through faults of single members and of the paths between
// them. At no time may a member be declared dead that neither ended nor was paused.
func TestMembers(t *testing.T) {
	t.Parallel()
	r := New(t)
	m := r.StartMesh(MeshOptions{Size: 20, ProbeMs: probeMs, ClockRates: []float64{1, 1.1, 0.9}, Zones: 2})
	joined := r.WaitFor("the views to converge", m.Converged)
	unhealthy := map[string]bool{"m3": true, "m4": true, "m5": true, "m6": true}
	ctx, stop := context.WithCancel(context.Background())
	falseVerdicts := m.CollectFalseVerdicts(ctx, func(name string) bool { return !unhealthy[name] })
	defer stop()

	// Paused past its suspicion, declared dead, and back under the same ID.
	idBefore := m.Members[3].StateOf("m3").ID
	m.Members[3].Pause()
	declaredDead := r.WaitFor("the paused member to be declared dead", func() bool { return m.allReport("m3", inState(membership.StateDead), 3) })
	m.Members[3].Resume()
	r.WaitFor("the paused member to be live again", func() bool {
		return m.allReport("m3", func(s membership.MemberView) bool { return isLive(s) && s.ID == idBefore && s.Incarnation > 1 }) && m.Converged()
	})
	require.Contains(t, m.Members[3].Log()+m.Members[0].Log(), "MEMBER_DEAD")

	// Killed and restarted: it joins under a new ID.
	m.Members[4].Kill()
	killed := r.WaitFor("the killed member to be declared dead", func() bool { return m.allReport("m4", inState(membership.StateDead)) })
	m.Members[4].Restart()
	r.WaitFor("the restarted member to be live", func() bool { return m.allReport("m4", isLive) && m.Converged() })

	// One direction of a path cut: it is reported with its direction, the report is withdrawn when the path is healed,
	// and no member is declared dead.
	m.SetPath(0, 1, PathCut)
	reportedAfter := r.WaitFor("the cut path to be reported", func() bool {
		for _, at := range []int{0, 1, 9} {
			v, _ := m.Members[at].View()
			if !slices.ContainsFunc(v.Paths, func(w membership.PathView) bool { return w.From == "m0" && w.To == "m1" && w.Kind == "cut" }) {
				return false
			}
		}
		return true
	})
	out, code, _ := r.Run("members", "--from", m.Members[9].Control, "--links")
	require.Zero(t, code, out)
	require.Contains(t, out, "m0    m1  cut")
	m.Heal()
	r.WaitFor("the report of the cut path to be withdrawn", func() bool {
		v, _ := m.Members[9].View()
		return len(v.Paths) == 0
	})

	// Datagrams blocked and streams open: the member stays live, and the reason why it is hard to reach is reported.
	for i := range m.Members {
		m.SetPath(i, 7, PathImpairment{DropDatagrams: true})
		m.SetPath(7, i, PathImpairment{DropDatagrams: true})
	}
	r.WaitFor("the blocked datagrams to be reported", func() bool {
		v, _ := m.Members[7].View()
		return slices.ContainsFunc(v.Paths, func(w membership.PathView) bool { return w.Kind == "datagrams cut" })
	})
	require.True(t, isLive(m.Members[0].StateOf("m7")))
	m.Heal()

	// A member that receives everything but reaches nobody detects that, and declares no member dead.
	for i := range m.Members {
		m.SetPath(5, i, PathCut)
	}
	r.WaitFor("the mute member to detect that no one receives from it", func() bool {
		v, _ := m.Members[5].View()
		return strings.Contains(v.Isolation, "none hears us")
	})
	r.WaitFor("the others to declare the mute member dead", func() bool { return m.allReport("m5", inState(membership.StateDead), 5) })
	v, _ := m.Members[5].View()
	require.Equal(t, 20, v.Size, "an isolated member declares no member dead")
	require.Contains(t, m.Members[5].Log(), "MEMBERS_ALONE")
	m.Heal()
	convergedAfterMute := r.WaitFor("the views to converge", m.Converged)

	// Two halves, cut off from each other and reconnected.
	for i := range m.Members {
		for j := range m.Members {
			if i%2 != j%2 {
				m.SetPath(i, j, PathCut)
			}
		}
	}
	for _, n := range m.Members {
		unhealthy[n.Name()] = true // from here on every member is declared dead by some other
	}
	stop()
	require.Empty(t, falseVerdicts())
	r.WaitFor("each half to see only itself", func() bool {
		a, _ := m.Members[0].View()
		b, _ := m.Members[1].View()
		return a.Size == 10 && b.Size == 10
	})
	out, code, _ = r.Run("members", "--diff", m.Members[0].Control+","+m.Members[1].Control)
	require.Equal(t, 5, code, out)
	m.Heal()
	convergedAfterSplit := r.WaitFor("the halves to converge", m.Converged)
	out, code, _ = r.Run("members", "--diff", m.Members[0].Control+","+m.Members[1].Control)
	require.Zero(t, code, out)
	require.Contains(t, out, "know the same 20")

	// A member that shuts down leaves the group.
	require.True(t, m.Members[6].Stop(20*time.Second))
	r.WaitFor("the member to be seen as left", func() bool { return m.allReport("m6", inState(membership.StateLeft)) })
	out, code, _ = r.Run("members", "--from", m.Members[0].Control, "--json")
	require.Zero(t, code)
	require.NoError(t, json.Unmarshal([]byte(out), &v))
	require.Equal(t, 19, v.Size)
	t.Logf("in probe intervals: joined %.1f, declared dead after a pause %.1f, after a kill %.1f, a cut path reported %.1f, views converged after a mute member %.1f, after two halves %.1f",
		joined.Seconds()*1000/probeMs, declaredDead.Seconds()*1000/probeMs, killed.Seconds()*1000/probeMs, reportedAfter.Seconds()*1000/probeMs,
		convergedAfterMute.Seconds()*1000/probeMs, convergedAfterSplit.Seconds()*1000/probeMs)
}

// TestMembersBadInput checks that a start with an invalid membership configuration fails with a message that names the
// file or field, and that commands with missing or unreachable arguments fail.
func TestMembersBadInput(t *testing.T) {
	t.Parallel()
	r := New(t)
	addrs := FreeAddrs(t, 3)
	for _, c := range []struct{ name, toml, want string }{
		{"n", `bind = "192.0.2.1:7801"` + "\nkey = \"k\"", "operator's file: fleet.members.bind: "},
		{strings.Repeat("n", 65), fmt.Sprintf("bind = %q\nkey = \"k\"", addrs[2]), "name: 65 bytes are too long for fleet.members"},
		{"n", fmt.Sprintf("bind = %q", addrs[2]), "fleet.members.key: required"},
		{"n", fmt.Sprintf("bind = %q\nkey = \"k\"\nprobe_ms = 500\ntimeout_ms = 600\npause_ms = 400", addrs[2]), "fleet.members.timeout_ms: 600 is not under probe_ms\nfleet.members.pause_ms: 400 is not over probe_ms"},
	} {
		file := r.WriteFile("c.json", fmt.Sprintf(`{"name":%q,"listen":%q,"control":%q,"discovery":"127.0.0.1:9","settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"position-read","promiseUs":100000,"deadlineUs":200000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, c.name, addrs[0], addrs[1]))
		p := r.Start("bad", []string{"PROXY_CONFIG=" + file}, "serve", "--operator", r.WriteFile("c.toml", "[fleet.members]\n"+c.toml+"\n"))
		r.WaitFor("the process to exit", func() bool { return !p.Alive() })
		require.Equal(t, 1, p.cmd.ProcessState.ExitCode())
		require.Contains(t, p.Log(), c.want)
		p.out.b = nil
	}
	out, code, _ := r.Run("members", "--links")
	require.Equal(t, 1, code)
	require.Contains(t, out, "go with --from")
	_, code, _ = r.Run("members", "--from", addrs[1])
	require.Equal(t, 4, code)
}

// TestMembersScheduled pauses and kills members and cuts paths at random, by a seed, with messages lost, delayed and
// duplicated. No member that neither ended nor was paused may be declared dead, and the views must converge afterwards.
// In manual runs SPINDLEHITCH_FAULTS sets the length.
func TestMembersScheduled(t *testing.T) {
	t.Parallel()
	length, seed := 12*time.Second, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length = d
	}
	seed = seedFromEnv(seed)
	r := New(t)
	m := r.StartMesh(MeshOptions{Size: 20, ProbeMs: probeMs, ClockRates: []float64{1, 1.0005, 0.9995}, Zones: 2})
	r.WaitFor("the views to converge", m.Converged)
	// Only the last six are paused and killed; the others stay healthy.
	const firstFaulty = 14
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	falseVerdicts := m.CollectFalseVerdicts(ctx, func(name string) bool {
		n, _ := strconv.Atoi(strings.TrimPrefix(name, "m"))
		return n < firstFaulty
	})
	m.SetDefaultPath(PathImpairment{Loss: 0.1, Duplication: 0.05, Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond})
	counts := map[string]int{}
	rng := rand.New(rand.NewPCG(seed, 3))
	for end := time.Now().Add(length); time.Now().Before(end); {
		n := m.Members[firstFaulty+rng.IntN(len(m.Members)-firstFaulty)]
		switch what := rng.IntN(4); {
		case what == 0 && n.Alive():
			n.Kill()
			counts["kill"]++
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			n.Restart()
		case what == 1:
			from, to := rng.IntN(len(m.Members)), rng.IntN(len(m.Members))
			if from != to {
				m.SetPath(from, to, PathCut)
				counts["cut"]++
				time.AfterFunc(time.Duration(2+rng.IntN(6))*time.Second, func() { m.SetPath(from, to, PathImpairment{Loss: 0.1}) })
			}
		default:
			n.Pause()
			counts["pause"]++
			time.Sleep(time.Duration(200+rng.IntN(2500)) * time.Millisecond)
			n.Resume()
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	stop()
	require.Empty(t, falseVerdicts())
	m.Heal()
	convergedAfter := r.WaitFor("the views to converge", func() bool { m.Heal(); return m.Converged() })
	t.Logf("seed %d, %v: %v; views converged after %.1f probe intervals", seed, length, counts, convergedAfter.Seconds()*1000/probeMs)
}

// TestMemberFaults goes through further faults with twelve instances: a member that only two others receive from,
// message loss, blocked streams, a restart of half the group, loss of all seeds, and an upgrade.
func TestMemberFaults(t *testing.T) {
	t.Parallel()
	r := New(t)
	targets := r.StartTargets(1, nil)
	m := r.StartMesh(MeshOptions{Size: 12, ProbeMs: probeMs, Seeds: []int{0, 11}, StartLater: []int{10, 11}, Targets: targets})
	r.WaitFor("all to join through the one running seed", m.Converged)

	// Two members still receive from it: it stays live for all.
	idsBefore := map[string]string{}
	for i := range 10 {
		idsBefore[m.Members[i].Name()] = m.Members[0].StateOf(m.Members[i].Name()).ID
		if i != 4 && i != 5 {
			m.SetPath(4, i, PathCut)
		}
	}
	time.Sleep(20 * probeMs * time.Millisecond)
	for i := range 10 {
		require.NotEqual(t, membership.StateDead, m.Members[i].StateOf("m4").State, "at m%d", i)
	}
	m.Heal()

	// With 30 % of the messages lost a killed member is still declared dead, and no other is.
	m.SetDefaultPath(PathImpairment{Loss: 0.3})
	m.Members[9].Kill()
	r.WaitFor("the killed member to be declared dead despite losses", func() bool { return m.allReport("m9", inState(membership.StateDead)) })
	for i := range 9 {
		require.True(t, isLive(m.Members[0].StateOf(m.Members[i].Name())) || m.Members[0].StateOf(m.Members[i].Name()).Self)
	}
	m.Heal()

	// Streams blocked and datagrams open: nothing changes.
	for i := range 10 {
		m.SetPath(i, 2, PathImpairment{DropStreams: true})
		m.SetPath(2, i, PathImpairment{DropStreams: true})
	}
	time.Sleep(10 * probeMs * time.Millisecond)
	require.True(t, isLive(m.Members[3].StateOf("m2")))
	m.Heal()

	// Half of the members restarted at once, one of the seeds among them: all join under new IDs.
	for i := range 5 {
		m.Members[i].Kill()
	}
	for i := range 5 {
		m.Members[i].Restart()
	}
	r.WaitFor("half of the members to join under new IDs", func() bool {
		for i := range 5 {
			if s := m.Members[7].StateOf(m.Members[i].Name()); !isLive(s) || s.ID == idsBefore[s.Name] {
				return false
			}
		}
		return m.Converged()
	})

	// All seeds down: the members that know each other keep running, and one that starts stays alone until a seed is
	// back.
	m.Members[0].Kill()
	m.Members[10].Start()
	r.WaitFor("the seed to be declared dead", func() bool { return m.allReport("m0", inState(membership.StateDead), 10) })
	v, ok := m.Members[10].View()
	require.True(t, ok)
	require.Equal(t, 1, v.Size)
	m.Members[0].Restart()
	r.WaitFor("the lone member to join through the restarted seed", m.Converged)

	// An upgrade: for a while two processes run under one name.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	defer socket.Close()
	predecessor := m.Members[11].Upgrade(socket, FreeAddrs(t, 1)[0])
	r.WaitFor("the predecessor to join", func() bool { return isLive(m.Members[1].StateOf("m11")) })
	predecessorID := m.Members[1].StateOf("m11").ID
	successor := m.Members[11].Upgrade(socket, FreeAddrs(t, 1)[0])
	r.WaitFor("the predecessor to exit by itself", func() bool { return !predecessor.Alive() })
	r.WaitFor("the successor to join at the name's address", func() bool {
		s := m.Members[1].StateOf("m11")
		return isLive(s) && s.ID != predecessorID && s.Addr == m.Members[11].advertise
	})
	v, _ = m.Members[1].View()
	require.True(t, slices.ContainsFunc(v.Members, func(s membership.MemberView) bool { return s.ID == predecessorID && s.State == membership.StateLeft }), "the predecessor has left")
	require.Empty(t, v.DuplicateNames)
	successor.Kill()
}
