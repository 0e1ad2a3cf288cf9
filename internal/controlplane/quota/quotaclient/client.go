// Package quotaclient is a member's side of fleet-wide quotas: what it may use at a moment, what it
// requests, and which responses it accepts. It does no I/O; time is passed in, and equal inputs give
// equal outputs.
//
// Invariants: the TTL of an allocation is counted from the start of its renewal, which is before the
// response arrived; only the response to the last renewal is accepted, and only once; a bucket gains
// tokens only by time, never by a new allocation. Step numbers in comments refer to package quota.
package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// Constants of the demand estimate.
const (
	wantHeadroom = 1.25 // requested multiple of the usage, so that demand can grow
	// requested multiple of the current limit after a denial, when the real demand is unknown
	deniedGrowth = 4
	// smallest fraction of the previous demand to request, so that a short lull does not give up the allocation
	wantDecay      = 0.8
	wantHysteresis = 0.1         // relative change of demand that is ignored
	roundingSlack  = 1e-9        // tolerance for rounding errors of sums
	idleTTL        = time.Minute // how long the state of an unused limit is kept
)

// Client is the quota state of one process. It is not safe for concurrent use.
type Client struct {
	governed         map[quota.Resource]bool // resources that are blocked until the budgets are known
	memberID         string                  // id of the current or last session
	registered       bool                    // it has a session, which expires at sessionEnd
	leaving          bool                    // Leave was called: nothing may be used any more
	registeredAt     time.Duration           // start of the join
	sessionEnd       time.Duration
	config           quota.Config
	hasConfig        bool                     // config is set
	allocations      map[quota.Key]allocation // by limit
	openConnections  map[string]float64       // by target
	lastSeq          uint64                   // sequence number of the last renewal
	renewalStartedAt time.Duration            // start of the last renewal
	renewalAnswered  bool                     // the response to the last renewal was accepted
	wantsComputedAt  time.Duration            // when demand was last computed
	denied           bool                     // a reservation was denied since the last renewal
	deniedBefore     bool                     // a reservation was denied between the last two renewals
	allocationGrew   bool                     // the last response increased an allocation
}

// New returns a client without a session. The governed resources are blocked until the budgets are
// known.
func New(governed []quota.Resource) *Client {
	c := &Client{governed: map[quota.Resource]bool{}, allocations: map[quota.Key]allocation{}, openConnections: map[string]float64{}}
	for _, r := range governed {
		c.governed[r] = true
	}
	return c
}

// Register starts a new session; startedAt is when the join was started. Buckets start empty (step 8).
func (c *Client) Register(startedAt time.Duration, id string, config quota.Config) {
	c.memberID, c.config, c.hasConfig, c.registered, c.leaving = id, config, true, true, false
	c.registeredAt, c.sessionEnd = startedAt, startedAt+config.SessionTTL()
	c.allocations = map[quota.Key]allocation{}
	c.lastSeq, c.wantsComputedAt = 0, startedAt
}

// Unregister drops the session, which has ended or is unknown to the agents.
func (c *Client) Unregister() {
	c.registered = false
	c.allocations = map[quota.Key]allocation{}
}

// Leave drops the session permanently. Nothing is used from now on, so the session may be ended at the
// agents.
func (c *Client) Leave() {
	c.Unregister()
	c.leaving = true
}

// Registered reports whether there is a session that has not expired.
func (c *Client) Registered(now time.Duration) bool { return c.registered && now < c.sessionEnd }

// MemberID returns the member id of the current or last session.
func (c *Client) MemberID() string { return c.memberID }

// SessionEnd returns when the session expires or expired.
func (c *Client) SessionEnd() time.Duration { return c.sessionEnd }
