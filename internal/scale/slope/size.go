package slope

import "fmt"

// Size is the fleet that decides the design: what its operators expect within two years.
type Size struct {
	Initiators     float64 `json:"initiators"`
	Targets        float64 `json:"targets"`
	Clients        float64 `json:"client_connections"`
	Requests       float64 `json:"requests_s"` // of all, a second
	Primaries      float64 `json:"primary_changes_day"`
	PrimaryWithin  float64 `json:"primary_change_s"` // each is over within
	Regions        float64 `json:"regions"`
	Zones          float64 `json:"zones"`
	Changes        float64 `json:"configuration_changes_day"`
	Failures       float64 `json:"failures_day"` // of machines
	Restarts       float64 `json:"restarts_day"` // of machines that are restarted or replaced
	InitiatorsBack float64 `json:"initiator_restarts_day"`
	Burst          float64 `json:"burst_changes_s"` // the worst minute's changes of configuration
}

// Limits are what an initiator may spend on control, what is set aside for it, and until when a change is in force.
type Limits struct {
	Core      float64 `json:"initiator_core"`    // part of a core
	Memory    float64 `json:"initiator_bytes"`   //
	Wire      float64 `json:"initiator_bytes_s"` // both ways
	Machines  float64 `json:"control_machines"`
	MachineOf float64 `json:"control_machine_cores"`
	InForce   float64 `json:"change_in_force_s"`
	Calls     float64 `json:"discovery_calls_s"` // that one discovery service answers
	Rack      float64 `json:"rack_targets"`      // what goes with one
}

// field is one of a number of numbers that have to be over 0.
type field struct {
	name  string
	value float64
}

func positive(fields ...field) error {
	for _, f := range fields {
		if !(f.value > 0 && f.value < 1e15) {
			return fmt.Errorf("%s: %v is not over 0", f.name, f.value)
		}
	}
	return nil
}

// Check names the first field that can't be used.
func (s Size) Check() error {
	return positive(field{"initiators", s.Initiators}, field{"targets", s.Targets}, field{"client_connections", s.Clients}, field{"requests_s", s.Requests},
		field{"primary_changes_day", s.Primaries}, field{"primary_change_s", s.PrimaryWithin}, field{"regions", s.Regions}, field{"zones", s.Zones},
		field{"configuration_changes_day", s.Changes}, field{"failures_day", s.Failures}, field{"restarts_day", s.Restarts},
		field{"initiator_restarts_day", s.InitiatorsBack}, field{"burst_changes_s", s.Burst})
}

// Check names the first field that can't be used.
func (l Limits) Check() error {
	return positive(field{"initiator_core", l.Core}, field{"initiator_bytes", l.Memory}, field{"initiator_bytes_s", l.Wire}, field{"control_machines", l.Machines},
		field{"control_machine_cores", l.MachineOf}, field{"change_in_force_s", l.InForce}, field{"discovery_calls_s", l.Calls}, field{"rack_targets", l.Rack})
}

// Of is the size of a fleet with so many initiators and the same proportions: targets, requests, changes and failures go with it, what regions and
// zones there are does not.
func (s Size) Of(initiators float64) Size {
	by := initiators / s.Initiators
	s.Initiators = initiators
	for _, f := range []*float64{&s.Targets, &s.Clients, &s.Requests, &s.Primaries, &s.Changes, &s.Failures, &s.Restarts, &s.InitiatorsBack, &s.Burst} {
		*f *= by
	}
	return s
}
