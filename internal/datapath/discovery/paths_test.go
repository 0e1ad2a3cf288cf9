package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/testbed/virtualtime"
)

// faulty is a service in a bubble's time whose calls go wrong as a test says: each takes the next fault there is.
type faulty struct {
	*inTurn
	at     sync.Mutex
	faults []string // of the calls that come, and of the watch that is open when they are set
	always string   // of all calls, until it is taken back
	calls  int
}

// next is what goes wrong with a call. Where dials are asked about, it is taken only if it is theirs.
func (f *faulty) next(dial bool) string {
	f.at.Lock()
	defer f.at.Unlock()
	if !dial {
		f.calls++
	}
	if f.calls > 10_000 {
		return "silent" // or time would stand still
	}
	if f.always != "" {
		return f.always
	}
	if len(f.faults) == 0 || dial && f.faults[0] != "refused" && f.faults[0] != "dial hangs" {
		return ""
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

func (f *faulty) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch f.next(true) {
	case "refused":
		return nil, errors.New("refused")
	case "dial hangs":
		select {
		case <-ctx.Done():
		case <-time.After(time.Second): // as the watcher's own dialer has it
		}
		return nil, context.DeadlineExceeded
	}
	return f.dial("one")(ctx, "", "")
}

func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := f.next(false)
	if fault == "" {
		f.mu.Lock()
		cut := f.cut
		f.mu.Unlock()
		ended := make(chan struct{})
		struck, stop := context.WithCancel(r.Context())
		go func() {
			defer stop()
			select {
			case <-cut:
			case <-ended:
			}
		}()
		f.inTurn.ServeHTTP(w, r.WithContext(struck))
		close(ended)
		select {
		case <-cut: // it was open as the faults were set
			fault = f.next(false)
		default:
			return
		}
	}
	switch fault {
	case "", "silent", "dial hangs":
		<-r.Context().Done()
	case "reset", "refused":
		panic(http.ErrAbortHandler)
	case "half", "stuck":
		w.Header().Set("Content-Length", "500")
		fmt.Fprint(w, list(6, true, one)[:40])
		w.(http.Flusher).Flush()
		if fault == "half" {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
	case "trickles":
		for r.Context().Err() == nil {
			fmt.Fprint(w, " ")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	case "500":
		w.WriteHeader(500)
	case "elsewhere":
		http.Redirect(w, r, "http://elsewhere/api/targets", http.StatusFound)
	case "goes back":
		fmt.Fprint(w, list(2, false, one))
	case "long head":
		w.Header().Set("X", strings.Repeat("x", 1<<20))
		fmt.Fprint(w, list(7, true, one))
	case "huge":
		fmt.Fprint(w, list(7, true, strings.Repeat(one+",", maxList/len(one))+one))
	default:
		fmt.Fprint(w, fault)
	}
}

// many is a fault so many times.
func many(fault string, n int) []string {
	return strings.Split(strings.Repeat(fault+"|", n-1)+fault, "|")
}

// TestEveryPath holds each way in which calls go wrong against the 6 s, with the service's change made in that very moment, from many moments
// of a watch: what the watch that is open meets, and the calls after it in turn. The service answers in the end.
func TestEveryPath(t *testing.T) {
	const pushed, asked = 0, 300
	long := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name   string
		crowd  int
		faults []string
		most   time.Duration // until told
	}{
		{"pushed, silent", pushed, many("silent", 1), 1600 * time.Millisecond},
		{"pushed, silent again as it is opened anew", pushed, many("silent", 2), 2100 * time.Millisecond},
		{"pushed, silent nine times", pushed, many("silent", 9), 5600 * time.Millisecond},
		{"pushed, silent from the first moment", pushed, many("silent", 1), 1600 * time.Millisecond},
		{"pushed, silent nine times from the first moment", pushed, many("silent", 9), 5600 * time.Millisecond},
		{"pushed, silent nine times from the first moment, nothing known", pushed, many("silent", 9), 4800 * time.Millisecond},
		{"pushed, dials hang from the first moment", pushed, many("dial hangs", 5), 4 * time.Second},
		{"pushed, dials hang", pushed, append(many("reset", 1), many("dial hangs", 4)...), 3 * time.Second},
		{"pushed, refused", pushed, append(many("reset", 1), many("refused", 4)...), 2 * time.Second},
		{"pushed, half an answer", pushed, many("half", 3), time.Second},
		{"pushed, stuck in an answer", pushed, many("stuck", 3), 3 * time.Second},
		{"pushed, an answer that trickles", pushed, many("trickles", 3), 3 * time.Second},
		{"pushed, an error, garbage, wrong types, nothing", pushed, []string{"500", "nonsense", `{"version":"6"}`, "null"}, 2 * time.Second},
		{"pushed, not a list", pushed, []string{"[]", `{"version":6,"full":true,"servers":{}}`, `{"version":6,"servers":[null]}`}, 2 * time.Second},
		{"pushed, sent elsewhere", pushed, many("elsewhere", 2), time.Second},
		{"pushed, huge", pushed, []string{"huge", "long head"}, time.Second},
		{"pushed, long words", pushed, []string{strings.Replace(list(6, true, one), "SERVING", long, 1), strings.Replace(list(6, true, one), "127.0.0.1:1", long, 1)}, time.Second},
		{"pushed, the version goes back", pushed, many("goes back", 1), 500 * time.Millisecond},
		{"pushed, all of it", pushed, []string{"silent", "refused", "goes back", "dial hangs", "half", "silent", "nonsense"}, 5 * time.Second},
		{"asked for by 300, silent", asked, many("silent", 1), 3700 * time.Millisecond},
		{"asked for by 300, silent from the first moment", asked, many("silent", 1), 4600 * time.Millisecond},
		{"asked for by 300, silent from the first moment, nothing known", asked, many("silent", 1), 2600 * time.Millisecond},
		{"asked for by 10, silent again from the first moment", 10, many("silent", 2), 4 * time.Second},
		{"asked for by 300, silent again", asked, many("silent", 2), 5900 * time.Millisecond},
		{"asked for by 5, silent four times", 5, many("silent", 4), 6 * time.Second},
		{"asked for by 300, refused", asked, append(many("reset", 1), "refused"), 4800 * time.Millisecond},
		{"asked for by 300, half an answer", asked, many("half", 1), 2400 * time.Millisecond},
		{"asked for by 300, the version goes back", asked, many("goes back", 1), 2600 * time.Millisecond},
		{"asked for by 300, garbage", asked, many("nonsense", 1), 2600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := strings.Contains(c.name, "first moment")
			for seed := range uint64(10) {
				virtualtime.Test(t, func(t *testing.T) {
					f, told, log, w := bubble(t, c.crowd, seed, !strings.Contains(c.name, "nothing known"))
					if !first {
						go w.Run(t.Context())
						time.Sleep(10*time.Second + time.Duration(seed)*142*time.Millisecond)
					}
					f.at.Lock()
					f.faults = c.faults
					f.at.Unlock()
					f.change(true)
					if first {
						go w.Run(t.Context())
					}
					require.LessOrEqual(t, told(6), c.most, "seed %d", seed)
					time.Sleep(time.Second)
					synctest.Wait()
					require.Empty(t, f.faults, "all were met")
					require.Equal(t, 1, strings.Count(log.String(), "LIST_FAILED"), "one line for the outage")
					require.Less(t, log.Len(), 1000)
				})
			}
		})
	}
}

// bubble is a faulty service and a watcher of it that knows version 5, or nothing; told waits for a version, and says for how long.
func bubble(t *testing.T, crowd int, seed uint64, knows bool) (f *faulty, told func(int64) time.Duration, log *bytes.Buffer, w *Watcher) {
	f = &faulty{inTurn: newInTurn(time.Minute)}
	f.serve(f)
	var known *listing.List
	if knows {
		var err error
		known, err = listing.Decode([]byte(list(5, true, one)))
		require.NoError(t, err)
	}
	heard := make(chan int64, 64)
	log = &bytes.Buffer{}
	w = New(Options{Addr: "all", LastKnown: known, Initiators: crowd, Seed: seed, Log: slog.New(slog.NewTextHandler(log, nil))},
		func(l *listing.List) { heard <- *l.Version })
	w.call.Transport.(*http.Transport).DialContext = f.Dial
	t.Cleanup(func() {
		time.Sleep(time.Minute) // the watcher has ended
		close(f.conns)
		synctest.Wait()
	})
	return f, func(version int64) time.Duration {
		began := time.Now()
		for v := range heard {
			require.LessOrEqual(t, v, version, "what made no sense was told")
			if v == version {
				break
			}
		}
		return time.Since(began)
	}, log, w
}

// TestReturns has discovery be down for some seconds, in each way, at the start or later, and come back: what it has by then is told within the
// bound from there on, also at an address that was moved to meanwhile.
func TestReturns(t *testing.T) { //nolint:gocognit // one scenario, told in order
	for _, crowd := range []int{0, 5, 300} {
		for _, fault := range []string{"silent", "refused", "dial hangs", "500", "nonsense", "half"} {
			for _, how := range []string{"at the start", "later", "moved"} {
				t.Run(fmt.Sprintf("%d, %s, %s", crowd, fault, how), func(t *testing.T) {
					for seed := range uint64(4) {
						virtualtime.Test(t, func(t *testing.T) {
							f, told, log, w := bubble(t, crowd, seed, true)
							set := func(fault string) {
								f.at.Lock()
								defer f.at.Unlock()
								f.always = fault
							}
							if how != "at the start" {
								go w.Run(t.Context())
								time.Sleep(10 * time.Second)
							}
							set(fault)
							f.change(true)
							if how == "at the start" {
								go w.Run(t.Context())
							}
							if how == "moved" {
								time.Sleep(2 * time.Second)
								w.SetAddr("another")
							}
							time.Sleep(8*time.Second + time.Duration(seed)*666*time.Millisecond)
							set("")
							most := time.Second
							if crowd > 0 {
								most = 5 * time.Second
							}
							require.LessOrEqual(t, told(6), most, "seed %d", seed)
							synctest.Wait()
							require.LessOrEqual(t, strings.Count(log.String(), "LIST_FAILED"), 2, "one line for the outage at each address")
							require.Less(t, f.calls, 200)
						})
					}
				})
			}
		}
	}
}

// TestNothingNewTooSoon guards against a service that does not wait: it is asked ten times a second, not as often as it answers.
func TestNothingNewTooSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f, _, _, w := bubble(t, 0, 1, true)
		f.always = list(5, false)
		go w.Run(t.Context())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.InDelta(t, 100, f.calls, 10)
	})
}

// TestLateSilence has the watch fall silent late and again and again, in a quarter of an hour of a watch that works, with a change right then or some time
// after: what went before costs the next silence nothing.
func TestLateSilence(t *testing.T) {
	for _, c := range []struct {
		crowd       int
		most, again time.Duration // after the silence, and where the next call is silent too
	}{{0, 1600 * time.Millisecond, 2100 * time.Millisecond}, {4, 2300 * time.Millisecond, 3300 * time.Millisecond}, {300, 3700 * time.Millisecond, 5900 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.crowd), func(t *testing.T) {
			for seed := range uint64(5) {
				virtualtime.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, seed))
					f, told, log, w := bubble(t, c.crowd, seed, true)
					go w.Run(t.Context())
					for i := range 20 {
						time.Sleep(13*time.Second + time.Duration(rng.IntN(60_000))*time.Millisecond)
						f.at.Lock()
						f.faults = many("silent", 1+i%2)
						f.at.Unlock()
						f.mu.Lock() // silent, and nothing new yet
						close(f.cut)
						f.cut = make(chan struct{})
						f.mu.Unlock()
						later := time.Duration(i%5) * 300 * time.Millisecond
						time.Sleep(later)
						f.change(false)
						require.LessOrEqual(t, later+told(int64(6+i)), []time.Duration{c.most, c.again}[i%2], "seed %d, silence %d", seed, i)
					}
					time.Sleep(time.Second)
					synctest.Wait()
					require.Equal(t, 20, strings.Count(log.String(), "LIST_FAILED"), "one line for each")
				})
			}
		})
	}
}
