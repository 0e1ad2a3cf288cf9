// Package transport is an instance's edge of the membership: sockets, the clock, the encoding and the log around one machine, which one
// goroutine alone touches.
package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/process/monotone"
)

const (
	mostFrame   = 4 << 10 // bytes of one message
	mostStreams = 32      // taken at a time
	mostDials   = 16
	streamFor   = 2 * time.Second // a stream may take in all
	leaveFor    = time.Second     // to have it told that the member leaves
	rebindEvery = time.Second
	mostWaiting = 1024 // messages that came and were not read yet
)

// Options set up one member.
type Options struct {
	Name, Bind, Advertise, Zone string
	Key                         string
	Seeds                       []string
	Settings                    membership.Settings
	Shared                      bool // a predecessor may still hold the address: another port is taken until it is free
	Log                         *slog.Logger
}

// Peers is the member of one process.
type Peers struct {
	opt   Options
	about func() (load uint16, agent string)
	birth uint64
	m     *membership.Machine
	in    chan came
	do    chan func()
	box   *sockets
	dials chan struct{}
	enc   cbor.EncMode
	dec   cbor.DecMode
	stop  context.CancelFunc
	ended chan struct{}

	bad, lost, sent, bytes atomic.Int64
	foreign                sync.Once
	agents                 atomic.Pointer[[]string]
	verdicts               atomic.Pointer[[]membership.Verdict]
	seen                   int
	alone                  string
}

type came struct {
	*membership.Message
	via membership.Via
}

// sockets is where a member is reached.
type sockets struct {
	packet net.PacketConn
	stream net.Listener
	bound  string
}

func listenAt(addr string) (*sockets, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	return &sockets{p, l, l.Addr().String()}, nil
}

func (s *sockets) close() {
	s.packet.Close()
	s.stream.Close()
}

// New checks what the files can't; it listens nowhere yet.
func New(opt Options) (*Peers, error) {
	if len(opt.Name) > membership.MostText {
		return nil, fmt.Errorf("name: %d bytes are too long for fleet.members, %d at most", len(opt.Name), membership.MostText)
	}
	if opt.Advertise == "" {
		opt.Advertise = opt.Bind
	}
	opt.Settings.Fleet = xxhash.Sum64String(opt.Key)
	p := &Peers{opt: opt, in: make(chan came, mostWaiting), do: make(chan func()), dials: make(chan struct{}, mostDials)}
	var err error
	if p.enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	p.dec, err = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 128, MaxMapPairs: 64, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	return p, err
}

// About sets what the member tells of itself, asked for once in a period. It must be called before Start.
func (p *Peers) About(f func() (load uint16, agent string)) { p.about = f }

// Start listens, and begins a life.
func (p *Peers) Start(context.Context) error {
	box, err := listenAt(p.opt.Bind)
	at := p.opt.Advertise
	if err != nil && p.opt.Shared {
		host, _, _ := net.SplitHostPort(p.opt.Bind)
		if box, err = listenAt(net.JoinHostPort(host, "0")); err == nil {
			at = box.bound
		}
	}
	if err != nil {
		return fmt.Errorf("operator's file: fleet.members.bind: %w", err)
	}
	p.birth = rand.Uint64() | 1
	now := monotone.Now()
	p.m = membership.New(p.opt.Settings, p.birth, membership.Info{Name: p.opt.Name, Addr: at, Zone: p.opt.Zone}, p.opt.Seeds, now,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	p.ended = make(chan struct{})
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	p.take(box)
	p.opt.Log.Info("member", slog.String("reason", "MEMBER_STARTED"), slog.String("name", p.opt.Name), slog.String("addr", at),
		slog.String("birth", fmt.Sprintf("%016x", p.birth)))
	go p.run(ctx)
	return nil
}

// take has a member be reached at sockets, in place of those before.
func (p *Peers) take(box *sockets) {
	if p.box != nil {
		p.box.close()
	}
	p.box = box
	go p.datagrams(box.packet)
	go p.streams(box.stream)
}

// run is the one goroutine that touches the machine.
func (p *Peers) run(ctx context.Context) {
	defer close(p.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	about := time.NewTicker(max(p.opt.Settings.Period, 100*time.Millisecond))
	defer about.Stop()
	var rebind <-chan time.Time
	if p.box.bound != p.opt.Bind {
		t := time.NewTicker(rebindEvery)
		defer t.Stop()
		rebind = t.C
	}
	for {
		select {
		case <-ctx.Done():
			p.box.close()
			return
		case <-timer.C:
			p.send(p.m.Tick(monotone.Now()))
		case x := <-p.in:
			// The clock first: after a pause, what waits here must not be read as if it had just come.
			if now := monotone.Now(); now >= p.m.Next() {
				p.send(p.m.Tick(now))
			}
			if x.Fleet != p.opt.Settings.Fleet {
				p.foreign.Do(func() {
					p.opt.Log.Warn("messages of another fleet", slog.String("reason", "MEMBERS_FOREIGN"), slog.String("from", x.From.Info.Addr))
				})
			}
			p.send(p.m.Receive(monotone.Now(), x.Message, x.via))
		case f := <-p.do:
			f()
		case <-about.C:
			if p.about != nil {
				p.m.Tell(p.about())
			}
			p.publish()
		case <-rebind:
			if box, err := listenAt(p.opt.Bind); err == nil {
				p.take(box)
				p.m.Move(p.opt.Advertise)
				rebind = nil
				p.opt.Log.Info("member moved", slog.String("reason", "MEMBER_MOVED"), slog.String("addr", p.opt.Advertise))
			}
		}
		p.report()
		timer.Reset(max(0, p.m.Next()-monotone.Now()))
	}
}

// publish leaves what others of this process read.
func (p *Peers) publish() {
	agents, verdicts := p.m.Agents(), p.m.Ended(membership.MostRecords)
	p.agents.Store(&agents)
	p.verdicts.Store(&verdicts)
}

// report logs what has changed.
func (p *Peers) report() {
	now := monotone.Now()
	events, ever := p.m.Changed()
	for _, e := range events[max(0, len(events)-(ever-p.seen)):] {
		level, reason := slog.LevelInfo, "MEMBER_"
		switch e.To {
		case "dead", "cut":
			level = slog.LevelWarn
		case "suspect", "alone":
			continue
		}
		p.opt.Log.Log(context.Background(), level, "member", slog.String("reason", reason+strings.ToUpper(e.To)), slog.String("name", e.Name),
			slog.String("birth", fmt.Sprintf("%016x", e.Birth)), slog.Uint64("incarnation", uint64(e.Inc)), slog.String("why", e.Why))
	}
	p.seen = ever
	if alone := p.m.Alone(now); alone != p.alone {
		if p.alone = alone; alone != "" {
			p.opt.Log.Warn("no verdicts", slog.String("reason", "MEMBERS_ALONE"), slog.String("why", alone))
		} else {
			p.opt.Log.Info("heard again", slog.String("reason", "MEMBERS_HEARD"))
		}
	}
}

// inspect has a question answered on the machine's goroutine; false: it has ended.
func (p *Peers) inspect(f func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case p.do <- func() { f(monotone.Now()); close(done) }:
		<-done
		return true
	case <-p.ended:
		return false
	}
}

// View tells what this member knows of all.
func (p *Peers) View() (v membership.View, ok bool) {
	ok = p.inspect(func(now time.Duration) { v = p.m.View(now) })
	return v, ok
}

// Agents are those that have answered other members lately.
func (p *Peers) Agents() []string {
	if l := p.agents.Load(); l != nil {
		return *l
	}
	return nil
}

// Ended are the names that this member holds dead or gone, a bounded number, a period old at most.
func (p *Peers) Ended() []membership.Verdict {
	if l := p.verdicts.Load(); l != nil {
		return *l
	}
	return nil
}

// Tell tells the numbers of the membership.
func (p *Peers) Tell(to statsd.ExtendedStatSender) {
	p.inspect(func(now time.Duration) {
		v := p.m.View(now)
		count := map[membership.State]int64{}
		for _, m := range v.Members {
			count[m.State]++
		}
		to.Gauge("fleet.members.living", int64(v.Size), 1)
		for _, s := range []membership.State{membership.IsUnsure, membership.IsDead, membership.IsCut, membership.IsSlow} {
			to.Gauge("fleet.members."+string(s), count[s], 1)
		}
		to.Gauge("fleet.members.doubt", int64(v.Score), 1)
		to.Inc("fleet.members.sent", p.sent.Load(), 1)
		to.Inc("fleet.members.sent_bytes", p.bytes.Load(), 1)
		to.Inc("fleet.members.lost", p.lost.Load(), 1)
		to.Inc("fleet.members.bad", p.bad.Load(), 1)
		to.Inc("fleet.members.stale", int64(v.Counts.Stale+v.Counts.Foreign+v.Counts.Misdirected+v.Counts.Limited+v.Counts.Absurd), 1)
		to.Inc("fleet.members.refuted", int64(v.Counts.Refuted), 1)
		to.Inc("fleet.members.pauses", int64(v.Counts.Pauses), 1)
	})
}

// Stop tells others that the member leaves, and ends it.
func (p *Peers) Stop(within context.Context) error {
	ctx, done := context.WithTimeout(within, leaveFor)
	defer done()
	heard := false
	p.inspect(func(now time.Duration) {
		p.send(p.m.Leave(now))
		heard = p.m.Size() == 1
	})
	for !heard && ctx.Err() == nil {
		p.inspect(func(time.Duration) { heard = p.m.LeaveHeard() })
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
	p.stop()
	<-p.ended
	return nil
}

// send puts messages on their ways; what can't go is lost, as it may be on any way.
func (p *Peers) send(list []membership.Send) {
	streams := map[string][]byte{}
	for _, s := range list {
		b, err := p.enc.Marshal(s.Message)
		if err != nil || len(b) > mostFrame {
			p.lost.Add(1)
			continue
		}
		p.sent.Add(1)
		p.bytes.Add(int64(len(b)))
		if s.Via == membership.Stream {
			streams[s.Addr] = append(binary.BigEndian.AppendUint16(streams[s.Addr], uint16(len(b))), b...)
			continue
		}
		to, err := net.ResolveUDPAddr("udp", s.Addr)
		if err == nil {
			_, err = p.box.packet.WriteTo(b, to)
		}
		if err != nil {
			p.lost.Add(1)
		}
	}
	from, _, _ := net.SplitHostPort(p.box.bound)
	for addr, b := range streams {
		select {
		case p.dials <- struct{}{}:
			go func() {
				defer func() { <-p.dials }()
				if err := dial(from, addr, b); err != nil {
					p.lost.Add(1)
				}
			}()
		default:
			p.lost.Add(1)
		}
	}
}

func dial(from, addr string, b []byte) error {
	d := net.Dialer{Timeout: streamFor, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(streamFor))
	_, err = c.Write(b)
	return err
}

// arrive has a message read, if it is one.
func (p *Peers) arrive(b []byte, via membership.Via) {
	x := &membership.Message{}
	if err := p.dec.Unmarshal(b, x); err != nil || x.Check() != nil {
		p.bad.Add(1)
		return
	}
	select {
	case p.in <- came{x, via}:
	default:
		p.lost.Add(1)
	}
}

func (p *Peers) datagrams(c net.PacketConn) {
	b := make([]byte, 64<<10)
	for {
		n, _, err := c.ReadFrom(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
		case n > mostFrame:
			p.bad.Add(1)
		default:
			p.arrive(b[:n], membership.Datagram)
		}
	}
}

func (p *Peers) streams(l net.Listener) {
	room := make(chan struct{}, mostStreams)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case room <- struct{}{}:
		default:
			c.Close()
			p.lost.Add(1)
			continue
		}
		go func() {
			defer func() { c.Close(); <-room }()
			c.SetDeadline(time.Now().Add(streamFor))
			var head [2]byte
			for {
				if _, err := io.ReadFull(c, head[:]); err != nil {
					return
				}
				b := make([]byte, binary.BigEndian.Uint16(head[:]))
				if len(b) > mostFrame {
					p.bad.Add(1)
					return
				}
				if _, err := io.ReadFull(c, b); err != nil {
					return
				}
				p.arrive(b, membership.Stream)
			}
		}()
	}
}
