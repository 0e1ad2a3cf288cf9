package quota

// UsageReport is a member's report about one limit in a renewal.
type UsageReport struct {
	Key
	Held  Amount  `json:"held"`             // allocation held beyond the floor when the renewal was started
	Want  float64 `json:"want"`             // total amount wanted, floor included
	InUse float64 `json:"in_use,omitempty"` // of a concurrency limit: units in use now
	Used  float64 `json:"used,omitempty"`   // of a rate: units a second since the last renewal
}

// RenewalRequest is one renewal of a member's session and allocations.
type RenewalRequest struct {
	ID      string        `json:"id"`
	Seq     uint64        `json:"seq"`     // grows with each renewal of a session
	Version uint64        `json:"version"` // version of the config that it uses
	Reports []UsageReport `json:"reports,omitempty"`
}

// Allocation is a member's share of one limit beyond its floor. It is valid for AllocationTTL from the
// start of its renewal.
type Allocation struct {
	Key
	Amount
	ExtendsOnly bool `json:"extends,omitempty"` // accepted only if the previous allocation is still valid when this arrives
}

// RenewalResponse answers a renewal.
type RenewalResponse struct {
	ID          string       `json:"id"`
	Seq         uint64       `json:"seq"`
	Allocations []Allocation `json:"grants,omitempty"`
	Config      *Config      `json:"doc,omitempty"` // set if the member uses another version
}
