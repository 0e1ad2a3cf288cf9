package nvme

import (
	"encoding/binary"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// What becomes of commands that lie on several shards, and what a range of blocks may be. Nothing here does I/O.

// everyNS names all namespaces of a controller.
const everyNS = 0xFFFFFFFF

// split cuts a command where the shard changes: a target holds the blocks of its own shard only.
func (n *Namespace) split(x *IO) []*IO {
	var parts []*IO
	at, left := x.SLBA, uint64(x.Blocks)
	for left > 0 {
		stripe := at / n.StripeBlocks
		blocks := min(left, (stripe+1)*n.StripeBlocks-at)
		if last := len(parts) - 1; last >= 0 && n.shard(stripe) == n.shard(stripe-1) {
			parts[last].Blocks += uint32(blocks)
		} else {
			parts = append(parts, &IO{Write: x.Write, NSID: x.NSID, SLBA: at, Blocks: uint32(blocks)})
		}
		at, left = at+blocks, left-blocks
	}
	if len(parts) == 1 {
		parts[0] = x
		return parts
	}
	offset := 0
	for _, p := range parts {
		p.Bytes = int(p.Blocks) * n.BlockBytes
		if x.Write {
			p.Data = x.Data[offset : offset+p.Bytes]
		}
		offset += p.Bytes
	}
	return parts
}

// gather makes one status of the parts' ends, and a read's data of theirs. Retryable is only a command of which nothing
// that must not run twice has run or may have run.
func gather(x *IO, jobs []*core.Job, ends []core.Response, delays bool) (status, []byte) {
	var body []byte
	served := 0
	refused := core.Response{Status: core.Rejected}
	var failed, doubt *core.Response
	for i := range ends {
		a := &ends[i]
		switch {
		case a.Status == core.Served:
			served++
			if x.Write {
				continue
			}
			data, _ := a.Payload.([]byte)
			if len(data) != jobs[i].Payload.(*IO).Bytes {
				return stInternal | dnr, nil // no target's whole answer: never passed off as one
			}
			if len(ends) == 1 {
				return stOK, data
			}
			body = append(body, data...)
		case a.Status == core.Rejected:
			refused.RetryAfter = max(refused.RetryAfter, a.RetryAfter)
		case a.LastOutcome == policy.TimedOut || a.LastOutcome == policy.ConnectionReset:
			doubt = a
		default:
			failed = a
		}
	}
	switch {
	case served == len(ends):
		return stOK, body
	case doubt != nil:
		return statusOf(*doubt, delays), nil
	case failed != nil:
		return statusOf(*failed, delays), nil
	case x.Write && served > 0:
		return stInternal | dnr, nil // a repeat would run again what has run
	}
	return statusOf(refused, delays), nil
}

// dataset checks a Dataset Management command. Its attributes are hints, none of which is taken up.
func (n *Namespace) dataset(c *command, data []byte) status {
	const rangeLen = 16
	ranges := int(c.dw(10)&0xFF) + 1
	if c.sglType() != sglOffset || len(data) != ranges*rangeLen {
		return stInvalidField | dnr
	}
	for i := range ranges {
		r := data[i*rangeLen:]
		blocks, slba := uint64(binary.LittleEndian.Uint32(r[4:])), binary.LittleEndian.Uint64(r[8:])
		if slba > n.Blocks || blocks > n.Blocks-slba {
			return stLBARange | dnr
		}
	}
	return stOK
}
