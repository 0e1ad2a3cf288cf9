// Package quotaclient is a member's side of fleet-wide quotas: what it may use at a moment, what it
// asks for, and which answers it accepts. It does no I/O; time is passed in, and equal inputs give
// equal outputs.
//
// Invariants: an allocation is used until its TTL counted from the start of its renewal, so before its
// answer arrived; only the answer to the last renewal is accepted, and only once; a bucket never gains
// tokens by an allocation, only by time. Numbers of steps in comments are those of package quota.
package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// Constants of the demand estimate.
const (
	wantHeadroom = 1.25 // times the usage that is asked for, so that demand can grow
	// times the present limit that is asked for after a denial: the real demand is unknown then
	deniedGrowth = 4
	// smallest fraction of the previous demand to ask for: a short lull gives nothing up
	wantDecay      = 0.8
	wantHysteresis = 0.1         // relative change of demand that is ignored
	roundingSlack  = 1e-9        // rounding error of sums
	idleTTL        = time.Minute // how long an unused limit stays known
)

// Client is one process's quotas. It is not safe for concurrent use.
type Client struct {
	governed         map[quota.Resource]bool // resources that are blocked until the budgets are known
	memberID         string                  // of the current or last session
	registered       bool                    // it has a session, which ends at sessionEnd
	leaving          bool                    // nothing is used any more
	registeredAt     time.Duration           // start of the join
	sessionEnd       time.Duration
	config           quota.Config
	hasConfig        bool                     // config is known
	allocations      map[quota.Key]allocation // by limit
	openConnections  map[string]float64       // by target
	lastSeq          uint64                   // of the renewal sent last
	renewalStartedAt time.Duration            // of it
	renewalAnswered  bool                     // its answer was accepted
	wantsComputedAt  time.Duration            // when demand was last computed
	denied           bool                     // a reservation was denied since the last renewal
	deniedBefore     bool                     // and between the last two renewals
	allocationGrew   bool                     // by the last answer
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

// Register takes over a new session; startedAt is when the join was started. Buckets start empty (step
// 8).
func (c *Client) Register(startedAt time.Duration, id string, config quota.Config) {
	c.memberID, c.config, c.hasConfig, c.registered, c.leaving = id, config, true, true, false
	c.registeredAt, c.sessionEnd = startedAt, startedAt+config.SessionTTL()
	c.allocations = map[quota.Key]allocation{}
	c.lastSeq, c.wantsComputedAt = 0, startedAt
}

// Unregister gives up the session: the agents do not know it.
func (c *Client) Unregister() {
	c.registered = false
	c.allocations = map[quota.Key]allocation{}
}

// Leave gives up everything for good. Nothing is used from now on, so the agents may be told.
func (c *Client) Leave() {
	c.Unregister()
	c.leaving = true
}

// Registered reports whether there is a session at that moment.
func (c *Client) Registered(now time.Duration) bool { return c.registered && now < c.sessionEnd }

// MemberID is the id of the session.
func (c *Client) MemberID() string { return c.memberID }

// SessionEnd is when the session ends, or ended.
func (c *Client) SessionEnd() time.Duration { return c.sessionEnd }
