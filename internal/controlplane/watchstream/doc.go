// Package watchstream decides how changes of targets and of configuration reach all initiators: one
// numbered stream of changes goes from the agents' replicated log over relays to initiators, with the
// same Store, Source and Replica at each hop. A Store has the newest state of each key; a Source
// serves a Store to readers by deltas, and keeps per reader only bounded state; a Replica is a
// reader's copy. RelaySelector decides which relay a reader calls, and AckTracker knows at the leader
// which versions are applied where.
//
// The package does no I/O and has no clock and no goroutines; callers hold a lock of their own. Equal
// inputs give equal outputs.
//
// # Correctness
//
// A reader's position and the version of each key never go back, and after changes end every reader
// that reaches a source gets to the log's head. Comments refer to these steps of the argument;
// docs/feed.md has it in full, and "make proof" searches it.
//
//  1. The log gives each change the next version, or rejects it, the same at every agent.
//  2. A position c means: the reader has the newest state of each key that changed last at or before c.
//     A source sends what is newer than the position, oldest first and in whole versions.
//  3. Only a delta that ends at its source's head makes the reader consistent. Only a consistent state
//     is applied, acknowledged and served on.
//  4. A reader remembers the newest head that it has heard of, and takes nothing from a source that is
//     behind it.
//  5. A delta is checked as a whole before any of it is applied. A rejection has a reason, is counted,
//     and changes nothing.
//  6. Tombstones are bounded. A reader that is behind the tombstone floor is brought up by digests of
//     buckets of keys: it gets the buckets that differ, with the names of all their keys.
//  7. Nothing is queued for a reader. What it gets is read from the store when its token buckets allow
//     a delta; targets go before configuration.
//  8. A reader acknowledges what it has applied, and no rejected configuration. The tracker keeps one
//     cursor for each name; a restart or a move to another relay raises its generation.
//  9. A group of agents that lost its log begins a new epoch. It takes the place of an old one only by
//     an operator's change that says so, and in a reader only once it is complete.
//  10. Relays are ranked by rendezvous hashing, the reader's region first. Failures back off; home is
//     tried again after a while.
//  11. A reader whose relay is stale looks for a fresher one, and stays where it is if there is none.
package watchstream
