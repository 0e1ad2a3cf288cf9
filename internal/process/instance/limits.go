package instance

import (
	"log/slog"
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

// reservedFiles are descriptors kept for discovery, the listener, logs and the runtime, a dozen or so, and for connections
// beyond the cap on client connections.
const reservedFiles = 28

// minClientConns and minTargetConns are the least number of connections to clients and to targets, however few descriptors
// there are.
const minClientConns, minTargetConns = 8, 4

// clientConnBytes is the approximate memory of a client connection: buffers, a goroutine's stack, a request.
const clientConnBytes = 32 << 10

// minHeapBytes is the least memory that is divided, however little there is.
const minHeapBytes = 8 << 20

// resourceLimits divides what the machine grants the process among client connections, target connections and buffered bytes.
type resourceLimits struct {
	sockets   int   // descriptors
	heapBytes int64 // memory for the heap and the stacks
}

// effectiveLimits returns the configured limits, with the descriptors lowered to RLIMIT_NOFILE where that is less, and without the memory of the
// program's own pages.
func effectiveLimits(l config.Limits) resourceLimits {
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		l.Sockets = int(min(uint64(l.Sockets), files.Cur))
	}
	return resourceLimits{sockets: l.Sockets, heapBytes: max(int64(l.MemoryMB)<<20-programBytes(), minHeapBytes)}
}

// programBytes returns how much memory the pages of the program's file took that were resident at the first call: limits that are divided again must
// not differ by what has become resident since. Processes of one machine share these pages. It is 0 if the system does not tell.
var programBytes = sync.OnceValue(func() int64 { return readProcessMemory().shared })

// forProcesses returns the limits of one process where so many processes share them equally.
func (l resourceLimits) forProcesses(processes int) resourceLimits {
	l.sockets, l.heapBytes = l.sockets/max(processes, 1), l.heapBytes/int64(max(processes, 1))
	return l
}

// clientConns is the limit on client connections: the descriptors left by target connections and the reserve, and no more
// than fit into a fifth of the memory: the collector needs about as much again as what is in use.
func (l resourceLimits) clientConns() int {
	n := min(l.sockets-l.targetConns()-reservedFiles-control.MaxFiles, int(l.heapBytes/5/clientConnBytes))
	return max(n, minClientConns)
}

// softMaxClientConns is the number of client connections above which those without a request are evicted: a sixth of all
// descriptors, which is half of the third that clients hold at most.
func (l resourceLimits) softMaxClientConns() int { return l.sockets / 6 }

// connsPerTarget is the limit on one target's connection pool. Where the descriptors allow it, that is more than the
// scheduler ever has outstanding at a target, including overdue attempts and responses that are streamed slowly.
func (l resourceLimits) connsPerTarget() int { return min(160, l.targetConns()) }

// targetConns is the limit on the connection pools of all targets together.
func (l resourceLimits) targetConns() int {
	return max(min(l.sockets*3/10, l.sockets-reservedFiles-control.MaxFiles-minClientConns), minTargetConns)
}

// bufferedBytes is the limit on the bytes of bodies that are buffered at a time: an eighth of the memory.
func (l resourceLimits) bufferedBytes() int64 { return l.heapBytes / 8 }

// limitDivider applies the limits to everything that they bound. Processes of one process group share the limits equally; one that only
// writes responses has no part of what the scheduler divides.
type limitDivider struct {
	limits     resourceLimits
	byteBudget *budget.Bytes
	up         *upstream.Registry
	front      *front.Server
	core       *core.Core
	log        *slog.Logger

	mu           sync.Mutex // guards limits and the fields below, and orders the calls of apply
	processes    int        // live processes that share descriptors and memory
	draining     int        // those of them, this one not among them, that only write responses
	grantedBytes int64      // added to byteBudget so far
}

// setProcesses limits this process to its share where so many processes are alive, of which so many others only write responses.
func (d *limitDivider) setProcesses(alive, draining int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes, d.draining = alive, draining
	d.apply()
}

// setLimits replaces the limits that the processes share.
func (d *limitDivider) setLimits(l resourceLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l != d.limits {
		d.limits = l
		d.apply()
	}
}

// apply sets the bounds of this process's share. The caller holds mu.
func (d *limitDivider) apply() {
	own := d.limits.forProcesses(d.processes)
	debug.SetMemoryLimit(own.heapBytes * 8 / 10)
	d.byteBudget.Release(own.bufferedBytes() - d.grantedBytes)
	d.grantedBytes = own.bufferedBytes()
	d.up.SetConnLimits(own.connsPerTarget(), own.targetConns())
	d.front.SetConnLimits(own.clientConns(), own.softMaxClientConns())
	d.log.Info("limits", slog.Int("client_connections", own.clientConns()), slog.Int("target_connections", own.targetConns()),
		slog.Int64("heap_bytes", own.heapBytes), slog.Int64("buffered_bytes", own.bufferedBytes()), slog.Int("processes", d.processes))
	d.core.SetProcessCount(d.processes - d.draining)
}
