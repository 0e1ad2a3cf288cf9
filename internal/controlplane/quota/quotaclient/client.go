// Package quotaclient is a member's side of fleet-wide budgets: what it may use at a moment, what it asks for, and which answers it takes. It
// does no I/O; time is passed in, and equal inputs give equal outputs. docs/fleet-budgets.md argues for its safety; the numbers
// in the comments here are that page's steps.
package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

const (
	wantHeadroom   = 1.25 // of what was used, asked for beyond it: a need that grows by less finds its part there
	deniedGrowth   = 4    // times what there is are asked for where something was denied: what is really needed can't be seen then
	wantDecay      = 0.8  // of what was asked for last is asked for at least: a short lull gives nothing away
	wantHysteresis = 0.1  // a want that changes by less stays as it was
	roundingSlack  = 1e-9 // of sums of floating-point numbers
	// idleTTL is how long a whole that nothing was drawn from stays known.
	idleTTL = time.Minute
)

// Client is one process's. It is not safe for concurrent use.
type Client struct {
	governed         map[quota.Resource]bool // nothing of these is used before the fleet's budgets are known
	memberID         string
	registered       bool
	leaving          bool
	registeredAt     time.Duration
	sessionEnd       time.Duration
	config           quota.Config
	hasConfig        bool // doc is
	allocations      map[quota.Key]allocation
	openConnections  map[string]float64 // connections by target
	lastSeq          uint64
	renewalStartedAt time.Duration // when the renewal sent last was begun
	renewalAnswered  bool          // its answer was taken
	wantsComputedAt  time.Duration // when wants were last reckoned
	denied           bool          // something was denied since the last renewal
	deniedBefore     bool          // and before it
	allocationGrew   bool          // a part grew by the last answer
}

// New returns a holder without a seat. Of the uses named nothing is allowed until the fleet's budgets are known.
func New(governed []quota.Resource) *Client {
	h := &Client{governed: map[quota.Resource]bool{}, allocations: map[quota.Key]allocation{}, openConnections: map[string]float64{}}
	for _, u := range governed {
		h.governed[u] = true
	}
	return h
}

// Register takes a seat over: began is when the join was begun. Buckets start empty (8).
func (h *Client) Register(began time.Duration, id string, doc quota.Config) {
	h.memberID, h.config, h.hasConfig, h.registered, h.leaving = id, doc, true, true, false
	h.registeredAt, h.sessionEnd = began, began+doc.SessionTTL()
	h.allocations = map[quota.Key]allocation{}
	h.lastSeq, h.wantsComputedAt = 0, began
}

// Unregister gives everything up: the agents know no such member.
func (h *Client) Unregister() {
	h.registered = false
	h.allocations = map[quota.Key]allocation{}
}

// Leave gives everything up for good. Nothing is used from now on, so the agents may be told.
func (h *Client) Leave() {
	h.Unregister()
	h.leaving = true
}

// Registered tells whether there is a seat at that moment.
func (h *Client) Registered(now time.Duration) bool { return h.registered && now < h.sessionEnd }

// MemberID is the member that has the seat.
func (h *Client) MemberID() string { return h.memberID }

// SessionEnd is when the seat ends, or ended.
func (h *Client) SessionEnd() time.Duration { return h.sessionEnd }
