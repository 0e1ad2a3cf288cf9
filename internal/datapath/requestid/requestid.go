// Package requestid keeps the IDs of clients' requests that are open or may have run. Targets identify a request by its ID, so a second
// request with the same one would be a second copy of the first. The processes that act as one initiator during an upgrade tell each
// other their IDs as records (see Share and Follow).
package requestid

import (
	"sync"
	"time"
)

// MaxExecuted bounds one of the two generations of IDs of requests that may have run. When it is reached the older one is dropped early.
const MaxExecuted = 1 << 16

// Registry is the set of IDs in use, shared by all cores of a process.
type Registry struct {
	mu        sync.Mutex
	ttl       time.Duration
	own       idSet[string]
	peers     map[Source]*idSet[Fingerprint]
	departed  idSet[Fingerprint] // of processes that are not followed any more
	publisher Publisher          // nil: nothing is published
	onFailure func(error)        // called with the lock held
}

// New returns an empty registry. An ID of a request that may have run is kept for ttl at least, and for twice that at most.
func New(ttl time.Duration) *Registry {
	return &Registry{ttl: ttl, own: newIDSet[string](), peers: map[Source]*idSet[Fingerprint]{}, departed: newIDSet[Fingerprint](), onFailure: func(error) {}}
}

// KeepFor raises the time for which an ID is kept. Earlier requests were accepted under the time before, so it is never lowered.
func (r *Registry) KeepFor(ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ttl = max(r.ttl, ttl)
}

// TTL returns the least time for which the ID of a request that may have run is kept.
func (r *Registry) TTL() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ttl
}

// Claim takes an ID for a request that is about to be accepted. It returns false if a request with this ID is open or may have run, here
// or at a process that is followed. Of two processes that claim an ID at the same moment at most one succeeds, since each publishes its
// claim before it reads those of the others.
func (r *Registry) Claim(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.contains(id) {
		return false
	}
	r.own.add(id)
	if r.publisher == nil && len(r.peers) == 0 && r.departed.size() == 0 {
		return true
	}
	fingerprint := FingerprintOf(id)
	r.publish(newRecord(fingerprint, opened))
	r.readPeers(now)
	r.departed.rotate(now, r.ttl)
	inUse := r.departed.contains(fingerprint)
	for _, ids := range r.peers {
		inUse = inUse || ids.contains(fingerprint)
	}
	if inUse {
		r.own.remove(id)
		r.publish(newRecord(fingerprint, released))
	}
	return !inUse
}

// Release gives an ID back that Claim took, once its request is finished. If the request may have run, the ID stays in use for the TTL.
func (r *Registry) Release(id string, mayHaveRun bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.remove(id)
	state := released
	if mayHaveRun {
		r.own.addExecuted(id)
		state = executed
	}
	r.own.rotate(now, r.ttl)
	if r.publisher != nil {
		r.publish(newRecord(FingerprintOf(id), state))
	}
}

// Count returns the number of IDs of this process's open requests, and of its finished ones that may have run.
func (r *Registry) Count() (open, mayHaveRun int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.own.open), r.own.size() - len(r.own.open)
}

// idSet is a set of the IDs of open requests, and of finished ones that may have run.
type idSet[K comparable] struct {
	open      map[K]struct{}
	executed  [2]map[K]struct{} // current and previous generation
	rotatedAt time.Time         // when the current generation was started
}

func newIDSet[K comparable]() idSet[K] {
	return idSet[K]{open: map[K]struct{}{}, executed: [2]map[K]struct{}{{}, {}}}
}

func (s *idSet[K]) contains(id K) bool {
	for _, ids := range []map[K]struct{}{s.open, s.executed[0], s.executed[1]} {
		if _, ok := ids[id]; ok {
			return true
		}
	}
	return false
}

func (s *idSet[K]) add(id K)         { s.open[id] = struct{}{} }
func (s *idSet[K]) remove(id K)      { delete(s.open, id) }
func (s *idSet[K]) addExecuted(id K) { s.executed[0][id] = struct{}{} }

func (s *idSet[K]) size() int { return len(s.open) + len(s.executed[0]) + len(s.executed[1]) }

// rotate starts a new generation of the IDs of finished requests, and drops the previous one, if the current one is old or large enough.
func (s *idSet[K]) rotate(now time.Time, ttl time.Duration) {
	if now.Sub(s.rotatedAt) > ttl || len(s.executed[0]) >= MaxExecuted {
		s.executed[0], s.executed[1], s.rotatedAt = map[K]struct{}{}, s.executed[0], now
	}
}
