package faults

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingTarget answers each request and counts them.
type countingTarget struct {
	*httptest.Server
	requests atomic.Int64
}

func newCountingTarget(t *testing.T) *countingTarget {
	c := &countingTarget{}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.requests.Add(1)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *countingTarget) entry(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"cell":0,"state":%q}`, id, c.Listener.Addr(), state)
}

// TestUpgradeDuringOutageOfDiscovery guards against a younger process that begins with its configuration's last known list while discovery is down, and
// sends to a target that the older process was told is draining.
func TestUpgradeDuringOutageOfDiscovery(t *testing.T) {
	drained, next := newCountingTarget(t), newCountingTarget(t)
	known := fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, drained.entry("t", "SERVING"))
	var silent atomic.Bool
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if silent.Load() || q.URL.Query().Get("after") == "2" {
			<-q.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[%s,%s]}`, drained.entry("t", "DRAINING"), next.entry("u", "SERVING"))
	}))
	t.Cleanup(discovery.Close)
	r := newUpgradeRig(t, http.NotFoundHandler())
	r.configure(discovery.Listener.Addr().String(), known)
	older := r.start("older")
	for n := 0; next.requests.Load() == 0; n++ {
		write(t, r.addr, fmt.Sprint("told-", n))
		require.Less(t, n, 500, "the older process is not told of the drain")
	}
	silent.Store(true)
	before := drained.requests.Load()
	r.start("younger")
	r.WaitFor("the older process has left", func() bool { return !older.Alive() })
	for n, until := 0, time.Now().Add(2*time.Second); time.Now().Before(until); n++ {
		require.Equal(t, http.StatusOK, write(t, r.addr, fmt.Sprint("outage-", n)))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, before, drained.requests.Load(), "requests to the target that drains")
	files, err := filepath.Glob(filepath.Join(r.Dir, fmt.Sprintf("handover-*-%d.*", older.cmd.Process.Pid)))
	require.NoError(t, err)
	require.Empty(t, files, "files of a process that has ended")
}
