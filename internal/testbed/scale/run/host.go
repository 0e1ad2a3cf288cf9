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

// A host is a process with some hundreds of hollow initiators. It takes orders, one a line, and answers each with one line.

// hollowSpec is one of its initiators.
type hollowSpec struct {
	Name, Region, Zone string
	Seed               uint64
	Module             bool
	Disk               bool   // it keeps a copy there
	Bind               string // as a member; empty: it is none
	Seeds              []string
}

// order is what a host is to do.
type order struct {
	Do      string
	Add     []hollowSpec
	Ways    map[string]ways // by region: where control is met from there
	Crowd   int
	Known   *targetlist.List
	Dir     string
	Fleet   string
	Number  int
	Zone    string
	Seed    uint64
	SpreadS float64
	Marks   []mark
}

// ways is how a region's initiators meet control.
type ways struct {
	Discovery string
	Agents    []string
	Relays    []relayAt
}

type relayAt struct{ ID, Region, Addr string }

// mark is a change whose way to all is told.
type mark struct {
	Lane    hollow.Lane
	Version uint64
	By      map[string]uint64 `json:",omitempty"` // where each initiator has a version of its own
	Region  string            `json:",omitempty"` // whom it is for: of a region, a zone, of that name; empty: all
	Zone    string            `json:",omitempty"`
	Name    string            `json:",omitempty"`
	At      time.Duration     // when it was made
	Primary bool
}

// of is the version of an initiator that a mark is for.
func (m mark) of(x hollowSpec) (uint64, bool) {
	if m.Region != "" && m.Region != x.Region || m.Zone != "" && m.Zone != x.Zone || m.Name != "" && m.Name != x.Name {
		return 0, false
	}
	if m.By == nil {
		return m.Version, true
	}
	v, there := m.By[x.Name]
	return v, there
}

// state is a host's answer to most orders.
type state struct {
	Error   string
	Running int
	Pending int            // restarts to come
	Reached int            // of those that run, how many have all marks asked about
	Lags    []string       // some that have not
	Broken  int            // promises
	What    []string       // the first of them
	Names   []string       // whom the order was about
	In, Out int64          // bytes through the clients of all its initiators
	Moves   uint64         // to other relays
	Done    map[string]int // by lane and whole milliseconds: how many had a change by then
	Last    []last         // by mark
	Missing int            // pairs of initiator and mark that were not reached
}

// last is who had a mark last.
type last struct {
	Who     string
	Ms      float64
	Lane    hollow.Lane
	Primary bool
}

// host is such a process.
type host struct {
	ctx     context.Context
	all     []*hollow.Initiator
	spec    map[string]hollowSpec
	ways    map[string]ways
	crowd   int
	known   *targetlist.List
	dir     string
	fleet   string
	wire    counted
	deaf    []net.Conn
	pending atomic.Int64 // restarts to come
	module  policy.Settings
}

// settings is a configuration's, as light as one can be.
const settings = `{"peersTotal":%d,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":5000000,"deadlineUs":20000000,
 "effect":"pure","worth":3}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "registryMode":"on_request","extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`

// Host runs one until its orders end.
func Host(ctx context.Context, orders io.Reader, answers io.Writer) error {
	h := &host{ctx: ctx, spec: map[string]hollowSpec{}}
	debug.SetGCPercent(50) // processor time for memory: the run is bounded by memory first
	// All initiators of the process share this transport, where a process of its own would have one for each.
	http.DefaultTransport = &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 16, IdleConnTimeout: 90 * time.Second,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &h.wire}, nil
		}}
	defer h.stop(h.all, true)
	in := bufio.NewReaderSize(orders, 1<<20)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil // whoever gives the orders has ended
		}
		var o order
		s := state{}
		if err := format.Unmarshal(line, &o); err != nil {
			s.Error = err.Error()
		} else if err := h.do(&o, &s); err != nil {
			s.Error = err.Error()
		}
		text, err := format.Marshal(s)
		if err != nil {
			return err
		}
		if _, err := answers.Write(append(text, '\n')); err != nil {
			return err
		}
	}
}

func (h *host) do(o *order, s *state) (err error) {
	switch o.Do {
	case "add":
		err = h.add(o)
	case "on":
		err = h.start(h.stopped(), o.SpreadS, o.Seed)
	case "off":
		h.stop(h.all, false)
	case "restart": // those that have something on disk first, as initiators do that are restarted
		some := h.some(o)
		for _, in := range some {
			s.Names = append(s.Names, in.Name())
		}
		h.restart(some, o.SpreadS, o.Seed)
	case "deaf":
		err = h.deafen(o)
	case "hear":
		for _, c := range h.deaf {
			c.Close()
		}
		h.deaf = nil
	case "state":
		h.state(o, s)
	case "collect":
		h.collect(o, s)
	case "gc":
		runtime.GC()
		debug.FreeOSMemory()
	default:
		err = fmt.Errorf("order %q is not known", o.Do)
	}
	return err
}

func (h *host) add(o *order) error {
	if o.Ways != nil {
		h.ways, h.crowd, h.known, h.dir, h.fleet = o.Ways, o.Crowd, o.Known, o.Dir, o.Fleet
		var f config.PlatformSettings
		if err := format.Unmarshal(fmt.Appendf(nil, settings, max(1, o.Crowd)), &f); err != nil {
			return err
		}
		var err error
		if h.module, err = f.PolicySettings(); err != nil {
			return err
		}
	}
	for _, x := range o.Add {
		w, there := h.ways[x.Region]
		if !there {
			return fmt.Errorf("region %q is not known", x.Region)
		}
		opt := hollow.Options{Name: x.Name, Region: x.Region, Zone: x.Zone, Seed: x.Seed, Discovery: w.Discovery, Crowd: h.crowd, Known: h.known, Agents: w.Agents,
			Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))}
		if len(w.Relays) > 0 {
			opt.Feed = &distribution.FollowerOptions{Fleet: h.fleet, Name: x.Name, Region: x.Region, Zone: x.Zone, Seed: x.Seed, Log: opt.Log}
			for _, r := range w.Relays {
				opt.Feed.Relays = append(opt.Feed.Relays, watchstream.Relay{ID: r.ID, Region: r.Region, Addr: r.Addr})
			}
			if x.Disk {
				opt.Feed.Dir = filepath.Join(h.dir, x.Name+".data")
			}
		}
		if x.Module {
			opt.Module = &h.module
		}
		if x.Bind != "" {
			opt.Members = &transport.Options{Name: x.Name, Bind: x.Bind, Zone: x.Zone, FleetKey: h.fleet, Seeds: x.Seeds, Config: membership.DefaultConfig, Log: opt.Log}
		}
		h.spec[x.Name] = x
		h.all = append(h.all, hollow.New(opt))
	}
	return nil
}

func (h *host) stopped() (some []*hollow.Initiator) {
	for _, in := range h.all {
		if !in.Running() {
			some = append(some, in)
		}
	}
	return some
}

// some are initiators by chance, of a zone where one is named.
func (h *host) some(o *order) (some []*hollow.Initiator) {
	for _, in := range h.all {
		if in.Running() && (o.Zone == "" || h.spec[in.Name()].Zone == o.Zone) {
			some = append(some, in)
		}
	}
	rand.New(rand.NewPCG(o.Seed, 1)).Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	slices.SortStableFunc(some, func(a, b *hollow.Initiator) int {
		return btoi(h.spec[b.Name()].Disk) - btoi(h.spec[a.Name()].Disk)
	})
	if o.Number > 0 {
		some = some[:min(o.Number, len(some))]
	}
	return some
}

// start starts initiators, spread over a time; none: all at once.
func (h *host) start(some []*hollow.Initiator, spread float64, seed uint64) error {
	for i, at := range moments(len(some), spread, seed) {
		if !h.until(at) {
			return h.ctx.Err()
		}
		if err := some[i].Start(); err != nil {
			return fmt.Errorf("%s: %w", some[i].Name(), err)
		}
	}
	return nil
}

// moments are so many by chance within a time from now on, in order.
func moments(n int, spread float64, seed uint64) []time.Time {
	rng, now := rand.New(rand.NewPCG(seed, 2)), time.Now()
	at := make([]time.Time, n)
	for i := range at {
		at[i] = now.Add(time.Duration(rng.Float64() * spread * float64(time.Second)))
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

func (h *host) until(at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-h.ctx.Done():
		return false
	}
}

// restart has initiators end and start again, each at its moment; what they had on disk is kept. It goes on after it has returned.
func (h *host) restart(some []*hollow.Initiator, spread float64, seed uint64) {
	h.pending.Add(int64(len(some)))
	for i, at := range moments(len(some), spread, seed) {
		go func() {
			defer h.pending.Add(-1)
			if !h.until(at) {
				return
			}
			some[i].Stop(true)
			some[i].Journal.Lives(h.spec[some[i].Name()].Disk)
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
