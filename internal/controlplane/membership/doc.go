// Package membership lets initiators know each other without a leader, by SWIM with the extensions of
// Lifeguard: periodic probes, indirect probes, suspicion that its subject can refute, records
// piggybacked on probes, and a periodic sync of what two views do not share. It adds reachability
// records, which name links that are cut in one direction, and keeps processes that were paused from
// judging others. It does no I/O; time and randomness are passed in, and equal inputs give equal
// outputs.
//
// # Argument
//
// Comments refer to these steps; docs/members.md has the argument in full, and "make proof" searches
// it.
//
//  1. Only a member raises its own incarnation, and it does so to refute. Records of an earlier
//     incarnation are outdated.
//  2. Only a reply that echoes a nonce of this node is believed. Any other message gets a reply, but
//     changes nothing; one exception: a ping may make its receiver refute.
//  3. A suspicion lasts longer the fewer members confirm it. A death declared by others counts apart:
//     enough of them must agree, and passing one on does not confirm it.
//  4. Lateness and failures of its own raise a node's health score, which lengthens its timeouts. A
//     pause voids its probes and suspicions. A node that hears nobody declares nobody dead.
//  5. Dead members and unknown seeds are probed now and then, and views are synced regularly, so that
//     views converge after a partition.
//  6. A link is reported as cut in one direction after several probes in a row without a reply of a
//     member that answers otherwise. One reply revokes the report.
package membership
