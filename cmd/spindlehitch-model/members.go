package main

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/membership"
	"spindlehitch/internal/testbed/model/mesh"
)

// membersCommand measures the membership protocol in virtual time: false failure verdicts, time to detect a failure, and cost.
func membersCommand(printResult func(*cobra.Command, any, func() error) error) *cobra.Command {
	var sizes []int
	var troubles []string
	var duration, delay time.Duration
	var kills int
	var seed uint64
	var withoutLifeguard bool
	cmd := &cobra.Command{Use: "members", Short: "Measure the membership: false verdicts, time to detect, cost, by size and trouble", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var rows []mesh.Row
			for _, size := range sizes {
				if size < 5 {
					return fmt.Errorf("--sizes: %d is less than 5", size)
				}
				for _, trouble := range mesh.Conditions {
					if len(troubles) > 0 && !slices.Contains(troubles, trouble.Name) {
						continue
					}
					cfg := membership.DefaultConfig
					cfg.DisableLifeguard = withoutLifeguard
					row, err := mesh.Measure(mesh.Spec{Size: size, Zones: 3, Seed: seed, Settings: cfg, Delay: delay}, trouble, duration, kills, encodedSize)
					if err != nil {
						return err
					}
					rows = append(rows, row)
				}
			}
			return printResult(cmd, rows, func() error {
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
				fmt.Fprint(w, "trouble\tsize\tmember-hours\tfalse\tper hour\tfirst\thalf\tall\tB/s\tmessages/s\tCPU us/s\tviews meet s\t\n")
				for _, r := range rows {
					fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.1f\t\n", r.Trouble, r.Size, r.MemberHours, r.FalseVerdicts, r.FalsePerMemberHour, r.First, r.Half, r.All,
						r.BytesS, r.MessagesS, r.CPUUs, r.ConvergeS)
				}
				return w.Flush()
			})
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "sizes", []int{20, 300}, "members")
	f.StringSliceVar(&troubles, "troubles", nil, "by name; all where none is named")
	f.DurationVar(&duration, "lasts", 10*time.Minute, "of the trouble, in the fleet's time")
	f.DurationVar(&delay, "delay", 2*time.Millisecond, "of a message, mean")
	f.IntVar(&kills, "kills", 5, "members that are killed one after the other afterwards")
	f.Uint64Var(&seed, "seed", 1, "of all draws")
	f.BoolVar(&withoutLifeguard, "plain", false, "without self-distrust and reporters")
	return cmd
}

// encodedSize returns the size of a message on the wire, or 0 if it cannot be encoded.
func encodedSize(m *membership.Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		return 0
	}
	return len(b)
}
