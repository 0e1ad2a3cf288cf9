// Package quota defines fleet-wide quotas: the budgets that an operator configures, the members that
// share them, and the messages by which a member renews its allocations at the leading agent. It
// validates the operators' configs and the members' joins. It does no I/O.
//
// # Safety
//
// The sum of what all members may use never exceeds a budget's capacity. A member may use its floor
// while its session lasts, and its allocation until that expires. Comments in this package and below it
// refer to these steps of the argument; docs/fleet-budgets.md has it in full, and "make proof" checks
// it by exhaustive search.
//
//  1. The log bounds the number of sessions. A session ends only when its member has left, or when the
//     session TTL plus the longest linger time have passed since its last renewal, at the largest
//     allowed clock drift.
//  2. A grant is at most the capacity less what each other member may still hold: the greater of what
//     it reported and what it was granted last.
//  3. When an allocation is reduced, the larger amount is counted until the member has confirmed the
//     smaller one.
//  4. A member accepts a response only to its latest renewal, so a renewal with a newer number proves
//     that no older response will be used. A renewal with an older number is rejected.
//  5. A new allocator grants nothing new until all grants of its predecessors have expired. Until then
//     it only extends allocations that members report, and a member accepts an extension only while
//     the allocation is valid.
//  6. A response is sent only after a majority has confirmed, after the decision, the leader's term
//     (package readindex).
//  7. Therefore the wait of step 5 covers every grant of an earlier term.
//  8. Token buckets start empty, and a new allocation adds no tokens: usage over any window is at most
//     the burst plus the rate times its length. Rates are divided by one plus the clock drift.
//  9. A permit is valid for at most MaxTransit, and is checked just before the first byte is sent.
//  10. A connection counts from the dial until it is closed; a connection of a silent member counts for
//     the linger time beyond its allocation.
//  11. A reduced capacity applies to new grants at once.
//  12. Two processes with one name have separate sessions and allocations.
package quota
