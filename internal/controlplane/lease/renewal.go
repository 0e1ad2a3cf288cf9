package lease

// HolderStatus is what a member reports about a lease that it holds. The counts are for this token.
type HolderStatus struct {
	Key
	Token     uint64 `json:"token"`
	Completed uint64 `json:"acts"`    // operations that succeeded; growth counts as progress
	Fenced    uint64 `json:"refused"` // operations rejected because of a newer token
	Failed    uint64 `json:"failed"`  // operations that failed for another reason
}

// Ref names a lease under one token.
type Ref struct {
	Key
	Token uint64 `json:"token"`
}

// ProbeResult is the result of a lease holder's probe of an ejected target.
type ProbeResult struct {
	Task      string `json:"task"`
	Target    string `json:"target"`
	Token     uint64 `json:"token"` // of the target's shard
	Healthy   bool   `json:"well"`
	LatencyUs int64  `json:"took_us"`
	AgeMs     int64  `json:"ago_ms"` // lower bound on the time since the probe
}

// RenewalRequest is what a member reports about its leases with one renewal of its session.
type RenewalRequest struct {
	Seq           uint64         `json:"seq"`               // grows with each request
	ConfigVersion uint64         `json:"version,omitempty"` // version of the lease config that it uses
	Tasks         []string       `json:"runs,omitempty"`    // names of the tasks that it can run
	Held          []HolderStatus `json:"holds,omitempty"`
	Released      []Ref          `json:"gives,omitempty"`  // released, and not yet confirmed by the lessor
	HighestToken  uint64         `json:"seen,omitempty"`   // highest token that a guarded resource reported to it; the next grant must be greater
	Ejected       []string       `json:"avoids,omitempty"` // targets that it has ejected
	Results       []ProbeResult  `json:"results,omitempty"`
	OpenRequests  uint16         `json:"load,omitempty"` // its load, for rebalancing
	// names of instances that its membership view considers dead or departed; used only as a hint for planning
	DeadInstances []string `json:"ended,omitempty"`
}

// RenewalResponse answers a RenewalRequest.
type RenewalResponse struct {
	Seq          uint64        `json:"seq"`
	Leases       []Ref         `json:"leases,omitempty"`  // valid until the task's TTL after the request was started
	Recalled     []Ref         `json:"recalls,omitempty"` // to be released once no operation is running
	Config       *Config       `json:"doc,omitempty"`     // set if the member uses another version
	ProbeTargets []string      `json:"work,omitempty"`    // ejected targets of the shards that it holds
	ProbeResults []ProbeResult `json:"news,omitempty"`    // of targets that it has ejected
}
