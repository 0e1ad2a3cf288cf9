// Package discovery keeps the list of targets: one actor watches it and tells what changes.
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

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/process/mailbox"
)

// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever went wrong with a call. The
// longest that each path takes, from the moment in which discovery answers again, or from the one at which a watch fell silent:
//
//	                                  pushed                            asked for at one service, alone in its trouble
//	refused, reset, half a list       0.4 s (a pause)                   4.4 s (pause and turn)
//	no sense, a version gone back     0.4 s, then the whole list        4.4 s, then the whole list
//	hangs, dials included             0.5 s (the next call)             4.2 s (the next call)
//	a watch falls silent              1.5 s                             3.5 s (1.5 s and its turn)
//	the next n in a row too           1.5 s + 0.5 s each (eight)        3.5 s + 2.4 s (one; three more in a crowd of five)
//	silent from its first moment      1.5 s                             4.4 s (a second time too: 8.5 s, in a crowd of ten 3.6 s)
//	an address moved to comes up      0.4 s refused, 0.5 s silent       4.4 s, 4.2 s
//
// At one service all calls that wait in front come on top, 50 ms each: when all fall silent together, eighty are through after 5 s, a
// hundred after 6.5 s, and of three hundred nine in ten after 15 s and the last after 17 s, where 14.7 and 16.3 s are the best there is.
const (
	// watchFor is how long a watch may wait. It is short, since a call whose connection fell silent looks just like a
	// list that does not change, until the wait is over: at 20 s, targets that were long replaced were still sent to.
	watchFor = time.Second
	// openFor is how long a call that opens a watch at one service may wait, beyond its turn: answered soon, it shows that it
	// is not silent. The watch that goes on from there is the one that waits.
	openFor = 50 * time.Millisecond
	// graceFor is how long an answer may be overdue before another call is made. Discovery is the machine's own agent
	// and answers at once; far above what a busy process is late by.
	graceFor = 500 * time.Millisecond
	// retryAfter is the pause after a call that failed, twice as long after each further one up to retryMost, and spread
	// by half of it either way: initiators that failed together must not come back in step.
	retryAfter = 100 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	// turnFor is the part of the time that each of them leaves to every other, where discovery is one service for all
	// initiators: a call costs such a service 50 ms, more with the lines of its answer, and it goes on with calls that were
	// given up.
	turnFor = 60 * time.Millisecond
	// spreadFor is the most that calls are spread over, twice that where several failed, and queueFor the most that a call's turn is
	// waited for before another is made. Hundreds of initiators ask for more than the service does in that time, but a call that
	// has to wait there keeps its place (see keepFor), so that it is busy all the time with calls that are waited for. Spread
	// over all turns instead, one of 300 whose watch fell silent alone would hear of a change after 18 s.
	spreadFor = 2000 * time.Millisecond
	queueFor  = 1800 * time.Millisecond
	// laterMost is the most that is waited for a turn once calls before were overdue as well: a queue that long needs no more of them,
	// and a service that was silent and comes back is asked in time all the same.
	laterMost = 3600 * time.Millisecond
	// keepFor is how long a call is kept beside those made after it, mostOpen how many: it may merely be waiting for its turn, and
	// would lose its place.
	keepFor  = time.Minute
	mostOpen = 5
	maxList  = 4 << 20
	mostHead = 64 << 10
	// mostLogged bounds what the log has of an answer that makes no sense.
	mostLogged = 300
)

// Watcher is the list's actor: what its calls bring waits in its mailbox and is told in order, so that the
// next call, which may not come later than 200 ms after the last answer, waits for nobody.
type Watcher struct {
	opt   Options
	tell  func(*listing.List)
	log   *slog.Logger
	rng   *rand.Rand
	call  http.Client
	box   *mailbox.Box[*listing.List]
	moves *mailbox.Box[string]
	crowd atomic.Int64
	has   int64 // the version that came last
	waits backoff.ExponentialBackOff
}

// Options say where discovery is and what of it is known.
type Options struct {
	Addr       string
	LastKnown  *listing.List // the list as last had; nil: none
	Initiators int           // how many initiators' calls wait for their turn at one service, at first; 0: it pushes to each
	Seed       uint64        // spreads the pauses
	Log        *slog.Logger
}

// New returns a watcher of discovery. It tells the list as last known first, if there is one, however old; then what
// comes.
func New(opt Options, tell func(*listing.List)) *Watcher {
	w := &Watcher{opt: opt, tell: tell, log: opt.Log, rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		box: mailbox.New[*listing.List](), moves: mailbox.New[string](), has: -1,
		waits: backoff.ExponentialBackOff{InitialInterval: retryAfter, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: retryMost}}
	w.SetInitiators(opt.Initiators)
	if known := opt.LastKnown; known != nil {
		whole := *known
		whole.Full = true
		w.box.Put(&whole)
		w.has = *known.Version
	}
	// Calls that are kept have a connection each, and dials go on for a while after theirs is given up. A redirection is no list.
	w.call.Transport = &http.Transport{MaxConnsPerHost: mostOpen + 3, MaxResponseHeaderBytes: mostHead, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	w.call.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return w
}

// Crowd sets how many initiators' calls wait for their turn at one service, from the next call on; 0: it pushes to each.
func (w *Watcher) SetInitiators(n int) { w.crowd.Store(int64(n)) }

// Move has discovery asked at another address from now on, for the whole list first: what the old one had still
// to tell is not waited for.
func (w *Watcher) SetAddr(addr string) { w.moves.Put(addr) }

// Run tells until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.box.Wake():
			for _, l := range w.box.Take(nil) {
				w.tell(l)
			}
		}
	}
}

// watch calls discovery until the context ends, wherever it is by then.
func (w *Watcher) watch(ctx context.Context) {
	sure := w.has >= 0
	for addr := w.opt.Addr; ctx.Err() == nil; sure = false {
		at, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func(addr string) { // as it is now: a move that comes at once changes it
			defer close(left)
			w.watchAt(at, addr, sure)
		}(addr)
		select {
		case <-ctx.Done():
		case <-w.moves.Wake():
			for _, a := range w.moves.Take(nil) {
				addr = a
			}
		}
		leave()
		<-left // a call at the old address must not overtake the first at the new one
		w.call.CloseIdleConnections()
	}
}

// call is one that is out.
type call struct {
	sure  bool      // it asks for what came since the version held, not for the whole list
	until time.Time // when it may answer that there is nothing new
	stop  context.CancelFunc
}

// answer is a call's end.
type answer struct {
	of   *call
	list *listing.List
	err  error
}

// watchAt calls discovery at one address until the context ends. Where it is sure of the version it has, it watches from
// there; a watch that goes on is called again at once, since a gap of 200 ms between two calls would end it. A call that
// failed or is overdue leaves that version as good as it was: the next asks for what came since. Only a list that
// makes no sense, or a version that went back, has the whole list asked for, the dearest call of all.
//
// An overdue call is kept beside the next, which has a connection of its own: the first good answer ends all others.
func (w *Watcher) watchAt(ctx context.Context, addr string, sure bool) { //nolint:gocognit // to be split with its package, see docs/left.md
	var open []*call // the newest last
	var ending sync.WaitGroup
	answers := make(chan answer)
	giveUp := func() {
		for _, c := range open {
			c.stop()
		}
		open = nil
	}
	defer func() { giveUp(); ending.Wait() }()
	on, due := false, false          // whether the watch goes on; whether the newest call's answer is still due
	var failed, refused, overdue int // calls in a row that brought nothing; of them, those that ended, and those that opened a watch and were overdue
	fail := func(err error) {
		// One line for each time that discovery goes down, not one for each call meanwhile.
		if failed++; failed == 1 {
			text := err.Error() // of a body's making, perhaps
			w.log.Warn("list call failed", slog.String("reason", "LIST_FAILED"), slog.String("error", text[:min(len(text), mostLogged)]))
		}
		on, due = false, false
	}
	next := time.NewTimer(0)
	if sure {
		next.Reset(w.turn(spreadFor)) // what is known serves until then; those that started together call one by one
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			if due {
				if on { // with all others, perhaps
					next.Reset(w.turn(spreadFor))
				} else {
					overdue++
					next.Reset(0)
				}
				fail(errSilent)
				continue
			}
			if len(open) == mostOpen { // the first have the best places
				open[mostOpen-1].stop()
				open = open[:mostOpen-1]
			}
			path, wait, within := w.ask(sure, on, failed, overdue)
			at, stop := context.WithCancel(ctx)
			c := &call{sure, time.Now().Add(wait), stop}
			open, due = append(open, c), true
			next.Reset(within)
			ending.Go(func() {
				l, err := w.fetch(at, "http://"+addr+path, keepFor)
				select {
				case answers <- answer{c, l, err}:
				case <-at.Done():
				}
			})
		case a := <-answers:
			i := slices.Index(open, a.of)
			if i < 0 {
				continue // given up in this moment
			}
			newest := i == len(open)-1
			open = slices.Delete(open, i, i+1)
			l, err := a.list, a.err
			if err == nil && !l.Full && (!a.of.sure || *l.Version < w.has) {
				err = fmt.Errorf("%w: a change to version %d where %d is held and the whole list was due", errDoubt, *l.Version, w.has)
			}
			a.of.stop()
			switch doubt := errors.Is(err, errDoubt); {
			case doubt || err != nil && newest && due:
				if doubt {
					sure = false
					giveUp()
				}
				fail(err)
				refused++
				next.Reset(w.pause(refused))
			case err == nil:
				giveUp()
				if failed > 0 {
					w.log.Info("list call works again", slog.Int("failed", failed))
				}
				next.Reset(0)
				if a.of.sure && *l.Version == w.has && time.Until(a.of.until) > graceFor/10 {
					next.Reset(retryAfter) // nothing new, and too soon: asked at once, it would answer thousands of calls a second
				}
				on, sure, due, w.has = a.of.sure, true, false, *l.Version
				failed, refused, overdue = 0, 0, 0
				if l.Full || len(l.Targets) > 0 {
					w.box.Put(l)
				}
			}
		}
	}
}

// ask is what the next call asks, how long it may wait and how long its answer is due in: by its wait, and where calls take turns by theirs. Where the list
// is pushed calls cost nothing, and after one that failed the next follows before that wait is over.
func (w *Watcher) ask(sure, on bool, failed, overdue int) (path string, wait, within time.Duration) {
	path, within = "/api/targets", graceFor
	crowd := w.crowd.Load() > 0
	if sure {
		wait = watchFor
		if crowd && !on {
			wait = openFor
		}
		path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", w.has, wait.Milliseconds())
		if crowd || failed == 0 {
			within += wait
		}
	}
	if crowd && !on {
		within += min(min(w.turns(), queueFor)<<min(overdue, 8), laterMost)
	}
	return path, wait, within
}

// errSilent says of a call that its answer is overdue.
var errSilent = errors.New("no answer in time")

// errDoubt marks an answer that came whole and makes no sense.
var errDoubt = errors.New("list makes no sense")

// turns is the time that all initiators' calls take.
func (w *Watcher) turns() time.Duration { return time.Duration(w.crowd.Load()) * turnFor }

// turn is a moment within it, as far as calls are spread.
func (w *Watcher) turn(most time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(min(w.turns(), most)))
}

// pause is how long to wait after so many calls that failed in a row and not by silence: a service that turned several away has many to answer, and
// may have to work for each refusal.
func (w *Watcher) pause(failed int) time.Duration {
	if failed == 1 {
		w.waits.Reset()
		return w.waits.NextBackOff() + w.turn(spreadFor)
	}
	return w.waits.NextBackOff() + w.turn(2*spreadFor)
}

func (w *Watcher) fetch(ctx context.Context, url string, within time.Duration) (*listing.List, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.call.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	l, err := listing.Decode(body)
	if err != nil {
		err = fmt.Errorf("%w: %w", errDoubt, err)
	}
	return l, err
}
