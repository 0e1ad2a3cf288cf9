package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/targetlist"
)

// TestListOfAnotherProcess guards against a watcher that ignores what another process of its initiator was told while discovery is silent, that asks another
// service for changes since a version of that one, or that takes an older list once discovery has answered.
func TestListOfAnotherProcess(t *testing.T) {
	for _, c := range []struct {
		name         string
		offered      bool // by Offer; otherwise known at the start
		sameService  bool
		wantRequests string // all that come after it is delivered
	}{
		{"offered, of the same service", true, true, "/api/targets?after=9&wait_ms=1000"},
		{"offered, of another service", true, false, "/api/targets"},
		{"known at the start, of the same service", false, true, "/api/targets?after=9&wait_ms=1000"},
		{"known at the start, of another service", false, false, "/api/targets"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			requests := make(chan string, 64)
			var answers atomic.Bool
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				requests <- q.URL.String()
				if !answers.Load() || q.URL.Query().Get("after") == "20" {
					<-q.Context().Done()
					return
				}
				fmt.Fprint(w, listJSON(20, true, entryJSON))
			}))
			t.Cleanup(service.Close)
			list, err := targetlist.Decode([]byte(listJSON(9, true, entryJSON)))
			require.NoError(t, err)
			list.Origin = "127.0.0.1:1"
			if c.sameService {
				list.Origin = strings.TrimPrefix(service.URL, "http://")
			}
			opt := Options{Addr: strings.TrimPrefix(service.URL, "http://"), Log: discardLog}
			if !c.offered {
				opt.LastKnown = list
			}
			delivered := make(chan int64, 64)
			w := New(opt, func(l *targetlist.List) { delivered <- *l.Version })
			go w.Run(t.Context())
			if c.offered {
				require.Equal(t, "/api/targets", <-requests)
				w.Offer(list)
			}
			require.EqualValues(t, 9, await(t, delivered))
			for range 2 {
				require.Equal(t, c.wantRequests, await(t, requests))
			}
			answers.Store(true)
			require.EqualValues(t, 20, await(t, delivered))
			w.Offer(list)
			select {
			case version := <-delivered:
				t.Errorf("version %d was delivered after discovery had answered", version)
			case <-time.After(200 * time.Millisecond):
			}
		})
	}
}

// await receives with a time limit.
func await[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came in 20 s")
		panic("unreachable")
	}
}
