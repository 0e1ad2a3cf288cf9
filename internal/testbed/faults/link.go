package faults

import (
	"net"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/testbed/ports"
)

// Way is what a link does with what passes in one direction. The zero value lets it through.
type Impairment struct {
	Delay time.Duration // of each piece
	Rate  int           // bytes a second; 0: any
	Hold  bool          // nothing passes until it is taken back; what came meanwhile then does, late, as TCP's repeats would
	Drop  bool          // what comes is lost; the connection cannot go on after that, and is reset once Drop is taken back
}

// Link is a directed link between two processes: whoever dials Addr reaches the other through it. There is one for each
// direction of dialling, and each has two ways, since what is asked and what is answered can fail apart.
type Link struct {
	From, To string
	Addr     string
	to       string
	listener net.Listener

	mu      sync.Mutex
	forward Impairment // from the one who dials
	reverse Impairment
	cut     bool
	conns   map[*linkConn]bool
	changed chan struct{} // closed and renewed at each change
	bytes   [2]int64
}

// passage is one connection through a link.
type linkConn struct {
	dialer, server net.Conn
	dropped        bool // something of it was dropped
}

// Link returns a link to addr that lets everything through.
func (r *Rig) StartLink(from, to, addr string) *Link {
	r.T.Helper()
	l, err := NewLink(from, to, addr)
	if err != nil {
		r.T.Fatal(err)
	}
	r.T.Cleanup(l.Close)
	return l
}

// NewLink returns a link outside a test.
func NewLink(from, to, addr string) (*Link, error) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{From: from, To: to, Addr: at.Addr().String(), to: addr, listener: at, conns: map[*linkConn]bool{}, changed: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Set has the link treat the two ways so from now on, and lets new connections through.
func (k *Link) Set(there, back Impairment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.forward.Drop && !there.Drop || k.reverse.Drop && !back.Drop {
		for p := range k.conns {
			if p.dropped {
				p.reset()
			}
		}
	}
	k.forward, k.reverse, k.cut = there, back, false
	k.notifyChange()
}

// Heal lets everything through again.
func (k *Link) Heal() { k.Set(Impairment{}, Impairment{}) }

// Cut resets all connections and takes no new ones.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = true
	k.resetAll()
}

// Reset resets all connections; new ones are taken.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetAll()
}

// Passed is how many bytes went through, from the one who dials and back.
func (k *Link) BytesPassed() (there, back int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes[0], k.bytes[1]
}

// Close ends the link.
func (k *Link) Close() {
	k.listener.Close()
	k.Cut()
}

func (k *Link) resetAll() {
	for p := range k.conns {
		p.reset()
	}
	k.notifyChange()
}

func (k *Link) notifyChange() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (p *linkConn) reset() {
	for _, c := range []net.Conn{p.dialer, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

func (k *Link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serveConn(near)
	}
}

func (k *Link) serveConn(near net.Conn) {
	p := &linkConn{dialer: near}
	far, err := net.DialTimeout("tcp", k.to, 5*time.Second)
	if err == nil {
		p.server = far
	}
	k.mu.Lock()
	if k.cut || err != nil {
		p.reset()
		k.mu.Unlock()
		return
	}
	k.conns[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.copyDirection(p, 0) })
	both.Go(func() { k.copyDirection(p, 1) })
	both.Wait()
	near.Close()
	far.Close()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// piece is what came at one time.
type chunk struct {
	b       []byte
	arrived time.Time
}

// copy carries one way of a connection. What is read waits in line with the time that it came, so that a delay is that
// delay for each piece and not for the sum of them.
func (k *Link) copyDirection(p *linkConn, way int) {
	from, to := p.dialer, p.server
	if way == 1 {
		from, to = p.server, p.dialer
	}
	line := make(chan chunk, 1024)
	go func() {
		defer close(line)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				line <- chunk{b[:n], time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range line {
		if !k.waitToPass(p, way, c) {
			continue
		}
		if _, err := to.Write(c.b); err != nil {
			break
		}
		k.mu.Lock()
		k.bytes[way] += int64(len(c.b))
		k.mu.Unlock()
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range line { // until the reader sees the end of it
	}
}

// wait waits until a piece is to pass; false where it is lost.
func (k *Link) waitToPass(p *linkConn, way int, c chunk) bool {
	paid := time.Duration(0) // of the rate
	for {
		k.mu.Lock()
		w, changed := [2]Impairment{k.forward, k.reverse}[way], k.changed
		alive := k.conns[p] && !k.cut
		if w.Drop {
			p.dropped = true
		}
		k.mu.Unlock()
		if w.Drop || !alive {
			return false
		}
		due := time.Until(c.arrived.Add(w.Delay))
		if w.Rate > 0 {
			due = max(due, 0) + time.Duration(len(c.b))*time.Second/time.Duration(w.Rate) - paid
		}
		if !w.Hold && due <= 0 {
			return true
		}
		if w.Hold {
			<-changed
			continue
		}
		began := time.Now()
		select {
		case <-time.After(due):
			return !p.dropped
		case <-changed:
			paid += time.Since(began)
		}
	}
}

// FreeAddrs finds ports of the loopback that nobody listens on, each only once.
func FreeAddrs(t testing.TB, n int) []string {
	t.Helper()
	addrs, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}
