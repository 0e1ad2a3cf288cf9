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
	l        net.Listener

	mu      sync.Mutex
	there   Impairment // from the one who dials
	back    Impairment
	cut     bool
	conns   map[*passage]bool
	changed chan struct{} // closed and renewed at each change
	passed  [2]int64
}

// passage is one connection through a link.
type passage struct {
	near, far net.Conn
	lost      bool // something of it was dropped
}

// Link returns a link to addr that lets everything through.
func (r *Rig) Link(from, to, addr string) *Link {
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
	k := &Link{From: from, To: to, Addr: at.Addr().String(), to: addr, l: at, conns: map[*passage]bool{}, changed: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Set has the link treat the two ways so from now on, and lets new connections through.
func (k *Link) Set(there, back Impairment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.there.Drop && !there.Drop || k.back.Drop && !back.Drop {
		for p := range k.conns {
			if p.lost {
				p.reset()
			}
		}
	}
	k.there, k.back, k.cut = there, back, false
	k.announce()
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
func (k *Link) Passed() (there, back int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passed[0], k.passed[1]
}

// Close ends the link.
func (k *Link) Close() {
	k.l.Close()
	k.Cut()
}

func (k *Link) resetAll() {
	for p := range k.conns {
		p.reset()
	}
	k.announce()
}

func (k *Link) announce() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (p *passage) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

func (k *Link) accept() {
	for {
		near, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.pass(near)
	}
}

func (k *Link) pass(near net.Conn) {
	p := &passage{near: near}
	far, err := net.DialTimeout("tcp", k.to, 5*time.Second)
	if err == nil {
		p.far = far
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
	both.Go(func() { k.copy(p, 0) })
	both.Go(func() { k.copy(p, 1) })
	both.Wait()
	near.Close()
	far.Close()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// piece is what came at one time.
type piece struct {
	b  []byte
	at time.Time
}

// copy carries one way of a connection. What is read waits in line with the time that it came, so that a delay is that
// delay for each piece and not for the sum of them.
func (k *Link) copy(p *passage, way int) {
	from, to := p.near, p.far
	if way == 1 {
		from, to = p.far, p.near
	}
	line := make(chan piece, 1024)
	go func() {
		defer close(line)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				line <- piece{b[:n], time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range line {
		if !k.wait(p, way, c) {
			continue
		}
		if _, err := to.Write(c.b); err != nil {
			break
		}
		k.mu.Lock()
		k.passed[way] += int64(len(c.b))
		k.mu.Unlock()
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range line { // until the reader sees the end of it
	}
}

// wait waits until a piece is to pass; false where it is lost.
func (k *Link) wait(p *passage, way int, c piece) bool {
	paid := time.Duration(0) // of the rate
	for {
		k.mu.Lock()
		w, changed := [2]Impairment{k.there, k.back}[way], k.changed
		alive := k.conns[p] && !k.cut
		if w.Drop {
			p.lost = true
		}
		k.mu.Unlock()
		if w.Drop || !alive {
			return false
		}
		due := time.Until(c.at.Add(w.Delay))
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
			return !p.lost
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
