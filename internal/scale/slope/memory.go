package slope

// What the memory of a scale run is reckoned from.
const (
	moduleMemory  = "module.memory"  // B for each target that an initiator's module knows
	listMemory    = "list.memory"    // B for each line of a list as read
	membersMemory = "members.memory" // B for each member that a member knows
)

// Memory is what a scale run of so many hollow initiators takes by the slopes, in bytes: each has a module and a list with all targets, and knows
// all others as members. ok is false where a slope that it takes was not measured.
func (t *Table) Memory(initiators, targets int) (bytes int64, ok bool) {
	module, list, members := t.At(moduleMemory), t.At(listMemory), t.At(membersMemory)
	if !module.Known() || !list.Known() || !members.Known() {
		return 0, false
	}
	each := module.At(float64(targets)) + list.At(float64(targets)) + members.At(float64(initiators))
	return int64(each * float64(initiators)), true
}
