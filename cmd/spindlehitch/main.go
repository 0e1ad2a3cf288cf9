// Command spindlehitch runs a storage initiator, which schedules requests with package policy, and the agents and relays of its control
// plane; its other subcommands query and change them.
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

// exitError is an error with its own exit code, so that scripts can distinguish it; the exit code of any other error is 1.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Exit codes besides 0 and 1 (request rejected or invalid input).
const (
	exitStale      = 3 // the printed data may be stale
	exitNoResponse = 4 // no agent responded in time: a change may or may not have been applied
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
