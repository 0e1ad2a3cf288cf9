package nvme

import (
	"encoding/binary"
	"reflect"
	"slices"
)

const (
	maxEventRequests = 4      // Asynchronous Event Requests that wait at a time
	supportedEvents  = 1 << 8 // namespace attribute notices, the bit in OAES and in the feature alike
	// namespaceNotice is a notice (type 2) on namespaces (0) whose log page is the changed-namespaces one.
	namespaceNotice      = 2 | 0<<8 | logNamespaces<<16
	maxChangedNamespaces = 1024 // entries of that page
)

// events is what a controller has to tell its host by itself; the controller's lock guards it.
type asyncEvents struct {
	enabled  uint32
	requests []*pending // event requests, on the admin queue
	changed  []uint32   // namespaces since the page was last read
	masked   bool       // an event is out, and masked until the page is read
}

func (e *asyncEvents) reset() { *e = asyncEvents{} }

// awaitEvent takes an Asynchronous Event Request, which is completed when there is something to tell.
func (q *queue) handleAsyncEvent(p *pending) {
	c := q.ctrl
	c.mu.Lock()
	// Those that were aborted wait no more.
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

// tell completes a waiting request where there is news that the host wants and has not been told.
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
		// Aborted meanwhile: the next one that waits is told.
		c.mu.Lock()
		c.events.masked = false
		c.mu.Unlock()
		c.sendEvent()
	}
}

// changed is the changed-namespaces page; reading it, unless the event is to be retained, lets the next event out.
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

// Update takes other namespaces into use and tells every host which have changed. Commands already with the core end as
// they would have.
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
