// Command spindlehitch-model runs a model of a fleet in virtual time; "spindlehitch model" executes it. It is a separate program, so that the
// model is not linked into the production binary.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
	"github.com/cespare/xxhash/v2"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"spindlehitch/internal/testbed/model"
	"spindlehitch/internal/testbed/model/experiment"
)

// exitInvariantViolated is the exit code of an experiment in which an invariant was violated.
const exitInvariantViolated = 5

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch model:", err)
		if errors.Is(err, experiment.ErrViolation) {
			os.Exit(exitInvariantViolated)
		}
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command { //nolint:gocognit // to be split with its package, see docs/left.md
	root := &cobra.Command{Use: "spindlehitch model", Short: "A fleet in virtual time: experiments, plots, replays", SilenceUsage: true, SilenceErrors: true}
	var asJSON bool
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON in place of a table")
	printResult := func(cmd *cobra.Command, v any, table func() error) error {
		if !asJSON {
			return table()
		}
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	var outDir string
	var cores int
	run := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "Run an experiment, or go on with it, and sum it up", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if exp.Program, err = programHash(); err != nil {
				return err
			}
			if outDir == "" {
				outDir = exp.Name + ".model"
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			bar := progressbar.NewOptions(len(exp.Runs), progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(exp.Name),
				progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(isTerminal(os.Stderr)))
			results, err := exp.Run(ctx, outDir, cores, func(done, _ int) { _ = bar.Set(done) })
			if results == nil {
				return err
			}
			summary := experiment.Summarize(results)
			return errors.Join(printResult(cmd, summary, func() error { return experiment.Table(cmd.OutOrStdout(), summary) }), err)
		}}
	run.Flags().StringVarP(&outDir, "output", "o", "", "the folder for what comes of it; NAME.model where it is not told")
	run.Flags().IntVar(&cores, "cores", 0, "runs at a time; 0: as many as there are cores")
	var metric, title, outPath string
	var share bool
	plot := &cobra.Command{Use: "plot FOLDER", Short: "Draw a metric over time (SVG or PNG)", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return experiment.Plot(args[0], metric, share, title, outPath)
		}}
	plot.Flags().StringVar(&metric, "metric", "served", "what is drawn")
	plot.Flags().BoolVar(&share, "share", false, "as a share of what was offered")
	plot.Flags().StringVar(&title, "title", "", "above it")
	plot.Flags().StringVarP(&outPath, "output", "o", "plot.svg", "the picture")
	compare := &cobra.Command{Use: "compare A B", Short: "Tell which figures of two folders differ by more than their seeds' spread", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := experiment.Summaries(args[0])
			if err != nil {
				return err
			}
			b, err := experiment.Summaries(args[1])
			if err != nil {
				return err
			}
			differences := experiment.Compare(a, b)
			return printResult(cmd, differences, func() error {
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "SETTING\tFIGURE\tA\tB\tERROR")
				larger := 0
				for _, d := range differences {
					if d.Significant {
						larger++
						fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.2g\n", d.Setting, d.Figure, d.A, d.B, d.SE)
					}
				}
				fmt.Fprintf(t, "%d of %d figures differ by more than their seeds' spread\n", larger, len(differences))
				return t.Flush()
			})
		}}
	var shrink bool
	var save string
	replay := &cobra.Command{Use: "replay EXPERIMENT.toml RUN", Short: "Take one run again up to a broken promise, and tell the chain of causes", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.Atoi(args[1])
			if err != nil || n < 0 || n >= len(exp.Runs) {
				return fmt.Errorf("run: %q is not a number from 0 to %d", args[1], len(exp.Runs)-1)
			}
			planned := exp.Runs[n]
			spec := *planned.Spec
			if shrink {
				shrunk, violation, runs := model.Shrink(&spec, planned.Seed, 200)
				if violation != nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%d faults of %d do it, after %d runs\n", len(shrunk.Faults), len(model.Faults(&spec, planned.Seed)), runs)
				}
				spec = shrunk
			}
			r := model.Run(&spec, planned.Seed, true)
			if r.Violation == nil {
				return printResult(cmd, r, func() error {
					fmt.Fprintf(cmd.OutOrStdout(), "run %d, %s, seed %d: no promise is broken in %d events\n", n, planned.Setting(), planned.Seed, r.Events)
					return nil
				})
			}
			if save != "" {
				f, err := os.Create(save)
				if err != nil {
					return err
				}
				if err := errors.Join(toml.NewEncoder(f).Encode(struct {
					Seeds []uint64 `toml:"seeds"`
					model.Spec
				}{[]uint64{planned.Seed}, spec}), f.Close()); err != nil {
					return err
				}
			}
			err = printResult(cmd, r.Violation, func() error {
				for _, f := range spec.Faults {
					fmt.Fprintln(cmd.OutOrStdout(), "fault:", f)
				}
				for _, line := range r.Violation.Chain {
					fmt.Fprintln(cmd.OutOrStdout(), "cause:", line)
				}
				return nil
			})
			return errors.Join(err, fmt.Errorf("run %d, %s, seed %d: %w: %w", n, planned.Setting(), planned.Seed, experiment.ErrViolation, r.Violation))
		}}
	replay.Flags().BoolVar(&shrink, "shrink", false, "cut the faults down to few that break the same promise")
	replay.Flags().StringVar(&save, "save", "", "write what was run as an experiment of its own")
	check := &cobra.Command{Use: "check EXPERIMENT.toml", Short: "Check an experiment and run nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := experiment.Read(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, %d runs\n", args[0], exp.Name, len(exp.Runs))
			}
			return err
		}}
	root.AddCommand(membersCommand(printResult), run, check, plot, compare, replay)
	return root
}

// programHash returns a hash of this program's executable file.
func programHash() (uint64, error) {
	path, err := os.Executable()
	if err != nil {
		return 0, err
	}
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	h := xxhash.New()
	_, err = io.Copy(h, f)
	return h.Sum64(), err
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
