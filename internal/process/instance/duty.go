package instance

import (
	"log/slog"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/leasework"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
)

// duty is what an instance does for the whole fleet.
type duty struct {
	runner *leasework.Runner
	probe  *leasework.EndpointProbe
	loop
}

// probeWithin is how long a target that is tried may take to answer.
const probeWithin = 400 * time.Millisecond

func newDuty(cfg *config.Config, op *config.Operator, log *slog.Logger, hurry func(), load func() uint16, ended func() []string) *duty {
	d := &duty{probe: &leasework.EndpointProbe{DialTimeout: cfg.Dial, AnswerTimeout: probeWithin}}
	jobs := map[lease.Kind]leasework.Job{lease.Drill: &leasework.Drill{Name: cfg.Name},
		lease.FleetReport: &leasework.FleetReport{Name: cfg.Name, Agents: &agent.Client{Addrs: op.Fleet.Agents}}}
	if cfg.Probes && op.NVMe == nil {
		jobs[lease.EndpointProbe] = d.probe // else such a task fails here, and goes to another member
	}
	d.runner = leasework.New(leasework.Options{Tasks: op.Fleet.Tasks, Jobs: jobs, RenewNow: hurry, OpenRequests: load, DeadInstances: ended, Log: log})
	d.probe.SetRunner(d.runner)
	d.run = d.runner.Run
	return d
}

// tells has the module hear what others found out.
func (d *duty) tells(c *core.Core) {
	d.runner.OnResults(func(news []lease.ProbeResult, way time.Duration) {
		for _, x := range news {
			c.ReportProbe(policy.ProbeResult{Endpoint: x.Target, Healthy: x.Healthy, Age: time.Duration(x.AgeMs)*time.Millisecond + way, NextProbe: d.runner.OperationPeriod(x.Task)})
		}
	})
}

// Tell implements teller.
func (d *duty) Tell(to statsd.ExtendedStatSender) { d.runner.WriteMetrics(to) }

// Listed implements listener.
func (d *duty) Listed(l *listing.List) {
	addrs := make(map[string]string, len(l.Targets))
	for _, e := range l.Targets {
		addrs[e.ID] = e.Addr
		if e.Endpoint().State == policy.Removed {
			addrs[e.ID] = ""
		}
	}
	d.probe.SetTargets(addrs, l.Full)
}
