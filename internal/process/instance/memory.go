package instance

import (
	"fmt"
	"os"
	runtimemetrics "runtime/metrics"

	"github.com/cactus/go-statsd-client/v5/statsd"
)

// processMemory is how many bytes of memory the process has resident; 0 if the system does not tell.
type processMemory struct {
	resident int64
	shared   int64 // of them, those of files, such as the program's own
}

func readProcessMemory() processMemory {
	status, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return processMemory{}
	}
	var size, resident, shared int64
	if _, err := fmt.Sscan(string(status), &size, &resident, &shared); err != nil {
		return processMemory{}
	}
	page := int64(os.Getpagesize())
	return processMemory{resident: resident * page, shared: shared * page}
}

// heapBytesMetric is the runtime's name of the bytes that objects on the heap take, those included that are not collected yet.
const heapBytesMetric = "/memory/classes/heap/objects:bytes"

// memoryMetrics are the gauges of the process's memory.
type memoryMetrics struct{ passive }

// EmitMetrics implements metricsEmitter.
func (memoryMetrics) EmitMetrics(to statsd.ExtendedStatSender) {
	heap := []runtimemetrics.Sample{{Name: heapBytesMetric}}
	runtimemetrics.Read(heap)
	to.Gauge("memory.resident_bytes", readProcessMemory().resident, 1)
	if heap[0].Value.Kind() == runtimemetrics.KindUint64 {
		to.Gauge("memory.heap_bytes", int64(heap[0].Value.Uint64()), 1)
	}
}
