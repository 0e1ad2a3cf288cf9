package watchstream

// Position is how far somebody is in the stream, by kind: changes up to this version.
type Position struct {
	Targets uint64 `json:"targets"`
	Config  uint64 `json:"config"`
}

// Min is the version that is reached in both lanes.
func (p Position) Min() uint64 { return min(p.Targets, p.Config) }

func (p *Position) version(k Kind) *uint64 {
	if k == Config {
		return &p.Config
	}
	return &p.Targets
}

// notAfter tells whether p is at or before q in both lanes.
func (p Position) notAfter(q Position) bool { return p.Targets <= q.Targets && p.Config <= q.Config }

func (p Position) furthest(q Position) Position {
	return Position{max(p.Targets, q.Targets), max(p.Config, q.Config)}
}

// Watermark is a position in the history of that epoch.
type Watermark struct {
	Epoch string `json:"epoch,omitempty"`
	Position
}
