// Package budget bounds the bytes that requests and answers may hold together.
package budget

import "sync/atomic"

// Bytes is what is left of a budget. It is safe for concurrent use.
type Bytes struct{ left atomic.Int64 }

// New returns a budget of n bytes.
func New(n int64) *Bytes {
	b := &Bytes{}
	b.left.Store(n)
	return b
}

// Take takes n bytes, or none and tells so.
func (b *Bytes) TryAcquire(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

// Give returns what was taken. A negative number makes the budget less: what is out then comes back to it first.
func (b *Bytes) Release(n int64) { b.left.Add(n) }

// Left tells how much is left.
func (b *Bytes) Available() int64 { return b.left.Load() }
