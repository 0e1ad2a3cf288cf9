package nvme

import (
	"encoding/binary"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/policy"
)

// Opcodes of the subset.
const (
	opFlush        = 0x00
	opWrite        = 0x01
	opRead         = 0x02
	opCompare      = 0x05
	opWriteZeroes  = 0x08
	opDataset      = 0x09
	opFabrics      = 0x7F
	opGetLogPage   = 0x02
	opIdentify     = 0x06
	opAbort        = 0x08
	opSetFeatures  = 0x09
	opGetFeatures  = 0x0A
	opAsyncEvent   = 0x0C
	opKeepAlive    = 0x18
	fctPropertySet = 0x00
	fctConnect     = 0x01
	fctPropertyGet = 0x04
	fctDisconnect  = 0x08

	featQueues       = 0x07
	featAsyncEvents  = 0x0B
	featKeepAlive    = 0x0F
	featHostBehavior = 0x16

	// fua has a write completed only once it is on the medium.
	fua = 1 << 30

	propCAP  = 0x00
	propVS   = 0x08
	propCC   = 0x14
	propCSTS = 0x1C

	sglOffset    = 0x01 // data block, in the capsule
	sglTransport = 0x5A // data block, moved by the transport
	connectLen   = 1024
	identifyLen  = 4096
)

// status is a completion's status field without the phase bit.
type status uint16

const dnr status = 1 << 14

func sct(kind, code status) status { return kind<<8 | code }

// Status values of the subset.
var (
	stOK             status = 0
	stInvalidOpcode         = sct(0, 0x01)
	stInvalidField          = sct(0, 0x02)
	stCIDConflict           = sct(0, 0x03)
	stInternal              = sct(0, 0x06)
	stAborted               = sct(0, 0x07)
	stInvalidNS             = sct(0, 0x0B)
	stSequence              = sct(0, 0x0C)
	stTransient             = sct(0, 0x22)
	stLBARange              = sct(0, 0x80)
	stNSNotReady            = sct(0, 0x82)
	stAsyncLimit            = sct(1, 0x05)
	stInvalidLogPage        = sct(1, 0x09)
	stNotChangeable         = sct(1, 0x0E)
	stBadFormat             = sct(1, 0x80)
	stControllerBusy        = sct(1, 0x81)
	stBadConnect            = sct(1, 0x82)
	stCompareFailure        = sct(2, 0x85)
)

// code is the status without its CRD, More and DNR bits.
func (s status) code() status { return s & 0x7FF }

func (s status) withDelay(index int) status { return s | status(index&3)<<11 }

// retryDelays are the controller's CRDT1 to CRDT3, in units of 100 ms: how long a host that has asked to be
// told (Host Behavior Support, ACRE) stays away. The last is the longest a client of this project honours.
var retryDelays = [3]uint16{1, 3, 10}

// delayIndex is the CRD that first covers the wait; 0: none.
func delayIndex(wait time.Duration) int {
	if wait <= 0 {
		return 0
	}
	for i, d := range retryDelays {
		if wait <= time.Duration(d)*100*time.Millisecond {
			return i + 1
		}
	}
	return len(retryDelays)
}

// statusOf maps the core's final answer. Retryable exactly where the module says that a repeat is harmless;
// what may have run has DNR set, so that no host sends it again by itself.
func statusOf(a core.Response, delays bool) status {
	switch a.Status {
	case core.Served:
		return stOK
	case core.Rejected:
		if delays {
			return stNSNotReady.withDelay(delayIndex(a.RetryAfter))
		}
		return stNSNotReady
	}
	if a.LastOutcome == policy.TimedOut || a.LastOutcome == policy.ConnectionReset {
		return stTransient | dnr
	}
	return stInternal | dnr
}

// endingOf is the number that a command's status counts under.
func endingOf(st status) figures.Outcome {
	switch {
	case st == stOK, st.code() == stCompareFailure:
		return figures.Success
	case st.code() == stNSNotReady && st&dnr == 0:
		return figures.Overload
	}
	return figures.Failure
}

// outcomeOf maps a target's status. Only what says that the command was not begun proves it.
func outcomeOf(s status) policy.OutcomeCode {
	switch {
	case s == stOK:
		return policy.Served
	case s.code() == stNSNotReady && s&dnr == 0:
		return policy.Rejected
	}
	return policy.AnsweredError
}

// command is a submission queue entry.
type command [64]byte

func (c *command) op() byte        { return c[0] }
func (c *command) cid() uint16     { return binary.LittleEndian.Uint16(c[2:]) }
func (c *command) nsid() uint32    { return binary.LittleEndian.Uint32(c[4:]) }
func (c *command) fctype() byte    { return c[4] }
func (c *command) sglLen() uint32  { return binary.LittleEndian.Uint32(c[32:]) }
func (c *command) sglType() byte   { return c[39] }
func (c *command) dw(n int) uint32 { return binary.LittleEndian.Uint32(c[4*n:]) }
func (c *command) slba() uint64    { return binary.LittleEndian.Uint64(c[40:]) }
func (c *command) blocks() uint32  { return uint32(binary.LittleEndian.Uint16(c[48:])) + 1 }

func (c *command) set16(at int, v uint16) { binary.LittleEndian.PutUint16(c[at:], v) }
func (c *command) set32(at int, v uint32) { binary.LittleEndian.PutUint32(c[at:], v) }
func (c *command) set64(at int, v uint64) { binary.LittleEndian.PutUint64(c[at:], v) }

// newCommand returns an entry whose data, if any, goes in the capsule or is moved by the transport.
func newCommand(op byte, cid uint16, length int, inside bool) *command {
	c := &command{op, 0x40} // SGLs are used for the transfer
	c.set16(2, cid)
	c.set32(32, uint32(length))
	c[39] = sglTransport
	if inside {
		c[39] = sglOffset
	}
	return c
}

// completion is a completion queue entry.
type completion struct {
	result uint64
	sqhd   uint16
	sqid   uint16
	cid    uint16
	status status
}

func (c completion) head() []byte {
	h := make([]byte, respLen-commonLen)
	binary.LittleEndian.PutUint64(h, c.result)
	binary.LittleEndian.PutUint16(h[8:], c.sqhd)
	binary.LittleEndian.PutUint16(h[10:], c.sqid)
	binary.LittleEndian.PutUint16(h[12:], c.cid)
	binary.LittleEndian.PutUint16(h[14:], uint16(c.status)<<1)
	return h
}

func parseCompletion(p *pdu) completion {
	h := p.head[commonLen:]
	return completion{result: binary.LittleEndian.Uint64(h), sqhd: binary.LittleEndian.Uint16(h[8:]),
		sqid: binary.LittleEndian.Uint16(h[10:]), cid: binary.LittleEndian.Uint16(h[12:]),
		status: status(binary.LittleEndian.Uint16(h[14:]) >> 1)}
}

// IO is the payload of a job on this wire: one read or write.
type IO struct {
	Write  bool
	NSID   uint32
	SLBA   uint64
	Blocks uint32
	Bytes  int    // of the whole transfer
	Data   []byte // of a write
}
