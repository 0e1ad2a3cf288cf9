package nvme

import (
	"encoding/binary"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// This file splits commands that span several shards, merges the responses to their parts and checks block ranges. It does
// no I/O.

// allNamespaces is the broadcast NSID.
const allNamespaces = 0xFFFFFFFF

// splitByShard splits a command where the shard changes, as a target holds the blocks of its own shard only.
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

// mergeResponses merges the responses to a command's parts into one status and, for a read, its data. The status is
// retryable only if no part that must not be executed twice was, or may have been, executed.
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
				return stInternal | dnr, nil // incomplete data is never returned as a successful read
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
		return stInternal | dnr, nil // a retry would execute the served parts again
	}
	return statusOf(rejected, sendDelay), nil
}

// checkDatasetManagement checks the ranges of a Dataset Management command. Its attributes are hints and are ignored.
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
