package nvme

import (
	"encoding/binary"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// What becomes of commands that lie on several shards, and what a range of blocks may be. Nothing here does I/O.

// everyNS names all namespaces of a controller.
const allNamespaces = 0xFFFFFFFF

// split cuts a command where the shard changes: a target holds the blocks of its own shard only.
func (n *Namespace) splitByShard(x *IO) []*IO {
	var parts []*IO
	lba, remaining := x.SLBA, uint64(x.Blocks)
	for remaining > 0 {
		stripe := lba / n.StripeBlocks
		blocks := min(remaining, (stripe+1)*n.StripeBlocks-lba)
		if last := len(parts) - 1; last >= 0 && n.shardOf(stripe) == n.shardOf(stripe-1) {
			parts[last].Blocks += uint32(blocks)
		} else {
			parts = append(parts, &IO{Write: x.Write, NSID: x.NSID, SLBA: lba, Blocks: uint32(blocks)})
		}
		lba, remaining = lba+blocks, remaining-blocks
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
func mergeResponses(x *IO, jobs []*core.Job, responses []core.Response, sendDelay bool) (status, []byte) {
	var body []byte
	served := 0
	rejected := core.Response{Status: core.Rejected}
	var failed, uncertain *core.Response
	for i := range responses {
		r := &responses[i]
		switch {
		case r.Status == core.Served:
			served++
			if x.Write {
				continue
			}
			data, _ := r.Payload.([]byte)
			if len(data) != jobs[i].Payload.(*IO).Bytes {
				return stInternal | dnr, nil // no target's whole answer: never passed off as one
			}
			if len(responses) == 1 {
				return stOK, data
			}
			body = append(body, data...)
		case r.Status == core.Rejected:
			rejected.RetryAfter = max(rejected.RetryAfter, r.RetryAfter)
		case r.LastOutcome == policy.TimedOut || r.LastOutcome == policy.ConnectionReset:
			uncertain = r
		default:
			failed = r
		}
	}
	switch {
	case served == len(responses):
		return stOK, body
	case uncertain != nil:
		return statusOf(*uncertain, sendDelay), nil
	case failed != nil:
		return statusOf(*failed, sendDelay), nil
	case x.Write && served > 0:
		return stInternal | dnr, nil // a repeat would run again what has run
	}
	return statusOf(rejected, sendDelay), nil
}

// dataset checks a Dataset Management command. Its attributes are hints, none of which is taken up.
func (n *Namespace) checkDatasetManagement(c *command, data []byte) status {
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
