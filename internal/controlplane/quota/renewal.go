package quota

// UsageReport is what a member reports for one limit with a renewal.
type UsageReport struct {
	Key
	Held  Amount  `json:"held"`             // allocation held beyond the floor when the renewal was started
	Want  float64 `json:"want"`             // wanted in all
	InUse float64 `json:"in_use,omitempty"` // of a concurrency limit: units in use now
	Used  float64 `json:"used,omitempty"`   // of a rate: units a second since the last renewal
}

// RenewalRequest is all that a member reports with one renewal.
type RenewalRequest struct {
	ID      string        `json:"id"`
	Seq     uint64        `json:"seq"`     // grows with each renewal of a session
	Version uint64        `json:"version"` // of the config that it uses
	Reports []UsageReport `json:"reports,omitempty"`
}

// Allocation is a member's part of one limit beyond its floor. It lasts for AllocationTTL from the
// start of its renewal.
type Allocation struct {
	Key
	Amount
	ExtendsOnly bool `json:"extends,omitempty"` // valid only if the previous allocation has not expired when this arrives
}

// RenewalResponse answers a renewal.
type RenewalResponse struct {
	ID          string       `json:"id"`
	Seq         uint64       `json:"seq"`
	Allocations []Allocation `json:"grants,omitempty"`
	Config      *Config      `json:"doc,omitempty"` // set if the member uses another version
}
