package faults

import (
	"net"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/testbed/ports"
)

// Impairment is how a link impairs the traffic in one direction. The zero value passes everything.
type Impairment struct {
	Delay time.Duration // of each chunk read
	Rate  int           // bytes a second; 0: unlimited
	Hold  bool          // traffic is held back and passes late once Hold is cleared, as TCP retransmissions would
	Drop  bool          // traffic is lost; the connection cannot continue after that and is reset once Drop is cleared
}

// Link is a proxy for one direction of dialing between two processes: a connection to Addr is forwarded to the other
// process. The two directions of traffic are impaired separately, since requests and responses can fail separately. mu
// guards the fields below it.
type Link struct {
	From, To string
	Addr     string
	to       string
	listener net.Listener

	mu      sync.Mutex
	forward Impairment // from the dialing side
	reverse Impairment
	cut     bool
	conns   map[*linkConn]bool
	changed chan struct{} // closed and replaced at each change, to wake waiting copies
	bytes   [2]int64
}

// linkConn is one connection through a link.
type linkConn struct {
	dialer, server net.Conn
	dropped        bool // some of its traffic was dropped
}

// StartLink returns a link to addr that passes everything; it ends with the test.
func (r *Rig) StartLink(from, to, addr string) *Link {
	r.T.Helper()
	l, err := NewLink(from, to, addr)
	if err != nil {
		r.T.Fatal(err)
	}
	r.T.Cleanup(l.Close)
	return l
}

// NewLink returns a link outside a test. The caller must close it.
func NewLink(from, to, addr string) (*Link, error) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{From: from, To: to, Addr: tcpListener.Addr().String(), to: addr, listener: tcpListener, conns: map[*linkConn]bool{}, changed: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Set sets the impairments of both directions and undoes Cut. Connections that lost data are reset once it no longer
// drops.
func (k *Link) Set(forward, reverse Impairment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.forward.Drop && !forward.Drop || k.reverse.Drop && !reverse.Drop {
		for p := range k.conns {
			if p.dropped {
				p.reset()
			}
		}
	}
	k.forward, k.reverse, k.cut = forward, reverse, false
	k.notifyChange()
}

// Heal removes all impairments.
func (k *Link) Heal() { k.Set(Impairment{}, Impairment{}) }

// Cut resets all connections and rejects new ones.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = true
	k.resetAll()
}

// Reset resets all connections; new ones are accepted.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetAll()
}

// BytesPassed returns how many bytes passed from the dialing side and back.
func (k *Link) BytesPassed() (forward, reverse int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes[0], k.bytes[1]
}

// Close closes the listener and all connections.
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
		dialer, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serveConn(dialer)
	}
}

func (k *Link) serveConn(dialer net.Conn) {
	p := &linkConn{dialer: dialer}
	server, err := net.DialTimeout("tcp", k.to, 5*time.Second)
	if err == nil {
		p.server = server
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
	dialer.Close()
	server.Close()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// chunk is the data of one read and the time of the read.
type chunk struct {
	b       []byte
	arrived time.Time
}

// copyDirection copies one direction of a connection. Chunks are queued with the time of their read, so that a delay
// applies to each chunk and does not add up over them.
func (k *Link) copyDirection(p *linkConn, direction int) {
	from, to := p.dialer, p.server
	if direction == 1 {
		from, to = p.server, p.dialer
	}
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				queue <- chunk{b[:n], time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if !k.waitToPass(p, direction, c) {
			continue
		}
		if _, err := to.Write(c.b); err != nil {
			break
		}
		k.mu.Lock()
		k.bytes[direction] += int64(len(c.b))
		k.mu.Unlock()
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range queue { // drain the queue until the reading goroutine ends
	}
}

// waitToPass waits until a chunk may pass; false: it is dropped.
func (k *Link) waitToPass(p *linkConn, direction int, c chunk) bool {
	waited := time.Duration(0) // waited so far for the rate limit
	for {
		k.mu.Lock()
		w, changed := [2]Impairment{k.forward, k.reverse}[direction], k.changed
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
			due = max(due, 0) + time.Duration(len(c.b))*time.Second/time.Duration(w.Rate) - waited
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
			waited += time.Since(began)
		}
	}
}

// FreeAddrs returns n loopback addresses that nothing listens on; none is returned twice.
func FreeAddrs(t testing.TB, n int) []string {
	t.Helper()
	addrs, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}
