package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/controlplane/membership/transport"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/scale/hollow"
)

// A host is a process with some hundreds of hollow initiators. It reads orders as JSON, one a line, and answers each with one line.

// hollowSpec describes one hollow initiator.
type hollowSpec struct {
	Name, Region, Zone string
	Seed               uint64
	Module             bool
	Disk               bool   // whether it keeps a copy on disk
	Bind               string // its address as a member; empty if it is none
	Seeds              []string
}

// hostOrder is an order to a host, with the parameters of its action.
type hostOrder struct {
	Action       string `json:"Do"`
	Add          []hollowSpec
	ControlAddrs map[string]controlAddrs `json:"Ways"` // by region
	Initiators   int                     `json:"Crowd"`
	LastKnown    *targetlist.List        `json:"Known"`
	Dir          string
	Fleet        string
	Number       int
	Zone         string
	Seed         uint64
	SpreadS      float64
	Marks        []changeMark
}

// controlAddrs are the addresses of the control plane as a region's initiators use them.
type controlAddrs struct {
	Discovery string
	Agents    []string
	Relays    []relayAddr
}

type relayAddr struct{ ID, Region, Addr string }

// changeMark is a change whose arrival at each initiator is measured.
type changeMark struct {
	Lane          hollow.Stream
	Version       uint64
	VersionByName map[string]uint64 `json:"By,omitempty"` // by initiator, if each has a version of its own
	Region        string            `json:",omitempty"`   // Region, Zone and Name restrict the initiators that it is for; empty: all
	Zone          string            `json:",omitempty"`
	Name          string            `json:",omitempty"`
	At            time.Duration     // when the change was requested
	Primary       bool
}

// versionFor returns the version that the change has at an initiator, and false if it is not for that one.
func (m changeMark) versionFor(x hollowSpec) (uint64, bool) {
	if m.Region != "" && m.Region != x.Region || m.Zone != "" && m.Zone != x.Zone || m.Name != "" && m.Name != x.Name {
		return 0, false
	}
	if m.VersionByName == nil {
		return m.Version, true
	}
	v, found := m.VersionByName[x.Name]
	return v, found
}

// hostState is a host's answer to an order.
type hostState struct {
	Error          string
	Running        int
	Pending        int            // restarts to come
	Reached        int            // running initiators that have all marks of the order
	Behind         []string       `json:"Lags"`   // names of some that have not
	Violations     int            `json:"Broken"` // number of violations in the journals
	ViolationTexts []string       `json:"What"`   // descriptions of the first of them
	Names          []string       // initiators that the order applies to
	In, Out        int64          // bytes transferred by the clients of all its initiators
	RelayMoves     uint64         `json:"Moves"` // connection moves to other relays
	Latencies      map[string]int `json:"Done"`  // number of arrivals by lane and latency in whole milliseconds
	Last           []lastArrival  // one for each mark
	Missing        int            // pairs of an initiator and a mark that it has not reached
}

// lastArrival is the initiator that a mark reached last.
type lastArrival struct {
	Initiator string `json:"Who"`
	Ms        float64
	Lane      hollow.Stream
	Primary   bool
}

// host is the state of a host process. Orders are handled one at a time by ServeHost. The goroutines of restart read ctx and specs and count in pendingRestarts; connections count in traffic.
type host struct {
	ctx               context.Context
	initiators        []*hollow.Initiator
	specs             map[string]hollowSpec
	addrs             map[string]controlAddrs
	fleetSize         int
	lastKnown         *targetlist.List
	dir               string
	fleet             string
	traffic           byteCounter
	unreadConns       []net.Conn
	pendingRestarts   atomic.Int64 // restarts to come
	schedulerSettings policy.Settings
}

// settingsTemplate is the settings part of a configuration, as small as possible.
const settingsTemplate = `{"peersTotal":%d,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":5000000,"deadlineUs":20000000,
 "effect":"pure","worth":3}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "registryMode":"on_request","extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`

// ServeHost runs a host until its orders end.
func ServeHost(ctx context.Context, orders io.Reader, answers io.Writer) error {
	h := &host{ctx: ctx, specs: map[string]hollowSpec{}}
	debug.SetGCPercent(50) // trades processor time for memory, since memory limits the size of a run
	// All initiators of the process share this transport; real initiators, each in a process of its own, have one each.
	http.DefaultTransport = &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 16, IdleConnTimeout: 90 * time.Second,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{c, &h.traffic}, nil
		}}
	defer h.stop(h.initiators, true)
	in := bufio.NewReaderSize(orders, 1<<20)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil // the run has ended
		}
		var o hostOrder
		s := hostState{}
		if err := jsonFormat.Unmarshal(line, &o); err != nil {
			s.Error = err.Error()
		} else if err := h.handle(&o, &s); err != nil {
			s.Error = err.Error()
		}
		text, err := jsonFormat.Marshal(s)
		if err != nil {
			return err
		}
		if _, err := answers.Write(append(text, '\n')); err != nil {
			return err
		}
	}
}

func (h *host) handle(o *hostOrder, s *hostState) (err error) {
	switch o.Action {
	case "add":
		err = h.add(o)
	case "on":
		err = h.start(h.stopped(), o.SpreadS, o.Seed)
	case "off":
		h.stop(h.initiators, false)
	case "restart": // those with a copy on disk first, as real initiators have one when they restart
		some := h.pick(o)
		for _, in := range some {
			s.Names = append(s.Names, in.Name())
		}
		h.restart(some, o.SpreadS, o.Seed)
	case "deaf":
		err = h.openUnreadConns(o)
	case "hear":
		for _, c := range h.unreadConns {
			c.Close()
		}
		h.unreadConns = nil
	case "state":
		h.reportState(o, s)
	case "collect":
		h.reportLatencies(o, s)
	case "gc":
		runtime.GC()
		debug.FreeOSMemory()
	default:
		err = fmt.Errorf("unknown order %q", o.Action)
	}
	return err
}

func (h *host) add(o *hostOrder) error {
	if o.ControlAddrs != nil {
		h.addrs, h.fleetSize, h.lastKnown, h.dir, h.fleet = o.ControlAddrs, o.Initiators, o.LastKnown, o.Dir, o.Fleet
		var f config.PlatformSettings
		if err := jsonFormat.Unmarshal(fmt.Appendf(nil, settingsTemplate, max(1, o.Initiators)), &f); err != nil {
			return err
		}
		var err error
		if h.schedulerSettings, err = f.PolicySettings(); err != nil {
			return err
		}
	}
	for _, x := range o.Add {
		w, found := h.addrs[x.Region]
		if !found {
			return fmt.Errorf("unknown region %q", x.Region)
		}
		opt := hollow.Options{Name: x.Name, Region: x.Region, Zone: x.Zone, Seed: x.Seed, Discovery: w.Discovery, Initiators: h.fleetSize, LastKnown: h.lastKnown, Agents: w.Agents,
			Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))}
		if len(w.Relays) > 0 {
			opt.WatchStream = &distribution.FollowerOptions{Fleet: h.fleet, Name: x.Name, Region: x.Region, Zone: x.Zone, Seed: x.Seed, Log: opt.Log}
			for _, r := range w.Relays {
				opt.WatchStream.Relays = append(opt.WatchStream.Relays, watchstream.Relay{ID: r.ID, Region: r.Region, Addr: r.Addr})
			}
			if x.Disk {
				opt.WatchStream.Dir = filepath.Join(h.dir, x.Name+".data")
			}
		}
		if x.Module {
			opt.Policy = &h.schedulerSettings
		}
		if x.Bind != "" {
			opt.Members = &transport.Options{Name: x.Name, Bind: x.Bind, Zone: x.Zone, FleetKey: h.fleet, Seeds: x.Seeds, Config: membership.DefaultConfig, Log: opt.Log}
		}
		h.specs[x.Name] = x
		h.initiators = append(h.initiators, hollow.New(opt))
	}
	return nil
}

func (h *host) stopped() (some []*hollow.Initiator) {
	for _, in := range h.initiators {
		if !in.Running() {
			some = append(some, in)
		}
	}
	return some
}

// pick returns random running initiators, of a zone if the order names one, those with a copy on disk first.
func (h *host) pick(o *hostOrder) (some []*hollow.Initiator) {
	for _, in := range h.initiators {
		if in.Running() && (o.Zone == "" || h.specs[in.Name()].Zone == o.Zone) {
			some = append(some, in)
		}
	}
	rand.New(rand.NewPCG(o.Seed, 1)).Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	slices.SortStableFunc(some, func(a, b *hollow.Initiator) int {
		return btoi(h.specs[b.Name()].Disk) - btoi(h.specs[a.Name()].Disk)
	})
	if o.Number > 0 {
		some = some[:min(o.Number, len(some))]
	}
	return some
}

// start starts initiators at random times within spread seconds; 0 starts all at once.
func (h *host) start(some []*hollow.Initiator, spread float64, seed uint64) error {
	for i, at := range randomTimes(len(some), spread, seed) {
		if !h.sleepUntil(at) {
			return h.ctx.Err()
		}
		if err := some[i].Start(); err != nil {
			return fmt.Errorf("%s: %w", some[i].Name(), err)
		}
	}
	return nil
}

// randomTimes returns n random times within spread seconds from now, sorted.
func randomTimes(n int, spread float64, seed uint64) []time.Time {
	rng, now := rand.New(rand.NewPCG(seed, 2)), time.Now()
	at := make([]time.Time, n)
	for i := range at {
		at[i] = now.Add(time.Duration(rng.Float64() * spread * float64(time.Second)))
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

func (h *host) sleepUntil(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-h.ctx.Done():
		return false
	}
}

// restart stops and starts initiators, each at a random time within spread seconds. Copies on disk are kept. It returns at once; a goroutine for each initiator waits for
// its time and ends after the restart or with the context.
func (h *host) restart(some []*hollow.Initiator, spread float64, seed uint64) {
	h.pendingRestarts.Add(int64(len(some)))
	for i, at := range randomTimes(len(some), spread, seed) {
		go func() {
			defer h.pendingRestarts.Add(-1)
			if !h.sleepUntil(at) {
				return
			}
			some[i].Stop(true)
			some[i].Checker.RecordRestart(h.specs[some[i].Name()].Disk)
			if err := some[i].Start(); err != nil {
				fmt.Fprintln(os.Stderr, some[i].Name(), err)
			}
		}()
	}
}

func (h *host) stop(some []*hollow.Initiator, abrupt bool) {
	var all sync.WaitGroup
	for _, in := range some {
		all.Go(func() { in.Stop(abrupt) })
	}
	all.Wait()
}
