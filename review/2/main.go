//go:build review

// Command slowdata plays case 2: a host sends the data of one large write slowly, and has small writes open on the same queue.
package main

import (
	"fmt"
	"sync"
	"time"

	"spindlehitch/internal/datapath/nvme"
	"spindlehitch/review/standin"
)

const (
	writeBlocks = 256 // 128 KiB, the largest transfer that the controller allows (MDTS)
	piece       = 8 << 10
	bytesASec   = 64_000
	work        = 30 * time.Millisecond   // of a write: 22 to 35 ms
	each        = 10 * time.Millisecond   // between two small writes
	deadline    = 1200 * time.Millisecond // of event-write
	slack       = 500 * time.Millisecond  // a write answered later than this after its deadline is lost
	largeCID    = 10_000
)

// host is a host's I/O queue with the small writes that it has open.
type host struct {
	c                        *standin.Case
	q                        *standin.Queue
	r2t                      chan standin.R2T
	largeDone                chan uint16
	mu                       sync.Mutex
	closed                   bool                 // it has seen the connection's end
	finished                 bool                 // the run is over
	taken                    map[uint16]time.Time // small writes without a completion, by when their last byte was written
	answered, unserved, late int
}

func (h *host) receive() {
	for {
		done, wanted, err := h.q.Next()
		switch {
		case err != nil:
			h.mu.Lock()
			if h.closed = true; !h.finished {
				h.c.Log("host: the initiator ended the connection: %v; %d small writes that were taken are open", err, len(h.taken))
			}
			h.mu.Unlock()
			return
		case wanted != nil:
			h.r2t <- *wanted
		case done.CID == largeCID:
			h.c.Log("host: the large write is completed, status %#x", done.Status)
			h.largeDone <- done.Status
		default:
			h.mu.Lock()
			if done.At.Sub(h.taken[done.CID]) > deadline+slack {
				h.late++
			}
			delete(h.taken, done.CID)
			h.answered++
			if done.Status != 0 {
				h.unserved++
			}
			h.mu.Unlock()
		}
	}
}

// sendSmall sends a write of one block with its data in the capsule. It returns false once the host has seen
// the connection's end: then it sends nothing.
func (h *host) sendSmall(cid uint16) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	if err := h.q.WriteInCapsule(cid, uint64(cid), make([]byte, standin.BlockBytes)); err != nil {
		h.c.Log("host: small write %d could not be sent: %v", cid, err)
		return false
	}
	h.taken[cid] = time.Now()
	return true
}

func main() { standin.Run(100*time.Second, play) }

func play(c *standin.Case) bool {
	target, targetAddr := c.NVMeTarget(func(*nvme.IO) time.Duration { return work })
	discovery := c.Discovery(standin.Entry{ID: "s-5be2a07c", Addr: targetAddr, Zone: "pavillon-a", Kind: "node-std", Cell: 0, State: "SERVING", Weight: 1})
	addrs := c.FreeAddrs(2)
	config := c.Write("config.json", fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		addrs[0], discovery.Addr, standin.Settings(1, "standard")))
	operator := c.Write("nvme.toml", standin.Operator(addrs[1]))
	initiator := c.Start("initiator", c.DeployCommand("run")+" --operator "+operator, []string{"PROXY_CONFIG=" + config})
	c.WaitFor("the initiator is ready", 30*time.Second, func() bool { return standin.StatusOf("http://"+addrs[0]+"/-/ready") == 200 })
	admin, queues, err := standin.Connect(addrs[1], "-1", 1, nil)
	c.Must(err)
	defer admin.Close()
	h := &host{c: c, q: queues[0], r2t: make(chan standin.R2T, 1), largeDone: make(chan uint16, 1), taken: map[uint16]time.Time{}}
	go h.receive()
	stopSmall := make(chan bool)
	var small sync.WaitGroup
	small.Go(func() {
		for cid := uint16(1); h.sendSmall(cid); cid++ {
			select {
			case <-stopSmall:
				return
			case <-time.After(each):
			}
		}
	})
	time.Sleep(time.Second)
	h.mu.Lock()
	c.Log("host: has sent a small write each %v; %d answered, %d of them not served", each, h.answered, h.unserved)
	h.mu.Unlock()
	c.Log("host: sends a write of %d KiB on the same queue", writeBlocks*standin.BlockBytes>>10)
	c.Must(h.q.IO(standin.OpWrite, largeCID, 100_000, writeBlocks))
	var wanted standin.R2T
	select {
	case wanted = <-h.r2t:
	case <-time.After(2 * time.Second):
		c.Fail("no R2T")
	}
	data := make([]byte, writeBlocks*standin.BlockBytes)
	if c.Trouble {
		c.Log("host: sends its data at %d bytes a second, %d bytes at a time", bytesASec, piece)
	}
	began, isClosed := time.Now(), func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.closed
	}
	for at := wanted.Offset; at < wanted.Offset+wanted.Length && !isClosed(); at += piece {
		if c.Trouble { // a piece is sent once its time has come
			time.Sleep(time.Until(began.Add(time.Duration(at-wanted.Offset+piece) * time.Second / bytesASec)))
		}
		if err := h.q.Data(wanted, at, data[at:at+piece]); err != nil {
			c.Log("host: its data could not be written: %v", err)
			break
		}
	}
	c.Log("host: has sent data for %d ms", time.Since(began).Milliseconds())
	select {
	case <-h.largeDone:
		time.Sleep(time.Second)
	case <-time.After(2 * time.Second):
	}
	close(stopSmall)
	small.Wait()
	time.Sleep(deadline + slack + 100*time.Millisecond) // all writes that were taken have to be answered by now
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished = true
	for cid, at := range h.taken {
		c.Log("host: small write %d has no completion %d ms after it was sent", cid, time.Since(at).Milliseconds())
	}
	for _, line := range initiator.LogLines("side=host") {
		c.Log("log of the initiator: %s", line)
	}
	c.Log("result: %d small writes answered, %d of them not served, %d of them over %v after their deadline; %d that were taken never answered, %d writes run by the target; the initiator runs: %v",
		h.answered, h.unserved, h.late, slack, len(h.taken), target.RunCount(), !initiator.Ended())
	if h.answered == 0 {
		c.Fail("no write was answered")
	}
	return len(h.taken) > 0 || h.late > 0
}
