// Package budget bounds the memory that buffered requests and answers take together.
package budget

import "sync/atomic"

// Bytes is a budget of bytes. It is safe for concurrent use.
type Bytes struct{ available atomic.Int64 }

// New returns a budget of n bytes.
func New(n int64) *Bytes {
	b := &Bytes{}
	b.available.Store(n)
	return b
}

// TryAcquire takes n bytes from the budget. It returns false and takes nothing if fewer are available.
func (b *Bytes) TryAcquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// Release returns n acquired bytes. A negative n shrinks the budget; bytes that are released later make up the difference first.
func (b *Bytes) Release(n int64) { b.available.Add(n) }

// Available returns how many bytes are available, which is negative while a shrunk budget is overdrawn.
func (b *Bytes) Available() int64 { return b.available.Load() }
