package faults

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeTarget is a target that runs each write that reaches it, also one whose ID it has had. A write whose ID starts with "slow" takes
// long, and one whose ID starts with "full" is turned away unrun.
type writeTarget struct {
	mu      sync.Mutex
	runs    map[string]int
	arrived chan string // IDs of slow writes
}

const slowWrite = 1500 * time.Millisecond

func (w *writeTarget) ServeHTTP(resp http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Request-Id")
	if id[:4] == "full" {
		resp.Header().Set("Not-Started", "1")
		resp.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	if id[:4] == "slow" {
		w.arrived <- id
		time.Sleep(slowWrite)
	}
	fmt.Fprint(resp, "done")
}

// upgradeRig starts processes of one initiator that inherit its clients' socket.
type upgradeRig struct {
	*Rig
	listener *net.TCPListener
	addr     string // of the clients' socket
	config   string // file
}

func newUpgradeRig(t *testing.T, target http.Handler) *upgradeRig {
	t.Helper()
	r := &upgradeRig{Rig: New(t)}
	node := httptest.NewServer(target)
	t.Cleanup(node.Close)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("after") {
			<-q.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, node.Listener.Addr())
	}))
	t.Cleanup(discovery.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r.listener = listener.(*net.TCPListener)
	r.addr = listener.Addr().String()
	r.configure(discovery.Listener.Addr().String(), "null")
	return r
}

// configure writes the configuration of the processes that start from now on: the address of discovery, and the last known list or null.
func (r *upgradeRig) configure(discovery, known string) {
	r.config = r.WriteFile("n.json", fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"known":%s,"settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"event-write","promiseUs":1000000,"deadlineUs":3000000,"effect":"side_effect","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8,"writes":[true]},"limits":{"sendCap":3}}}`,
		r.addr, discovery, known))
}

// start starts a process and waits until it is ready.
func (r *upgradeRig) start(name string) *Proc {
	r.T.Helper()
	socket, err := r.listener.File()
	require.NoError(r.T, err)
	defer socket.Close()
	control := FreeAddrs(r.T, 1)[0]
	p := r.StartWith(name, []*os.File{socket}, 0, []string{"PROXY_CONFIG=" + r.config, "PROXY_SOCKET_FD=3", "PROXY_CONTROL=" + control}, "serve")
	r.WaitFor(name+" is ready", func() bool {
		resp, err := http.Get("http://" + control + "/v1/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// writeClient is a client with one connection.
type writeClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newWriteClient(t *testing.T, addr string) *writeClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return &writeClient{t, conn, bufio.NewReader(conn)}
}

func (c *writeClient) send(id string) { fmt.Fprint(c.conn, writeRequest(id)) }

// writeRequest is the text of a write.
func writeRequest(id string) string {
	return fmt.Sprintf("PUT /event-write/0a00000000000001 HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: base\r\nRequest-Timeout-Ms: 3000\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\nContent-Length: 1\r\n\r\nx", id)
}

func (c *writeClient) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// write sends a write on a new connection and returns the status of its answer.
func write(t *testing.T, addr, id string) int {
	t.Helper()
	c := newWriteClient(t, addr)
	defer c.conn.Close()
	c.send(id)
	return c.status()
}

// TestWriteRunsOnceDuringUpgrade guards against a write that ran twice, as a client sent its ID to another process of the initiator during
// an upgrade: while it was open at the older or at the younger process, and after the process that had it has left or was killed.
func TestWriteRunsOnceDuringUpgrade(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed: ", killed), func(t *testing.T) {
			target := &writeTarget{runs: map[string]int{}, arrived: make(chan string, 8)}
			r := newUpgradeRig(t, target)
			addr, start := r.addr, r.start
			older := start("older")
			require.Equal(t, http.StatusOK, write(t, addr, "first"))
			require.NotEqual(t, http.StatusOK, write(t, addr, "full-1"))
			onOlder := newWriteClient(t, addr)
			r.WaitFor("the older process has the connection", func() bool { onOlder.send("warm"); return onOlder.status() > 0 })
			second := newWriteClient(t, addr)
			second.send("warm-2")
			require.Equal(t, http.StatusOK, second.status())
			onOlder.send("slow-older")
			require.Equal(t, "slow-older", <-target.arrived)
			sentAt := time.Now()

			idle := newWriteClient(t, addr)
			idle.send("warm-3")
			require.Equal(t, http.StatusOK, idle.status())
			begun := writeRequest("slow-younger")
			fmt.Fprint(second.conn, begun[:10]) // the older process waits for the rest while it leaves
			start("younger")
			require.Less(t, time.Since(sentAt), slowWrite, "the younger process is ready too late for the test")
			require.Equal(t, http.StatusConflict, write(t, addr, "slow-older"))
			require.Equal(t, http.StatusConflict, write(t, addr, "first"), "it has run")
			// It ends the idle connection once its listener is closed; that it leaves is logged before.
			r.WaitFor("the older process takes no more clients", func() bool { return strings.Contains(older.Log(), "reason=LEAVING") })
			younger := newWriteClient(t, addr)
			younger.send("slow-younger")
			require.Equal(t, "slow-younger", <-target.arrived)
			fmt.Fprint(second.conn, begun[10:])
			require.Equal(t, http.StatusConflict, second.status())
			if killed {
				older.Kill()
			} else {
				require.Equal(t, http.StatusOK, onOlder.status())
				r.WaitFor("the older process has left", func() bool { return !older.Alive() })
			}
			require.Equal(t, http.StatusOK, younger.status())
			for _, id := range []string{"slow-older", "slow-younger", "first"} {
				require.Equal(t, http.StatusConflict, write(t, addr, id), id)
			}
			require.NotEqual(t, http.StatusConflict, write(t, addr, "full-1"), "it has never run")
			target.mu.Lock()
			defer target.mu.Unlock()
			for id, n := range target.runs {
				if n > 1 && id != "warm" {
					t.Errorf("write %s ran %d times", id, n)
				}
			}
		})
	}
}
