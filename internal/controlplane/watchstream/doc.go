// Package watchstream distributes changes of targets and configuration to all initiators: one numbered
// stream of changes goes from the agents' replicated log over relays to initiators, with the same
// Store, Source and Replica at each hop. A Store holds the newest state of each key; a Source serves a
// Store to readers by deltas and keeps only bounded state per reader; a Replica is a reader's copy.
// RelaySelector selects the relay that a reader calls, and AckTracker, at the agents' leader, tracks
// which versions are applied at which readers.
//
// The package does no I/O and has no clock and no goroutines. Its types are not safe for concurrent
// use: callers guard them with a lock of their own. Equal inputs give equal outputs.
//
// # Correctness
//
// A reader's position and the version of each key never decrease, and once changes stop, every reader
// that reaches a source converges to the log's head. Comments refer to these steps of the argument;
// docs/feed.md has it in full, and "make proof" checks it by a state search.
//
//  1. The log assigns each change the next version or rejects it, with the same result at every agent.
//  2. A position c means that the reader has the newest state of each key whose last change is at or
//     before c. A source sends the records after the position, oldest first and in whole versions.
//  3. Only a delta that ends at its source's head makes the reader consistent. Only a consistent state
//     is applied, acknowledged and served to other readers.
//  4. A reader remembers the newest head of any source and rejects deltas from a source that is behind
//     it.
//  5. A delta is validated completely before any of it is applied. A rejected delta changes nothing
//     and is counted by its reason.
//  6. Tombstones are bounded. A reader that is behind the tombstone floor resyncs by digests of buckets
//     of keys: it receives the buckets that differ, with the names of all their keys.
//  7. Nothing is queued for a reader. A delta is read from the store when the reader's token buckets
//     allow it; targets are sent before configuration.
//  8. A reader acknowledges what it has applied, but no rejected configuration. The tracker keeps one
//     cursor for each name; a restart or a switch to another relay raises its generation.
//  9. A group of agents that lost its log starts a new epoch. It replaces an old epoch only by an
//     operator's change that names the old one, and at a reader only once it is complete.
//  10. Relays are ranked by rendezvous hashing, those of the reader's region first. Failed calls are
//     retried with backoff, and the first relay in rank (home) is retried after a while.
//  11. A reader whose relay is stale searches for one with newer state, and stays if there is none.
package watchstream
