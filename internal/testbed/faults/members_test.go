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

// everyone tells whether all members that run, but for some, tell so of a name.
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

// TestMembers starts twenty instances without agents and plays, one after the other, what can happen to one of them and to the ways
// between them. At no time is a member held dead that neither died nor stood still.
func TestMembers(t *testing.T) {
	t.Parallel()
	r := New(t)
	m := r.StartMesh(MeshOptions{Size: 20, ProbeMs: probeMs, ClockRates: []float64{1, 1.1, 0.9}, Zones: 2})
	joined := r.WaitFor("all know each other", m.Converged)
	ill := map[string]bool{"m3": true, "m4": true, "m5": true, "m6": true}
	ctx, stop := context.WithCancel(context.Background())
	falsely := m.CollectFalseVerdicts(ctx, func(name string) bool { return !ill[name] })
	defer stop()

	// Paused past its suspicion, buried, and back as the same life.
	birth := m.Members[3].StateOf("m3").ID
	m.Members[3].Pause()
	buried := r.WaitFor("a member that stands still is held dead", func() bool { return m.allReport("m3", inState(membership.StateDead), 3) })
	m.Members[3].Resume()
	r.WaitFor("it is back", func() bool {
		return m.allReport("m3", func(s membership.MemberView) bool { return isLive(s) && s.ID == birth && s.Incarnation > 1 }) && m.Converged()
	})
	require.Contains(t, m.Members[3].Log()+m.Members[0].Log(), "MEMBER_DEAD")

	// Killed, and started again: a later life.
	m.Members[4].Kill()
	killed := r.WaitFor("a member that died is held dead", func() bool { return m.allReport("m4", inState(membership.StateDead)) })
	m.Members[4].Restart()
	r.WaitFor("its later life is known", func() bool { return m.allReport("m4", isLive) && m.Converged() })

	// One way cut: named with its direction, taken back when it is mended, and nobody is held dead.
	m.SetPath(0, 1, PathCut)
	named := r.WaitFor("a way that is cut is named", func() bool {
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
	r.WaitFor("it is taken back", func() bool {
		v, _ := m.Members[9].View()
		return len(v.Paths) == 0
	})

	// Its datagrams are blocked and streams pass: it lives, and it is told why it is hard to reach.
	for i := range m.Members {
		m.SetPath(i, 7, PathImpairment{DropDatagrams: true})
		m.SetPath(7, i, PathImpairment{DropDatagrams: true})
	}
	r.WaitFor("datagrams that are blocked are told", func() bool {
		v, _ := m.Members[7].View()
		return slices.ContainsFunc(v.Paths, func(w membership.PathView) bool { return w.Kind == "datagrams cut" })
	})
	require.True(t, isLive(m.Members[0].StateOf("m7")))
	m.Heal()

	// A member that hears all and that nobody hears learns it, and judges nobody.
	for i := range m.Members {
		m.SetPath(5, i, PathCut)
	}
	r.WaitFor("a mute member knows it", func() bool {
		v, _ := m.Members[5].View()
		return strings.Contains(v.Isolation, "none hears us")
	})
	r.WaitFor("the others hold it dead", func() bool { return m.allReport("m5", inState(membership.StateDead), 5) })
	v, _ := m.Members[5].View()
	require.Equal(t, 20, v.Size, "who hears nobody judges nobody")
	require.Contains(t, m.Members[5].Log(), "MEMBERS_ALONE")
	m.Heal()
	met := r.WaitFor("views meet", m.Converged)

	// Two halves, joined again.
	for i := range m.Members {
		for j := range m.Members {
			if i%2 != j%2 {
				m.SetPath(i, j, PathCut)
			}
		}
	}
	for _, n := range m.Members {
		ill[n.Name()] = true // from here on all are held dead by somebody
	}
	stop()
	require.Empty(t, falsely())
	r.WaitFor("each half knows itself alone", func() bool {
		a, _ := m.Members[0].View()
		b, _ := m.Members[1].View()
		return a.Size == 10 && b.Size == 10
	})
	out, code, _ = r.Run("members", "--diff", m.Members[0].Control+","+m.Members[1].Control)
	require.Equal(t, 5, code, out)
	m.Heal()
	halves := r.WaitFor("the halves know each other", m.Converged)
	out, code, _ = r.Run("members", "--diff", m.Members[0].Control+","+m.Members[1].Control)
	require.Zero(t, code, out)
	require.Contains(t, out, "know the same 20")

	// Left in order.
	require.True(t, m.Members[6].Stop(20*time.Second))
	r.WaitFor("a member that left is told so", func() bool { return m.allReport("m6", inState(membership.StateLeft)) })
	out, code, _ = r.Run("members", "--from", m.Members[0].Control, "--json")
	require.Zero(t, code)
	require.NoError(t, json.Unmarshal([]byte(out), &v))
	require.Equal(t, 19, v.Size)
	t.Logf("in probes: joined %.1f, held dead after a pause %.1f, after a kill %.1f, a cut named %.1f, views meet after a mute member %.1f, after halves %.1f",
		joined.Seconds()*1000/probeMs, buried.Seconds()*1000/probeMs, killed.Seconds()*1000/probeMs, named.Seconds()*1000/probeMs,
		met.Seconds()*1000/probeMs, halves.Seconds()*1000/probeMs)
}

// TestMembersBadInput stops a start with one message that names file and field, and starts nothing.
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
		r.WaitFor("it ends", func() bool { return !p.Alive() })
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

// TestMembersScheduled pauses and kills members and spoils ways at random, by a seed, with messages lost, late and twice: no member that
// neither died nor stood still is held dead, and views meet afterwards. By hand it goes on for as long as SPINDLEHITCH_FAULTS says.
func TestMembersScheduled(t *testing.T) {
	t.Parallel()
	length, seed := 12*time.Second, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length = d
	}
	seed = seedFromEnv(seed)
	r := New(t)
	m := r.StartMesh(MeshOptions{Size: 20, ProbeMs: probeMs, ClockRates: []float64{1, 1.0005, 0.9995}, Zones: 2})
	r.WaitFor("all know each other", m.Converged)
	// The last six are paused and killed; the others are healthy throughout.
	const hurt = 14
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	falsely := m.CollectFalseVerdicts(ctx, func(name string) bool {
		n, _ := strconv.Atoi(strings.TrimPrefix(name, "m"))
		return n < hurt
	})
	m.SetDefaultPath(PathImpairment{Loss: 0.1, Duplication: 0.05, Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond})
	counts := map[string]int{}
	rng := rand.New(rand.NewPCG(seed, 3))
	for end := time.Now().Add(length); time.Now().Before(end); {
		n := m.Members[hurt+rng.IntN(len(m.Members)-hurt)]
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
	require.Empty(t, falsely())
	m.Heal()
	met := r.WaitFor("views meet", func() bool { m.Heal(); return m.Converged() })
	t.Logf("seed %d, %v: %v; views meet %.1f probes after", seed, length, counts, met.Seconds()*1000/probeMs)
}

// TestMembersHard plays what is left of the hard cases, twelve instances each time.
func TestMembersHard(t *testing.T) {
	t.Parallel()
	r := New(t)
	targets := r.StartTargets(1, nil)
	m := r.StartMesh(MeshOptions{Size: 12, ProbeMs: probeMs, Seeds: []int{0, 11}, StartLater: []int{10, 11}, Targets: targets})
	r.WaitFor("they join by the one seed that lives", m.Converged)

	// Heard by one alone: it lives, for all.
	births := map[string]string{}
	for i := range 10 {
		births[m.Members[i].Name()] = m.Members[0].StateOf(m.Members[i].Name()).ID
		if i != 4 && i != 5 {
			m.SetPath(4, i, PathCut)
		}
	}
	time.Sleep(20 * probeMs * time.Millisecond)
	for i := range 10 {
		require.NotEqual(t, membership.StateDead, m.Members[i].StateOf("m4").State, "at m%d", i)
	}
	m.Heal()

	// Three in ten messages lost, and a kill: found all the same, and nobody else is.
	m.SetDefaultPath(PathImpairment{Loss: 0.3})
	m.Members[9].Kill()
	r.WaitFor("a death is found among losses", func() bool { return m.allReport("m9", inState(membership.StateDead)) })
	for i := range 9 {
		require.True(t, isLive(m.Members[0].StateOf(m.Members[i].Name())) || m.Members[0].StateOf(m.Members[i].Name()).Self)
	}
	m.Heal()

	// Streams blocked and datagrams open: nothing happens.
	for i := range 10 {
		m.SetPath(i, 2, PathImpairment{DropStreams: true})
		m.SetPath(2, i, PathImpairment{DropStreams: true})
	}
	time.Sleep(10 * probeMs * time.Millisecond)
	require.True(t, isLive(m.Members[3].StateOf("m2")))
	m.Heal()

	// Half of all started again at once, the seed among them: later lives, all known.
	for i := range 5 {
		m.Members[i].Kill()
	}
	for i := range 5 {
		m.Members[i].Restart()
	}
	r.WaitFor("half of all are known as later lives", func() bool {
		for i := range 5 {
			if s := m.Members[7].StateOf(m.Members[i].Name()); !isLive(s) || s.ID == births[s.Name] {
				return false
			}
		}
		return m.Converged()
	})

	// All seeds dead: those who know each other go on, and one that starts knows nobody until a seed is back.
	m.Members[0].Kill()
	m.Members[10].Start()
	r.WaitFor("the seed's death is known", func() bool { return m.allReport("m0", inState(membership.StateDead), 10) })
	v, ok := m.Members[10].View()
	require.True(t, ok)
	require.Equal(t, 1, v.Size)
	m.Members[0].Restart()
	r.WaitFor("it joins when a seed is back, and the seed is known again", m.Converged)

	// An upgrade: two processes of one name for a while.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	defer socket.Close()
	elder := m.Members[11].Upgrade(socket, FreeAddrs(t, 1)[0])
	r.WaitFor("the elder is known", func() bool { return isLive(m.Members[1].StateOf("m11")) })
	first := m.Members[1].StateOf("m11").ID
	younger := m.Members[11].Upgrade(socket, FreeAddrs(t, 1)[0])
	r.WaitFor("the elder leaves by itself", func() bool { return !elder.Alive() })
	r.WaitFor("the younger one is known, at the address of its name", func() bool {
		s := m.Members[1].StateOf("m11")
		return isLive(s) && s.ID != first && s.Addr == m.Members[11].advertise
	})
	v, _ = m.Members[1].View()
	require.True(t, slices.ContainsFunc(v.Members, func(s membership.MemberView) bool { return s.ID == first && s.State == membership.StateLeft }), "the elder has left")
	require.Empty(t, v.DuplicateNames)
	younger.Kill()
}
