// Package discovery watches the discovery service's list of targets by long polling and delivers the list and its changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/mailbox"
)

// A change must be delivered within 6 s after discovery has it and is reachable, whatever failure a call met. Discovery is either the
// machine's own agent, which pushes changes to its initiator, or one service that all initiators share and that serves their calls one
// by one. The longest delay by failure, counted from when discovery answers again, or from when a watch fell silent:
//
//	                                  pushed by the agent               shared service, one initiator affected
//	refused, reset, truncated list    0.4 s (retry pause)               4.4 s (retry pause and queue)
//	invalid list, older version       0.4 s, then the full list         4.4 s, then the full list
//	call hangs, dials included        0.5 s (the next call)             4.2 s (the next call)
//	a watch falls silent              1.5 s                             3.5 s (1.5 s and queue)
//	and the next n calls too          1.5 s + 0.5 s each (up to 8)      3.5 s + 2.4 s (n = 1; n = 3 with 5 initiators)
//	silent from the first call on     1.5 s                             4.4 s (second call too: 8.5 s, with 10 initiators 3.6 s)
//	a new address comes up            0.4 s refused, 0.5 s silent       4.4 s refused, 4.2 s silent
//
// At a shared service the calls queued ahead come on top, 50 ms each: when all watches fall silent together, 80 initiators have the
// change after 5 s, 100 after 6.5 s, and of 300 90 % after 15 s and the last after 17 s, where the optimum is 14.7 and 16.3 s.
const (
	// watchWait is the wait of a long poll. It is short, since until it is over a silent connection cannot be distinguished from a
	// list that does not change: with 20 s, requests still went to targets that had long been replaced.
	watchWait = time.Second
	// openWait is the wait of the call that opens a watch at a shared service, apart from its time in the queue. It is short so
	// that a silent connection is detected soon; the following calls of the watch wait for watchWait.
	openWait = 50 * time.Millisecond
	// overdueAfter is how long after its wait an answer counts as overdue and another call is made. An agent on the same machine
	// answers at once; this is far above the delays of a busy process.
	overdueAfter = 500 * time.Millisecond
	// retryInitial is the pause after a failed call. It doubles with each further failure up to retryMax, with a jitter of 50 %
	// either way, so that initiators whose calls failed together do not retry in step.
	retryInitial = 100 * time.Millisecond
	retryMax     = 250 * time.Millisecond
	// slotTime is the time that is allowed for each initiator's call at a shared service: a call costs such a service 50 ms, more
	// for the lines of its answer, and the service also processes calls that were cancelled.
	slotTime = 60 * time.Millisecond
	// maxSpread is the longest time over which calls are spread, doubled after several failures. maxQueueWait is the longest time
	// that a call may spend in the service's queue before another one is made. The calls of hundreds of initiators take the service
	// longer than that, but a queued call keeps its place (see callTimeout), so that the service always works on calls whose
	// answers are awaited. Spread over queueTime instead, a change would take 18 s to reach one of 300 initiators whose watch
	// alone fell silent.
	maxSpread    = 2000 * time.Millisecond
	maxQueueWait = 1800 * time.Millisecond
	// maxQueueWaitAfterOverdue bounds the time in the queue when earlier calls were overdue too: a queue that long must not get
	// more calls, and a service that comes back after a silence is still called in time.
	maxQueueWaitAfterOverdue = 3600 * time.Millisecond
	// callTimeout and maxOpenCalls bound how long and how many overdue calls stay open beside newer ones: an overdue call may
	// merely be queued, and would lose its place.
	callTimeout    = time.Minute
	maxOpenCalls   = 5
	maxListBytes   = 4 << 20
	maxHeaderBytes = 64 << 10
	// maxLoggedError bounds the error text in the log, which may quote an invalid answer.
	maxLoggedError = 300
)

// Watcher calls discovery in one goroutine and delivers the lists from another, in order, through a mailbox. So a slow receiver
// does not delay the next call, which must follow the last answer within 200 ms.
type Watcher struct {
	opt        Options
	deliver    func(*targetlist.List)
	log        *slog.Logger
	rng        *rand.Rand
	client     http.Client
	lists      *mailbox.Box[*targetlist.List]
	addrs      *mailbox.Box[string]
	offers     *mailbox.Box[*targetlist.List]
	answered   bool // discovery has sent a valid list, or an offered one has taken its place
	initiators atomic.Int64
	version    int64 // of the list received last; -1: none
	retryDelay backoff.ExponentialBackOff
}

// Options are a watcher's settings at its start.
type Options struct {
	Addr       string
	LastKnown  *targetlist.List // the list received earlier, by this process or in an earlier run; nil: none
	Initiators int              // see SetInitiators
	Seed       uint64           // of the random pauses
	Log        *slog.Logger
}

// New returns a watcher. It first delivers the last known list as a full one, if there is one, however old, and then every
// list that discovery sends. A last known list of another service has another's version: the full list is requested then.
func New(opt Options, deliver func(*targetlist.List)) *Watcher {
	w := &Watcher{opt: opt, deliver: deliver, log: opt.Log, rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		lists: mailbox.New[*targetlist.List](), addrs: mailbox.New[string](), offers: mailbox.New[*targetlist.List](), version: -1,
		retryDelay: backoff.ExponentialBackOff{InitialInterval: retryInitial, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: retryMax}}
	w.SetInitiators(opt.Initiators)
	if known := opt.LastKnown; known != nil {
		full := *known
		full.Full = true
		w.lists.Put(&full)
		if known.Origin == "" || known.Origin == opt.Addr {
			w.version = *known.Version
		}
	}
	// Each open call has a connection of its own, and the dial of a cancelled call goes on for a while, hence the 3 extra ones.
	// Redirects are not followed: they count as failed calls.
	w.client.Transport = &http.Transport{MaxConnsPerHost: maxOpenCalls + 3, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	w.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return w
}

// SetInitiators sets how many initiators share one discovery service, from the next call on; 0 means that an agent pushes the list.
func (w *Watcher) SetInitiators(n int) { w.initiators.Store(int64(n)) }

// SetAddr changes discovery's address. Open calls at the old address are cancelled and the full list is requested at the new one.
func (w *Watcher) SetAddr(addr string) { w.addrs.Put(addr) }

// Offer offers the list that another process of the same initiator was told. It is delivered if discovery has not answered this watcher yet.
func (w *Watcher) Offer(l *targetlist.List) { w.offers.Put(l) }

// takeOffer delivers an offered list if discovery has not answered yet, and reports whether its version is one of the service at addr.
func (w *Watcher) takeOffer(l *targetlist.List, addr string) (sameService bool) {
	if w.answered {
		return false
	}
	w.answered = true
	full := *l
	full.Full = true
	w.lists.Put(&full)
	if sameService = l.Origin == addr; sameService {
		w.version = *l.Version
	}
	return sameService
}

// Run calls discovery and delivers its lists until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.lists.Wake():
			for _, l := range w.lists.Take(nil) {
				w.deliver(l)
			}
		}
	}
}

// watch calls discovery until the context ends, at its current address.
func (w *Watcher) watch(ctx context.Context) {
	trusted := w.version >= 0
	for addr := w.opt.Addr; ctx.Err() == nil; trusted = false {
		watchCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(addr string) { // a copy, since SetAddr changes addr
			defer close(ended)
			w.watchAt(watchCtx, addr, trusted)
		}(addr)
		select {
		case <-ctx.Done():
		case <-w.addrs.Wake():
			for _, a := range w.addrs.Take(nil) {
				addr = a
			}
		}
		stop()
		<-ended // a list from the old address must not follow the first one from the new address
		w.client.CloseIdleConnections()
	}
}

// call is an open call to discovery.
type call struct {
	incremental bool      // requests the changes since w.version, not the full list
	waitUntil   time.Time // end of its wait, at which an empty answer is due
	cancel      context.CancelFunc
}

// callResult is the outcome of a call.
type callResult struct {
	call *call
	list *targetlist.List
	err  error
}

// watchAt calls discovery at one address until the context ends. While the held version is trusted, it requests the changes since
// that version; after an answer the next call follows at once, since a gap of 200 ms between two calls would end the watch. A
// failed or overdue call leaves the held version trusted: the next one requests the changes since. Only after an invalid list or
// an older version it requests the full list, the most expensive call.
//
// An overdue call stays open beside the next one, which has a connection of its own. The first valid answer cancels all others.
func (w *Watcher) watchAt(ctx context.Context, addr string, trusted bool) { //nolint:gocognit // to be split with its package, see docs/left.md
	var openCalls []*call // oldest first
	var running sync.WaitGroup
	results := make(chan callResult)
	cancelAll := func() {
		for _, c := range openCalls {
			c.cancel()
		}
		openCalls = nil
	}
	defer func() { cancelAll(); running.Wait() }()
	watching, pending := false, false  // whether the newest call continues a watch; whether its answer is still to come
	var failures, errored, overdue int // consecutive calls without a valid answer; of them, those with an error, and those that opened a watch and were overdue
	fail := func(err error) {
		// One log line for each outage, not for each failed call.
		if failures++; failures == 1 {
			text := err.Error() // may quote the answer's body
			w.log.Warn("list call failed", slog.String("reason", "LIST_FAILED"), slog.String("error", text[:min(len(text), maxLoggedError)]))
		}
		watching, pending = false, false
	}
	timer := time.NewTimer(0)
	if trusted {
		timer.Reset(w.randomDelay(maxSpread)) // the last known list serves until then; initiators that start together are spread
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.offers.Wake():
			for _, l := range w.offers.Take(nil) {
				trusted = w.takeOffer(l, addr) || trusted
			}
		case <-timer.C:
			if pending {
				if watching { // other initiators' watches may have fallen silent too: spread the calls
					timer.Reset(w.randomDelay(maxSpread))
				} else {
					overdue++
					timer.Reset(0)
				}
				fail(errOverdue)
				continue
			}
			if len(openCalls) == maxOpenCalls { // keep the oldest, which are ahead in the service's queue
				openCalls[maxOpenCalls-1].cancel()
				openCalls = openCalls[:maxOpenCalls-1]
			}
			path, wait, dueIn := w.nextRequest(trusted, watching, failures, overdue)
			callCtx, stop := context.WithCancel(ctx)
			c := &call{trusted, time.Now().Add(wait), stop}
			openCalls, pending = append(openCalls, c), true
			timer.Reset(dueIn)
			running.Go(func() {
				l, err := w.fetch(callCtx, "http://"+addr+path, callTimeout)
				select {
				case results <- callResult{c, l, err}:
				case <-callCtx.Done():
				}
			})
		case result := <-results:
			i := slices.Index(openCalls, result.call)
			if i < 0 {
				continue // it was cancelled meanwhile
			}
			isNewest := i == len(openCalls)-1
			openCalls = slices.Delete(openCalls, i, i+1)
			l, err := result.list, result.err
			if err == nil && !l.Full && (!result.call.incremental || *l.Version < w.version) {
				err = fmt.Errorf("%w: change to version %d, while version %d is held or the full list was requested", errInvalidList, *l.Version, w.version)
			}
			result.call.cancel()
			switch invalid := errors.Is(err, errInvalidList); {
			case invalid || err != nil && isNewest && pending:
				if invalid {
					trusted = false
					cancelAll()
				}
				fail(err)
				errored++
				timer.Reset(w.retryPause(errored))
			case err == nil:
				cancelAll()
				if failures > 0 {
					w.log.Info("list call works again", slog.Int("failed", failures))
				}
				timer.Reset(0)
				if result.call.incremental && *l.Version == w.version && time.Until(result.call.waitUntil) > overdueAfter/10 {
					timer.Reset(retryInitial) // the service does not wait: without a pause it would get thousands of calls a second
				}
				watching, trusted, pending, w.version, w.answered = result.call.incremental, true, false, *l.Version, true
				failures, errored, overdue = 0, 0, 0
				if l.Full || len(l.Targets) > 0 {
					l.Origin = addr
					w.lists.Put(l)
				}
			}
		}
	}
}

// nextRequest returns the next call's path, its wait, and the time after which its answer is overdue. That is the wait, the time in a
// shared service's queue and overdueAfter. Where an agent pushes the list, calls are cheap: after a failure the wait is not included,
// so that the next call follows before it is over.
func (w *Watcher) nextRequest(incremental, watching bool, failures, overdue int) (path string, wait, dueIn time.Duration) {
	path, dueIn = "/api/targets", overdueAfter
	shared := w.initiators.Load() > 0
	if incremental {
		wait = watchWait
		if shared && !watching {
			wait = openWait
		}
		path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", w.version, wait.Milliseconds())
		if shared || failures == 0 {
			dueIn += wait
		}
	}
	if shared && !watching {
		dueIn += min(min(w.queueTime(), maxQueueWait)<<min(overdue, 8), maxQueueWaitAfterOverdue)
	}
	return path, wait, dueIn
}

// errOverdue is the failure of a call whose answer is overdue.
var errOverdue = errors.New("no answer in time")

// errInvalidList marks a complete answer whose list cannot be used.
var errInvalidList = errors.New("invalid list")

// queueTime is the time that a shared service takes for one call of each initiator.
func (w *Watcher) queueTime() time.Duration { return time.Duration(w.initiators.Load()) * slotTime }

// randomDelay returns a random time of up to queueTime, bounded by limit.
func (w *Watcher) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(min(w.queueTime(), limit)))
}

// retryPause is the pause before the next call after consecutive calls that ended with an error. After more than one the spread is
// doubled: the service has a long queue then, and each rejection may cost it time.
func (w *Watcher) retryPause(failures int) time.Duration {
	if failures == 1 {
		w.retryDelay.Reset()
		return w.retryDelay.NextBackOff() + w.randomDelay(maxSpread)
	}
	return w.retryDelay.NextBackOff() + w.randomDelay(2*maxSpread)
}

// fetch makes one call and decodes its answer. A complete answer with an unusable list is an errInvalidList.
func (w *Watcher) fetch(ctx context.Context, url string, timeout time.Duration) (*targetlist.List, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	l, err := targetlist.Decode(body)
	if err != nil {
		err = fmt.Errorf("%w: %w", errInvalidList, err)
	}
	return l, err
}
