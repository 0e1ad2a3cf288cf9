package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/datapath/targetlist"
)

var discardLog = slog.New(slog.DiscardHandler)

const entryJSON = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func listJSON(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestWatchSequence plays a sequence of answers and checks the requests and the delivered versions: a watch continues from the
// last version, also after a failed call, and after an invalid answer the full list is requested.
func TestWatchSequence(t *testing.T) {
	answers := []struct {
		status  int
		body    string
		request string // the request it answers
	}{
		{200, listJSON(5, true, entryJSON), "/api/targets?after=3&wait_ms=1000"},
		{200, listJSON(6, false, strings.Replace(entryJSON, "SERVING", "DRAINING", 1)), "/api/targets?after=5&wait_ms=1000"},
		{200, listJSON(6, false), "/api/targets?after=6&wait_ms=1000"},
		{500, "", "/api/targets?after=6&wait_ms=1000"},
		{200, "nonsense", "/api/targets?after=6&wait_ms=1000"},
		{200, listJSON(7, false, entryJSON), "/api/targets"}, // a change in answer to a request for the full list
		{200, listJSON(8, true, entryJSON), "/api/targets"},
		{200, listJSON(2, false, entryJSON), "/api/targets?after=8&wait_ms=1000"}, // older than the held version
		{200, listJSON(9, true, entryJSON), "/api/targets"},
	}
	requests := make(chan string, 64)
	answered := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.String()
		if answered == len(answers) {
			<-r.Context().Done()
			return
		}
		a := answers[answered]
		answered++
		w.WriteHeader(a.status)
		fmt.Fprint(w, a.body)
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	delivered := make(chan int64, 64)
	known, err := targetlist.Decode([]byte(listJSON(3, false, entryJSON)))
	if err != nil {
		t.Fatal(err)
	}
	w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), LastKnown: known, Log: discardLog}, func(l *targetlist.List) { delivered <- *l.Version })
	go w.Run(ctx)
	for i, a := range answers {
		if got := <-requests; got != a.request {
			t.Fatalf("call %d requested %q, want %q", i, got, a.request)
		}
	}
	<-requests
	for _, want := range []int64{3, 5, 6, 8, 9} {
		if got := <-delivered; got != want {
			t.Errorf("delivered version %d, want %d", got, want)
		}
	}
}

// TestSilentCallTimesOut checks that a call ends when discovery keeps the connection open and sends nothing.
func TestSilentCallTimesOut(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	w := New(Options{Log: discardLog}, nil)
	if _, err := w.fetch(context.Background(), s.URL+"/api/targets", 50*time.Millisecond); err == nil {
		t.Error("a call without an answer succeeded")
	}
}

// TestSilentWatchIsReplaced guards against a watch whose connection fell silent, which looks like a list that does not change.
// Another call must follow soon, since requests go to draining targets meanwhile.
func TestSilentWatchIsReplaced(t *testing.T) {
	requests := make(chan string, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path + r.URL.RawQuery
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, listJSON(5, true, entryJSON))
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), Log: discardLog}, func(*targetlist.List) {})
	go w.Run(ctx)
	<-requests
	<-requests
	select {
	case <-requests:
	case <-time.After(3 * time.Second):
		t.Error("no call replaced a silent watch within 3 s")
	}
}

// TestSharedServiceStart guards against overload of a shared service at a common start. In day-long fleet runs 56 initiators
// requested the list at once, the service went on processing the calls that they had cancelled, and none ever got a list.
func TestSharedServiceStart(t *testing.T) {
	const initiators, callCost, maxWait = 20, 30 * time.Millisecond, 150 * time.Millisecond
	var mu sync.Mutex
	var freeAt time.Time // when the service is done with all calls so far, cancelled ones too
	failed := 0
	answered := make(chan string, 4*initiators)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if now := time.Now(); freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(callCost)
		wait := time.Until(freeAt)
		if wait > maxWait {
			failed++
		}
		mu.Unlock()
		time.Sleep(min(wait, maxWait))
		if wait > maxWait {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, listJSON(5, true, entryJSON))
		answered <- r.RemoteAddr
	}))
	defer s.Close()
	known, err := targetlist.Decode([]byte(listJSON(3, false, entryJSON)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	for seed := range uint64(initiators) {
		delivered := make(chan int64, 4)
		w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), LastKnown: known, Initiators: initiators, Seed: seed, Log: discardLog},
			func(l *targetlist.List) { delivered <- *l.Version })
		watchCtx, stopWatcher := context.WithCancel(ctx)
		all.Go(func() {
			defer stopWatcher() // after its first list: a continued watch costs the service nothing
			for version := range delivered {
				if version == 5 {
					return
				}
			}
		})
		go w.Run(watchCtx)
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Errorf("%d of %d have a list after 10 s", len(answered), initiators)
	}
	mu.Lock()
	defer mu.Unlock()
	if failed > initiators/4 {
		t.Errorf("%d calls failed, with %d initiators that need one call each", failed, initiators)
	}
}

// TestRetryPauses checks that the pauses after any number of failed calls are bounded and spread.
func TestRetryPauses(t *testing.T) {
	for _, initiators := range []int{0, 80} {
		w := New(Options{Initiators: 7, Seed: 7, Log: discardLog}, nil)
		w.SetInitiators(initiators)
		maxPause := retryMax*3/2 + time.Duration(initiators)*slotTime*8
		seen := map[time.Duration]bool{}
		for failures := 1; failures < 100; failures++ {
			p := w.retryPause(failures)
			if p < retryInitial/2 || p > maxPause {
				t.Errorf("%d initiators: a pause of %v after %d failed calls", initiators, p, failures)
			}
			seen[p.Round(10*time.Millisecond)] = true
		}
		if len(seen) < 20 {
			t.Errorf("%d initiators: pauses are not spread: %v", initiators, seen)
		}
	}
}

// TestAddressChange changes the address twice while a watch waits: the full list is requested at once at the last address,
// even though its version is older, and the old address gets no more calls.
func TestAddressChange(t *testing.T) {
	serve := func(version int) (*httptest.Server, chan string) {
		requests := make(chan string, 64)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- r.URL.String()
			if r.URL.Query().Has("after") {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, listJSON(version, true, entryJSON))
		}))
		t.Cleanup(s.Close)
		return s, requests
	}
	first, firstRequests := serve(9)
	second, secondRequests := serve(4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	delivered := make(chan int64, 64)
	w := New(Options{Addr: strings.TrimPrefix(first.URL, "http://"), Log: discardLog}, func(l *targetlist.List) { delivered <- *l.Version })
	go w.Run(ctx)
	for _, want := range []string{"/api/targets", "/api/targets?after=9&wait_ms=1000"} {
		if got := <-firstRequests; got != want {
			t.Fatalf("requested %q at the first address, want %q", got, want)
		}
	}
	w.SetAddr("127.0.0.1:1")
	w.SetAddr(strings.TrimPrefix(second.URL, "http://"))
	for _, want := range []string{"/api/targets", "/api/targets?after=4&wait_ms=1000"} {
		if got := <-secondRequests; got != want {
			t.Fatalf("requested %q at the new address, want %q", got, want)
		}
	}
	for _, want := range []int64{9, 4} {
		if got := <-delivered; got != want {
			t.Errorf("delivered version %d, want %d", got, want)
		}
	}
	if len(firstRequests) > 0 {
		t.Errorf("another request at the old address: %q", <-firstRequests)
	}
}
