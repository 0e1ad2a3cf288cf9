// Command spindlehitch-model is `spindlehitch model`: a fleet in virtual time. It is a program of its own, so that nothing of it is linked
// into what serves.
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

// exitBroken is the exit code of an experiment in which a promise was broken.
const exitBroken = 5

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "spindlehitch model:", err)
		if errors.Is(err, experiment.ErrViolation) {
			os.Exit(exitBroken)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command { //nolint:gocognit // to be split with its package, see docs/left.md
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
	var out string
	var cores int
	run := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "Run an experiment, or go on with it, and sum it up", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			x, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if x.Program, err = program(); err != nil {
				return err
			}
			if out == "" {
				out = x.Name + ".model"
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			bar := progressbar.NewOptions(len(x.Runs), progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(x.Name),
				progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(terminal(os.Stderr)))
			all, err := x.Run(ctx, out, cores, func(done, _ int) { _ = bar.Set(done) })
			if all == nil {
				return err
			}
			s := experiment.Summarize(all)
			return errors.Join(printResult(cmd, s, func() error { return experiment.Table(cmd.OutOrStdout(), s) }), err)
		}}
	run.Flags().StringVarP(&out, "output", "o", "", "the folder for what comes of it; NAME.model where it is not told")
	run.Flags().IntVar(&cores, "cores", 0, "runs at a time; 0: as many as there are cores")
	var metric, title, picture string
	var share bool
	draw := &cobra.Command{Use: "plot FOLDER", Short: "Draw a metric over time (SVG or PNG)", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return experiment.Plot(args[0], metric, share, title, picture)
		}}
	draw.Flags().StringVar(&metric, "metric", "served", "what is drawn")
	draw.Flags().BoolVar(&share, "share", false, "as a share of what was offered")
	draw.Flags().StringVar(&title, "title", "", "above it")
	draw.Flags().StringVarP(&picture, "output", "o", "plot.svg", "the picture")
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
			list := experiment.Compare(a, b)
			return printResult(cmd, list, func() error {
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "SETTING\tFIGURE\tA\tB\tERROR")
				n := 0
				for _, d := range list {
					if d.Significant {
						n++
						fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.2g\n", d.Setting, d.Figure, d.A, d.B, d.SE)
					}
				}
				fmt.Fprintf(t, "%d of %d figures differ by more than their seeds' spread\n", n, len(list))
				return t.Flush()
			})
		}}
	var shrink bool
	var save string
	replay := &cobra.Command{Use: "replay EXPERIMENT.toml RUN", Short: "Take one run again up to a broken promise, and tell the chain of causes", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			x, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.Atoi(args[1])
			if err != nil || n < 0 || n >= len(x.Runs) {
				return fmt.Errorf("run: %q is none of 0 to %d", args[1], len(x.Runs)-1)
			}
			p := x.Runs[n]
			spec := *p.Spec
			if shrink {
				small, broken, runs := model.Shrink(&spec, p.Seed, 200)
				if broken != nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%d faults of %d do it, after %d runs\n", len(small.Faults), len(model.Faults(&spec, p.Seed)), runs)
				}
				spec = small
			}
			r := model.Run(&spec, p.Seed, true)
			if r.Violation == nil {
				return printResult(cmd, r, func() error {
					fmt.Fprintf(cmd.OutOrStdout(), "run %d, %s, seed %d: no promise is broken in %d events\n", n, p.Setting(), p.Seed, r.Events)
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
				}{[]uint64{p.Seed}, spec}), f.Close()); err != nil {
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
			return errors.Join(err, fmt.Errorf("run %d, %s, seed %d: %w: %w", n, p.Setting(), p.Seed, experiment.ErrViolation, r.Violation))
		}}
	replay.Flags().BoolVar(&shrink, "shrink", false, "cut the faults down to few that break the same promise")
	replay.Flags().StringVar(&save, "save", "", "write what was run as an experiment of its own")
	check := &cobra.Command{Use: "check EXPERIMENT.toml", Short: "Check an experiment and run nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			x, err := experiment.Read(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, %d runs\n", args[0], x.Name, len(x.Runs))
			}
			return err
		}}
	root.AddCommand(membersCommand(printResult), run, check, draw, compare, replay)
	return root
}

// program names this program by what it is made of.
func program() (uint64, error) {
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

func terminal(f *os.File) bool {
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}
