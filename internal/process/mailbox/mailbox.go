// Package mailbox passes messages between the goroutines of this program.
package mailbox

import "sync"

// Box is an unbounded queue: any goroutine may put messages, and the goroutine that owns it takes them. Put
// never blocks and never drops a message, so two goroutines that send to each other can't deadlock, and no
// result is lost. Its length is bounded where work is admitted (the front's limit on connections, the core's
// on requests).
type Box[T any] struct {
	mu    sync.Mutex // guards items
	items []T
	wake  chan struct{} // of capacity 1; never closed
}

// New returns an empty mailbox.
func New[T any]() *Box[T] { return &Box[T]{wake: make(chan struct{}, 1)} }

// Put appends a message and wakes the owner.
func (b *Box[T]) Put(m T) {
	b.mu.Lock()
	b.items = append(b.items, m)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// Wake returns a channel that is readable when there may be messages to take.
func (b *Box[T]) Wake() <-chan struct{} { return b.wake }

// Take returns all messages in the order in which they were put. It clears the spare slice and queues the next
// messages in it.
func (b *Box[T]) Take(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}
