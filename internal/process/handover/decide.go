// Package handover lets the processes of one initiator share its limits and hand its clients over during an upgrade. They
// agree by files in a folder that all of them see, or not at all.
package handover

// Phase is how far a process has come.
type Phase int

// The phases of a process, in order.
const (
	Starting Phase = iota
	Serving        // it takes clients
	Leaving        // it takes no more
)

// Member is what is seen of one live process.
type Member struct {
	Started int64 // Unix time in nanoseconds; 0: its file tells nothing that can be used
	PID     int
	Phase   Phase
}

// View is what follows from what is seen.
type View struct {
	Parts int  // live processes that the limits are for
	Leave bool // a younger one serves
}

// decide says what a process does that sees these others alive. One whose file cannot be read counts for the limits and for
// nothing else.
func decide(me Member, others []Member) View {
	v := View{Parts: 1}
	for _, o := range others {
		v.Parts++
		younger := o.Started > me.Started || o.Started == me.Started && o.PID > me.PID
		v.Leave = v.Leave || o.Started > 0 && o.Phase == Serving && younger
	}
	return v
}
