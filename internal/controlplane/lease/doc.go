// Package lease defines leases for tasks that run once for the whole fleet: the tasks that an operator
// configures, the lease of each shard, the events by which the replicated log changes leases, and the
// messages by which a member renews them at the leading agent. It does no I/O.
//
// # Safety
//
// No two operations on a shard overlap. Comments in this package and below it refer to these steps of
// the argument; docs/leases.md has it in full, and "make proof" checks it by exhaustive search.
//
//  1. A holder counts its TTL from before it sent the renewal request, on the boot-time clock.
//  2. The lessor considers a lease ended only if it was released, or if it was not renewed for the TTL
//     plus the longest pause, at the largest allowed clock drift. A report that a holder is dead does
//     not end a lease.
//  3. Fencing tokens grow with each grant. If the agents lose their log, members report the highest
//     tokens that resources have seen, and the next grant gets a greater one.
//  4. An event has no effect if the lease's token is not the one that the lessor expected.
//  5. An operation starts only if it can end within the lease, and checks the lease before each effect.
//  6. A new lessor assumes that every lease was renewed just before its term.
//  7. A response is sent only after a majority has confirmed the leader's term (package readindex).
//  8. A member stops using a lease before it reports the release, and does not use that token again.
//  9. A migration is planned in the log; the lease is then not renewed, and its holder is asked to
//     release it. The next holder is granted the lease after it has ended by step 2.
//  10. The lease of a holder that completes no operation within the progress timeout is not renewed,
//     and that member is granted no shard of the task during a backoff.
//  11. A member accepts a response only to its latest renewal, and only once.
//  12. The resource rejects operations older than the newest that began on it (package fencing).
package lease
