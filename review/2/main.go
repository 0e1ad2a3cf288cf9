//go:build review

// Command duplicate plays case 2: during an upgrade a bad client sends the id of another client's open event-write.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"spindlehitch/review/standin"
)

// target is a storage node. It runs each request that arrives whole, also one whose id it has had, since a class without a key has
// nothing that would drop a repeat.
type target struct {
	c    *standin.Case
	mu   sync.Mutex
	runs map[string]int // of each id
	open map[string]int // of them, not answered yet
	over []string       // ids of which two attempts were out at a time
	all  int            // requests run
}

const costlyKey = "7f3a9c21e0b4d655"

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	t.mu.Lock()
	t.all++
	t.runs[id]++
	t.open[id]++
	n, together := t.runs[id], t.open[id]
	if together > 1 {
		t.over = append(t.over, id)
	}
	t.mu.Unlock()
	work := 30 * time.Millisecond
	if r.URL.Path == "/event-write/"+costlyKey {
		work *= 25 // costly requests take 7.2 to 25 times the usual work
		t.c.Log("target: runs %s %s id %s from %s, run %d of this id, %d out together", r.Method, r.URL.Path, id, r.RemoteAddr, n, together)
	}
	time.Sleep(work)
	t.mu.Lock()
	t.open[id]--
	t.mu.Unlock()
	w.Header().Set("Server-Load", "concurrent=1")
	fmt.Fprintf(w, "done %s %d bytes", id, len(body))
}

func main() { standin.Run(100*time.Second, play) }

func play(c *standin.Case) bool {
	t := &target{c: c, runs: map[string]int{}, open: map[string]int{}}
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	go func() { _ = http.Serve(l, t) }()
	discovery := c.Discovery(standin.Entry{ID: "s-5be2a07c", Addr: l.Addr().String(), Zone: "pavillon-a", Kind: "node-std", Cell: 0, State: "SERVING", Weight: 1})
	addrs := c.FreeAddrs(3)
	clients, err := net.Listen("tcp", addrs[0]) // the platform holds the clients' socket
	c.Must(err)
	socket, err := clients.(*net.TCPListener).File()
	c.Must(err)
	null, err := os.Open(os.DevNull)
	c.Must(err)
	config := c.Write("config.json", fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		addrs[0], discovery.Addr, standin.Settings(1, "standard")))
	c.Must(os.MkdirAll(c.Path("tmp"), 0o700))
	start := func(name, control string) *standin.Proc {
		return c.Start(name, c.DeployCommand("run"), []string{"PROXY_CONFIG=" + config, "PROXY_CONTROL=" + control, "PROXY_SOCKET_FD=4", "TMPDIR=" + c.Path("tmp")}, null, socket)
	}
	ready := func(control string) bool { return standin.StatusOf("http://"+control+"/v1/readyz") == 200 }

	old := start("old", addrs[1])
	c.WaitFor("the old process is ready", 30*time.Second, func() bool { return ready(addrs[1]) })
	write := func(id, key string) standin.Request {
		return standin.Request{Method: "PUT", Class: "event-write", Key: key, ID: id, Plan: "standard", Volume: "00000003b4d60021", Units: 2, Shard: 0, TimeoutMs: 1200, Body: "position 45.5,-73.6"}
	}
	client, err := standin.Dial(addrs[0])
	c.Must(err)
	status, _, err := client.Do(write("9b1f03aa5c7e2d40", "7f3a9c21e0b4d650"))
	c.Log("client: a first event-write on its connection: status %d, error %v", status, err)
	if status != 200 {
		c.Fail("the old process does not serve")
	}

	// The usual clients: event-writes of usual work, so that the costly ones are few.
	stop := make(chan bool)
	var load sync.WaitGroup
	for n := range 4 {
		load.Go(func() {
			var conn *standin.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				var err error
				if conn == nil {
					if conn, err = standin.Dial(addrs[0]); err != nil {
						conn = nil
						continue
					}
				}
				if _, _, err = conn.Do(write(fmt.Sprintf("%08x%08x", n+1, i), fmt.Sprintf("%016x", 1000*n+i))); err != nil {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	defer load.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	// A bad client's request with an open id, on a new connection; it reports whether it was served.
	badClient := func(id string) bool {
		bad, err := standin.Dial(addrs[0])
		if err != nil {
			c.Log("bad client: %v", err)
			return false
		}
		defer bad.Close()
		status, body, err := bad.Do(write(id, costlyKey))
		c.Log("bad client: sends a request with the open id %s: status %d %q, error %v", id, status, body, err)
		return status == 200
	}
	if c.Trouble { // the same while one process serves
		const id = "9b1f03aa5c7e2d42"
		done := make(chan int, 1)
		go func() {
			status, _, _ := client.Do(write(id, costlyKey))
			done <- status
		}()
		time.Sleep(100 * time.Millisecond)
		served := badClient(id)
		status := <-done
		t.mu.Lock()
		c.Log("before the upgrade, with one process: the client's answer %d, bad client served: %v, id %s was run %d times", status, served, id, t.runs[id])
		t.mu.Unlock()
	}

	// The client has a costly event-write open on its connection at all times, until the new process says yes.
	var mu sync.Mutex
	openID, upgraded := "", false
	clientDone := make(chan bool)
	go func() {
		defer close(clientDone)
		for n := 0; ; n++ {
			id := fmt.Sprintf("9b1f03aa5c7e2e%02x", n)
			mu.Lock()
			if upgraded {
				mu.Unlock()
				return
			}
			openID = id
			mu.Unlock()
			sent := time.Now()
			status, body, err := client.Do(write(id, costlyKey))
			c.Log("client: event-write id %s on its connection to the old process: status %d %q, error %v, after %d ms", id, status, body, err, time.Since(sent).Milliseconds())
			mu.Lock()
			openID = ""
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
	c.Log("upgrade: the new process is started, with the same addresses, the same socket and a new second address")
	start("new", addrs[2])
	c.WaitFor("the new process is ready", 30*time.Second, func() bool { return ready(addrs[2]) })
	mu.Lock()
	id := openID
	upgraded = true
	mu.Unlock()
	c.Log("upgrade: the new process says yes; event-write id %s is open at the old process", id)
	if id == "" {
		c.Fail("no event-write is open at this moment")
	}
	served := 0
	for n := 0; c.Trouble && n < 10; n++ {
		mu.Lock()
		isOpen := openID == id
		mu.Unlock()
		if !isOpen {
			break
		}
		if badClient(id) {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-clientDone
	for until := time.Now().Add(5 * time.Second); !old.Ended() && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Log("the old process has left: %v", old.Ended())
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Log("result: id %s was run %d times, two attempts out together: %v; bad clients served: %d; the target ran %d requests in all", id, t.runs[id], len(t.over) > 0, served, t.all)
	if t.runs[id] == 0 {
		c.Fail("the event-write never reached the target")
	}
	return t.runs[id] > 1
}
