package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/lease/leasework"
	"spindlehitch/internal/controlplane/membership/transport"
	"spindlehitch/internal/controlplane/quota/quotasession"
	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/discovery"
	"spindlehitch/internal/datapath/front"
	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/datapath/nvme"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/handover"
)

// answerMargin is how long before its client leaves a request's answer must be decided.
const answerMargin = 12 * time.Millisecond

// connRest is how long a connection rests after an HTTP answer at a target that has said more than it was asked: an answer that it gives
// twice names no request.
const connRest = 50 * time.Millisecond

// Options are what an instance gets beside its files.
type Options struct {
	Log *slog.Logger
	// Listening is called once all addresses are listened at, which a predecessor that is about to leave may still be listening
	// at. Nil: there is none.
	Listening func()
	Changes   <-chan Change // taken over also while the instance leaves; nil: none come
	feed      *stream       // the process's; nil: the instance has one of its own, where its operator's file asks for it
}

// Serve runs an instance until stop ends, and then until everything taken is answered. One that is stopped while it starts has
// undone what it had begun.
func Serve(stop context.Context, cfg *config.Config, op *config.Operator, opt Options) error {
	runtime.GOMAXPROCS(threads(cfg))
	in, err := assemble(cfg, op, opt)
	if err != nil {
		return err
	}
	// What was taken meanwhile is answered as at any stop; parts that only have to be undone take no time.
	undo, undone := context.WithTimeout(context.Background(), leaveWithin(longest(cfg)))
	err = in.parts.start(stop, undo)
	undone()
	if err != nil {
		if errors.Is(err, errStopped) {
			opt.Log.Info("left", slog.String("reason", "STOPPED"), slog.Bool("started", false))
			return nil
		}
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go in.follow(opt.Changes, ended)
	if opt.Listening != nil {
		opt.Listening()
	}
	var failed error
	reason := "STOPPED"
	select {
	case failed = <-in.fronts.failed:
		reason = "FAILED"
	case <-stop.Done():
	case <-in.crew.gone():
		reason = "SUCCEEDED"
	}
	opt.Log.Info("leaving", slog.String("reason", reason), slog.Int("open", in.core.OpenCount()), slog.Duration("within", core.NewShutdownSchedule(longest(in.cfg.Load())).RespondWithin))
	bound, done := context.WithTimeout(context.Background(), leaveWithin(in.patience()))
	defer done()
	err = errors.Join(failed, in.parts.stop(bound))
	opt.Log.Info("left", slog.Int("open", in.core.OpenCount()))
	return err
}

// instance is one initiator, put together.
type instance struct {
	parts  parts
	core   *core.Core
	crew   *crew // nil: the process is alone
	fronts *fronts
	cfg    atomic.Pointer[config.Config] // in force
	before atomic.Pointer[earlier]       // nil: none was in force before that one
	log    *slog.Logger
}

// earlier is how long a client may wait whose request came under a configuration that is not in force any more, and until when there may be one.
type earlier struct {
	longest time.Duration
	until   time.Time
}

// patience is the longest that any client with a request here may wait.
func (in *instance) patience() time.Duration {
	d := longest(in.cfg.Load())
	if b := in.before.Load(); b != nil && time.Now().Before(b.until) {
		d = max(d, b.longest)
	}
	return d
}

// follow passes changes on.
func (in *instance) follow(changes <-chan Change, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case c := <-changes:
			err := in.parts.reload(c)
			if c.taken != nil {
				c.taken <- err
			} else if err != nil {
				notTaken(in.log, slog.Any("error", err))
			}
		}
	}
}

// gone is closed once a younger process serves; nil where there can be none.
func (c *crew) gone() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.succeeded
}

// assemble makes all parts and ties them together. It starts nothing and listens nowhere.
func assemble(cfg *config.Config, op *config.Operator, opt Options) (*instance, error) {
	log := opt.Log
	in := &instance{log: log}
	in.cfg.Store(cfg)
	shared := opt.Listening != nil || cfg.Inherited != "" // all addresses but the clients': a predecessor may still listen at each
	known, err := newPeers(cfg, op, shared, log)
	if err != nil {
		return nil, err
	}
	part, duties := fleetParts(cfg, op, known, func() uint16 { return loadOf(in.core) }, log)
	settings := cfg.Module
	if part != nil {
		settings.Quota = part
	}
	scheduler, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	room := budget.New(0) // until it is shared out
	var certs *keys.Store
	var wire upstream.Dialer = upstream.NewHTTPDialer(room)
	rest := connRest
	if op.NVMe != nil {
		if op.NVMe.TLS != nil {
			if certs, err = keys.Load(*op.NVMe.TLS); err != nil {
				return nil, fmt.Errorf("operator's file: nvme.tls.%w", err)
			}
		}
		wire, rest = nvme.NewHost(host(op.NVMe, certs)), 0 // its answers name their commands
	}
	numbers := figures.New(slices.Collect(maps.Keys(cfg.Classes())))
	out := upstream.Options{Dialer: wire, DialTimeout: cfg.Dial, IdleTimeout: cfg.ConnIdle * 4 / 5, ReuseDelay: rest, OnSent: numbers.CountDispatch, Log: log}
	if part != nil {
		out.Quota = part
	}
	up := upstream.NewRegistry(out, func(r core.Result) { in.core.Report(r) })
	bounds := core.Options{MaxOpen: cfg.MostHeld, Margin: answerMargin, RequestIDTTL: namesFor(cfg), OnEjectedCount: numbers.SetEjected}
	if duties != nil {
		bounds.OnEjectedTargets = duties.runner.SetEjected
	}
	var book *ledger
	if op.Accounts != nil {
		book = newLedger(*op.Accounts, cfg.Name, worth(cfg), log)
		bounds.Observer = book.book
	}
	in.core = core.New(scheduler, up, core.NewClock(), bounds)
	var listed atomic.Bool
	clients := front.New(in.core, front.Options{Admission: admits(cfg), Ready: listed.Load,
		ReadyOnly: op.NVMe != nil, Figures: numbers, BufferBudget: room, OpenUpload: up.StartUpload, Log: log})
	// What there may be of connections and bytes is set here alone, now and whenever the processes become more or fewer.
	limits := &shares{limits: granted(cfg.Limits), room: room, up: up, clients: clients, core: in.core}
	limits.divide(1)
	in.fronts = &fronts{name: cfg.Name, log: log, known: make(chan struct{})}

	module := &decisions{loop: loop{run: in.core.Run}, core: in.core, up: up, numbers: numbers}
	in.parts = parts{module}
	if known != nil {
		known.OnLocalState(tellsOf(in.core, part))
		in.parts = append(in.parts, known)
	}
	if part != nil {
		in.parts = append(in.parts, newSeat(part, in.core, up))
	}
	if duties != nil {
		duties.tells(in.core)
		in.parts = append(in.parts, duties)
	}
	if book != nil {
		book.core, book.shared = in.core, shared
		if duties != nil {
			book.kept = leasework.KeptWindows
		}
		in.parts = append(in.parts, book)
	}
	tell := func(l *listing.List) {
		in.parts.listed(l)
		listed.Store(true)
		in.fronts.once.Do(func() { close(in.fronts.known) })
	}
	if op.Feed != nil {
		fed, err := newFeeding(op.Feed, opt.feed, cfg.Name, log, tell)
		if err != nil {
			return nil, err
		}
		tell = fed.discovered
		in.parts = append(in.parts, fed) // before discovery, which finds it running
	}
	list := newWatch(cfg, log, tell)
	in.parts = append(in.parts, list)
	in.parts = append(in.parts, &adoption{in: in, module: module, clients: clients, limits: limits, book: book, list: list})
	if cfg.Inherited != "" {
		in.crew = newCrew(cfg.Name, log, limits.divide)
		in.parts = append(in.parts, in.crew)
	}
	// With NVMe the platform's front stays for its ready page alone: a target speaks one wire.
	in.enter(&entrance{door: clients, addr: cfg.Listen, inherited: cfg.Inherited, shared: shared})
	if op.NVMe != nil {
		controller := nvme.New(in.core, about(op.NVMe, cfg, certs, numbers, core.NewShutdownSchedule(longest(cfg)), log))
		in.parts = append(in.parts, spaces{front: controller})
		in.enter(&entrance{door: controller, addr: op.NVMe.Listen, shared: shared})
	}
	if certs != nil {
		in.parts = append(in.parts, certificates{keys: certs})
	}
	if cfg.Control != "" {
		about := control.Options{Ready: clients.Ready, Metrics: func() []byte { return figures.Render(in.parts.tell) }, Log: log}
		if known != nil {
			about.Members = func() any {
				v, _ := known.View()
				return v
			}
		}
		in.parts = append(in.parts, &pages{control.New(about), cfg.Control, shared, cfg.Name, log})
	}
	in.fronts.crew, in.fronts.leave = in.crew, func() {
		in.crew.enter(handover.Leaving)
		if cfg.Inherited != "" {
			clients.HandOver() // the socket stays, and whoever has it takes what comes
		}
	}
	in.parts = append(in.parts, in.fronts)
	return in, nil
}

func (in *instance) enter(e *entrance) {
	in.parts = append(in.parts, e)
	in.fronts.all = append(in.fronts.all, e)
}

// fleetParts are an instance's part of fleet-wide budgets and what it does for the fleet; nil where an operator's file has none.
func fleetParts(cfg *config.Config, op *config.Operator, known *transport.Runner, load func() uint16, log *slog.Logger) (part *quotasession.Session, duties *duty) {
	if op.Fleet == nil || len(op.Fleet.Agents) == 0 {
		return nil, nil
	}
	about := quotasession.Options{Name: cfg.Name, Addr: cfg.Listen, Agents: op.Fleet.Agents, Weight: op.Fleet.Weight, Governed: op.Fleet.Uses, Log: log}
	if op.Accounts != nil {
		about.AccountsAddr = op.Accounts.Listen
	}
	if len(op.Fleet.Tasks) > 0 {
		var ended func() []string
		if known != nil {
			ended = func() []string { return endedNames(known) }
		}
		duties = newDuty(cfg, op, log, func() { part.RenewNow() }, load, ended)
		about.LeaseWorker = duties.runner
	}
	if known != nil {
		about.FallbackAgents = known.Agents
	}
	part = quotasession.New(about)
	if duties != nil {
		duties.probe.Connections = part
	}
	return part, duties
}

// worth is what a request earns when it is served within its plan's reserve, as the module counts it.
func worth(cfg *config.Config) func(policy.Request) float64 {
	classes, plans := map[string]float64{}, map[string]float64{}
	for _, c := range cfg.Module.Classes {
		classes[c.Name] = c.PriorityWeight
	}
	for _, p := range cfg.Module.Plans {
		plans[p.Name] = p.PriorityFactor
	}
	return func(r policy.Request) float64 { return classes[r.Class] * plans[r.Plan] }
}

// namesFor is how long a name may not come again: no attempt lasts longer than its client, and repeats are remembered for a window.
func namesFor(cfg *config.Config) time.Duration {
	d := longest(cfg)
	for _, c := range cfg.Module.Classes {
		if c.Effect == policy.IdempotentWithKey {
			d = max(d, c.DedupWindow)
		}
	}
	return d
}

// longest is the longest any client waits.
func longest(cfg *config.Config) (d time.Duration) {
	for _, c := range cfg.Module.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// decisions is the module on its goroutine, and the targets' actors that carry out what it decides.
type decisions struct {
	loop
	core    *core.Core
	up      *upstream.Registry
	numbers *figures.Metrics
}

// Listed implements listener. The targets' actors hear before the module does: a send decided on the older list meets the newer one.
func (d *decisions) Listed(l *listing.List) {
	targets := make([]upstream.Target, len(l.Targets))
	nodes := policy.EndpointList{Full: l.Full, Endpoints: make([]policy.Endpoint, len(l.Targets))}
	for i, e := range l.Targets {
		nodes.Endpoints[i] = e.Endpoint()
		targets[i] = upstream.Target{ID: e.ID, Addr: e.Addr, State: nodes.Endpoints[i].State}
	}
	d.numbers.SetTargets(d.up.Apply(targets, l.Full))
	d.core.UpdateTargets(nodes)
}

// Stop implements Part. The process may go on, with another configuration: the targets' actors and connections end with this one.
func (d *decisions) Stop(within context.Context) error {
	err := d.loop.Stop(within)
	d.up.Shutdown()
	return err
}

// Tell implements teller.
func (d *decisions) Tell(to statsd.ExtendedStatSender) { d.numbers.WriteMetrics(to) }

// seat is the instance's seat in the fleet, given back once nothing is served any more.
type seat struct {
	loop
	part *quotasession.Session
	up   *upstream.Registry
}

func newSeat(part *quotasession.Session, c *core.Core, up *upstream.Registry) *seat {
	part.OnChange(func() {
		c.NotifyQuotaChanged()
		up.PruneIdle()
	})
	return &seat{loop{run: part.Run}, part, up}
}

// Stop implements Part.
func (s *seat) Stop(within context.Context) error {
	err := s.loop.Stop(within)
	s.up.Shutdown()
	s.part.Leave(within)
	return err
}

// Tell implements teller.
func (s *seat) Tell(to statsd.ExtendedStatSender) { s.part.WriteMetrics(to) }

// watch is the list of targets, as discovery tells it.
type watch struct {
	loop
	list *discovery.Watcher
}

func newWatch(cfg *config.Config, log *slog.Logger, tell func(*listing.List)) *watch {
	list := discovery.New(discovery.Options{Addr: cfg.Discovery, LastKnown: cfg.Known, Initiators: crowd(cfg), Seed: cfg.Seed, Log: log}, tell)
	return &watch{loop{run: list.Run}, list}
}

// crowd is how many share one discovery service; 0: each has its own, or is pushed to.
func crowd(cfg *config.Config) int {
	if cfg.Module.SubscribeToList {
		return cfg.Module.Initiators
	}
	return 0
}

// Reload implements reloader.
func (w *watch) Reload(c Change) error {
	if c.Discovery != "" {
		w.list.SetAddr(c.Discovery)
	}
	return nil
}
