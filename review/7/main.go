//go:build review

// Case 7: over NVMe, a host sends the data of one large write at 64 kB a second, beside small event-writes on the same queue. The connection is
// ended in the middle: small writes that the target has run get no completion.
package main

import (
	"fmt"
	"sync"
	"time"

	"spindlehitch/review/lab"
)

const subsystem = "nqn.2026-12.example.spindlehitch:pool"

func main() {
	l := lab.New()
	l.Timeout(60 * time.Second)
	target := l.NewNVMeTarget("s-1")
	target.Work = 28 * time.Millisecond // "22 to 35 ms"
	disc := l.NewDiscovery(1, target.Entry(0, "SERVING"))
	listen, nvme := l.FreeAddr(), l.FreeAddr()
	config := l.File("n1.json", lab.Config("n1", listen, disc.Addr, lab.Settings("standard"), nil))
	operator := l.File("n1.toml", fmt.Sprintf(`[nvme]
listen = %q
subsystem = %q
target_subsystem = "nqn.2026-12.example.spindlehitch:target"
host_nqn = "nqn.2026-12.example.spindlehitch:initiator"
host_id = "5f0c2a7d9e314b68a1d47c03be925f16"
queue_depth = 64
keep_alive_ms = 5000
digests = false

[[nvme.namespace]]
id = 1
volume = "00000003b4d60021"
plan = "standard"
hosts = 1
block_bytes = 512
blocks = 2097152
stripe_blocks = 2048
shards = [0]
unit_blocks = 16
read = "position-read"
write = "event-write"
bulk = "history-export"
bulk_blocks = 64
`, nvme, subsystem))
	l.Start("n1", "exec bin/spindlehitch serve --operator "+operator, "PROXY_CONFIG="+config)
	l.WaitReady(listen, 10*time.Second)
	h, err := l.NewNVMeHost("h1", nvme, subsystem)
	l.Must(err, "host")
	rate := 0 // bytes a second of the large write's data; 0: full speed
	if l.Trouble {
		rate = 64_000
	}
	large := h.WriteAt(1024, "large", 128<<10, rate)
	var small []*lab.Command
	var running sync.WaitGroup
	for i := range 250 {
		select {
		case <-h.Ended():
		default:
			w := h.Write(uint64(i%64), fmt.Sprintf("small-%d", i), 512, 0)
			small = append(small, w)
			running.Go(func() { <-w.Done })
		}
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case <-large.Done:
	case <-time.After(3 * time.Second):
	}
	running.Wait()
	time.Sleep(500 * time.Millisecond) // what the target still runs
	ran := map[string]bool{}
	for _, e := range target.Executed() {
		ran[e.Text] = true
	}
	lost := 0
	for _, w := range small {
		if w.EndedAt.IsZero() && ran[w.Text] {
			lost++
			l.Note("%q was run by the target and never completed", w.Text)
		}
	}
	l.Note("large write: completed: %v, status %#x", !large.EndedAt.IsZero(), large.Status)
	if len(small) < 50 {
		l.End(2, "could not run: %d writes", len(small))
	}
	if lost > 0 {
		l.End(1, "broken: %d event-writes of %d were taken and run, and never completed", lost, len(small))
	}
	l.End(0, "held: each of %d event-writes was completed", len(small))
}
