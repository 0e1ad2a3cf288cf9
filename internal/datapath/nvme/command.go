package nvme

import (
	"encoding/binary"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/policy"
)

// Opcodes of the subset.
const (
	opFlush             = 0x00
	opWrite             = 0x01
	opRead              = 0x02
	opCompare           = 0x05
	opWriteZeroes       = 0x08
	opDatasetManagement = 0x09
	opFabrics           = 0x7F
	opGetLogPage        = 0x02
	opIdentify          = 0x06
	opAbort             = 0x08
	opSetFeatures       = 0x09
	opGetFeatures       = 0x0A
	opAsyncEvent        = 0x0C
	opKeepAlive         = 0x18
	fctPropertySet      = 0x00
	fctConnect          = 0x01
	fctPropertyGet      = 0x04
	fctDisconnect       = 0x08

	featQueues       = 0x07
	featAsyncEvents  = 0x0B
	featKeepAlive    = 0x0F
	featHostBehavior = 0x16

	// fua is Force Unit Access, in dword 12: the write is completed only once its data is on the medium.
	fua = 1 << 30

	propCAP  = 0x00
	propVS   = 0x08
	propCC   = 0x14
	propCSTS = 0x1C

	sglOffset    = 0x01 // data block with an offset: the data is in the capsule
	sglTransport = 0x5A // transport data block: the data is sent in data PDUs
	connectLen   = 1024
	identifyLen  = 4096
)

// status is a completion's status field without the phase bit.
type status uint16

// dnr is Do Not Retry.
const dnr status = 1 << 14

// newStatus makes a status of its status code type and its status code.
func newStatus(kind, code status) status { return kind<<8 | code }

// Status values of the subset.
var (
	stOK             status = 0
	stInvalidOpcode         = newStatus(0, 0x01)
	stInvalidField          = newStatus(0, 0x02)
	stCIDConflict           = newStatus(0, 0x03)
	stInternal              = newStatus(0, 0x06)
	stAborted               = newStatus(0, 0x07)
	stInvalidNS             = newStatus(0, 0x0B)
	stSequence              = newStatus(0, 0x0C)
	stTransient             = newStatus(0, 0x22)
	stLBARange              = newStatus(0, 0x80)
	stNSNotReady            = newStatus(0, 0x82)
	stAsyncLimit            = newStatus(1, 0x05)
	stInvalidLogPage        = newStatus(1, 0x09)
	stNotChangeable         = newStatus(1, 0x0E)
	stBadFormat             = newStatus(1, 0x80)
	stControllerBusy        = newStatus(1, 0x81)
	stBadConnect            = newStatus(1, 0x82)
	stCompareFailure        = newStatus(2, 0x85)
)

// code returns the status without its CRD, More and DNR bits.
func (s status) code() status { return s & 0x7FF }

// withRetryDelay sets CRD, the index of the retry delay: 1 to 3 for CRDT1 to CRDT3, 0 for none.
func (s status) withRetryDelay(crd int) status { return s | status(crd&3)<<11 }

// retryDelays are the controller's CRDT1 to CRDT3, in units of 100 ms: the delay before a retry by a host that has enabled
// it (Host Behavior Support, ACRE). The last is the longest delay that a client of this project honours.
var retryDelays = [3]uint16{1, 3, 10}

// retryDelayIndex returns the CRD of the shortest delay that covers the wait, or of the longest if none does; 0: no delay.
func retryDelayIndex(wait time.Duration) int {
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

// statusOf maps the core's final response to a status. It is retryable exactly if the command was rejected, by the policy module or
// for lack of capacity: then a retry is harmless. A command that may have been executed has DNR set, so that no host retries it on its own.
func statusOf(r core.Response, sendDelay bool) status {
	switch r.Status {
	case core.Served:
		return stOK
	case core.Rejected:
		if sendDelay {
			return stNSNotReady.withRetryDelay(retryDelayIndex(r.RetryAfter))
		}
		return stNSNotReady
	}
	if r.LastOutcome == policy.TimedOut || r.LastOutcome == policy.ConnectionReset {
		return stTransient | dnr
	}
	return stInternal | dnr
}

// metricsOutcome returns the outcome under which a command with this status is counted.
func metricsOutcome(st status) metrics.Outcome {
	switch {
	case st == stOK, st.code() == stCompareFailure:
		return metrics.Success
	case st.code() == stNSNotReady && st&dnr == 0:
		return metrics.Overload
	}
	return metrics.Failure
}

// outcomeOf maps a target's status to an outcome. Only Namespace Not Ready without DNR proves that the command was not started.
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

// newCommand returns an entry whose data, if any, is in the capsule or is sent in data PDUs.
func newCommand(op byte, cid uint16, length int, inCapsule bool) *command {
	c := &command{op, 0x40} // PSDT: SGLs are used for the transfer
	c.set16(2, cid)
	c.set32(32, uint32(length))
	c[39] = sglTransport
	if inCapsule {
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

// head returns the fields of a response PDU after the common header.
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

// IO is the payload of a core.Job of this package: one read or write, or a part of one.
type IO struct {
	Write  bool
	NSID   uint32
	SLBA   uint64
	Blocks uint32
	Bytes  int    // length of the data
	Data   []byte // of a write
}
