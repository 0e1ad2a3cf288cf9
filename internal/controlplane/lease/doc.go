// Package lease defines leases for tasks that run once for the whole fleet: the tasks that an operator
// sets, the lease of each shard, the events by which the replicated log changes leases, and the
// messages by which a member renews them at the leading agent. It does no I/O.
//
// # Safety
//
// No two operations on a shard overlap. Comments in this package and below it refer to these steps of
// the argument; docs/leases.md has it in full, and "make proof" searches it.
//
//  1. A holder counts its TTL from before its renewal was sent, on the boot-time clock.
//  2. The lessor takes a lease as ended only if it was released, or if it was not renewed for the TTL
//     and the longest pause, by the worst allowed clocks. Reports that a holder is dead end nothing.
//  3. Fencing tokens grow with each grant. After the agents lost their log, members report the tokens
//     that resources were shown, and the next grant is greater.
//  4. An event has no effect if the lease has another token than the lessor expected.
//  5. An operation starts only if it can end within the lease, and checks the lease before each effect.
//  6. A new lessor assumes that every lease was renewed just before its term.
//  7. An answer is sent only after a majority has confirmed the leader's term (package readindex).
//  8. A member stops using a lease before it reports the release, and does not use that token again.
//  9. A migration is planned in the log; the lease is then not renewed, and its holder is told to
//     release it. The next holder is granted the lease after the end by step 2.
//  10. A holder that completes nothing within the progress timeout is not renewed, and backs off.
//  11. A member accepts an answer only to its latest renewal, and once.
//  12. The resource rejects operations older than the newest that began there (package fencing).
package lease
