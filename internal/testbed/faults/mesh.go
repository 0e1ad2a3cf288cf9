package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// PathImpairment is how messages from one member to another are impaired.
type PathImpairment struct {
	Loss          float64 // fraction of the datagrams that is lost
	Duplication   float64 // fraction that arrives twice
	Delay         time.Duration
	Jitter        time.Duration // additional random delay; it reorders datagrams
	DropDatagrams bool          // all datagrams are lost
	DropStreams   bool          // all data on streams is lost
}

// PathCut loses all messages.
var PathCut = PathImpairment{DropDatagrams: true, DropStreams: true}

// Mesh is a membership group of instances. A relay in front of each member applies the impairment of the path on which
// a message came. It identifies the sender by address: each instance has a loopback address of its own from which it
// dials. mu guards the fields below it.
type Mesh struct {
	rig          *Rig
	Members      []*Member
	mu           sync.Mutex
	rng          *rand.Rand
	defaultPath  PathImpairment            // of paths without an entry in paths
	paths        map[[2]int]PathImpairment // by from and to
	memberByHost map[string]int            // index of the member that dials from that host
}

// Member is one instance of the group.
type Member struct {
	*Proc
	rig       *Rig
	Index     int
	Zone      string
	Control   string
	bind      string
	advertise string
	args      []string
	env       []string
	listen    string
	client    http.Client
}

// MeshOptions configure a mesh.
type MeshOptions struct {
	Size       int
	ProbeMs    int
	Seeds      []int     // members that all join through; nil: the first three
	StartLater []int     // members that are started later, by Start
	ClockRates []float64 // clock rates, assigned to the members in turn
	Zones      int
	Agents     *AgentGroup // nil: none
	Targets    *Targets    // nil: no discovery service
	FleetTOML  string      // lines of the section [fleet]
}

// StartMesh starts the instances, except those in o.StartLater, and their relays.
func (r *Rig) StartMesh(o MeshOptions) *Mesh {
	r.T.Helper()
	m := &Mesh{rig: r, rng: rand.New(rand.NewPCG(1, 2)), paths: map[[2]int]PathImpairment{}, memberByHost: map[string]int{}}
	if o.Seeds == nil {
		o.Seeds = []int{0, 1, 2}
	}
	ports := FreeAddrs(r.T, 3*o.Size)
	port := func(i int) string { return ports[i][strings.LastIndex(ports[i], ":"):] }
	for i := range o.Size {
		// Each test binary uses a block of addresses of its own, so that two binaries do not collide.
		net := fmt.Sprintf("127.%d", 16+loopbackBlock())
		n := &Member{rig: r, Index: i, Control: ports[i], bind: fmt.Sprintf("%s.1.%d%s", net, i+1, port(o.Size+i)), advertise: fmt.Sprintf("%s.2.%d%s", net, i+1, port(2*o.Size+i)),
			Zone: fmt.Sprint("z", i%max(o.Zones, 1)), client: http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
		m.Members = append(m.Members, n)
		host, _, _ := strings.Cut(n.bind, ":")
		m.memberByHost[host] = i
	}
	listens := FreeAddrs(r.T, o.Size)
	discovery := "127.0.0.1:9"
	if o.Targets != nil {
		discovery = o.Targets.Discovery
	}
	for i, n := range m.Members {
		m.startRelay(n)
		var seeds []string
		for _, s := range o.Seeds {
			seeds = append(seeds, fmt.Sprintf("%q", m.Members[s].advertise))
		}
		file := r.WriteFile(fmt.Sprintf("m%d.json", i), fmt.Sprintf(`{"name":"m%d","listen":%q,"control":%q,"discovery":%q,"settings":{"peersTotal":%d,"tickUs":2000,
 "classes":[{"name":"position-read","promiseUs":100000,"deadlineUs":200000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, i, listens[i], n.Control, discovery, o.Size))
		fleet := "[fleet]\n" + o.FleetTOML
		if o.Agents != nil {
			var agents []string
			for _, a := range o.Agents.API {
				agents = append(agents, fmt.Sprintf("%q", a))
			}
			fleet += "agents = [" + strings.Join(agents, ", ") + "]\n"
		}
		toml := r.WriteFile(fmt.Sprintf("m%d.toml", i), fleet+fmt.Sprintf("[fleet.members]\nbind = %q\nadvertise = %q\nseeds = [%s]\nzone = %q\nkey = \"k\"\nprobe_ms = %d\ntimeout_ms = %d\npause_ms = %d\ncompare_ms = %d\n",
			n.bind, n.advertise, strings.Join(seeds, ", "), n.Zone, o.ProbeMs, o.ProbeMs*3/10, 2*o.ProbeMs, 10*o.ProbeMs))
		env := []string{"PROXY_CONFIG=" + file, "GOMAXPROCS=1"}
		if len(o.ClockRates) > 0 {
			env = append(env, fmt.Sprint("SPINDLEHITCH_CLOCK_RATE=", o.ClockRates[i%len(o.ClockRates)]))
		}
		n.env, n.args, n.listen = env, []string{"serve", "--operator", toml}, listens[i]
		if !slices.Contains(o.StartLater, i) {
			n.Start()
		}
	}
	return m
}

// Start starts the member's process.
func (n *Member) Start() { n.Proc = n.rig.StartWith(n.Name(), nil, 0, n.env, n.args...) }

// Name returns the member's instance name.
func (n *Member) Name() string { return fmt.Sprint("m", n.Index) }

// Running reports whether the member was started and has not ended.
func (n *Member) Running() bool { return n.Proc != nil && n.Alive() }

// Upgrade starts a second process under the same name with the same inherited client socket.
func (n *Member) Upgrade(socket *os.File, control string) *Member {
	next := *n
	next.Control = control
	next.Proc = n.rig.StartWith(n.Name()+"-next", []*os.File{socket}, 0, append(slices.Clone(n.env), "PROXY_SOCKET_FD=3", "PROXY_CONTROL="+control), n.args...)
	return &next
}

// SetPath sets the impairment of messages from one member to another.
func (m *Mesh) SetPath(from, to int, p PathImpairment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths[[2]int{from, to}] = p
}

// SetDefaultPath sets the impairment of all paths that have none of their own.
func (m *Mesh) SetDefaultPath(p PathImpairment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.defaultPath = p
}

// Heal removes all impairments.
func (m *Mesh) Heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.defaultPath = PathImpairment{}
	clear(m.paths)
}

// drawFate returns the impairment of a path, with random draws of what happens to one message.
func (m *Mesh) drawFate(from string, to int) (p PathImpairment, lost, duplicated bool, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, own := m.paths[[2]int{m.memberByHost[from], to}]
	if !own {
		p = m.defaultPath
	}
	wait = p.Delay
	if p.Jitter > 0 {
		wait += time.Duration(m.rng.Int64N(int64(p.Jitter)))
	}
	return p, m.rng.Float64() < p.Loss, m.rng.Float64() < p.Duplication, wait
}

// startRelay starts the relay in front of a member, for datagrams and streams. It ends with the test.
func (m *Mesh) startRelay(n *Member) { //nolint:gocognit // to be split with its package, see docs/left.md
	t := m.rig.T
	t.Helper()
	packets, err := net.ListenPacket("udp", n.advertise)
	if err != nil {
		t.Fatal(err)
	}
	streams, err := net.Listen("tcp", n.advertise)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		packets.Close()
		streams.Close()
	})
	to, err := net.ResolveUDPAddr("udp", n.bind)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		b := make([]byte, 64<<10)
		for {
			k, from, err := packets.ReadFrom(b)
			if err != nil {
				return
			}
			p, lost, twice, wait := m.drawFate(from.(*net.UDPAddr).IP.String(), n.Index)
			if p.DropDatagrams || lost {
				continue
			}
			datagram := append([]byte(nil), b[:k]...)
			for range map[bool]int{false: 1, true: 2}[twice] {
				if wait == 0 {
					_, _ = packets.WriteTo(datagram, to)
				} else {
					time.AfterFunc(wait, func() { _, _ = packets.WriteTo(datagram, to) })
				}
				wait += p.Jitter / 2
			}
		}
	}()
	go func() {
		for {
			dialer, err := streams.Accept()
			if err != nil {
				return
			}
			go func() {
				defer dialer.Close()
				dialer.SetDeadline(time.Now().Add(5 * time.Second))
				p, _, _, wait := m.drawFate(dialer.RemoteAddr().(*net.TCPAddr).IP.String(), n.Index)
				if p.DropStreams {
					_, _ = io.Copy(io.Discard, dialer)
					return
				}
				time.Sleep(wait)
				server, err := net.DialTimeout("tcp", n.bind, time.Second)
				if err != nil {
					return
				}
				defer server.Close()
				_, _ = io.Copy(server, dialer)
			}()
		}
	}()
}

// View returns the member's view of the group; false if it does not answer.
func (n *Member) View() (v membership.View, ok bool) {
	resp, err := n.client.Get("http://" + n.Control + "/v1/members")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// StateOf returns the member's entry for a name: the live incarnation, or else the last one.
func (n *Member) StateOf(name string) (s membership.MemberView) {
	v, _ := n.View()
	for _, x := range v.Members {
		ended := func(x membership.MemberView) bool {
			return x.State == membership.StateDead || x.State == membership.StateLeft
		}
		if x.Name == name && (s.Name == "" || ended(s) || !ended(x)) {
			s = x
		}
	}
	return s
}

// Converged reports whether all running members have the same view, with only the running members in it.
func (m *Mesh) Converged() bool {
	digest, running := "", 0
	for _, n := range m.Members {
		if n.Running() {
			running++
		}
	}
	for _, n := range m.Members {
		if !n.Running() {
			continue
		}
		v, ok := n.View()
		if !ok || v.Size != running || digest != "" && v.Digest != digest {
			return false
		}
		digest = v.Digest
	}
	return true
}

// CollectFalseVerdicts collects, from all members until the context ends, verdicts that a healthy member is dead: one
// that neither ended nor was paused, as reported by healthy, nor was starved by its own counters (a busy machine may
// leave one without a processor for as long as a verdict takes). found returns the verdicts, after the context has
// ended.
func (m *Mesh) CollectFalseVerdicts(ctx context.Context, healthy func(name string) bool) (found func() []string) { //nolint:gocognit // to be split with its package, see docs/left.md
	type verdict struct {
		at   time.Time
		of   string
		text string
	}
	var mu sync.Mutex
	var all []verdict
	starved := map[string][]time.Time{}
	var wait sync.WaitGroup
	for _, n := range m.Members {
		wait.Go(func() {
			seen, selfID, starvedCount := 0, "", uint64(0)
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				v, ok := n.View()
				if !ok {
					continue
				}
				self := ""
				for _, x := range v.Members {
					if x.Self {
						self = x.ID
					}
				}
				if self != selfID {
					seen, selfID, starvedCount = 0, self, 0
				}
				mu.Lock()
				if now := v.Counts.Starved + v.Counts.Pauses; now > starvedCount {
					starved[n.Name()], starvedCount = append(starved[n.Name()], time.Now()), now
				}
				for i := max(0, len(v.Events)-(v.EventCount-seen)); i < len(v.Events); i++ {
					if e := v.Events[i]; e.Status == "dead" && healthy(e.Name) {
						at := time.Now().Add(-time.Duration(v.EventAgesS[i] * float64(time.Second)))
						all = append(all, verdict{at, e.Name, fmt.Sprintf("%s: %s %s: %s", n.Name(), e.Name, e.Status, e.Reason)})
					}
				}
				seen = v.EventCount
				mu.Unlock()
			}
		})
	}
	return func() (list []string) {
		wait.Wait()
		for _, x := range all {
			near := func(at time.Time) bool {
				return at.After(x.at.Add(-8*time.Second)) && at.Before(x.at.Add(2*time.Second))
			}
			if !slices.ContainsFunc(starved[x.of], near) {
				list = append(list, x.text)
			}
		}
		m.rig.T.Logf("%d dead verdicts on members that were not stopped, %d of them on members that were not starved either", len(all), len(list))
		return list
	}
}

var loopbackBlock = sync.OnceValue(func() int { return rand.IntN(200) })
