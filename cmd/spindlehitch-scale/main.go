// Command spindlehitch-scale measures what a fleet costs by its size. It is a program of its own, so that nothing of it is linked into what serves.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"spindlehitch/internal/testbed/scale/slope"
)

func main() {
	asked, err := slope.RunAgent()
	if !asked {
		err = command().Execute()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch-scale:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "spindlehitch-scale", Short: "What a fleet costs by its size", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(slopesCommand(), pageCommand(), runCommand(), showCommand(), hostCommand())
	return root
}
