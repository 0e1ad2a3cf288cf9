// Package membership implements a group membership protocol among initiators, without a leader: SWIM
// with the extensions of Lifeguard, which are periodic probes, indirect probes, suspicions that the
// suspected member can refute, records piggybacked on probes, and a periodic sync of the parts in which
// two views differ. It adds reachability records, which report links that are cut in one direction, and
// prevents a process that was paused from declaring others dead. It does no I/O; time and randomness are
// passed in, and equal inputs give equal outputs.
//
// # Argument
//
// Comments refer to these steps; docs/members.md has the argument in full, and "make proof" searches
// it.
//
//  1. Only a member raises its own incarnation, and it does so to refute. Records of an earlier
//     incarnation are outdated.
//  2. Only a reply that echoes a nonce of this member may change its view. Any other message may get a
//     reply, but changes nothing; one exception: a ping may make its receiver refute.
//  3. A suspicion lasts longer the fewer members confirm it. Declarations of death by other members are
//     counted separately: enough members must declare it, and forwarding a declaration does not count.
//  4. A member's own delays and failures raise its health score, which lengthens its timeouts. A pause
//     discards its probe and restarts its suspicions. A member that receives no verified messages
//     declares no member dead.
//  5. Dead members and unknown seeds are contacted from time to time, and views are synced regularly, so
//     that views converge after a partition.
//  6. A link is reported as cut in one direction after several consecutive probes of a member that did not
//     answer directly, but was reached by a helper or by stream. One direct reply revokes the report.
package membership
