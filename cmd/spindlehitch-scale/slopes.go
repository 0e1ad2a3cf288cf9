package main

import "github.com/spf13/cobra"

// slopesCommand measures the slopes of docs/CAPACITY.md.
func slopesCommand() *cobra.Command {
	return &cobra.Command{Use: "slopes", Short: "Measure what each role costs by size", Args: cobra.NoArgs}
}
