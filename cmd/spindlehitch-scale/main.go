// Command spindlehitch-scale measures the resource cost of a fleet as a function of its size. It is a separate program, so that none of it is
// linked into the production binary.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"spindlehitch/internal/testbed/scale/slope"
)

func main() {
	isAgent, err := slope.RunAgent()
	if !isAgent {
		err = rootCommand().Execute()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch-scale:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "spindlehitch-scale", Short: "What a fleet costs by its size", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(slopesCommand(), pageCommand(), runCommand(), showCommand(), hostCommand())
	return root
}
