package nvme

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"

	"spindlehitch"
)

// Namespace says how reads and writes of one namespace become requests: whose volume it is, on which plan,
// where its blocks lie, and which class a command belongs to.
type Namespace struct {
	ID           uint32 `toml:"id"`
	Volume       string `toml:"volume"` // 16 hex digits; also the namespace's EUI-64
	Plan         string `toml:"plan"`
	Hosts        int    `toml:"hosts"` // initiators that carry this volume
	BlockBytes   int    `toml:"block_bytes"`
	Blocks       uint64 `toml:"blocks"`
	StripeBlocks uint64 `toml:"stripe_blocks"` // a piece of data; stripes lie on the shards in turn
	Shards       []int  `toml:"shards"`
	UnitBlocks   uint32 `toml:"unit_blocks"` // blocks that count as one unit
	Read         string `toml:"read"`        // class of reads
	Write        string `toml:"write"`       // class of writes
	Bulk         string `toml:"bulk"`        // class of large reads; may be empty
	BulkBlocks   uint32 `toml:"bulk_blocks"` // from so many blocks on
}

// Check names what cannot be served.
func (n *Namespace) Check(classes, plans map[string]bool) error {
	class := func(field, name string) error {
		if !classes[name] {
			return fmt.Errorf("%s: class %q is not in the settings", field, name)
		}
		return nil
	}
	switch {
	case n.ID == 0 || n.ID == 0xFFFFFFFF:
		return errors.New("id: not a namespace id")
	case len(n.Volume) != 16:
		return errors.New("volume: wanted 16 hex digits")
	case !plans[n.Plan]:
		return fmt.Errorf("plan: %q is not in the settings", n.Plan)
	case n.Hosts < 1:
		return errors.New("hosts: at least 1")
	case n.BlockBytes < 512 || n.BlockBytes > 4096 || bits.OnesCount(uint(n.BlockBytes)) != 1:
		return errors.New("block_bytes: wanted a power of two from 512 to 4096")
	case n.Blocks == 0 || n.Blocks > 1<<48:
		return errors.New("blocks: out of range")
	case n.StripeBlocks == 0:
		return errors.New("stripe_blocks: at least 1")
	case n.UnitBlocks == 0:
		return errors.New("unit_blocks: at least 1")
	case len(n.Shards) == 0:
		return errors.New("shards: at least one")
	case n.Bulk != "" && n.BulkBlocks == 0:
		return errors.New("bulk_blocks: at least 1 where bulk is set")
	}
	if _, err := strconv.ParseUint(n.Volume, 16, 64); err != nil {
		return errors.New("volume: wanted 16 hex digits")
	}
	for i, s := range n.Shards {
		if s < 0 {
			return fmt.Errorf("shards[%d]: negative", i)
		}
	}
	if err := errors.Join(class("read", n.Read), class("write", n.Write)); err != nil || n.Bulk == "" {
		return err
	}
	return class("bulk", n.Bulk)
}

// shard is where a stripe lies.
func (n *Namespace) shard(stripe uint64) int { return n.Shards[stripe%uint64(len(n.Shards))] }

// request is what the module is told of a command, or of a part of one: all of it lies on one shard.
func (n *Namespace) request(io *IO) spindlehitch.Request {
	stripe := io.SLBA / n.StripeBlocks
	q := spindlehitch.Request{Class: n.Read, Plan: n.Plan, Volume: n.Volume, Initiators: n.Hosts,
		Extent: fmt.Sprintf("%s/%x", n.Volume, stripe),
		Shard:  n.shard(stripe),
		Units:  float64((io.Blocks + n.UnitBlocks - 1) / n.UnitBlocks)}
	switch {
	case io.Write:
		q.Class = n.Write
	case n.Bulk != "" && io.Blocks >= n.BulkBlocks:
		q.Class = n.Bulk
	}
	return q
}
