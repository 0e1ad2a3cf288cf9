package nvme

import (
	"encoding/binary"
	"reflect"
	"slices"
)

const (
	maxEventRequests = 4      // Asynchronous Event Requests outstanding at a time
	supportedEvents  = 1 << 8 // Namespace Attribute Notices: the same bit in OAES and in the feature
	// namespaceNotice is the result of an event: a notice (type 2), Namespace Attribute Changed (0), with the Changed
	// Namespace List as its log page.
	namespaceNotice      = 2 | 0<<8 | logNamespaces<<16
	maxChangedNamespaces = 1024 // entries of that log page
)

// asyncEvents holds a controller's asynchronous events. It is guarded by controller.mu.
type asyncEvents struct {
	enabled  uint32     // events that the host enabled with Set Features
	requests []*pending // outstanding Asynchronous Event Requests, on the admin queue
	changed  []uint32   // namespaces changed since the log page was last read, in ascending order
	masked   bool       // an event was sent, and no other is until the log page is read
}

func (e *asyncEvents) reset() { *e = asyncEvents{} }

// handleAsyncEvent keeps an Asynchronous Event Request outstanding until there is an event to report.
func (q *queue) handleAsyncEvent(p *pending) {
	c := q.ctrl
	c.mu.Lock()
	// Drop those that have been aborted.
	c.events.requests = slices.DeleteFunc(c.events.requests, func(w *pending) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.cmds[w.cmd.cid()] != w
	})
	limitReached := len(c.events.requests) >= maxEventRequests
	if !limitReached {
		c.events.requests = append(c.events.requests, p)
	}
	c.mu.Unlock()
	if limitReached {
		q.complete(p, stAsyncLimit|dnr, 0, nil)
		return
	}
	c.sendEvent()
}

// sendEvent completes an outstanding event request if namespaces have changed and the event is enabled and not masked.
func (c *controller) sendEvent() {
	c.mu.Lock()
	admin := c.queues[0]
	e := &c.events
	if admin == nil || e.masked || len(e.changed) == 0 || e.enabled&supportedEvents == 0 || len(e.requests) == 0 {
		c.mu.Unlock()
		return
	}
	p := e.requests[0]
	e.requests, e.masked = e.requests[1:], true
	c.mu.Unlock()
	if !admin.complete(p, stOK, namespaceNotice, nil) {
		// The request was aborted in the meantime: try the next one.
		c.mu.Lock()
		c.events.masked = false
		c.mu.Unlock()
		c.sendEvent()
	}
}

// changedNamespacesPage returns the Changed Namespace List. Reading it unmasks the event, unless the host asked to retain it.
func (c *controller) changedNamespacesPage(retain bool) []byte {
	page := make([]byte, 4*maxChangedNamespaces)
	c.mu.Lock()
	if len(c.events.changed) > maxChangedNamespaces {
		binary.LittleEndian.PutUint32(page, allNamespaces)
	} else {
		for i, id := range c.events.changed {
			binary.LittleEndian.PutUint32(page[4*i:], id)
		}
	}
	if !retain {
		c.events.changed, c.events.masked = nil, false
	}
	c.mu.Unlock()
	return page
}

// UpdateNamespaces replaces the namespaces and notifies every host of those that changed. Commands that are already in the
// core complete as they would have without the change.
func (s *Server) UpdateNamespaces(list []Namespace) {
	current := namespacesByID(list)
	old := *s.namespaces.Swap(current)
	var changed []uint32
	for id, n := range old {
		if now := (*current)[id]; now == nil || !reflect.DeepEqual(n, now) {
			changed = append(changed, id)
		}
	}
	for id := range *current {
		if old[id] == nil {
			changed = append(changed, id)
		}
	}
	if len(changed) == 0 {
		return
	}
	slices.Sort(changed)
	s.mu.Lock()
	all := make([]*controller, 0, len(s.controllers))
	for _, c := range s.controllers {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		if c.isDiscovery {
			continue
		}
		c.mu.Lock()
		c.events.changed = append(c.events.changed, changed...)
		slices.Sort(c.events.changed)
		c.events.changed = slices.Compact(c.events.changed)
		c.events.changed = c.events.changed[:min(len(c.events.changed), maxChangedNamespaces+1)]
		c.mu.Unlock()
		c.sendEvent()
	}
}
