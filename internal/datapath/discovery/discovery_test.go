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

	"spindlehitch/internal/datapath/listing"
)

var quiet = slog.New(slog.DiscardHandler)

const one = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func list(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestWatch plays discovery's answers in turn and checks what is asked and told: a watch goes on from the last
// version, also after a call that failed, and after an answer that makes no sense the whole list is asked for.
func TestWatch(t *testing.T) {
	answers := []struct {
		status int
		body   string
		ask    string // what must have been asked
	}{
		{200, list(5, true, one), "/api/targets?after=3&wait_ms=1000"},
		{200, list(6, false, strings.Replace(one, "SERVING", "DRAINING", 1)), "/api/targets?after=5&wait_ms=1000"},
		{200, list(6, false), "/api/targets?after=6&wait_ms=1000"},
		{500, "", "/api/targets?after=6&wait_ms=1000"},
		{200, "nonsense", "/api/targets?after=6&wait_ms=1000"},
		{200, list(7, false, one), "/api/targets"}, // a change where the whole list was due
		{200, list(8, true, one), "/api/targets"},
		{200, list(2, false, one), "/api/targets?after=8&wait_ms=1000"}, // went back
		{200, list(9, true, one), "/api/targets"},
	}
	asked := make(chan string, 64)
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if n == len(answers) {
			<-r.Context().Done()
			return
		}
		a := answers[n]
		n++
		w.WriteHeader(a.status)
		fmt.Fprint(w, a.body)
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told := make(chan int64, 64)
	known, err := listing.Decode([]byte(list(3, false, one)))
	if err != nil {
		t.Fatal(err)
	}
	w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), LastKnown: known, Log: quiet}, func(l *listing.List) { told <- *l.Version })
	go w.Run(ctx)
	for i, a := range answers {
		if got := <-asked; got != a.ask {
			t.Fatalf("call %d asked %q, want %q", i, got, a.ask)
		}
	}
	<-asked
	for _, want := range []int64{3, 5, 6, 8, 9} {
		if got := <-told; got != want {
			t.Errorf("told of version %d, want %d", got, want)
		}
	}
}

// TestSilence guards against a discovery that is down and keeps the connection open: the call is given up.
func TestSilence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	w := New(Options{Log: quiet}, nil)
	if _, err := w.fetch(context.Background(), s.URL+"/api/targets", 50*time.Millisecond); err == nil {
		t.Error("a silent call came to something")
	}
}

// TestSilentWatch guards against a watch that fell silent while discovery goes on: it looks like a list that does not
// change. What came since must be asked for soon, since targets that drain are sent to meanwhile.
func TestSilentWatch(t *testing.T) {
	asked := make(chan string, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path + r.URL.RawQuery
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list(5, true, one))
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), Log: quiet}, func(*listing.List) {})
	go w.Run(ctx)
	<-asked
	<-asked
	select {
	case <-asked:
	case <-time.After(3 * time.Second):
		t.Error("a silent watch is still waited for after 3 s")
	}
}

// TestOneServiceForAll guards against what the fleet's days showed: 56 initiators that started at once asked one service
// for the list at once, it went on with the calls that they gave up, and until the day's end none of them had a list.
func TestOneServiceForAll(t *testing.T) {
	const crowd, work, most = 20, 30 * time.Millisecond, 150 * time.Millisecond
	var mu sync.Mutex
	var free time.Time // when the service has done what came so far, whether anybody still waits for it or not
	failed := 0
	watching := make(chan string, 4*crowd)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if now := time.Now(); free.Before(now) {
			free = now
		}
		free = free.Add(work)
		wait := time.Until(free)
		if wait > most {
			failed++
		}
		mu.Unlock()
		time.Sleep(min(wait, most))
		if wait > most {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, list(5, true, one))
		watching <- r.RemoteAddr
	}))
	defer s.Close()
	known, err := listing.Decode([]byte(list(3, false, one)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	for seed := range uint64(crowd) {
		told := make(chan int64, 4)
		w := New(Options{Addr: strings.TrimPrefix(s.URL, "http://"), LastKnown: known, Initiators: crowd, Seed: seed, Log: quiet},
			func(l *listing.List) { told <- *l.Version })
		at, enough := context.WithCancel(ctx)
		all.Go(func() {
			defer enough() // one list each: what goes on costs the service nothing
			for version := range told {
				if version == 5 {
					return
				}
			}
		})
		go w.Run(at)
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Errorf("%d of %d have a list after 10 s", len(watching), crowd)
	}
	mu.Lock()
	defer mu.Unlock()
	if failed > crowd/4 {
		t.Errorf("%d calls failed where %d initiators ask once", failed, crowd)
	}
}

// TestPauses bounds the waits, whatever fails for how long, and spreads them.
func TestPauses(t *testing.T) {
	for _, crowd := range []int{0, 80} {
		w := New(Options{Initiators: 7, Seed: 7, Log: quiet}, nil)
		w.SetInitiators(crowd)
		most := retryMost*3/2 + time.Duration(crowd)*turnFor*8
		seen := map[time.Duration]bool{}
		for failed := 1; failed < 100; failed++ {
			p := w.pause(failed)
			if p < retryAfter/2 || p > most {
				t.Errorf("crowd %d: a pause of %v after %d failed calls", crowd, p, failed)
			}
			seen[p.Round(10*time.Millisecond)] = true
		}
		if len(seen) < 20 {
			t.Errorf("crowd %d: pauses are in step: %v", crowd, seen)
		}
	}
}

// TestMove has discovery move twice while a watch waits: the whole list is asked for at once at the last address,
// also where its version is an older one, and the connections to the first are closed.
func TestMove(t *testing.T) {
	serve := func(version int) (*httptest.Server, chan string) {
		asked := make(chan string, 64)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.String()
			if r.URL.Query().Has("after") {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, list(version, true, one))
		}))
		t.Cleanup(s.Close)
		return s, asked
	}
	first, askedFirst := serve(9)
	second, askedSecond := serve(4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told := make(chan int64, 64)
	w := New(Options{Addr: strings.TrimPrefix(first.URL, "http://"), Log: quiet}, func(l *listing.List) { told <- *l.Version })
	go w.Run(ctx)
	for _, want := range []string{"/api/targets", "/api/targets?after=9&wait_ms=1000"} {
		if got := <-askedFirst; got != want {
			t.Fatalf("at first %q was asked, want %q", got, want)
		}
	}
	w.SetAddr("127.0.0.1:1")
	w.SetAddr(strings.TrimPrefix(second.URL, "http://"))
	for _, want := range []string{"/api/targets", "/api/targets?after=4&wait_ms=1000"} {
		if got := <-askedSecond; got != want {
			t.Fatalf("after the move %q was asked, want %q", got, want)
		}
	}
	for _, want := range []int64{9, 4} {
		if got := <-told; got != want {
			t.Errorf("told of version %d, want %d", got, want)
		}
	}
	if len(askedFirst) > 0 {
		t.Errorf("the old address was asked again: %q", <-askedFirst)
	}
}
