package slope

import "fmt"

// Size is the fleet that decides the design: what its operators expect within two years.
type Size struct {
	Initiators          float64 `json:"initiators"`
	Targets             float64 `json:"targets"`
	Clients             float64 `json:"client_connections"`
	Requests            float64 `json:"requests_s"` // of all, a second
	PrimaryChanges      float64 `json:"primary_changes_day"`
	PrimaryChangeLimit  float64 `json:"primary_change_s"` // each is over within
	Regions             float64 `json:"regions"`
	Zones               float64 `json:"zones"`
	ConfigChanges       float64 `json:"configuration_changes_day"`
	Failures            float64 `json:"failures_day"` // of machines
	Restarts            float64 `json:"restarts_day"` // of machines that are restarted or replaced
	InitiatorRestarts   float64 `json:"initiator_restarts_day"`
	ConfigBurst         float64 `json:"burst_changes_s"` // the worst minute's changes of configuration
	EntriesPerMachine   float64 `json:"entries_each"`    // of the list, for a machine that goes and comes: it drains, is gone, another is up
	ConfigBytes         float64 `json:"configuration_bytes"`
	VolumesPerInitiator float64 `json:"volumes_each"` // that an initiator keeps accounts of: the bound's default
	TaskShards          float64 `json:"task_shards"`  // of tasks that are done once for the fleet
}

const (
	day    = 86_400.0
	minute = 60.0
	hour   = 3600.0
)

// ListRate is how many entries of the list change a second on an ordinary day.
func (s Size) ListChangeRate() float64 {
	return (s.EntriesPerMachine*(s.Failures+s.Restarts) + 2*s.PrimaryChanges) / day
}

// ChangeRate is how many changes of configuration there are a second on an ordinary day.
func (s Size) ConfigChangeRate() float64 { return s.ConfigChanges / day }

// RequestsEach is how many requests an initiator has a second.
func (s Size) RequestsPerInitiator() float64 { return s.Requests / s.Initiators }

// Limits are what an initiator may spend on control, what is set aside for it, and until when a change is in force.
type Limits struct {
	Core           float64 `json:"initiator_core"`    // part of a core
	Memory         float64 `json:"initiator_bytes"`   //
	Wire           float64 `json:"initiator_bytes_s"` // both ways
	Machines       float64 `json:"control_machines"`
	MachineCores   float64 `json:"control_machine_cores"`
	ConfigInForce  float64 `json:"change_in_force_s"`
	DiscoveryCall  float64 `json:"discovery_call_s"` // what one service that all initiators share takes for a call, and for a line of its answer: docs/standing.md
	DiscoveryEntry float64 `json:"discovery_line_s"`
	RackTargets    float64 `json:"rack_targets"`    // what goes with one
	RestartWindow  float64 `json:"restarts_back_s"` // all of a day's restarts of initiators may come at once, and are over by then
}

// field is one of a number of numbers that have to be over 0.
type field struct {
	name  string
	value float64
}

func checkPositive(fields ...field) error {
	for _, f := range fields {
		if !(f.value > 0 && f.value < 1e15) {
			return fmt.Errorf("%s: %v is not over 0", f.name, f.value)
		}
	}
	return nil
}

// Check names the first field that can't be used.
func (s Size) Check() error {
	return checkPositive(field{"initiators", s.Initiators}, field{"targets", s.Targets}, field{"client_connections", s.Clients}, field{"requests_s", s.Requests},
		field{"primary_changes_day", s.PrimaryChanges}, field{"primary_change_s", s.PrimaryChangeLimit}, field{"regions", s.Regions}, field{"zones", s.Zones},
		field{"configuration_changes_day", s.ConfigChanges}, field{"failures_day", s.Failures}, field{"restarts_day", s.Restarts},
		field{"initiator_restarts_day", s.InitiatorRestarts}, field{"burst_changes_s", s.ConfigBurst}, field{"entries_each", s.EntriesPerMachine},
		field{"configuration_bytes", s.ConfigBytes}, field{"volumes_each", s.VolumesPerInitiator}, field{"task_shards", s.TaskShards})
}

// Check names the first field that can't be used.
func (l Limits) Check() error {
	return checkPositive(field{"initiator_core", l.Core}, field{"initiator_bytes", l.Memory}, field{"initiator_bytes_s", l.Wire}, field{"control_machines", l.Machines},
		field{"control_machine_cores", l.MachineCores}, field{"change_in_force_s", l.ConfigInForce}, field{"discovery_call_s", l.DiscoveryCall}, field{"discovery_line_s", l.DiscoveryEntry},
		field{"rack_targets", l.RackTargets}, field{"restarts_back_s", l.RestartWindow})
}

// Of is the size of a fleet with so many initiators and the same proportions: targets, requests, changes and failures go with it, what regions and
// zones there are does not.
func (s Size) Scaled(initiators float64) Size {
	by := initiators / s.Initiators
	s.Initiators = initiators
	for _, f := range []*float64{&s.Targets, &s.Clients, &s.Requests, &s.PrimaryChanges, &s.ConfigChanges, &s.Failures, &s.Restarts, &s.InitiatorRestarts, &s.ConfigBurst} {
		*f *= by
	}
	return s
}
