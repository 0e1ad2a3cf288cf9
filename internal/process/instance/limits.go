package instance

import (
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/front"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/process/config"
)

// spareFiles are descriptors kept for discovery, the listener, logs and the runtime, some dozen, and for connections past
// the clients' cap.
const spareFiles = 28

// fewClients and fewTargets are what connections there are of each at least, however few descriptors.
const fewClients, fewTargets = 8, 4

// clientBytes is about what a client's connection takes: buffers, a goroutine's stack, a request.
const clientBytes = 24 << 10

// limits is what the machine grants, by what it is for.
type limits config.Limits

// granted is what the settings say, or less: a machine may grant the process fewer descriptors than that.
func granted(l config.Limits) limits {
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		l.Sockets = int(min(uint64(l.Sockets), files.Cur))
	}
	return limits(l)
}

// of is what one of so many processes, which share the limits, may have.
func (l limits) of(parts int) limits {
	l.Sockets, l.MemoryMB = l.Sockets/max(parts, 1), l.MemoryMB/max(parts, 1)
	return l
}

// clients is how many connections clients may hold, beside the targets' and the spare descriptors, and in a third of
// the memory.
func (l limits) clients() int {
	n := min(l.Sockets-l.allTargets()-spareFiles-control.MaxFiles, l.MemoryMB<<20/3/clientBytes)
	return max(n, fewClients)
}

// easy is how many connections of clients may be without a request: half of the third of all descriptors that
// clients hold at most.
func (l limits) easy() int { return l.Sockets / 6 }

// target is how many connections one target's pool may hold: more than the module ever has out there,
// overdue attempts and answers that pass through slowly included, where the descriptors allow it.
func (l limits) target() int { return min(160, l.allTargets()) }

// allTargets is how many connections all targets' pools may hold together.
func (l limits) allTargets() int {
	return max(min(l.Sockets*3/10, l.Sockets-spareFiles-control.MaxFiles-fewClients), fewTargets)
}

// held is how many bytes may be held at a time.
func (l limits) held() int64 { return int64(l.MemoryMB) << 20 / 4 }

// shares bounds everything that the limits are for.
type shares struct {
	limits  limits
	room    *budget.Bytes
	up      *upstream.Registry
	clients *front.Server
	core    *core.Core

	mu    sync.Mutex
	parts int
	given int64 // of room
}

// divide has this process keep to its part, where so many share the limits.
func (s *shares) divide(parts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = parts
	s.share()
}

// grant has the processes share other limits.
func (s *shares) grant(l limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.limits {
		s.limits = l
		s.share()
	}
}

func (s *shares) share() {
	part := s.limits.of(s.parts)
	debug.SetMemoryLimit(int64(part.MemoryMB) << 20 * 7 / 10)
	s.room.Release(part.held() - s.given)
	s.given = part.held()
	s.up.SetConnLimits(part.target(), part.allTargets())
	s.clients.SetConnLimits(part.clients(), part.easy())
	s.core.SetProcessCount(s.parts)
}
