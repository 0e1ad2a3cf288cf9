package watchstream

// Position is how far a reader or a store is in the stream: for each kind, the version up to which it
// has all changes.
type Position struct {
	Targets uint64 `json:"targets"`
	Config  uint64 `json:"config"`
}

// Min returns the version that both kinds have reached.
func (p Position) Min() uint64 { return min(p.Targets, p.Config) }

// version returns a pointer to the version of one kind.
func (p *Position) version(k Kind) *uint64 {
	if k == Config {
		return &p.Config
	}
	return &p.Targets
}

// notAfter reports whether p is at or before q for both kinds.
func (p Position) notAfter(q Position) bool { return p.Targets <= q.Targets && p.Config <= q.Config }

// later returns the greater version of each kind.
func (p Position) later(q Position) Position {
	return Position{max(p.Targets, q.Targets), max(p.Config, q.Config)}
}

// Watermark is a position in the history of an epoch.
type Watermark struct {
	Epoch string `json:"epoch,omitempty"`
	Position
}
