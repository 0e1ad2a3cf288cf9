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

// Passing is what becomes of messages from one member to another.
type PathImpairment struct {
	Loss          float64 // part of the datagrams that never arrives
	Duplication   float64 // part that arrives twice
	Delay         time.Duration
	Jitter        time.Duration // more, at random: datagrams overtake one another
	DropDatagrams bool          // none arrives
	DropStreams   bool          // nothing on streams arrives
}

// Cut is a way on which nothing passes.
var PathCut = PathImpairment{DropDatagrams: true, DropStreams: true}

// Mesh is instances that know each other, each behind a relay of its own that knows where a message comes from: every one has an address
// of the loopback to itself, from which it also dials.
type Mesh struct {
	rig          *Rig
	Members      []*Member
	mu           sync.Mutex
	rng          *rand.Rand
	defaultPath  PathImpairment            // of ways that have no rule of their own
	paths        map[[2]int]PathImpairment // from, to
	memberByHost map[string]int            // by the address dialled from
}

// Node is one of them.
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

// MeshOptions set one up.
type MeshOptions struct {
	Size       int
	ProbeMs    int
	Seeds      []int     // by whom all join; nil: the first three
	StartLater []int     // not started yet
	ClockRates []float64 // of clocks
	Zones      int
	Agents     *AgentGroup // nil: none
	Targets    *Targets    // nil: no list of targets
	FleetTOML  string      // TOML, under [fleet]
}

// Mesh starts the instances and their relays.
func (r *Rig) StartMesh(o MeshOptions) *Mesh {
	r.T.Helper()
	m := &Mesh{rig: r, rng: rand.New(rand.NewPCG(1, 2)), paths: map[[2]int]PathImpairment{}, memberByHost: map[string]int{}}
	if o.Seeds == nil {
		o.Seeds = []int{0, 1, 2}
	}
	ports := FreeAddrs(r.T, 3*o.Size)
	port := func(i int) string { return ports[i][strings.LastIndex(ports[i], ":"):] }
	for i := range o.Size {
		// A block of addresses for each test binary, so that two do not meet.
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

// Begin starts its process.
func (n *Member) Start() { n.Proc = n.rig.StartWith(n.Name(), nil, 0, n.env, n.args...) }

// Name is its name in the fleet.
func (n *Member) Name() string { return fmt.Sprint("m", n.Index) }

// Runs tells whether it has been started and has not ended.
func (n *Member) Running() bool { return n.Proc != nil && n.Alive() }

// Upgrade starts another process of the same name beside it, at the same inherited socket of its clients.
func (n *Member) Upgrade(socket *os.File, control string) *Member {
	next := *n
	next.Control = control
	next.Proc = n.rig.StartWith(n.Name()+"-next", []*os.File{socket}, 0, append(slices.Clone(n.env), "PROXY_SOCKET_FD=3", "PROXY_CONTROL="+control), n.args...)
	return &next
}

// Set has messages from one to another pass so from now on.
func (m *Mesh) SetPath(from, to int, p PathImpairment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paths[[2]int{from, to}] = p
}

// All has messages on all ways without a rule of their own pass so.
func (m *Mesh) SetDefaultPath(p PathImpairment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.defaultPath = p
}

// Heal lets everything pass.
func (m *Mesh) Heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.defaultPath = PathImpairment{}
	clear(m.paths)
}

// rule is that of a way, with draws of what becomes of one message.
func (m *Mesh) drawFate(from string, to int) (p PathImpairment, lost, twice bool, wait time.Duration) {
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

// relay stands in front of a member, for datagrams and streams.
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
			text := append([]byte(nil), b[:k]...)
			for range map[bool]int{false: 1, true: 2}[twice] {
				if wait == 0 {
					_, _ = packets.WriteTo(text, to)
				} else {
					time.AfterFunc(wait, func() { _, _ = packets.WriteTo(text, to) })
				}
				wait += p.Jitter / 2
			}
		}
	}()
	go func() {
		for {
			near, err := streams.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				near.SetDeadline(time.Now().Add(5 * time.Second))
				p, _, _, wait := m.drawFate(near.RemoteAddr().(*net.TCPAddr).IP.String(), n.Index)
				if p.DropStreams {
					_, _ = io.Copy(io.Discard, near)
					return
				}
				time.Sleep(wait)
				far, err := net.DialTimeout("tcp", n.bind, time.Second)
				if err != nil {
					return
				}
				defer far.Close()
				_, _ = io.Copy(far, near)
			}()
		}
	}()
}

// View is what a member knows; false where it does not answer.
func (n *Member) View() (v membership.View, ok bool) {
	resp, err := n.client.Get("http://" + n.Control + "/v1/members")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// State is what a member tells of the living or last life of another.
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

// Level tells whether all that run know the same, and just them.
func (m *Mesh) Converged() bool {
	digest, living := "", 0
	for _, n := range m.Members {
		if n.Running() {
			living++
		}
	}
	for _, n := range m.Members {
		if !n.Running() {
			continue
		}
		v, ok := n.View()
		if !ok || v.Size != living || digest != "" && v.Digest != digest {
			return false
		}
		digest = v.Digest
	}
	return true
}

// Falsely collects verdicts of death, by all members, on lives that are healthy until the context ends: that neither died nor stood still, as
// healthy tells, nor were starved, as they tell themselves (a busy machine may leave one without a processor for as long as a verdict takes).
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
			seen, birth, late := 0, "", uint64(0)
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
				if self != birth {
					seen, birth, late = 0, self, 0
				}
				mu.Lock()
				if now := v.Counts.Starved + v.Counts.Pauses; now > late {
					starved[n.Name()], late = append(starved[n.Name()], time.Now()), now
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
		m.rig.T.Logf("%d verdicts on members that were not stopped, %d of them on some that were not starved either", len(all), len(list))
		return list
	}
}

var loopbackBlock = sync.OnceValue(func() int { return rand.IntN(200) })
