package lease

// HolderStatus is what a member reports of a lease that it holds. The counts are for this token.
type HolderStatus struct {
	Key
	Token     uint64 `json:"token"`
	Completed uint64 `json:"acts"`    // operations that succeeded: progress
	Fenced    uint64 `json:"refused"` // operations rejected because of a newer token
	Failed    uint64 `json:"failed"`  // operations that failed for another reason
}

// Ref names a lease under one token.
type Ref struct {
	Key
	Token uint64 `json:"token"`
}

// ProbeResult is what a lease holder found out about an ejected target.
type ProbeResult struct {
	Task      string `json:"task"`
	Target    string `json:"target"`
	Token     uint64 `json:"token"` // of the target's shard
	Healthy   bool   `json:"well"`
	LatencyUs int64  `json:"took_us"`
	AgeMs     int64  `json:"ago_ms"` // since the probe, at least
}

// RenewalRequest is all that a member reports of leases with one renewal of its session.
type RenewalRequest struct {
	Seq           uint64         `json:"seq"`               // grows with each request
	ConfigVersion uint64         `json:"version,omitempty"` // of the tasks that it uses
	Tasks         []string       `json:"runs,omitempty"`    // names of the tasks that it can run
	Held          []HolderStatus `json:"holds,omitempty"`
	Released      []Ref          `json:"gives,omitempty"`  // released since they were granted
	HighestToken  uint64         `json:"seen,omitempty"`   // that any guarded resource has shown it; the next grant must be greater
	Ejected       []string       `json:"avoids,omitempty"` // targets that it has ejected
	Results       []ProbeResult  `json:"results,omitempty"`
	OpenRequests  uint16         `json:"load,omitempty"` // its load, for balance
	// names that its membership view holds dead or gone: a hint for planning alone
	DeadInstances []string `json:"ended,omitempty"`
}

// RenewalResponse answers a RenewalRequest.
type RenewalResponse struct {
	Seq          uint64        `json:"seq"`
	Leases       []Ref         `json:"leases,omitempty"`  // held until the task's TTL after the request was started
	Recalled     []Ref         `json:"recalls,omitempty"` // to be released once no operation is running
	Config       *Config       `json:"doc,omitempty"`     // set if the member uses another version
	ProbeTargets []string      `json:"work,omitempty"`    // ejected targets of the shards that it holds
	ProbeResults []ProbeResult `json:"news,omitempty"`    // of targets that it has ejected
}
