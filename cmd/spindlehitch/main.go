// Command spindlehitch is the real initiator: the decision module on sockets.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "spindlehitch",
		Short:         "A storage initiator that schedules requests by redemptive fair queuing",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), agentCommand(), configCommand(),
		conformCommand(), reportCommand(), topCommand())
	return root
}
