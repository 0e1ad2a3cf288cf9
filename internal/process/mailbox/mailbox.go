// Package mailbox is how the actors of this program hear from one another.
package mailbox

import "sync"

// Box takes messages from any goroutine for the one that owns it. It has no bound of its own, so Put never
// waits and never drops: two actors that write to each other cannot lock up, and no outcome is lost. What
// may pile up is bounded where work is let in (the front's cap on connections, the core's on requests).
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

// New returns an empty mailbox.
func New[T any]() *Box[T] { return &Box[T]{wake: make(chan struct{}, 1)} }

// Put leaves a message.
func (b *Box[T]) Put(m T) {
	b.mu.Lock()
	b.items = append(b.items, m)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// Wake is readable when there may be messages to take.
func (b *Box[T]) Wake() <-chan struct{} { return b.wake }

// Take returns all messages in the order they were left. The slice passed in is used for what comes next.
func (b *Box[T]) Take(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}
