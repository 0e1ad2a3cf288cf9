package nvme

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	hostDataRate = 64_000 // bytes a second
	shortTimeout = 1200 * time.Millisecond
)

// newTimedServer is newServer with shortTimeout as the timeout of writes.
func newTimedServer(t *testing.T, c Core) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := New(c, Options{Subsystem: poolNQN, Namespaces: []Namespace{testNamespace()}, QueueDepth: 8, MaxConns: 8, MaxBufferedBytes: 1 << 20,
		Timeouts: map[string]time.Duration{"event-write": shortTimeout, "position-read": shortTimeout}, Log: discardLog})
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String()
}

// hostTransfer is data that the controller has asked for.
type hostTransfer struct {
	cid, tag uint16
	data     []byte
}

// startWrite sends a write whose data is not in the capsule, and returns what the controller asks for. The data begins with a text.
func (c *client) startWrite(lba uint64, blocks int, text string) hostTransfer {
	c.t.Helper()
	cid := c.send(c.io, c.rw(opWrite, lba, blocks, false), nil)
	c.io.SetReadDeadline(time.Now().Add(testTimeout))
	p, err := c.io.receive()
	require.NoError(c.t, err)
	require.EqualValues(c.t, typeR2T, p.kind)
	require.EqualValues(c.t, blocks*blockSize, p.u32(16))
	x := hostTransfer{cid, p.u16(10), make([]byte, blocks*blockSize)}
	copy(x.data, text)
	return x
}

// pdu returns a data PDU with the part of the data from one offset to another.
func (x hostTransfer) pdu(f framing, from, to int) []byte {
	flags := byte(0)
	if to == len(x.data) {
		flags = flagLast
	}
	return appendPDU(nil, f, typeH2CData, flags, dataHead(x.cid, x.tag, uint32(from), uint32(to-from)), x.data[from:to])
}

// awaitCommand waits until a command is submitted.
func awaitCommand(t *testing.T, backend *store) {
	t.Helper()
	select {
	case <-backend.received:
	case <-time.After(testTimeout):
		t.Fatal("no command was submitted")
	}
}

// writeAtRate writes in small pieces, so many bytes a second.
func writeAtRate(w io.Writer, b []byte, rate int) error {
	const piece = 2000
	began := time.Now()
	for sent := 0; sent < len(b); sent += piece {
		if _, err := w.Write(b[sent:min(sent+piece, len(b))]); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(time.Duration(sent+piece) * time.Second / time.Duration(rate))))
	}
	return nil
}

// TestSlowDataIsServed guards against a connection that is ended, with commands that ran, since the data of a write comes at the rate of a
// slow host for longer than the write's timeout: in small and in large PDUs, and of several writes at once.
func TestSlowDataIsServed(t *testing.T) {
	for _, c := range []struct{ writes, pduBytes int }{{1, 4096}, {1, maxH2CData}, {3, 8192}} {
		t.Run(fmt.Sprintf("%d writes, PDUs of %d bytes", c.writes, c.pduBytes), func(t *testing.T) {
			t.Parallel()
			backend := newStore()
			_, addr := newTimedServer(t, backend)
			host := newClient(t, addr, false)
			var stream []byte
			var slow []hostTransfer
			for i := range c.writes {
				slow = append(slow, host.startWrite(uint64(1000*(i+1)), maxTransfer/blockSize, fmt.Sprint("slow", i)))
			}
			small := 0
			for _, x := range slow { // one write's data after the other's, with small writes in between
				for at := 0; at < len(x.data); at += c.pduBytes {
					stream = append(stream, x.pdu(framing{}, at, at+c.pduBytes)...)
					data := make([]byte, blockSize)
					copy(data, fmt.Sprint("small", small))
					stream = append(stream, appendPDU(nil, framing{}, typeCmd, 0, host.rw(opWrite, uint64(small), 1, true)[:], data)...)
					small++
				}
			}
			sent := make(chan error, 1)
			go func() { sent <- writeAtRate(host.io, stream, hostDataRate) }()
			for range small + c.writes {
				drainReceived(backend)
				done, _ := host.next()
				require.Equal(t, stOK, done.status)
			}
			require.NoError(t, <-sent)
			for i := range slow {
				require.Equal(t, 1, backend.wrote(fmt.Sprint("slow", i)))
			}
			for i := range small {
				require.Equal(t, 1, backend.wrote(fmt.Sprint("small", i)))
			}
		})
	}
}

// TestTransferEndsAlone guards against a connection that is ended, with commands that ran, since one command was completed before its data had
// come: late, aborted, or with a wrong digest. What still comes of the data is discarded, and what ran is completed.
func TestTransferEndsAlone(t *testing.T) {
	const blocks = 64
	for _, c := range []struct {
		name string
		end  func(*client, hostTransfer)
		sent int // bytes of the data that end has sent
		want status
	}{
		{"nothing comes", func(*client, hostTransfer) {}, 0, stTransient},
		{"a part comes", func(h *client, x hostTransfer) { _ = writeRaw(h, x.pdu(h.io.framing, 0, 4096)) }, 4096, stTransient},
		{"aborted", func(h *client, x hostTransfer) { require.Zero(h.t, h.abort(x.cid)) }, 0, stAborted | dnr},
		{"wrong digest", func(h *client, x hostTransfer) {
			damaged := x.pdu(h.io.framing, 0, 4096)
			damaged[len(damaged)-1]++
			_ = writeRaw(h, damaged)
		}, 4096, stTransient},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			backend := newStore()
			backend.hold = make(chan struct{})
			s, addr := newTimedServer(t, backend)
			h := newClient(t, addr, true)
			ran := h.write(7, "ran")
			awaitCommand(t, backend)
			x := h.startWrite(100, blocks, "never")
			require.EqualValues(t, (blocks+1)*blockSize, s.bufferedBytes.Load())
			c.end(h, x)
			done, _ := h.next()
			require.Equal(t, x.cid, done.cid)
			require.Equal(t, c.want, done.status)
			// A completion may reach the host just before what its command held is released.
			require.Eventually(t, func() bool { return s.bufferedBytes.Load() == blockSize }, testTimeout, time.Millisecond, "the data is still accounted for")
			// The host uses the command ID again, and then sends the rest of the data that is no longer wanted.
			again := h.rw(opWrite, 200, 1, true)
			again.set16(2, x.cid)
			h.send(h.io, again, append([]byte("again"), make([]byte, blockSize-5)...))
			awaitCommand(t, backend)
			for at := c.sent; at < len(x.data); at += 4096 {
				require.NoError(t, writeRaw(h, x.pdu(h.io.framing, at, at+4096)))
			}
			other := h.read(5, 1)
			awaitCommand(t, backend)
			close(backend.hold)
			open := map[uint16]bool{ran: true, x.cid: true, other: true}
			for range 3 {
				done, _ := h.next()
				require.Equal(t, stOK, done.status)
				delete(open, done.cid)
			}
			require.Empty(t, open)
			require.Equal(t, 1, backend.wrote("ran"))
			require.Equal(t, 1, backend.wrote("again"))
			require.Zero(t, backend.wrote("never"))
			require.Eventually(t, func() bool { return s.bufferedBytes.Load() == 0 && s.openCommands.Load() == 0 }, testTimeout, time.Millisecond, "bytes or commands were not released")
		})
	}
}

// TestAbandonedTransfersAreBounded guards against transfers that a host never finishes and that are kept without a bound: further commands whose data is
// to be asked for are rejected as retryable, and all others are served.
func TestAbandonedTransfersAreBounded(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	h := newClient(t, addr, false)
	var unfinished []hostTransfer
	for range 8 { // the queue's entries
		x := h.startWrite(0, 32, "never")
		require.Zero(t, h.abort(x.cid))
		done, _ := h.next()
		require.Equal(t, stAborted|dnr, done.status)
		unfinished = append(unfinished, x)
	}
	h.send(h.io, h.rw(opWrite, 0, 32, false), nil)
	done, _ := h.next()
	require.Equal(t, stNSNotReady, done.status)
	h.write(3, "served")
	done, _ = h.next()
	require.Equal(t, stOK, done.status)
	for _, x := range unfinished {
		require.NoError(t, writeRaw(h, x.pdu(framing{}, 0, len(x.data))))
	}
	x := h.startWrite(0, 32, "served, too")
	require.NoError(t, writeRaw(h, x.pdu(framing{}, 0, len(x.data))))
	done, _ = h.next()
	require.Equal(t, stOK, done.status)
}

// TestStopCompletesTransfers guards against a stop that ends a connection without a completion for a command whose data is on its way: it is
// rejected as retryable, after what ran is completed.
func TestStopCompletesTransfers(t *testing.T) {
	backend := newStore()
	s, addr := newTimedServer(t, backend)
	s.opt.Timeouts["event-write"] = testTimeout
	h := newClient(t, addr, false)
	x := h.startWrite(0, 32, "never")
	require.NoError(t, writeRaw(h, x.pdu(framing{}, 0, 4096)))
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	done, _ := h.next()
	require.Equal(t, x.cid, done.cid)
	require.Equal(t, stNSNotReady, done.status)
	_, err := h.io.receive()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, <-stopped)
	require.Zero(t, s.bufferedBytes.Load())
}
