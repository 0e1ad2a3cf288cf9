package requestid

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint stands for a request ID in what processes tell each other. Its two lowest bits are 0.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of an ID.
func FingerprintOf(id string) Fingerprint { return Fingerprint(xxhash.Sum64String(id) &^ stateMask) }

// Record tells the state of a request ID after a change.
type Record uint64

// state is the state of a request ID, in the lowest bits of a record.
type state uint64

const (
	opened   state = 1 + iota // a request with it is open
	released                  // it is not in use
	executed                  // its request is finished and may have run
)

const stateMask = 3

func newRecord(id Fingerprint, s state) Record { return Record(uint64(id) | uint64(s)) }

func (r Record) split() (Fingerprint, state) {
	return Fingerprint(r &^ stateMask), state(r & stateMask)
}

// Publisher appends records that the initiator's other processes read.
type Publisher interface {
	Append(records ...Record) error
}

// Source is what another process publishes. Next returns the records that were appended since the last call.
type Source interface {
	Next() ([]Record, error)
}

// Share publishes all IDs in use here, those of followed processes included, and from then on each change.
func (r *Registry) Share(p Publisher) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := appendRecords(nil, &r.departed, func(id Fingerprint) Fingerprint { return id })
	for _, ids := range r.peers {
		records = appendRecords(records, ids, func(id Fingerprint) Fingerprint { return id })
	}
	records = appendRecords(records, &r.own, FingerprintOf) // last: an ID in use here is open, whatever it was elsewhere
	if err := p.Append(records...); err != nil {
		return err
	}
	r.publisher = p
	return nil
}

// StopSharing ends Share: no other process is left.
func (r *Registry) StopSharing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publisher = nil
}

// appendRecords appends a record for each ID of a set.
func appendRecords[K comparable](records []Record, ids *idSet[K], fingerprint func(K) Fingerprint) []Record {
	for _, generation := range ids.executed {
		for id := range generation {
			records = append(records, newRecord(fingerprint(id), executed))
		}
	}
	for id := range ids.open {
		records = append(records, newRecord(fingerprint(id), opened))
	}
	return records
}

// OnFailure sets a function that is called when records can't be published or read. The requests are accepted as if the process were
// alone. It must not call the registry.
func (r *Registry) OnFailure(f func(error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onFailure = f
}

// Follow has the IDs that another process publishes count as in use.
func (r *Registry) Follow(s Source, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := newIDSet[Fingerprint]()
	r.peers[s] = &ids
	r.readPeers(now)
}

// Unfollow ends Follow once the process has ended. Its requests that were open, and those that may have run, stay in use for the TTL, and
// are published as this process's: a process that starts later can't read them from their own.
func (r *Registry) Unfollow(s Source, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readPeers(now)
	ids := r.peers[s]
	delete(r.peers, s)
	if ids == nil {
		return
	}
	r.departed.rotate(now, r.ttl)
	var records []Record
	for _, set := range []map[Fingerprint]struct{}{ids.open, ids.executed[0], ids.executed[1]} {
		for id := range set {
			r.departed.addExecuted(id)
			r.departed.rotate(now, r.ttl)
			records = append(records, newRecord(id, executed))
		}
	}
	r.publish(records...)
}

// publish appends records for the other processes. The caller holds mu.
func (r *Registry) publish(records ...Record) {
	if r.publisher == nil || len(records) == 0 {
		return
	}
	if err := r.publisher.Append(records...); err != nil {
		r.onFailure(err)
	}
}

// readPeers applies what the other processes have published. The caller holds mu.
func (r *Registry) readPeers(now time.Time) {
	for source, ids := range r.peers {
		records, err := source.Next()
		if err != nil {
			r.onFailure(err)
		}
		for _, record := range records {
			applyRecord(ids, record, now, r.ttl)
		}
		ids.rotate(now, r.ttl)
	}
}

// applyRecord applies a record of another process to the set of its IDs.
func applyRecord(ids *idSet[Fingerprint], record Record, now time.Time, ttl time.Duration) {
	id, state := record.split()
	switch state {
	case opened:
		ids.add(id)
	case released:
		ids.remove(id)
	case executed:
		ids.remove(id)
		ids.addExecuted(id)
		ids.rotate(now, ttl)
	}
}
