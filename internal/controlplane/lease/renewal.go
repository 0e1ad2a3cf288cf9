package lease

// HolderStatus is what a member says of a lease that it has.
type HolderStatus struct {
	Key
	Token     uint64 `json:"token"`
	Completed uint64 `json:"acts"`    // ended under this token
	Fenced    uint64 `json:"refused"` // of them, by the place
	Failed    uint64 `json:"failed"`  // of them, for another reason: these are no progress
}

// Ref is a lease given back: its holder does nothing under the token any more.
type Ref struct {
	Key
	Token uint64 `json:"token"`
}

// ProbeResult is what a holder found out about a target.
type ProbeResult struct {
	Task      string `json:"task"`
	Target    string `json:"target"`
	Token     uint64 `json:"token"` // of the target's shard
	Healthy   bool   `json:"well"`
	LatencyUs int64  `json:"took_us"`
	AgeMs     int64  `json:"ago_ms"` // since it was found out, at least
}

// RenewalRequest is all that a member says of leases at a time, with each renewal.
type RenewalRequest struct {
	Seq           uint64         `json:"seq"`               // grows with each
	ConfigVersion uint64         `json:"version,omitempty"` // of the tasks it goes by
	Tasks         []string       `json:"runs,omitempty"`    // the tasks that it can do
	Held          []HolderStatus `json:"holds,omitempty"`
	Released      []Ref          `json:"gives,omitempty"`
	HighestToken  uint64         `json:"seen,omitempty"` // the newest token that a place has ever shown it: the next has to be greater
	Ejected       []string       `json:"avoids,omitempty"`
	Results       []ProbeResult  `json:"results,omitempty"`
	OpenRequests  uint16         `json:"load,omitempty"`  // requests open, as it counts them
	DeadInstances []string       `json:"ended,omitempty"` // instances that the member holds dead or gone, by name: for planning alone
}

// RenewalResponse is the answer to a claim.
type RenewalResponse struct {
	Seq          uint64        `json:"seq"`
	Leases       []Ref         `json:"leases,omitempty"`  // held until lease_ms after the claim was begun
	Recalled     []Ref         `json:"recalls,omitempty"` // to be given back once no act is under way
	Config       *Config       `json:"doc,omitempty"`     // where the member goes by another
	ProbeTargets []string      `json:"work,omitempty"`    // targets that are avoided, of the shards held
	ProbeResults []ProbeResult `json:"news,omitempty"`    // of targets that the member avoids
}
