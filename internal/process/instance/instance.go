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
	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/front"
	"spindlehitch/internal/datapath/nvme"
	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/observability/requestlog"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/handover"
)

// Options are the parameters of an instance beside its configuration files.
type Options struct {
	Log *slog.Logger
	// OnListening is called once the instance listens at all addresses. If it is set, a predecessor that is about to stop may
	// still be listening at them. Nil: there is no predecessor.
	OnListening func()
	Changes     <-chan Change       // applied even while the instance stops; nil: none
	feed        *feedStream         // shared by the process; nil: the instance has its own, if its operator's file has a feed
	requestIDs  *requestid.Registry // shared by the process; nil: the instance has its own
	targets     *targetlist.Latest  // what the process was told by discovery, kept for a successor; nil: there can be none in this process
	superseded  <-chan struct{}     // closed once a successor in the same process serves; nil: there is none
}

// Serve runs an instance until ctx ends, which is SIGTERM, a front fails or a successor serves, and then until all accepted requests have
// their responses: within stopTimeout, or within handoverTimeout if a successor serves. If ctx ends during the start, the components that
// have started are stopped again.
func Serve(ctx context.Context, cfg *config.Config, op *config.OperatorFile, opt Options) error {
	runtime.GOMAXPROCS(maxThreads(cfg))
	in, err := assemble(cfg, op, opt)
	if err != nil {
		return err
	}
	// Requests accepted before a failed start are answered as at any stop; components without requests stop at once.
	undoCtx, cancelUndo := context.WithTimeout(context.Background(), stopTimeout(maxDeadline(cfg)))
	err = in.components.start(ctx, undoCtx)
	cancelUndo()
	if err != nil {
		if errors.Is(err, errStopped) {
			opt.Log.Info("left", slog.String("reason", "STOPPED"), slog.Bool("started", false))
			return nil
		}
		return err
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go in.applyChanges(opt.Changes, stopped)
	if opt.OnListening != nil {
		opt.OnListening()
	}
	var failed error
	reason, superseded := "STOPPED", false
	select {
	case failed = <-in.fronts.failed:
		reason = "FAILED"
	case <-ctx.Done():
	case <-in.group.supersededChan():
		superseded = true
	case <-opt.superseded:
		superseded = true
	}
	within := core.NewShutdownSchedule(maxDeadline(in.cfg.Load())).RespondWithin
	if superseded {
		reason, within = "SUCCEEDED", handoverTimeout
	}
	opt.Log.Info("leaving", slog.String("reason", reason), slog.Int("open", in.core.OpenCount()), slog.Duration("within", within))
	if superseded {
		err = in.stopAfterHandover(ctx)
	} else {
		err = errors.Join(failed, in.stopNow())
	}
	opt.Log.Info("left", slog.Int("open", in.core.OpenCount()))
	return err
}

// instance is one assembled initiator.
type instance struct {
	components components
	core       *core.Core
	group      *processGroup // nil: the process is alone
	fronts     *fronts
	cfg        atomic.Pointer[config.Config]  // in force
	previous   atomic.Pointer[previousConfig] // nil: cfg is the first one
	log        *slog.Logger
}

// previousConfig is what longestClientWait needs of configurations that were replaced.
type previousConfig struct {
	longest time.Duration // the longest wait of a client whose request was accepted under them
	until   time.Time     // when the last such request ends at the latest
}

// longestClientWait is the longest that the client of any open request may wait.
func (in *instance) longestClientWait() time.Duration {
	d := maxDeadline(in.cfg.Load())
	if b := in.previous.Load(); b != nil && time.Now().Before(b.until) {
		d = max(d, b.longest)
	}
	return d
}

// applyChanges applies changes one after the other until stopped is closed.
func (in *instance) applyChanges(changes <-chan Change, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case c := <-changes:
			err := in.components.applyChange(c)
			if c.applied != nil {
				c.applied <- err
			} else if err != nil {
				logRejected(in.log, slog.Any("error", err))
			}
		}
	}
}

// supersededChan is closed once a younger process serves; nil if there can be none.
func (g *processGroup) supersededChan() <-chan struct{} {
	if g == nil {
		return nil
	}
	return g.superseded
}

// assemble creates and connects all components. It starts nothing and binds no address.
func assemble(cfg *config.Config, op *config.OperatorFile, opt Options) (*instance, error) {
	log := opt.Log
	in := &instance{log: log}
	in.cfg.Store(cfg)
	reusePort := opt.OnListening != nil || cfg.InheritedFD != "" // for all addresses but the clients': a predecessor may still listen at them
	members, err := newMembership(cfg, op, reusePort, log)
	if err != nil {
		return nil, err
	}
	session, tasks := newFleetComponents(cfg, op, members, func() uint16 { return openRequests(in.core) }, log)
	settings := cfg.Policy
	if session != nil {
		settings.Quota = session
	}
	scheduler, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	byteBudget := budget.New(0) // divider sets its size
	var certStore *certs.Store
	var wire upstream.Dialer = upstream.NewHTTPDialer(byteBudget)
	reuseDelay := upstream.DuplicateWindow
	if op.NVMe != nil {
		if op.NVMe.TLS != nil {
			if certStore, err = certs.Load(*op.NVMe.TLS); err != nil {
				return nil, fmt.Errorf("operator's file: nvme.tls.%w", err)
			}
		}
		wire, reuseDelay = nvme.NewHost(nvmeHostOptions(op.NVMe, certStore)), 0 // NVMe answers name their commands
	}
	dataPathMetrics := metrics.New(slices.Collect(maps.Keys(cfg.ClassNames())))
	upstreamOptions := upstream.Options{Dialer: wire, DialTimeout: cfg.DialTimeout, IdleTimeout: cfg.ConnIdleTimeout * 4 / 5, ReuseDelay: reuseDelay, OnSent: dataPathMetrics.CountDispatch, Log: log}
	if session != nil {
		upstreamOptions.Quota = session
	}
	up := upstream.NewRegistry(upstreamOptions, func(r core.Result) { in.core.Report(r) })
	requestIDs := requestIDsFor(opt.requestIDs, cfg)
	requestLog := requestlog.New(log)
	coreOptions := core.Options{MaxOpen: cfg.MaxOpenRequests, Margin: core.ResponseMargin, RequestIDs: requestIDs, RequestLog: requestLog, OnEjectedCount: dataPathMetrics.SetEjected}
	if tasks != nil {
		coreOptions.OnEjectedTargets = tasks.runner.SetEjected
	}
	var recorder *accountsRecorder
	if op.Accounts != nil {
		recorder = newAccountsRecorder(*op.Accounts, cfg.Name, requestPriority(cfg), log)
		coreOptions.Observer = recorder.rec
	}
	in.core = core.New(scheduler, up, core.NewClock(), coreOptions)
	var hasList atomic.Bool
	httpFront := front.New(in.core, front.Options{Admission: frontAdmission(cfg), Ready: hasList.Load,
		ReadyOnly: op.NVMe != nil, Metrics: dataPathMetrics, BufferBudget: byteBudget, OpenUpload: up.StartUpload, Log: log, RequestLog: requestLog})
	// Only the divider sets bounds on connections and bytes: now, and whenever the limits or the number of processes change.
	divider := &limitDivider{limits: effectiveLimits(cfg.Limits), byteBudget: byteBudget, up: up, front: httpFront, core: in.core, log: log}
	divider.setProcesses(1, 0)
	in.fronts = &fronts{name: cfg.Name, log: log, listKnown: make(chan struct{})}

	dp := &dataPath{loop: loop{run: in.core.Run}, core: in.core, up: up, metrics: dataPathMetrics}
	in.components = components{&loop{run: requestLog.Run}, memoryMetrics{}, dp}
	if members != nil {
		members.OnLocalState(localState(in.core, session))
		in.components = append(in.components, members)
	}
	if session != nil {
		in.components = append(in.components, newQuotaComponent(session, in.core, up))
	}
	if tasks != nil {
		tasks.forwardProbeResults(in.core)
		in.components = append(in.components, tasks)
	}
	if recorder != nil {
		recorder.core, recorder.reusePort = in.core, reusePort
		if tasks != nil {
			recorder.retainedWindows = leasework.KeptWindows
		}
		in.components = append(in.components, recorder)
	}
	// Only one goroutine calls onList: that of discoveryComp, or with a feed that of feedComp's merger.
	onList := func(l *targetlist.List) {
		in.components.onTargetList(l)
		hasList.Store(true)
		in.fronts.listKnownOnce.Do(func() { close(in.fronts.listKnown) })
	}
	if op.Feed != nil {
		feedComp, err := newFeedComponent(op.Feed, opt.feed, cfg.Name, log, onList)
		if err != nil {
			return nil, err
		}
		onList = feedComp.putDiscovery
		in.components = append(in.components, feedComp) // before discovery, which needs it running
	}
	told := toldTargets(cfg, opt.targets)
	discoveryComp := newDiscoveryWatch(cfg, told, log, onList)
	in.components = append(in.components, discoveryComp)
	in.components = append(in.components, &configApplier{instance: in, dataPath: dp, front: httpFront, limits: divider, accounts: recorder, discovery: discoveryComp})
	if cfg.InheritedFD != "" {
		in.group = newProcessGroup(cfg.Name, log, divider.setProcesses, requestIDs, told, discoveryComp.watcher.Offer)
		in.components = append(in.components, in.group)
	}
	// With NVMe, the HTTP front only serves the readiness page, since a target speaks only one protocol.
	in.addFront(&boundFront{frontServer: httpFront, addr: cfg.Listen, inheritedFD: cfg.InheritedFD, reusePort: reusePort})
	if op.NVMe != nil {
		controller := nvme.New(in.core, nvmeControllerOptions(op.NVMe, cfg, certStore, dataPathMetrics, core.NewShutdownSchedule(maxDeadline(cfg)), log))
		in.components = append(in.components, namespaceUpdater{front: controller})
		in.addFront(&boundFront{frontServer: controller, addr: op.NVMe.Listen, reusePort: reusePort})
	}
	if certStore != nil {
		in.components = append(in.components, certificateReloader{certs: certStore})
	}
	if cfg.Control != "" {
		controlOptions := control.Options{Ready: httpFront.Ready, Metrics: func() []byte { return metrics.Render(in.components.emitMetrics) }, Log: log}
		if members != nil {
			controlOptions.Members = func() any {
				v, _ := members.View()
				return v
			}
		}
		in.components = append(in.components, &controlPages{control.New(controlOptions), cfg.Control, reusePort, cfg.Name, log})
	}
	in.fronts.group, in.fronts.beforeStop = in.group, func() {
		in.group.enterPhase(handover.Leaving)
		if cfg.InheritedFD != "" {
			httpFront.HandOver() // the socket stays open, and whichever process holds it accepts new connections
		}
	}
	in.components = append(in.components, in.fronts)
	return in, nil
}

// addFront adds a front's listener to the components, and the front to those that fronts serves.
func (in *instance) addFront(e *boundFront) {
	in.components = append(in.components, e)
	in.fronts.bound = append(in.fronts.bound, e)
}

// newFleetComponents returns the instance's session for the fleet-wide quotas and its fleet-wide tasks; nil if the operator's file has none.
func newFleetComponents(cfg *config.Config, op *config.OperatorFile, members *transport.Runner, openCount func() uint16, log *slog.Logger) (session *quotasession.Session, tasks *fleetTasks) {
	if op.Fleet == nil || len(op.Fleet.Agents) == 0 {
		return nil, nil
	}
	options := quotasession.Options{Name: cfg.Name, Addr: cfg.Listen, Agents: op.Fleet.Agents, Weight: op.Fleet.Weight, Governed: op.Fleet.GovernedResources, Log: log}
	if op.Accounts != nil {
		options.AccountsAddr = op.Accounts.Listen
	}
	if len(op.Fleet.Tasks) > 0 {
		var deadInstances func() []string
		if members != nil {
			deadInstances = func() []string { return endedInstances(members) }
		}
		tasks = newFleetTasks(cfg, op, log, func() { session.RenewNow() }, openCount, deadInstances)
		options.LeaseWorker = tasks.runner
	}
	if members != nil {
		options.FallbackAgents = members.Agents
	}
	session = quotasession.New(options)
	if tasks != nil {
		tasks.probe.Connections = session
	}
	return session, tasks
}

// requestPriority returns the priority of a request that is served within its plan's reservation, as the scheduler computes it.
func requestPriority(cfg *config.Config) func(policy.Request) float64 {
	classes, plans := map[string]float64{}, map[string]float64{}
	for _, c := range cfg.Policy.Classes {
		classes[c.Name] = c.PriorityWeight
	}
	for _, p := range cfg.Policy.Plans {
		plans[p.Name] = p.PriorityFactor
	}
	return func(r policy.Request) float64 { return classes[r.Class] * plans[r.Plan] }
}

// requestIDsFor returns the registry of request IDs, a new one if the process has none, which keeps them for as long as a configuration needs.
func requestIDsFor(shared *requestid.Registry, cfg *config.Config) *requestid.Registry {
	if shared == nil {
		shared = requestid.New(0)
	}
	shared.KeepFor(requestIDTTL(cfg))
	return shared
}

// requestIDTTL is how long the ID of a request that may have run is kept, so that another request with it is rejected: an attempt lasts
// no longer than its client waits, and targets remember idempotency keys for the deduplication window.
func requestIDTTL(cfg *config.Config) time.Duration {
	d := maxDeadline(cfg)
	for _, c := range cfg.Policy.Classes {
		if c.Effect == policy.IdempotentWithKey {
			d = max(d, c.DedupWindow)
		}
	}
	return d
}

// maxDeadline is the longest deadline of all classes.
func maxDeadline(cfg *config.Config) (d time.Duration) {
	for _, c := range cfg.Policy.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// dataPath is the core, which runs the scheduler on its goroutine, and the targets' connection pools, which carry out its decisions.
type dataPath struct {
	loop
	core    *core.Core
	up      *upstream.Registry
	metrics *metrics.Metrics
}

// OnTargetList implements targetListener. The connection pools get the list before the scheduler, so that an attempt that was decided on the
// older list is checked against the newer one.
func (d *dataPath) OnTargetList(l *targetlist.List) {
	targets := make([]upstream.Target, len(l.Targets))
	endpoints := policy.EndpointList{Full: l.Full, Endpoints: make([]policy.Endpoint, len(l.Targets))}
	for i, e := range l.Targets {
		endpoints.Endpoints[i] = e.Endpoint()
		targets[i] = upstream.Target{ID: e.ID, Addr: e.Addr, State: endpoints.Endpoints[i].State}
	}
	d.metrics.SetTargets(d.up.Apply(targets, l.Full))
	d.core.UpdateTargets(endpoints)
}

// Stop implements Component. The process may go on with another generation, so the targets' connections are closed here.
func (d *dataPath) Stop(ctx context.Context) error {
	err := d.loop.Stop(ctx)
	d.up.Shutdown()
	return err
}

// EmitMetrics implements metricsEmitter.
func (d *dataPath) EmitMetrics(to statsd.ExtendedStatSender) { d.metrics.EmitMetrics(to) }

// quotaComponent is the instance's quota session at the agents. It is stopped once no request is served any more: it has the targets'
// connections closed, which count against the quotas, and gives the allocations back.
type quotaComponent struct {
	loop
	session *quotasession.Session
	up      *upstream.Registry
}

func newQuotaComponent(session *quotasession.Session, c *core.Core, up *upstream.Registry) *quotaComponent {
	session.OnChange(func() {
		c.NotifyQuotaChanged()
		up.PruneIdle()
	})
	return &quotaComponent{loop{run: session.Run}, session, up}
}

// Stop implements Component.
func (q *quotaComponent) Stop(ctx context.Context) error {
	err := q.loop.Stop(ctx)
	q.up.Shutdown()
	q.session.Leave(ctx)
	return err
}

// EmitMetrics implements metricsEmitter.
func (q *quotaComponent) EmitMetrics(to statsd.ExtendedStatSender) { q.session.EmitMetrics(to) }
