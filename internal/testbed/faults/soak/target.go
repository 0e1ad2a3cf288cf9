package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	serviceTime  = 8 * time.Millisecond
	slowPieces   = 3
	slowPause    = 250 * time.Millisecond // before each piece of a slow answer
	slowReadRate = 2 << 20                // bytes a second
)

// answerBody returns a target's answer to a request: its ID, how many bytes its body had, and as many more as the class's answers have.
func answerBody(class Class, id string, received int64) string {
	head := fmt.Sprintf("%s %d ", id, received)
	return head + strings.Repeat("a", max(class.AnswerBytes-len(head), 0))
}

// target is a stand-in for one target.
type target struct {
	id       string
	recorder *Recorder
	faultNow func() TargetFault
	server   http.Server
	addr     string
}

type targetConnKey struct{}

func startTarget(id string, recorder *Recorder, faultNow func() TargetFault) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, recorder: recorder, faultNow: faultNow, addr: listener.Addr().String()}
	t.server = http.Server{Handler: t, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, targetConnKey{}, c)
	}}
	go func() { _ = t.server.Serve(refusingListener{listener, t}) }()
	return t, nil
}

// refusingListener resets accepted connections while the target's fault is refusedConn.
type refusingListener struct {
	net.Listener
	target *target
}

func (l refusingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.target.faultNow() != refusedConn {
			return conn, err
		}
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (t *target) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	wait, _ := strconv.ParseInt(q.Header.Get("Request-Timeout-Ms"), 10, 64)
	fault := t.faultNow()
	a := &Attempt{ID: q.Header.Get("Request-Id"), Target: t.id, Fault: fault, Begun: time.Now(), Told: time.Duration(wait) * time.Millisecond}
	t.recorder.addAttempt(a)
	received, err := readBody(q, fault)
	if err != nil {
		return
	}
	t.recorder.update(func() { a.Whole, a.NotRun = time.Now(), fault == turnsAway })
	conn, _ := q.Context().Value(targetConnKey{}).(net.Conn)
	time.Sleep(serviceTime)
	switch fault {
	case hang:
		t.hang(q.Context())
		reset(conn)
		return
	case resetBefore, refusedConn:
		reset(conn)
		return
	case failing:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case turnsAway:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.answer(w, q, a, received, conn)
}

// hang waits until the fault is over or the caller has given up.
func (t *target) hang(ctx context.Context) {
	for t.faultNow() == hang && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// readBody reads the body of a request and returns its length.
func readBody(q *http.Request, fault TargetFault) (n int64, err error) {
	if fault != slowRead {
		return io.Copy(io.Discard, q.Body)
	}
	for piece := make([]byte, 32<<10); err == nil; {
		var k int
		k, err = q.Body.Read(piece)
		n += int64(k)
		time.Sleep(time.Duration(k) * time.Second / slowReadRate)
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// answer writes the answer, framed by its length or in chunks.
func (t *target) answer(w http.ResponseWriter, q *http.Request, a *Attempt, received int64, conn net.Conn) {
	body := answerBody(classOf(q.URL.Path), a.ID, received)
	if len(a.ID)%2 == 0 || a.Fault == resetWithin {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	}
	rc := http.NewResponseController(w)
	pieces := 1
	if a.Fault == slowAnswer {
		pieces = slowPieces
		w.WriteHeader(http.StatusOK)
		_ = rc.Flush()
	}
	if a.Fault == resetWithin {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = rc.Flush()
		time.Sleep(serviceTime)
		reset(conn)
		return
	}
	for i := range pieces {
		if pieces > 1 {
			time.Sleep(slowPause)
		}
		_, err := io.WriteString(w, body[i*len(body)/pieces:(i+1)*len(body)/pieces])
		if err != nil || rc.Flush() != nil {
			t.recorder.update(func() { a.Broken = time.Now() })
			return
		}
	}
	t.recorder.update(func() { a.Answered = time.Now() })
}

// discovery is a stand-in for discovery, at two addresses.
type discovery struct {
	targets  []*target
	addrs    [2]string
	servers  [2]*http.Server
	down     atomic.Bool
	recorder *Recorder
	state    chan discoveryState // holds the one state
}

// discoveryState is the list's version, the targets that drain, and a channel that is closed at the next change.
type discoveryState struct {
	version  int
	draining map[string]bool
	changed  chan struct{}
}

func startDiscovery(targets []*target, recorder *Recorder) (*discovery, error) {
	d := &discovery{targets: targets, recorder: recorder, state: make(chan discoveryState, 1)}
	d.state <- discoveryState{1, map[string]bool{}, make(chan struct{})}
	for i := range d.addrs {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.addrs[i], d.servers[i] = listener.Addr().String(), &http.Server{Handler: d}
		go func() { _ = d.servers[i].Serve(listener) }()
	}
	return d, nil
}

func (d *discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if d.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s := <-d.state
	d.state <- s
	if q.URL.Query().Get("after") == strconv.Itoa(s.version) {
		select {
		case <-q.Context().Done():
			return
		case <-s.changed:
		}
		if d.down.Load() {
			panic(http.ErrAbortHandler)
		}
		s = <-d.state
		d.state <- s
	}
	var list []string
	for shard, t := range d.targets {
		state := "SERVING"
		if s.draining[t.id] {
			state = "DRAINING"
		}
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":%d,"state":%q,"started_ms":0}`, t.id, t.addr, shard, state))
	}
	fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[%s]}`, s.version, strings.Join(list, ","))
}

// publish publishes a new version of the list, with a further target that drains unless drain is empty.
func (d *discovery) publish(drain string) {
	s := <-d.state
	s.version++
	draining := map[string]bool{}
	for id := range s.draining {
		draining[id] = true
	}
	if drain != "" {
		draining[drain] = true
		d.recorder.update(func() { d.recorder.drained[drain] = time.Now() })
	}
	s.draining = draining
	close(s.changed)
	s.changed = make(chan struct{})
	d.state <- s
}
