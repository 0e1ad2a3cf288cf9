package slope

import "fmt"

// Size is the fleet that the design has to support: what its operators expect within two years.
type Size struct {
	Initiators          float64 `json:"initiators"`
	Targets             float64 `json:"targets"`
	Clients             float64 `json:"client_connections"`
	Requests            float64 `json:"requests_s"` // of the whole fleet, a second
	PrimaryChanges      float64 `json:"primary_changes_day"`
	PrimaryChangeLimit  float64 `json:"primary_change_s"` // time within which each has to be in force everywhere
	Regions             float64 `json:"regions"`
	Zones               float64 `json:"zones"`
	ConfigChanges       float64 `json:"configuration_changes_day"`
	Failures            float64 `json:"failures_day"` // of machines
	Restarts            float64 `json:"restarts_day"` // of machines that are restarted or replaced
	InitiatorRestarts   float64 `json:"initiator_restarts_day"`
	ConfigBurst         float64 `json:"burst_changes_s"` // configuration changes a second in the worst minute
	EntriesPerMachine   float64 `json:"entries_each"`    // changes of the list for each machine that fails or restarts: it drains, is gone, another one is up
	ConfigBytes         float64 `json:"configuration_bytes"`
	VolumesPerInitiator float64 `json:"volumes_each"` // volumes that an initiator keeps accounts for: the default of the bound
	TaskShards          float64 `json:"task_shards"`  // shards of the tasks that run once in the fleet
}

const (
	day    = 86_400.0
	minute = 60.0
	hour   = 3600.0
)

// ListChangeRate returns the entries of the list that change a second on an ordinary day.
func (s Size) ListChangeRate() float64 {
	return (s.EntriesPerMachine*(s.Failures+s.Restarts) + 2*s.PrimaryChanges) / day
}

// ConfigChangeRate returns the configuration changes a second on an ordinary day.
func (s Size) ConfigChangeRate() float64 { return s.ConfigChanges / day }

// RequestsPerInitiator returns the requests a second at each initiator.
func (s Size) RequestsPerInitiator() float64 { return s.Requests / s.Initiators }

// Limits are the resources that an initiator may use for control traffic, the machines reserved for control, and the time within which a change has to be in force.
type Limits struct {
	Core           float64 `json:"initiator_core"` // fraction of a core
	Memory         float64 `json:"initiator_bytes"`
	Wire           float64 `json:"initiator_bytes_s"` // both ways
	Machines       float64 `json:"control_machines"`
	MachineCores   float64 `json:"control_machine_cores"`
	ConfigInForce  float64 `json:"change_in_force_s"`
	DiscoveryCall  float64 `json:"discovery_call_s"` // time that the discovery service shared by all initiators takes for a call, from docs/standing.md
	DiscoveryEntry float64 `json:"discovery_line_s"` // time that it takes for each entry of its answer
	RackTargets    float64 `json:"rack_targets"`     // targets that fail with a rack
	RestartWindow  float64 `json:"restarts_back_s"`  // time within which a day's restarts of initiators, all at once, have to be complete
}

// field is a named number that checkPositive validates.
type field struct {
	name  string
	value float64
}

func checkPositive(fields ...field) error {
	for _, f := range fields {
		if !(f.value > 0 && f.value < 1e15) {
			return fmt.Errorf("%s: %v is not above 0 and below 1e15", f.name, f.value)
		}
	}
	return nil
}

// Check validates the fields; the error names the first invalid one.
func (s Size) Check() error {
	return checkPositive(field{"initiators", s.Initiators}, field{"targets", s.Targets}, field{"client_connections", s.Clients}, field{"requests_s", s.Requests},
		field{"primary_changes_day", s.PrimaryChanges}, field{"primary_change_s", s.PrimaryChangeLimit}, field{"regions", s.Regions}, field{"zones", s.Zones},
		field{"configuration_changes_day", s.ConfigChanges}, field{"failures_day", s.Failures}, field{"restarts_day", s.Restarts},
		field{"initiator_restarts_day", s.InitiatorRestarts}, field{"burst_changes_s", s.ConfigBurst}, field{"entries_each", s.EntriesPerMachine},
		field{"configuration_bytes", s.ConfigBytes}, field{"volumes_each", s.VolumesPerInitiator}, field{"task_shards", s.TaskShards})
}

// Check validates the fields; the error names the first invalid one.
func (l Limits) Check() error {
	return checkPositive(field{"initiator_core", l.Core}, field{"initiator_bytes", l.Memory}, field{"initiator_bytes_s", l.Wire}, field{"control_machines", l.Machines},
		field{"control_machine_cores", l.MachineCores}, field{"change_in_force_s", l.ConfigInForce}, field{"discovery_call_s", l.DiscoveryCall}, field{"discovery_line_s", l.DiscoveryEntry},
		field{"rack_targets", l.RackTargets}, field{"restarts_back_s", l.RestartWindow})
}

// Scaled returns the size of a fleet with another number of initiators and the same proportions: targets, requests, changes and failures scale with it, regions
// and zones do not.
func (s Size) Scaled(initiators float64) Size {
	by := initiators / s.Initiators
	s.Initiators = initiators
	for _, f := range []*float64{&s.Targets, &s.Clients, &s.Requests, &s.PrimaryChanges, &s.ConfigChanges, &s.Failures, &s.Restarts, &s.InitiatorRestarts, &s.ConfigBurst} {
		*f *= by
	}
	return s
}
