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
type Passing struct {
	Loss      float64 // part of the datagrams that never arrives
	Twice     float64 // part that arrives twice
	Delay     time.Duration
	Jitter    time.Duration // more, at random: datagrams overtake one another
	Datagrams bool          // none arrives
	Streams   bool          // nothing on streams arrives
}

// Cut is a way on which nothing passes.
var Cut = Passing{Datagrams: true, Streams: true}

// Mesh is instances that know each other, each behind a relay of its own that knows where a message comes from: every one has an address
// of the loopback to itself, from which it also dials.
type Mesh struct {
	rig   *Rig
	Nodes []*Node
	mu    sync.Mutex
	rng   *rand.Rand
	all   Passing            // of ways that have no rule of their own
	ways  map[[2]int]Passing // from, to
	at    map[string]int     // by the address dialled from
}

// Node is one of them.
type Node struct {
	*Proc
	rig       *Rig
	N         int
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
	Size    int
	ProbeMs int
	Seeds   []int     // by whom all join; nil: the first three
	Later   []int     // not started yet
	Rates   []float64 // of clocks
	Zones   int
	Agents  *Agents  // nil: none
	Targets *Targets // nil: no list of targets
	More    string   // TOML, under [fleet]
}

// Mesh starts the instances and their relays.
func (r *Rig) Mesh(o MeshOptions) *Mesh {
	r.T.Helper()
	m := &Mesh{rig: r, rng: rand.New(rand.NewPCG(1, 2)), ways: map[[2]int]Passing{}, at: map[string]int{}}
	if o.Seeds == nil {
		o.Seeds = []int{0, 1, 2}
	}
	ports := FreeAddrs(r.T, 3*o.Size)
	port := func(i int) string { return ports[i][strings.LastIndex(ports[i], ":"):] }
	for i := range o.Size {
		// A block of addresses for each test binary, so that two do not meet.
		net := fmt.Sprintf("127.%d", 16+nets())
		n := &Node{rig: r, N: i, Control: ports[i], bind: fmt.Sprintf("%s.1.%d%s", net, i+1, port(o.Size+i)), advertise: fmt.Sprintf("%s.2.%d%s", net, i+1, port(2*o.Size+i)),
			Zone: fmt.Sprint("z", i%max(o.Zones, 1)), client: http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
		m.Nodes = append(m.Nodes, n)
		host, _, _ := strings.Cut(n.bind, ":")
		m.at[host] = i
	}
	listens := FreeAddrs(r.T, o.Size)
	discovery := "127.0.0.1:9"
	if o.Targets != nil {
		discovery = o.Targets.Discovery
	}
	for i, n := range m.Nodes {
		m.relay(n)
		var seeds []string
		for _, s := range o.Seeds {
			seeds = append(seeds, fmt.Sprintf("%q", m.Nodes[s].advertise))
		}
		file := r.File(fmt.Sprintf("m%d.json", i), fmt.Sprintf(`{"name":"m%d","listen":%q,"control":%q,"discovery":%q,"settings":{"peersTotal":%d,"tickUs":2000,
 "classes":[{"name":"position-read","promiseUs":100000,"deadlineUs":200000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, i, listens[i], n.Control, discovery, o.Size))
		fleet := "[fleet]\n" + o.More
		if o.Agents != nil {
			var agents []string
			for _, a := range o.Agents.API {
				agents = append(agents, fmt.Sprintf("%q", a))
			}
			fleet += "agents = [" + strings.Join(agents, ", ") + "]\n"
		}
		toml := r.File(fmt.Sprintf("m%d.toml", i), fleet+fmt.Sprintf("[fleet.members]\nbind = %q\nadvertise = %q\nseeds = [%s]\nzone = %q\nkey = \"k\"\nprobe_ms = %d\ntimeout_ms = %d\npause_ms = %d\ncompare_ms = %d\n",
			n.bind, n.advertise, strings.Join(seeds, ", "), n.Zone, o.ProbeMs, o.ProbeMs*3/10, 2*o.ProbeMs, 10*o.ProbeMs))
		env := []string{"PROXY_CONFIG=" + file, "GOMAXPROCS=1"}
		if len(o.Rates) > 0 {
			env = append(env, fmt.Sprint("SPINDLEHITCH_CLOCK_RATE=", o.Rates[i%len(o.Rates)]))
		}
		n.env, n.args, n.listen = env, []string{"serve", "--operator", toml}, listens[i]
		if !slices.Contains(o.Later, i) {
			n.Begin()
		}
	}
	return m
}

// Begin starts its process.
func (n *Node) Begin() { n.Proc = n.rig.StartWith(n.Name(), nil, 0, n.env, n.args...) }

// Name is its name in the fleet.
func (n *Node) Name() string { return fmt.Sprint("m", n.N) }

// Runs tells whether it has been started and has not ended.
func (n *Node) Runs() bool { return n.Proc != nil && n.Alive() }

// Upgrade starts another process of the same name beside it, at the same inherited socket of its clients.
func (n *Node) Upgrade(socket *os.File, control string) *Node {
	next := *n
	next.Control = control
	next.Proc = n.rig.StartWith(n.Name()+"-next", []*os.File{socket}, 0, append(slices.Clone(n.env), "PROXY_SOCKET_FD=3", "PROXY_CONTROL="+control), n.args...)
	return &next
}

// Set has messages from one to another pass so from now on.
func (m *Mesh) Set(from, to int, p Passing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ways[[2]int{from, to}] = p
}

// All has messages on all ways without a rule of their own pass so.
func (m *Mesh) All(p Passing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = p
}

// Heal lets everything pass.
func (m *Mesh) Heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = Passing{}
	clear(m.ways)
}

// rule is that of a way, with draws of what becomes of one message.
func (m *Mesh) rule(from string, to int) (p Passing, lost, twice bool, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, own := m.ways[[2]int{m.at[from], to}]
	if !own {
		p = m.all
	}
	wait = p.Delay
	if p.Jitter > 0 {
		wait += time.Duration(m.rng.Int64N(int64(p.Jitter)))
	}
	return p, m.rng.Float64() < p.Loss, m.rng.Float64() < p.Twice, wait
}

// relay stands in front of a member, for datagrams and streams.
func (m *Mesh) relay(n *Node) { //nolint:gocognit // to be split with its package, see docs/left.md
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
			p, lost, twice, wait := m.rule(from.(*net.UDPAddr).IP.String(), n.N)
			if p.Datagrams || lost {
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
				p, _, _, wait := m.rule(near.RemoteAddr().(*net.TCPAddr).IP.String(), n.N)
				if p.Streams {
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
func (n *Node) View() (v membership.View, ok bool) {
	resp, err := n.client.Get("http://" + n.Control + "/v1/members")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// State is what a member tells of the living or last life of another.
func (n *Node) State(name string) (s membership.MemberView) {
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
func (m *Mesh) Level() bool {
	digest, living := "", 0
	for _, n := range m.Nodes {
		if n.Runs() {
			living++
		}
	}
	for _, n := range m.Nodes {
		if !n.Runs() {
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
func (m *Mesh) Falsely(ctx context.Context, healthy func(name string) bool) (found func() []string) { //nolint:gocognit // to be split with its package, see docs/left.md
	type verdict struct {
		at   time.Time
		of   string
		text string
	}
	var mu sync.Mutex
	var all []verdict
	starved := map[string][]time.Time{}
	var wait sync.WaitGroup
	for _, n := range m.Nodes {
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

var nets = sync.OnceValue(func() int { return rand.IntN(200) })
