package nvme

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/issue"
)

// newTLSTarget starts a fake target with TLS. It returns the certificate store that host and target share, so that both rotate
// at once, the target's backend, the target and its address.
func newTLSTarget(t *testing.T, dir string, overlap time.Duration) (*certs.Store, *store, *Server, string) {
	t.Helper()
	f := issue.WriteCertificates(t, dir, time.Hour)
	f.OverlapMs = int(overlap.Milliseconds())
	hostCerts, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := newStore()
	s := New(backend, Options{Subsystem: targetNQN, Namespaces: []Namespace{testNamespace()}, QueueDepth: 8, MaxConns: 64, MaxBufferedBytes: 8 << 20,
		Timeouts: map[string]time.Duration{"position-read": testTimeout, "event-write": testTimeout}, Certs: hostCerts, Log: discardLog})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return hostCerts, backend, s, l.Addr().String()
}

// newTLSHost returns a host that connects to such a target with the certificates in k.
func newTLSHost(k *certs.Store) *Host {
	return NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: 200 * time.Millisecond, Certs: k})
}

// do executes one command on the idle session if it is alive, or on a new one, as a target's connection pool does. It stores
// the session in idle if it can be reused.
func do(t *testing.T, h *Host, addr string, idle *upstream.Session, x *IO) core.Result {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	s := *idle
	if s == nil || !s.Alive() {
		if s != nil {
			s.Close()
		}
		var err error
		if s, err = h.Dial(ctx, addr); err != nil {
			t.Fatal(err)
		}
	}
	r, reuse, _ := s.Do(core.Attempt{Deadline: time.Now().Add(testTimeout), Payload: x}, func() bool { return true })
	*idle = s
	if !reuse {
		s.Close()
		*idle = nil
	}
	return r
}

// TestKeyRotationDuringWrites rotates the certificates repeatedly while a host writes: no command is lost or executed twice,
// and after the overlap no connection with old certificates is left.
func TestKeyRotationDuringWrites(t *testing.T) {
	dir := t.TempDir()
	k, backend, server, addr := newTLSTarget(t, dir, 400*time.Millisecond)
	h := newTLSHost(k)
	var idle upstream.Session
	data := make([]byte, blockSize)
	began := time.Now()
	last, n := began, 0
	for ; time.Since(began) < 2*time.Second; n++ {
		drainReceived(backend)
		binary.LittleEndian.PutUint32(data, uint32(n))
		data[4] = 1 // not zero, since the store trims trailing zeros
		if r := do(t, h, addr, &idle, &IO{Write: true, NSID: 1, Blocks: 1, Bytes: blockSize, Data: append([]byte(nil), data...)}); r.Code != 0 {
			t.Fatalf("write %d: %v", n, r.Code)
		}
		if time.Since(last) > 500*time.Millisecond {
			issue.WriteCertificates(t, dir, time.Hour)
			if err := k.Reload(); err != nil {
				t.Fatal(err)
			}
			last = time.Now()
		}
	}
	if k.Generation() < 2 || n < 100 {
		t.Errorf("%d rotations and %d writes, want at least 2 and 100", k.Generation(), n)
	}
	backend.mu.Lock()
	if len(backend.writes) != n {
		t.Errorf("%d of %d writes were executed", len(backend.writes), n)
	}
	for _, times := range backend.writes {
		if times != 1 {
			t.Errorf("a write was executed %d times", times)
		}
	}
	backend.mu.Unlock()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		server.mu.Lock()
		old := 0
		for q := range server.queues {
			if q.keyRetired.Load() {
				old++
			}
		}
		open := len(server.queues)
		server.mu.Unlock()
		if old == 0 && open <= 2 { // the admin queue and the I/O queue with the newest certificates
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, %d of them with old certificates", open, old)
		}
	}
}

// TestOldKeysAreRejected rotates the target's certificates, but not the host's: the host's open command completes even after
// the overlap, then its connection is closed, and new connections are rejected.
func TestOldKeysAreRejected(t *testing.T) {
	dir := t.TempDir()
	k, backend, _, addr := newTLSTarget(t, dir, 200*time.Millisecond)
	f := issue.WriteCertificates(t, t.TempDir(), time.Hour) // from another certificate authority
	otherCA, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	if _, err := newTLSHost(otherCA).Dial(ctx, addr); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if _, err := NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute}).Dial(ctx, addr); err == nil {
		t.Error("a host without TLS was accepted")
	}
	old, err := certs.Load(config.TLS{Cert: dir + "/cert.pem", Key: dir + "/key.pem", CA: dir + "/ca.pem"})
	if err != nil {
		t.Fatal(err)
	}
	s, err := newTLSHost(old).Dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	backend.mu.Lock()
	backend.hold = make(chan struct{})
	backend.mu.Unlock()
	result := make(chan core.Result, 1)
	go func() {
		r, _, _ := s.Do(core.Attempt{Deadline: time.Now().Add(testTimeout), Payload: &IO{NSID: 1, Blocks: 1, Bytes: blockSize}}, func() bool { return true })
		result <- r
	}()
	<-backend.received
	issue.WriteCertificates(t, dir, time.Hour)
	if err := k.Reload(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200*time.Millisecond + 3*keyCheckInterval)
	close(backend.hold)
	if r := <-result; r.Code != 0 {
		t.Errorf("the open command ended with %v", r.Code)
	}
	w := s.(*session).hostConn
	w.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := w.in.Peek(1); err == nil {
		t.Error("the connection with the old certificate is still open")
	}
	if _, err := newTLSHost(old).Dial(ctx, addr); err == nil {
		t.Error("an old certificate was accepted after the overlap")
	}
}
