package nvme

import (
	"context"
	"net"
	"testing"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/issue"
)

// secured is a stand-in target over TLS, and the keys of host and target, which change together.
func secured(t *testing.T, dir string, overlap time.Duration) (*keys.Store, *store, *Server, string) {
	t.Helper()
	f := issue.WriteCertificates(t, dir, time.Hour)
	f.OverlapMs = int(overlap.Milliseconds())
	k, err := keys.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	back := newStore()
	s := New(back, Options{Subsystem: targetNQN, Namespaces: []Namespace{space()}, QueueDepth: 8, MostConn: 64, MostBytes: 8 << 20,
		Patience: map[string]time.Duration{"position-read": patient, "event-write": patient}, Keys: k, Log: quiet})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return k, back, s, l.Addr().String()
}

// secureHost is a host of such a target with keys of its own.
func secureHost(k *keys.Store) *Host {
	return NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: 200 * time.Millisecond, Keys: k})
}

// do carries one write out on a session that is dialled or used again, as a target's pool does.
func do(t *testing.T, h *Host, addr string, idle *upstream.Session, x *IO) core.Result {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), patient)
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
	r, reuse, _ := s.Do(core.Attempt{Deadline: time.Now().Add(patient), Payload: x}, func() bool { return true })
	*idle = s
	if !reuse {
		s.Close()
		*idle = nil
	}
	return r
}

// TestKeysChangeInService changes the keys again and again while a host writes: no command is lost or run twice, and
// after the overlap none of the old connections is left.
func TestKeysChangeInService(t *testing.T) {
	dir := t.TempDir()
	k, back, server, addr := secured(t, dir, 400*time.Millisecond)
	h := secureHost(k)
	var idle upstream.Session
	text := make([]byte, blockSize)
	began := time.Now()
	last, n := began, 0
	for ; time.Since(began) < 2*time.Second; n++ {
		drain(back)
		text[0], text[1], text[2] = byte(n), byte(n>>8), 1
		if r := do(t, h, addr, &idle, &IO{Write: true, NSID: 1, Blocks: 1, Bytes: blockSize, Data: append([]byte(nil), text...)}); r.Code != 0 {
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
		t.Errorf("%d changes, %d writes", k.Generation(), n)
	}
	back.mu.Lock()
	if len(back.writes) != n {
		t.Errorf("%d of %d writes were run", len(back.writes), n)
	}
	for _, times := range back.writes {
		if times != 1 {
			t.Errorf("a write ran %d times", times)
		}
	}
	back.mu.Unlock()
	for end := time.Now().Add(patient); ; time.Sleep(10 * time.Millisecond) {
		server.mu.Lock()
		old := 0
		for q := range server.queues {
			if q.retired.Load() {
				old++
			}
		}
		open := len(server.queues)
		server.mu.Unlock()
		if old == 0 && open <= 2 { // the admin queue and the I/O queue of the newest keys
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections, %d of them with old keys", open, old)
		}
	}
}

// TestOldKeysAreRefused keeps a host with its old keys: its open command is finished past the overlap, new commands and
// connections are refused.
func TestOldKeysAreRefused(t *testing.T) {
	dir := t.TempDir()
	k, back, _, addr := secured(t, dir, 200*time.Millisecond)
	f := issue.WriteCertificates(t, t.TempDir(), time.Hour) // another authority altogether
	stranger, err := keys.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), patient)
	defer stop()
	if _, err := secureHost(stranger).Dial(ctx, addr); err == nil {
		t.Error("a stranger's key was taken")
	}
	if _, err := NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute}).Dial(ctx, addr); err == nil {
		t.Error("a host without TLS was taken")
	}
	old, err := keys.Load(config.TLS{Cert: dir + "/cert.pem", Key: dir + "/key.pem", CA: dir + "/ca.pem"})
	if err != nil {
		t.Fatal(err)
	}
	s, err := secureHost(old).Dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	back.mu.Lock()
	back.still = make(chan struct{})
	back.mu.Unlock()
	ended := make(chan core.Result, 1)
	go func() {
		r, _, _ := s.Do(core.Attempt{Deadline: time.Now().Add(patient), Payload: &IO{NSID: 1, Blocks: 1, Bytes: blockSize}}, func() bool { return true })
		ended <- r
	}()
	<-back.came
	issue.WriteCertificates(t, dir, time.Hour)
	if err := k.Reload(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200*time.Millisecond + 3*keysEvery)
	close(back.still)
	if r := <-ended; r.Code != 0 {
		t.Errorf("the command that was open: %v", r.Code)
	}
	w := s.(*session).wire
	w.SetReadDeadline(time.Now().Add(patient))
	if _, err := w.in.Peek(1); err == nil {
		t.Error("the old connection goes on")
	}
	if _, err := secureHost(old).Dial(ctx, addr); err == nil {
		t.Error("an old key was taken past its time")
	}
}
