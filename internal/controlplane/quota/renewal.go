package quota

// UsageReport is what a member says of one whole.
type UsageReport struct {
	Key
	Held  Amount  `json:"held"`             // beyond the floor, as the renewal was begun
	Want  float64 `json:"want"`             // in all
	InUse float64 `json:"in_use,omitempty"` // of a stock: out now
	Used  float64 `json:"used,omitempty"`   // of a rate: units a second since the last renewal
}

// RenewalRequest is all that a member says at a time.
type RenewalRequest struct {
	ID      string        `json:"id"`
	Seq     uint64        `json:"seq"`     // grows with each
	Version uint64        `json:"version"` // of the set of budgets it goes by
	Reports []UsageReport `json:"reports,omitempty"`
}

// Allocation is a part, until part_ms after its renewal was begun.
type Allocation struct {
	Key
	Amount
	ExtendsOnly bool `json:"extends,omitempty"` // only for a holder whose part has not ended when it hears
}

// RenewalResponse is what a renewal brings.
type RenewalResponse struct {
	ID          string       `json:"id"`
	Seq         uint64       `json:"seq"`
	Allocations []Allocation `json:"grants,omitempty"`
	Config      *Config      `json:"doc,omitempty"` // where the member goes by another
}
