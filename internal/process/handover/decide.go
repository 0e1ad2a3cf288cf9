// Package handover lets the processes of one initiator share its limits and hand clients over to a successor during an
// upgrade, and tell each other the IDs of their requests and the list of targets. Each process publishes its state, its IDs and its list in
// files of a folder that all of them can read; there is no other channel between them.
package handover

// Phase is a step in the life of a process.
type Phase int

// The phases of a process, in order.
const (
	Starting Phase = iota
	Serving        // accepts clients
	Leaving        // no longer accepts clients
	Draining       // all its requests are decided: it only writes responses
)

// Member is the state of one live process.
type Member struct {
	StartedAt int64 // Unix time in nanoseconds; 0: its state file can't be read
	PID       int
	Phase     Phase
}

// View is what a process concludes from the states of all live processes.
type View struct {
	Processes  int  // live processes that share descriptors and memory, including this one
	Draining   int  // of these, others that only write responses: they need no share of what the scheduler divides
	Superseded bool // a younger process serves
}

// viewOf returns the view of a process with these other live processes. One whose state file can't be read counts towards
// Processes only.
func viewOf(self Member, others []Member) View {
	v := View{Processes: 1}
	for _, o := range others {
		v.Processes++
		if o.Phase == Draining {
			v.Draining++
		}
		younger := o.StartedAt > self.StartedAt || o.StartedAt == self.StartedAt && o.PID > self.PID
		v.Superseded = v.Superseded || o.StartedAt > 0 && o.Phase == Serving && younger
	}
	return v
}
