package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spindlehitch/internal/testbed/faults"
)

const (
	descriptors     = 1024
	discoveryOutage = time.Second
)

// run is one process under a plan.
type run struct {
	*faults.Rig
	plan      Plan
	recorder  *Recorder
	targets   []*target
	discovery *discovery
	proc      *faults.Proc
	addr      string
	control   string
	began     atomic.Pointer[time.Time] // when traffic began
	outages   []time.Time
	home      int // index of the address of discovery that is configured
}

// Run carries a plan out and returns what was recorded.
func Run(t testing.TB, plan Plan) *History {
	t.Helper()
	r := &run{Rig: faults.New(t), plan: plan, recorder: newRecorder()}
	r.startStandIns()
	addrs := faults.FreeAddrs(t, 2)
	r.addr, r.control = addrs[0], addrs[1]
	config := r.configure()
	r.proc = r.Start("n", []string{"PROXY_CONFIG=" + config}, "serve")
	r.WaitFor("the process is ready", r.ready)
	machine := watchMachine(r.proc)
	began := time.Now()
	r.began.Store(&began)
	stopClients := r.startClients()
	h := &History{Plan: plan}
	r.playUntilKill(h)
	stopClients()
	h.Machine = machine.stop()
	h.Exchanges, h.Attempts, h.Drained, h.Outages = r.recorder.exchanges, r.recorder.attempts, r.recorder.drained, r.outages
	h.Log = r.proc.Log()
	h.ServerEnds = parseEnds(h.Log)
	return h
}

func (r *run) startStandIns() {
	for i := range r.plan.Targets {
		t, err := startTarget(fmt.Sprint("t", i), r.recorder, func() TargetFault { return r.faultAt(i) })
		if err != nil {
			r.T.Fatal(err)
		}
		r.T.Cleanup(func() { t.server.Close() })
		r.targets = append(r.targets, t)
	}
	d, err := startDiscovery(r.targets, r.recorder)
	if err != nil {
		r.T.Fatal(err)
	}
	r.T.Cleanup(d.close)
	r.discovery = d
}

// faultAt returns the fault of a target now.
func (r *run) faultAt(target int) TargetFault {
	began := r.began.Load()
	if began == nil {
		return noFault
	}
	now := time.Since(*began)
	for _, s := range r.plan.TargetSpans {
		if s.Target == target && s.From <= now && now < s.To {
			return s.Fault
		}
	}
	return noFault
}

// configure writes the process's configuration and returns the file.
func (r *run) configure() string {
	var list []string
	for _, c := range classes {
		effect := "pure"
		if c.SideEffect {
			effect = "side_effect"
		}
		list = append(list, fmt.Sprintf(`{"name":%q,"promiseUs":%d,"deadlineUs":%d,"effect":%q,"worth":1}`, c.Name, c.Deadline.Microseconds()/5, c.Deadline.Microseconds(), effect))
	}
	return r.WriteFile("n.json", fmt.Sprintf(`{"name":"n","listen":%q,"control":%q,"discovery":%q,
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":{"peersTotal":1,"tickUs":2000,"classes":[%s],
 "contracts":[{"name":"base","usualRate":2000,"reservation":2000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}}`,
		r.addr, r.control, r.discovery.addrs[r.home], r.plan.MemoryMB, descriptors, strings.Join(list, ",")))
}

func (r *run) ready() bool {
	resp, err := http.Get("http://" + r.control + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startClients starts the clients and the crowd. stop ends them and waits.
func (r *run) startClients() (stop func()) {
	stopped := &atomic.Bool{}
	var running sync.WaitGroup
	for i := range r.plan.Clients {
		c := &client{name: fmt.Sprint("c", i), addr: r.addr, targets: r.plan.Targets, recorder: r.recorder, stopped: stopped, rng: rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))}
		running.Go(c.run)
	}
	var crowd []*crowdClient
	size := r.plan.CrowdSize
	if r.plan.Crowd == flooding {
		size = min(size, floodClients)
	}
	for i := range size {
		crowd = append(crowd, &crowdClient{crowd: r.plan.Crowd, name: fmt.Sprint("crowd", i), addr: r.addr, stopped: stopped})
	}
	running.Go(func() {
		time.Sleep(r.plan.CrowdFrom)
		for _, c := range crowd {
			running.Go(c.run)
		}
	})
	return func() {
		stopped.Store(true)
		for _, c := range crowd {
			c.interrupt()
		}
		running.Wait()
	}
}

// playUntilKill carries out the events of the plan, SIGTERM and SIGKILL.
func (r *run) playUntilKill(h *History) {
	began := *r.began.Load()
	var playing sync.WaitGroup
	var mu sync.Mutex // one event at a time
	for _, e := range r.plan.ProcessEvents {
		playing.Go(func() {
			time.Sleep(time.Until(began.Add(e.At)))
			mu.Lock()
			defer mu.Unlock()
			r.play(e.Fault)
		})
	}
	time.Sleep(time.Until(began.Add(trafficTime)))
	h.PeakKB = r.proc.PeakMemoryKB()
	h.TermAt = time.Now()
	if !r.proc.Alive() {
		h.ExitedAt = h.TermAt.Add(-time.Millisecond)
	}
	r.proc.Signal(syscall.SIGTERM)
	if r.plan.SecondTerm > 0 {
		playing.Go(func() {
			time.Sleep(r.plan.SecondTerm)
			r.proc.Signal(syscall.SIGTERM)
		})
	}
	for kill := h.TermAt.Add(killAfter); r.proc.Alive() && time.Now().Before(kill); time.Sleep(time.Millisecond) {
		h.PeakKB = max(h.PeakKB, r.proc.PeakMemoryKB())
	}
	if r.proc.Alive() {
		h.KilledAt = time.Now()
		r.proc.Kill()
	} else if h.ExitedAt.IsZero() {
		h.ExitedAt, h.ExitErr = time.Now(), r.proc.ExitErr()
	}
	playing.Wait()
}

// play carries out one event.
func (r *run) play(fault ProcessFault) {
	switch fault {
	case pause:
		r.proc.Signal(syscall.SIGSTOP)
		time.Sleep(processPause)
		r.proc.Signal(syscall.SIGCONT)
	case moveDiscovery:
		r.home = 1 - r.home
		r.configure()
		r.proc.Signal(syscall.SIGHUP)
	case reload:
		r.proc.Signal(syscall.SIGHUP)
	case discoveryDown:
		r.outages = append(r.outages, time.Now())
		r.discovery.down.Store(true)
		time.AfterFunc(discoveryOutage, func() { r.discovery.down.Store(false) })
	case drainTarget:
		r.discovery.publish(r.targets[len(r.targets)-1].id)
	case discoveryRepeat:
		r.discovery.publish("")
	}
}

var connEnded = regexp.MustCompile(`(?m)^time=(\S+) level=INFO msg="connection ended" side=client peer=(\S+) reason=(\S+) requests=(\d+)`)

// parseEnds returns the ends of clients' connections that the process has logged, by the client's address.
func parseEnds(log string) map[string][]ServerEnd {
	ends := map[string][]ServerEnd{}
	for _, m := range connEnded.FindAllStringSubmatch(log, -1) {
		at, err := time.Parse(time.RFC3339, m[1])
		if err != nil {
			continue
		}
		requests, _ := strconv.ParseInt(m[4], 10, 64)
		ends[m[2]] = append(ends[m[2]], ServerEnd{at, m[3], requests})
	}
	return ends
}
