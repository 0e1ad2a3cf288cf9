package nvme

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkReads measures reads of a host that keeps four in flight, through the front, the core and a target on this machine.
func BenchmarkReads(b *testing.B) {
	b.ReportAllocs()
	backend := newStore()
	go func() {
		for range backend.received {
		}
	}()
	_, target := newServer(b, backend, targetNQN)
	r := newInitiator(b, false, time.Second, target)
	c := newClient(b, r.addr, false)
	sent := map[uint16]time.Time{}
	took := make([]time.Duration, 0, b.N)
	sendRead := func() { sent[c.read(1, 8)] = time.Now() }
	b.ResetTimer()
	for range min(4, b.N) {
		sendRead()
	}
	for i := range b.N {
		done, _ := c.next()
		if done.status != stOK {
			b.Fatalf("%+v", done)
		}
		took = append(took, time.Since(sent[done.cid]))
		if i+4 < b.N {
			sendRead()
		}
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}
