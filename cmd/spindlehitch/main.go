// Command spindlehitch is the real initiator: the decision module on sockets.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch:", err)
		var e *exitError
		if errors.As(err, &e) {
			os.Exit(e.code)
		}
		os.Exit(1)
	}
}

// exit is an error with an exit code that scripts can tell from others; without one it is 1.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Exit codes beside 0 and 1 (refused, or bad input).
const (
	exitStale      = 3 // what was printed may be old
	exitNoResponse = 4 // no agent answered in time: a change may or may not have been made
)

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "spindlehitch",
		Short:         "A storage initiator that schedules requests by redemptive fair queuing",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), agentCommand(), configCommand(),
		conformCommand(), modelCommand(), reportCommand(), topCommand(), budgetCommand(), leaseCommand(), membersCommand(), relayCommand(), changeCommand(), publishCommand())
	return root
}
