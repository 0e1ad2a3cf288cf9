package nvme

import (
	"fmt"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
)

// Namespace is the file's word on one namespace.
type Namespace config.Namespace

// shard is where a stripe lies.
func (n *Namespace) shardOf(stripe uint64) int { return n.Shards[stripe%uint64(len(n.Shards))] }

// request is what the module is told of a command, or of a part of one: all of it lies on one shard.
func (n *Namespace) request(io *IO) policy.Request {
	stripe := io.SLBA / n.StripeBlocks
	q := policy.Request{Class: n.Read, Plan: n.Plan, Volume: n.Volume, VolumeInitiators: n.Hosts, MissingKey: true, // commands carry none
		Extent: fmt.Sprintf("%s/%x", n.Volume, stripe),
		Shard:  n.shardOf(stripe),
		Units:  float64((io.Blocks + n.UnitBlocks - 1) / n.UnitBlocks)}
	switch {
	case io.Write:
		q.Class = n.Write
	case n.Bulk != "" && io.Blocks >= n.BulkBlocks:
		q.Class = n.Bulk
	}
	return q
}
