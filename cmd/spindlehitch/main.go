// Command spindlehitch is the real initiator: the decision module on sockets.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "spindlehitch",
		Short:         "A storage initiator that schedules requests by redemptive fair queuing",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch:", err)
		os.Exit(1)
	}
}
