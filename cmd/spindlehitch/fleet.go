package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/process/config"
)

// fleetFlags are the flags shared by all commands that query the agents for the state of the fleet.
type fleetFlags struct {
	client agent.Client
	json   bool
}

func (f *fleetFlags) add(cmd *cobra.Command) {
	cmd.PersistentFlags().StringSliceVar(&f.client.Addrs, "agents", []string{"127.0.0.1:7701"}, "where the agents answer")
	cmd.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON in place of a table")
}

// show prints the fleet as a table with writeTable, or the value of makeJSON as JSON. If no leader is available the printed data may be
// stale, and the returned error carries exitStale.
func (f *fleetFlags) show(cmd *cobra.Command, makeJSON func(agent.FleetView) (any, error), writeTable func(io.Writer, agent.FleetView)) error {
	v, err := f.client.Fleet(cmd.Context())
	if err != nil {
		return &exitError{exitNoResponse, err}
	}
	jsonValue, err := makeJSON(v)
	if err != nil {
		return err
	}
	if f.json {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		err = e.Encode(jsonValue)
	} else {
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		writeTable(w, v)
		err = w.Flush()
	}
	if err == nil && !v.Leads {
		age := "age unknown"
		if v.AgeMs >= 0 {
			age = "at least " + formatMs(v.AgeMs) + " old"
		}
		err = &exitError{exitStale, fmt.Errorf("no leader available: showing the log of agent %s, %s", v.Agent, age)}
	}
	return err
}

func formatMs(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func budgetCommand() *cobra.Command {
	var f fleetFlags
	cmd := &cobra.Command{Use: "budget", Short: "Fleet-wide budgets: what all instances together may use"}
	f.add(cmd)
	list := &cobra.Command{Use: "list", Short: "List the budgets in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.show(cmd, func(v agent.FleetView) (any, error) { return v.QuotaConfig, nil }, func(w io.Writer, v agent.FleetView) {
				fmt.Fprintln(w, "NAME\tUSE\tPER\tKIND\tWHOLE\tBURST\tLEAST\tMOST\tHELD")
				for _, b := range v.QuotaConfig.Budgets {
					held := 0.0
					for _, line := range v.Ledger {
						if line.Budget == b.Name {
							held += line.MaxOutstanding.Rate
						}
					}
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\t%g\t%g\t%g\t%.4g\n", b.Name, b.Resource, b.Scope, b.Kind, b.Capacity, b.Burst, b.FloorRate, b.MaxPerMember, held)
				}
				fmt.Fprintf(w, "version %d, %d seats, parts of %s\n", v.QuotaConfig.Version, v.QuotaConfig.MaxSessions, v.QuotaConfig.AllocationTTL())
			})
		}}
	show := &cobra.Command{Use: "show NAME", Short: "Show who holds how much of a budget, and until when", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.show(cmd, func(v agent.FleetView) (any, error) { return newBudgetStatus(v, args[0]) }, func(w io.Writer, v agent.FleetView) {
				status, err := newBudgetStatus(v, args[0])
				if err == nil {
					status.writeTable(w)
				}
			})
		}}
	var configPath string
	check := &cobra.Command{Use: "check FILE", Short: "Check a file of budgets and change nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := readBudgets(args[0], configPath)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d budgets, %d seats\n", args[0], len(cfg.Budgets), cfg.MaxSessions)
			}
			return err
		}}
	set := &cobra.Command{Use: "set FILE", Short: "Have the fleet go by a file of budgets", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := readBudgets(args[0], configPath)
			if err != nil {
				return err
			}
			cfg, err = f.client.SetQuotaConfig(cmd.Context(), cfg)
			var rejected *agent.RejectedError
			if errors.As(err, &rejected) {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := f.changeError(err); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", cfg.Version)
			return nil
		}}
	for _, c := range []*cobra.Command{check, set} {
		c.Flags().StringVar(&configPath, "config", "", "an instance's configuration, whose plans and classes the budgets may name")
	}
	cmd.AddCommand(list, show, set, check)
	return cmd
}

func readBudgets(path, configPath string) (quota.Config, error) {
	var instanceConfig *config.Config
	if configPath != "" {
		text, err := os.ReadFile(configPath)
		if err != nil {
			return quota.Config{}, err
		}
		if instanceConfig, err = config.Parse(text, func(string) string { return "" }); err != nil {
			return quota.Config{}, fmt.Errorf("%s: %w", configPath, err)
		}
	}
	return config.ReadBudgets(path, instanceConfig)
}

// budgetStatus is the JSON form of one budget and its allocations, as the responding agent has them.
type budgetStatus struct {
	quota.Budget
	Pool           quota.Amount           `json:"pool"` // capacity divided on demand, in addition to the floors
	Agent          string                 `json:"agent"`
	Leads          bool                   `json:"leads"`
	AgeMs          int64                  `json:"age_ms"`
	RecoveryWaitMs int64                  `json:"wait_ms"` // until a new leader grants new allocations
	Outdated       []string               `json:"behind"`  // members that use another version of the budgets
	Holders        []allocator.LedgerLine `json:"holders"`
}

func newBudgetStatus(v agent.FleetView, name string) (*budgetStatus, error) {
	b := v.QuotaConfig.Budget(name)
	if b == nil {
		return nil, fmt.Errorf("no budget %q", name)
	}
	status := &budgetStatus{Budget: *b, Pool: v.QuotaConfig.SharedPool(b), Agent: v.Agent, Leads: v.Leads, AgeMs: v.AgeMs, RecoveryWaitMs: v.RecoveryWaitMs,
		Outdated: []string{}, Holders: []allocator.LedgerLine{}}
	for _, line := range v.Ledger {
		if line.Budget == name {
			status.Holders = append(status.Holders, line)
		}
	}
	for _, member := range v.Members {
		if member.ConfigVersion != v.QuotaConfig.Version {
			status.Outdated = append(status.Outdated, member.Name)
		}
	}
	return status, nil
}

func (status *budgetStatus) writeTable(w io.Writer) {
	fmt.Fprintln(w, "OF\tNAME\tMAY HOLD\tBURST\tASKED\tUSED\tOUT\tUNTIL\tSEEN\tBY\tMEMBER")
	heldByKey := map[string]float64{}
	for _, line := range status.Holders {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%g\t%s\t%s ago\t%s\t%s\n", line.Key.Key, line.Name, line.MaxOutstanding.Rate, line.MaxOutstanding.Burst, line.Want, line.Used, line.InUse,
			formatMs(line.ExpiresMs), formatMs(line.LastSeenMs), status.Agent, line.ID)
		heldByKey[line.Key.Key] += line.MaxOutstanding.Rate
	}
	maxHeld := 0.0
	for _, x := range heldByKey {
		maxHeld = max(maxHeld, x)
	}
	fmt.Fprintf(w, "%.4g of a pool of %.4g held at most; each seat has %g besides\n", maxHeld, status.Pool.Rate, status.FloorRate)
	if status.RecoveryWaitMs > 0 {
		fmt.Fprintf(w, "the leader is new: nothing new is given for %s\n", formatMs(status.RecoveryWaitMs))
	}
	if len(status.Outdated) > 0 {
		fmt.Fprintf(w, "not heard of yet by %v\n", status.Outdated)
	}
}
