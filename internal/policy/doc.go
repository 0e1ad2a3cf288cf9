// Package policy decides, for one initiator of a shared pool of storage endpoints, when each request
// is sent to the endpoint that holds its data, whether it is retried, and how it ends. It is a pure
// state machine: Scheduler is stepped with the time and a batch of events (requests, outcomes of
// attempts, endpoint lists, changed settings) and returns actions (send, reject, fail, set a timer).
// It does no I/O, reads no clock and starts no goroutines, so that the real transports, the simulator's
// transport and the fleet model all run the same decision code.
//
// # What is decided, and where
//
//   - tags.go: fair queuing between volumes. Each volume has a token bucket that fills at its plan's
//     rate; a request gets a start and a finish tag from it (RFQ, see docs/design.md).
//   - release.go: which queued request leaves next, and whether its endpoint has capacity.
//   - admission.go: the single gate that every send passes: order within an extent, rate limits,
//     retry budget, cold start limits and fleet-wide quotas.
//   - rejection.go: when a request is rejected or failed, and when its client should retry. A request
//     is rejected as soon as it cannot meet its latency objective any more, or if half of its time
//     has passed without an attempt.
//   - attempts.go: which outcomes may be retried, when, and within which budget.
//   - health.go: the estimates made from outcomes and load reports: latency, concurrency limit,
//     faults, and which endpoints are ejected.
//   - coldstart.go: how much may be sent to an endpoint that started recently.
//   - placement.go: which queue a new object goes to.
//   - settings.go, settings_change.go: the settings, and applying changed ones while requests are open.
//   - quota.go: the fleet-wide quotas that bound the decisions.
//
// index.go and wait_tree.go only find queues and endpoints quickly; they decide nothing.
//
// # Invariants
//
//   - Every Request gets exactly one of: a final Outcome, Reject or Fail, or its client disconnects.
//   - At most one attempt of a request is in flight.
//   - A request that may have run is repeated only if its class allows it (Effect, DedupScope).
//   - No attempt is sent to an endpoint whose state in the list is not Up.
//   - State is kept per volume, shard, endpoint and request only, and dropped when idle (expiry.go).
package policy
