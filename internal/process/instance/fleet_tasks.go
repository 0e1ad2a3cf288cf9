package instance

import (
	"log/slog"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/leasework"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
)

// fleetTasks runs the fleet-wide tasks that this instance holds leases for.
type fleetTasks struct {
	runner *leasework.Runner
	probe  *leasework.EndpointProbe
	loop
}

// probeAnswerTimeout is how long a probed target may take to answer.
const probeAnswerTimeout = 400 * time.Millisecond

func newFleetTasks(cfg *config.Config, op *config.OperatorFile, log *slog.Logger, renewNow func(), openCount func() uint16, deadInstances func() []string) *fleetTasks {
	t := &fleetTasks{probe: &leasework.EndpointProbe{DialTimeout: cfg.DialTimeout, AnswerTimeout: probeAnswerTimeout}}
	jobs := map[lease.Kind]leasework.Job{lease.Drill: &leasework.Drill{Name: cfg.Name},
		lease.FleetReport: &leasework.FleetReport{Name: cfg.Name, Agents: &agent.Client{Addrs: op.Fleet.Agents}}}
	if cfg.HealthProbes && op.NVMe == nil {
		jobs[lease.EndpointProbe] = t.probe // without a job the task fails here and moves to another member
	}
	t.runner = leasework.New(leasework.Options{Tasks: op.Fleet.Tasks, Jobs: jobs, RenewNow: renewNow, OpenRequests: openCount, DeadInstances: deadInstances, Log: log})
	t.probe.SetRunner(t.runner)
	t.run = t.runner.Run
	return t
}

// forwardProbeResults passes the probe results of other members to the scheduler.
func (t *fleetTasks) forwardProbeResults(c *core.Core) {
	t.runner.OnResults(func(results []lease.ProbeResult, transit time.Duration) {
		for _, result := range results {
			c.ReportProbe(policy.ProbeResult{Endpoint: result.Target, Healthy: result.Healthy, Age: time.Duration(result.AgeMs)*time.Millisecond + transit, NextProbe: t.runner.OperationPeriod(result.Task)})
		}
	})
}

// EmitMetrics implements metricsEmitter.
func (t *fleetTasks) EmitMetrics(to statsd.ExtendedStatSender) { t.runner.EmitMetrics(to) }

// OnTargetList implements targetListener.
func (t *fleetTasks) OnTargetList(l *targetlist.List) {
	addrs := make(map[string]string, len(l.Targets))
	for _, e := range l.Targets {
		addrs[e.ID] = e.Addr
		if e.Endpoint().State == policy.Removed {
			addrs[e.ID] = ""
		}
	}
	t.probe.SetTargets(addrs, l.Full)
}
