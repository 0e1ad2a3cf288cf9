package nvme

import (
	"fmt"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
)

// Namespace is the configuration of one namespace, from the operator's file.
type Namespace config.Namespace

// shardOf returns the shard that holds a stripe.
func (n *Namespace) shardOf(stripe uint64) int { return n.Shards[stripe%uint64(len(n.Shards))] }

// request returns the policy module's request for a command, or for a part of one. All its blocks must lie on one shard.
func (n *Namespace) request(io *IO) policy.Request {
	stripe := io.SLBA / n.StripeBlocks
	q := policy.Request{Class: n.Read, Plan: n.Plan, Volume: n.Volume, VolumeInitiators: n.Hosts, MissingKey: true, // commands carry no idempotency key
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
