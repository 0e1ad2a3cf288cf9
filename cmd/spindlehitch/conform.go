package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch/internal/datapath/nvme"
)

func conformCommand() *cobra.Command {
	var opt nvme.ConformanceOptions
	cmd := &cobra.Command{
		Use:   "conform",
		Short: "Hold an NVMe over TCP controller on this machine against the conformance suite",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := nvme.RunConformance(opt)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			counts := map[nvme.Verdict]int{}
			for _, r := range results {
				counts[r.Verdict]++
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.Verdict, r.Section, r.Clause, r.Detail)
			}
			if err := table.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d passed, %d failed, %d outside the subset and refused, %d skipped\n",
				counts[nvme.Pass], counts[nvme.Fail], counts[nvme.Unsupported], counts[nvme.Skipped])
			if counts[nvme.Fail] > 0 {
				return fmt.Errorf("conform: %d clauses failed", counts[nvme.Fail])
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&opt.Addr, "addr", "127.0.0.1:4420", "the controller, at a loopback address")
	cmd.Flags().StringVar(&opt.Subsystem, "subsystem", "", "the name it is connected to by")
	cmd.Flags().Uint32Var(&opt.NSID, "namespace", 1, "the namespace that commands go to")
	cmd.Flags().BoolVar(&opt.AllowWrites, "write", false, "run the clauses that overwrite the namespace's first 256 blocks")
	cmd.Flags().DurationVar(&opt.Timeout, "within", 5*time.Second, "how long a connection is waited for in all")
	_ = cmd.MarkFlagRequired("subsystem")
	return cmd
}
