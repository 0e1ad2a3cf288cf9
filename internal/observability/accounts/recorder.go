// Package accounts keeps, for each volume, where the time of its requests went and what they waited behind. It does no I/O,
// reads no clock and decides nothing: it is told what the core sees, in order of time. docs/accounts.md defines its words.
package accounts

import (
	"container/list"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"spindlehitch/internal/policy"
)

// Part is a stretch of a request's time.
type Phase int

// The parts of a request's time, in the order of docs/accounts.md.
const (
	BucketWait Phase = iota
	LimitWait
	Connect
	AtTarget
	Stalled
	Reply
	phases
)

func (p Phase) String() string {
	return [...]string{"bucket", "bound", "connect", "node", "still", "reply"}[p]
}

// Times is a time for each part.
type Times [phases]time.Duration

// Whole is their sum.
func (t Times) Total() (d time.Duration) {
	for _, x := range t {
		d += x
	}
	return d
}

const (
	// Accuracy is the relative error of percentiles.
	Accuracy = 0.02
	bins     = 512 // past which a sketch gives up the accuracy of its least values
)

// Options are the book's bounds.
type Options struct {
	MaxVolumes int                          // kept, by last use
	MaxPairs   int                          // of volume and cause
	MaxOpen    int                          // requests at a time; more are not accounted for
	Worth      func(policy.Request) float64 // of serving it; nil: 1
}

// Account is one volume's.
type Account struct {
	Requests uint64
	Times    Times
	Latency  *ddsketch.DDSketch // of whole requests, in seconds
	Share    Share
	used     *list.Element
}

// Dropped counts what the bounds cost.
type Dropped struct {
	Volumes  uint64 // accounts given up for others
	Requests uint64 // not accounted for, as too many were open
}

// Book is the accounts of one initiator. It is not safe for concurrent use.
type Recorder struct {
	opt     Options
	open    map[string]*entry
	volumes map[string]*Account
	used    *list.List // of volumes, the last used first
	nodes   map[string]*node
	blames  *heavy
	shares  sums // of classes and plans, which the settings bound
	Dropped Dropped
}

// entry is one open request.
type entry struct {
	volume string
	class  string
	plan   string
	worth  float64
	served bool
	at     time.Duration // accounted for up to then
	times  Times
	node   string // where its attempt is out
	begun  bool   // its first byte was written
	visits []visit
}

// visit is time at a node, of which some may prove to have been a stall.
type visit struct {
	node string
	span
}

// New returns an empty book.
func New(opt Options) *Recorder {
	return &Recorder{opt: opt, open: map[string]*entry{}, volumes: map[string]*Account{}, used: list.New(), nodes: map[string]*node{},
		blames: newHeavy(max(1, opt.MaxPairs)), shares: sums{}}
}

// Values sets what serving a request is worth, of those that arrive from now on; nil: 1.
func (b *Recorder) SetWorth(worth func(policy.Request) float64) { b.opt.Worth = worth }

// Arrive takes a request.
func (b *Recorder) Arrive(at time.Duration, r policy.Request) {
	if len(b.open) >= b.opt.MaxOpen {
		b.Dropped.Requests++
		return
	}
	e := &entry{volume: r.Volume, class: r.Class, plan: r.Plan, worth: 1, at: at}
	if b.opt.Worth != nil {
		e.worth = b.opt.Worth(r)
	}
	b.open[r.ID] = e
}

// Served notes that a request's answer came from a node, before its client left.
func (b *Recorder) Served(id string) {
	if e := b.open[id]; e != nil {
		e.served = true
	}
}

// Release ends a time of being held: the request goes to the node, or, with sent false, is given up. Ahead is how much of
// that time its start tag lay ahead.
func (b *Recorder) Release(at time.Duration, id, name string, ahead time.Duration, sent bool) {
	e := b.open[id]
	if e == nil || e.node != "" {
		return
	}
	held := at - e.at
	ahead = min(max(ahead, 0), held)
	e.times[BucketWait] += ahead
	e.times[LimitWait] += held - ahead
	n := b.node(name)
	if w := (stay{e.volume, span{at - (held - ahead), at}}); n != nil && w.length() > 0 {
		n.settle(at)
		n.known(func() { n.share(name, w, b.blames.add) })
	}
	e.at = at
	if sent && n != nil {
		e.node, e.begun = name, false
		n.enter(at, id, e.volume)
	}
}

// node returns what is known of a node; nil without a name.
func (b *Recorder) node(name string) *node {
	if name == "" {
		return nil
	}
	n := b.nodes[name]
	if n == nil {
		n = newNode()
		b.nodes[name] = n
	}
	return n
}

// Begin tells when the attempt's first byte was written; it may be told late.
func (b *Recorder) Begin(at time.Duration, id string) {
	if e := b.open[id]; e != nil && e.node != "" && !e.begun {
		at = max(at, e.at)
		e.times[Connect] += at - e.at
		e.at, e.begun = at, true
	}
}

// Answer ends an attempt; alive says that it was the node that ended it.
func (b *Recorder) Answer(at time.Duration, id string, alive bool) {
	e := b.open[id]
	if e == nil || e.node == "" {
		return
	}
	at = max(at, e.at)
	if e.begun {
		e.times[AtTarget] += at - e.at
		e.visits = append(e.visits, visit{e.node, span{e.at, at}})
	} else {
		e.times[Connect] += at - e.at
	}
	b.nodes[e.node].leave(at, id, alive)
	e.at, e.node = at, ""
}

// End closes the request's account: its last byte is with the client, or nobody waits for it any more.
func (b *Recorder) End(at time.Duration, id string) {
	e := b.open[id]
	if e == nil {
		return
	}
	if e.node != "" {
		b.Answer(at, id, false)
	}
	delete(b.open, id)
	e.times[Reply] += at - e.at
	e.at = at
	b.close(e, 0)
}

// close books the request once it is known of each of its visits whether the node stood still.
func (b *Recorder) close(e *entry, visited int) {
	if visited < len(e.visits) {
		v := e.visits[visited]
		n := b.nodes[v.node]
		if n == nil { // forgotten
			b.close(e, visited+1)
			return
		}
		n.settle(e.at)
		n.known(func() {
			still := min(n.still(v.span), v.length())
			e.times[AtTarget] -= still
			e.times[Stalled] += still
			b.close(e, visited+1)
		})
		return
	}
	a := b.account(e.volume)
	a.Requests++
	a.Share.add(e)
	for _, of := range []ShareKey{{Class, e.class}, {Plan, e.plan}} {
		b.shares.of(of).add(e)
	}
	for i, d := range e.times {
		a.Times[i] += d
	}
	_ = a.Latency.Add(e.times.Total().Seconds())
}

// account returns a volume's, in place of the one longest without use where there are too many.
func (b *Recorder) account(volume string) *Account {
	a := b.volumes[volume]
	if a == nil {
		if len(b.volumes) >= max(1, b.opt.MaxVolumes) {
			// From a list by use: a look at all of them, for each volume that comes and goes, took the core 0.1 ms.
			oldest := b.used.Remove(b.used.Back()).(string)
			delete(b.volumes, oldest)
			b.Dropped.Volumes++
		}
		sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(Accuracy, bins)
		if err != nil {
			panic(err) // the accuracy is a constant
		}
		a = &Account{Latency: sketch, used: b.used.PushFront(volume)}
		b.volumes[volume] = a
	}
	b.used.MoveToFront(a.used)
	return a
}

// Forget drops what is known of nodes that the list no longer has; those with attempts out stay.
func (b *Recorder) ForgetUnlisted(listed func(string) bool) {
	for name, n := range b.nodes {
		if len(n.out) == 0 && !listed(name) {
			n.decide()
			delete(b.nodes, name)
		}
	}
}

// Open is how many requests are open.
func (b *Recorder) OpenRequests() int { return len(b.open) }

// Volume returns a volume's account; nil: none.
func (b *Recorder) Account(name string) *Account { return b.volumes[name] }

// Blames are the causes of waiting, the heaviest first.
func (b *Recorder) Attributions() []Attribution { return b.blames.list() }
