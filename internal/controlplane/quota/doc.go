// Package quota defines fleet-wide quotas: the budgets that an operator sets, the members that share
// them, and the messages by which a member renews its allocations at the leading agent. It validates
// what operators and members send. It does no I/O.
//
// # Safety
//
// What members may use never sums to more than a budget's capacity. A member may use its floor while
// its session lasts, and its allocation until that expires. Comments in this package and below it refer
// to these steps of the argument; docs/fleet-budgets.md has it in full, and "make proof" searches it.
//
//  1. The log bounds the number of sessions. A session ends only when its member left, or when the
//     session TTL and the longest linger time have passed since its last renewal, by the worst clocks.
//  2. A grant is at most the capacity less what each other member may still hold: the greater of what
//     it reported and what it was granted last.
//  3. A smaller allocation counts as the larger one until the member has confirmed it.
//  4. A member accepts an answer only to its latest renewal, so a renewal with a newer number proves
//     that no older answer will be used. An older number is rejected.
//  5. A new allocator grants nothing new until all that its predecessors granted has expired. It only
//     extends allocations that members report, and a member accepts that only while they are valid.
//  6. An answer is sent only after a majority has confirmed the leader's term, after the decision
//     (package readindex).
//  7. So the wait of step 5 covers every grant of an earlier term.
//  8. Token buckets start empty, and an allocation brings no tokens: over any window no more is used
//     than the burst and the rate. Rates are divided by one plus the clock drift.
//  9. A permit is valid for MaxTransit at most, and is checked just before the first byte is sent.
//  10. Connections count from the dial until they are closed; those of a silent member for the linger
//     time beyond its allocation.
//  11. A capacity that was made smaller holds for new grants at once.
//  12. Two processes of one name have separate sessions and allocations.
package quota
