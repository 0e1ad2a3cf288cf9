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

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/testbed/virtualtime"
)

// faultyService is a fake service in virtual time whose calls fail as a test sets it: each call takes the next fault of the list.
type faultyService struct {
	*sharedService
	faultMu sync.Mutex
	faults  []string // of the next calls, starting with the watch that is open when they are set
	always  string   // the fault of every call, while not empty
	calls   int
}

// nextFault takes the next fault from the list; for a dial only if it is a fault of dials.
func (f *faultyService) nextFault(dial bool) string {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if !dial {
		f.calls++
	}
	if f.calls > 10_000 {
		return "silent" // ends a loop of calls in which virtual time does not advance
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

func (f *faultyService) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch f.nextFault(true) {
	case "refused":
		return nil, errors.New("refused")
	case "dial hangs":
		select {
		case <-ctx.Done():
		case <-time.After(time.Second): // the watcher's dial timeout
		}
		return nil, context.DeadlineExceeded
	}
	return f.dial("one")(ctx, "", "")
}

func (f *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := f.nextFault(false)
	if fault == "" {
		f.mu.Lock()
		silenced := f.silenced
		f.mu.Unlock()
		returned := make(chan struct{})
		callCtx, stop := context.WithCancel(r.Context())
		go func() {
			defer stop()
			select {
			case <-silenced:
			case <-returned:
			}
		}()
		f.sharedService.ServeHTTP(w, r.WithContext(callCtx))
		close(returned)
		select {
		case <-silenced: // the call was open when the faults were set
			fault = f.nextFault(false)
		default:
			return
		}
	}
	switch fault {
	case "", "silent", "dial hangs":
		<-r.Context().Done()
	case "reset", "refused":
		panic(http.ErrAbortHandler)
	case "truncated", "stuck":
		w.Header().Set("Content-Length", "500")
		fmt.Fprint(w, listJSON(6, true, entryJSON)[:40])
		w.(http.Flusher).Flush()
		if fault == "truncated" {
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
	case "redirect":
		http.Redirect(w, r, "http://elsewhere/api/targets", http.StatusFound)
	case "older version":
		fmt.Fprint(w, listJSON(2, false, entryJSON))
	case "long header":
		w.Header().Set("X", strings.Repeat("x", 1<<20))
		fmt.Fprint(w, listJSON(7, true, entryJSON))
	case "huge":
		fmt.Fprint(w, listJSON(7, true, strings.Repeat(entryJSON+",", maxListBytes/len(entryJSON))+entryJSON))
	default:
		fmt.Fprint(w, fault)
	}
}

// repeatFault returns n times the fault.
func repeatFault(fault string, n int) []string {
	return strings.Split(strings.Repeat(fault+"|", n-1)+fault, "|")
}

// TestDeliveryTimeByFault checks the 6 s bound for each kind of fault. The change is published when the faults start, at various points
// of a watch: the first fault meets the open watch, the next ones the calls after it. Then the service answers again.
func TestDeliveryTimeByFault(t *testing.T) {
	const pushed, shared = 0, 300
	long := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name       string
		initiators int
		faults     []string
		maxTime    time.Duration // until the change is delivered
	}{
		{"pushed, silent", pushed, repeatFault("silent", 1), 1600 * time.Millisecond},
		{"pushed, silent again at the next call", pushed, repeatFault("silent", 2), 2100 * time.Millisecond},
		{"pushed, silent nine times", pushed, repeatFault("silent", 9), 5600 * time.Millisecond},
		{"pushed, silent from the first call", pushed, repeatFault("silent", 1), 1600 * time.Millisecond},
		{"pushed, silent nine times from the first call", pushed, repeatFault("silent", 9), 5600 * time.Millisecond},
		{"pushed, silent nine times from the first call, no known list", pushed, repeatFault("silent", 9), 4800 * time.Millisecond},
		{"pushed, dials hang from the first call", pushed, repeatFault("dial hangs", 5), 4 * time.Second},
		{"pushed, dials hang", pushed, append(repeatFault("reset", 1), repeatFault("dial hangs", 4)...), 3 * time.Second},
		{"pushed, refused", pushed, append(repeatFault("reset", 1), repeatFault("refused", 4)...), 2 * time.Second},
		{"pushed, truncated answer", pushed, repeatFault("truncated", 3), time.Second},
		{"pushed, stuck within an answer", pushed, repeatFault("stuck", 3), 3 * time.Second},
		{"pushed, answer trickles in", pushed, repeatFault("trickles", 3), 3 * time.Second},
		{"pushed, an error, garbage, wrong types, null", pushed, []string{"500", "nonsense", `{"version":"6"}`, "null"}, 2 * time.Second},
		{"pushed, not a list", pushed, []string{"[]", `{"version":6,"full":true,"servers":{}}`, `{"version":6,"servers":[null]}`}, 2 * time.Second},
		{"pushed, redirected", pushed, repeatFault("redirect", 2), time.Second},
		{"pushed, oversized list and header", pushed, []string{"huge", "long header"}, time.Second},
		{"pushed, oversized fields", pushed, []string{strings.Replace(listJSON(6, true, entryJSON), "SERVING", long, 1), strings.Replace(listJSON(6, true, entryJSON), "127.0.0.1:1", long, 1)}, time.Second},
		{"pushed, older version", pushed, repeatFault("older version", 1), 500 * time.Millisecond},
		{"pushed, several faults in a row", pushed, []string{"silent", "refused", "older version", "dial hangs", "truncated", "silent", "nonsense"}, 5 * time.Second},
		{"shared by 300, silent", shared, repeatFault("silent", 1), 3700 * time.Millisecond},
		{"shared by 300, silent from the first call", shared, repeatFault("silent", 1), 4600 * time.Millisecond},
		{"shared by 300, silent from the first call, no known list", shared, repeatFault("silent", 1), 2600 * time.Millisecond},
		{"shared by 10, silent again from the first call", 10, repeatFault("silent", 2), 4 * time.Second},
		{"shared by 300, silent again", shared, repeatFault("silent", 2), 5900 * time.Millisecond},
		{"shared by 5, silent four times", 5, repeatFault("silent", 4), 6 * time.Second},
		{"shared by 300, refused", shared, append(repeatFault("reset", 1), "refused"), 4800 * time.Millisecond},
		{"shared by 300, truncated answer", shared, repeatFault("truncated", 1), 2400 * time.Millisecond},
		{"shared by 300, older version", shared, repeatFault("older version", 1), 2600 * time.Millisecond},
		{"shared by 300, garbage", shared, repeatFault("nonsense", 1), 2600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			fromStart := strings.Contains(c.name, "first call")
			for seed := range uint64(10) {
				virtualtime.Test(t, func(t *testing.T) {
					service, deliveredWithin, log, w := newFaultySetup(t, c.initiators, seed, !strings.Contains(c.name, "no known list"))
					if !fromStart {
						go w.Run(t.Context())
						time.Sleep(10*time.Second + time.Duration(seed)*142*time.Millisecond)
					}
					service.faultMu.Lock()
					service.faults = c.faults
					service.faultMu.Unlock()
					service.change(true)
					if fromStart {
						go w.Run(t.Context())
					}
					require.LessOrEqual(t, deliveredWithin(6), c.maxTime, "seed %d", seed)
					time.Sleep(time.Second)
					synctest.Wait()
					require.Empty(t, service.faults, "all faults occurred")
					require.Equal(t, 1, strings.Count(log.String(), "LIST_FAILED"), "one line for the outage")
					require.Less(t, log.Len(), 1000)
				})
			}
		})
	}
}

// newFaultySetup returns a faulty service and its watcher, which holds version 5 or no list. deliveredWithin waits for a version and
// returns how long that took.
func newFaultySetup(t *testing.T, initiators int, seed uint64, hasList bool) (service *faultyService, deliveredWithin func(int64) time.Duration, log *bytes.Buffer, w *Watcher) {
	service = &faultyService{sharedService: newSharedService(time.Minute)}
	service.serve(service)
	var known *targetlist.List
	if hasList {
		var err error
		known, err = targetlist.Decode([]byte(listJSON(5, true, entryJSON)))
		require.NoError(t, err)
	}
	delivered := make(chan int64, 64)
	log = &bytes.Buffer{}
	w = New(Options{Addr: "all", LastKnown: known, Initiators: initiators, Seed: seed, Log: slog.New(slog.NewTextHandler(log, nil))},
		func(l *targetlist.List) { delivered <- *l.Version })
	w.client.Transport.(*http.Transport).DialContext = service.Dial
	t.Cleanup(func() {
		time.Sleep(time.Minute) // for the watcher to end
		close(service.conns)
		synctest.Wait()
	})
	return service, func(version int64) time.Duration {
		began := time.Now()
		for v := range delivered {
			require.LessOrEqual(t, v, version, "an invalid list was delivered")
			if v == version {
				break
			}
		}
		return time.Since(began)
	}, log, w
}

// TestRecoveryAfterOutage checks that after an outage of some seconds, by each kind of fault, at the start or later, the change is delivered
// within the bound after discovery works again, also if its address changed meanwhile.
func TestRecoveryAfterOutage(t *testing.T) { //nolint:gocognit // one scenario, step by step
	for _, initiators := range []int{0, 5, 300} {
		for _, fault := range []string{"silent", "refused", "dial hangs", "500", "nonsense", "truncated"} {
			for _, how := range []string{"at the start", "later", "new address"} {
				t.Run(fmt.Sprintf("%d, %s, %s", initiators, fault, how), func(t *testing.T) {
					for seed := range uint64(4) {
						virtualtime.Test(t, func(t *testing.T) {
							service, deliveredWithin, log, w := newFaultySetup(t, initiators, seed, true)
							setFault := func(fault string) {
								service.faultMu.Lock()
								defer service.faultMu.Unlock()
								service.always = fault
							}
							if how != "at the start" {
								go w.Run(t.Context())
								time.Sleep(10 * time.Second)
							}
							setFault(fault)
							service.change(true)
							if how == "at the start" {
								go w.Run(t.Context())
							}
							if how == "new address" {
								time.Sleep(2 * time.Second)
								w.SetAddr("another")
							}
							time.Sleep(8*time.Second + time.Duration(seed)*666*time.Millisecond)
							setFault("")
							maxTime := time.Second
							if initiators > 0 {
								maxTime = 5 * time.Second
							}
							require.LessOrEqual(t, deliveredWithin(6), maxTime, "seed %d", seed)
							synctest.Wait()
							require.LessOrEqual(t, strings.Count(log.String(), "LIST_FAILED"), 2, "one line for the outage at each address")
							require.Less(t, service.calls, 200)
						})
					}
				})
			}
		}
	}
}

// TestEmptyAnswersAreRateLimited checks that a service that answers without waiting is called ten times a second, not in a tight loop.
func TestEmptyAnswersAreRateLimited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service, _, _, w := newFaultySetup(t, 0, 1, true)
		service.always = listJSON(5, false)
		go w.Run(t.Context())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.InDelta(t, 100, service.calls, 10)
	})
}

// TestRepeatedSilenceOfAWorkingWatch lets a working watch fall silent twenty times within a quarter of an hour, with a change at that
// moment or some time later: earlier silences do not delay the delivery.
func TestRepeatedSilenceOfAWorkingWatch(t *testing.T) {
	for _, c := range []struct {
		initiators            int
		maxTime, maxTimeAgain time.Duration // from the silence to the delivery; the same if the next call is silent too
	}{{0, 1600 * time.Millisecond, 2100 * time.Millisecond}, {4, 2300 * time.Millisecond, 3300 * time.Millisecond}, {300, 3700 * time.Millisecond, 5900 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.initiators), func(t *testing.T) {
			for seed := range uint64(5) {
				virtualtime.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, seed))
					service, deliveredWithin, log, w := newFaultySetup(t, c.initiators, seed, true)
					go w.Run(t.Context())
					for i := range 20 {
						time.Sleep(13*time.Second + time.Duration(rng.IntN(60_000))*time.Millisecond)
						service.faultMu.Lock()
						service.faults = repeatFault("silent", 1+i%2)
						service.faultMu.Unlock()
						service.mu.Lock() // the open watch falls silent before the change
						close(service.silenced)
						service.silenced = make(chan struct{})
						service.mu.Unlock()
						changeAfter := time.Duration(i%5) * 300 * time.Millisecond
						time.Sleep(changeAfter)
						service.change(false)
						require.LessOrEqual(t, changeAfter+deliveredWithin(int64(6+i)), []time.Duration{c.maxTime, c.maxTimeAgain}[i%2], "seed %d, silence %d", seed, i)
					}
					time.Sleep(time.Second)
					synctest.Wait()
					require.Equal(t, 20, strings.Count(log.String(), "LIST_FAILED"), "one line for each")
				})
			}
		})
	}
}
