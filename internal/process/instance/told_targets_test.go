package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainSite has a target that drains, one that takes its shard over, and a discovery service that tells of it and then falls silent.
type drainSite struct {
	drained, next *httptest.Server
	sent          [2]atomic.Int64 // requests to drained, and to next
	discovery     *httptest.Server
	drains        chan struct{} // closed once discovery tells of the drain
	silent        atomic.Bool
}

func newDrainSite(t *testing.T) *drainSite {
	s := &drainSite{drains: make(chan struct{})}
	startTarget := func(count *atomic.Int64) *httptest.Server {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			fmt.Fprint(w, "whole")
		}))
		t.Cleanup(target.Close)
		return target
	}
	s.drained, s.next = startTarget(&s.sent[0]), startTarget(&s.sent[1])
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		after := q.URL.Query().Get("after")
		switch {
		case s.silent.Load():
			<-q.Context().Done()
			return
		case after == "1":
			select {
			case <-s.drains:
				fmt.Fprintf(w, `{"version":2,"full":false,"servers":[%s,%s]}`, s.entry("t", s.drained, "DRAINING"), s.entry("u", s.next, "SERVING"))
				return
			case <-time.After(time.Second):
			case <-q.Context().Done():
			}
			fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
		case after == "":
			fmt.Fprint(w, s.known())
		default:
			<-q.Context().Done()
		}
	}))
	t.Cleanup(s.discovery.Close)
	return s
}

func (s *drainSite) entry(id string, target *httptest.Server, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"cell":0,"state":%q}`, id, strings.TrimPrefix(target.URL, "http://"), state)
}

// known is the list of before the drain.
func (s *drainSite) known() string {
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, s.entry("t", s.drained, "SERVING"))
}

// TestSuccessorKnowsWhatItsProcessWasTold guards against a successor in the same process that begins with its configuration's last known list and
// sends to a target that the process was told is draining: discovery is down as the configuration changes, once, twice in a row, and also with
// discovery at another address.
func TestSuccessorKnowsWhatItsProcessWasTold(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes int
		moves   bool // discovery's address changes too
	}{{"once", 1, false}, {"twice", 2, false}, {"discovery moves", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			site := newDrainSite(t)
			h := startHarness(t)
			h.discoveryServer = site.discovery
			control := newTestSite(t)
			discoveryAddr := strings.TrimPrefix(site.discovery.URL, "http://")
			withKnown := func(controlAddr string) func(all, settings map[string]any) {
				return func(all, settings map[string]any) {
					withLongDeadlines(all, settings)
					all["control"], all["discovery"] = controlAddr, discoveryAddr
					all["known"] = json.RawMessage(site.known())
				}
			}
			require.NoError(t, h.offerConfig(withKnown(control.addrs["control"])))
			h.waitServing()
			require.NotZero(t, site.sent[0].Load())
			close(site.drains)
			require.Eventually(t, func() bool {
				h.newClient().requestStatus("position-read", "base")
				return site.sent[1].Load() > 0
			}, 20*time.Second, 10*time.Millisecond, "the initiator did not hear of the drain")
			site.silent.Store(true)
			if c.moves {
				discoveryAddr = control.addrs["accounts"] // nothing listens there
			}
			before := site.sent[0].Load()
			for _, addr := range []string{control.addrs["nvme"], control.addrs["control"]}[:c.changes] {
				require.NoError(t, h.offerConfig(withKnown(addr)))
			}
			require.Eventually(t, func() bool { return strings.Count(h.log.String(), "for=control") == c.changes }, 20*time.Second, 10*time.Millisecond)
			for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				require.Equal(t, http.StatusOK, h.newClient().requestStatus("position-read", "base"))
			}
			require.Equal(t, before, site.sent[0].Load(), "requests to the target that drains")
		})
	}
}
