package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/lease/outlierboard"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/process/config"
)

// taskSummary is the JSON form of one task in "lease list".
type taskSummary struct {
	lease.Task
	Held      int    `json:"held"`
	Members   int    `json:"members"` // members that hold at least one shard
	Completed uint64 `json:"acts"`
	Fenced    uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
}

// taskStatus is the JSON form of one task in "lease show".
type taskStatus struct {
	lease.Task
	Agent  string               `json:"agent"`
	Leads  bool                 `json:"leads"`
	AgeMs  int64                `json:"age_ms"`
	Leases []lessor.LeaseStatus `json:"leases"`
	Board  []outlierboard.Entry `json:"board,omitempty"`
}

func leaseCommand() *cobra.Command {
	var f fleetFlags
	cmd := &cobra.Command{Use: "lease", Short: "Leases for tasks that are done once for the whole fleet"}
	f.add(cmd)
	list := &cobra.Command{Use: "list", Short: "List the tasks and how much of each is held", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.show(cmd, func(v agent.FleetView) (any, error) { return taskSummaries(v), nil }, func(w io.Writer, v agent.FleetView) {
				fmt.Fprintln(w, "TASK\tKIND\tSHARDS\tHELD\tMEMBERS\tLEASE\tACT\tEVERY\tACTS\tREFUSED\tFAILED")
				for _, t := range taskSummaries(v) {
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n", t.Name, t.Kind, t.Shards, t.Held, t.Members, formatMs(t.TTLMs), formatMs(t.OperationTimeoutMs),
						formatMs(t.IntervalMs), t.Completed, t.Fenced, t.Failed)
				}
				fmt.Fprintf(w, "version %d, by %s\n", v.LeaseConfig.Version, v.Agent)
			})
		}}
	show := &cobra.Command{Use: "show TASK", Short: "Show who holds each shard of a task, since when and until when", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.show(cmd, func(v agent.FleetView) (any, error) { return newTaskStatus(v, args[0]) }, func(w io.Writer, v agent.FleetView) {
				if s, err := newTaskStatus(v, args[0]); err == nil {
					s.writeTable(w)
				}
			})
		}}
	migrate := func(cmd *cobra.Command, args []string, member, result string) error {
		shard, err := strconv.Atoi(args[1])
		if err != nil || shard < 0 {
			return fmt.Errorf("shard: %q is not a number from 0 on", args[1])
		}
		k := lease.Key{Task: args[0], Shard: shard}
		if err := f.changeError(f.client.MigrateLease(cmd.Context(), k, member)); err != nil {
			return fmt.Errorf("lease %s: %w", k, err)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", k, result)
		return nil
	}
	release := &cobra.Command{Use: "release TASK SHARD", Short: "Have a shard's holder give it back, for another member", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return migrate(cmd, args, lease.AnyMember, "is recalled")
		}}
	move := &cobra.Command{Use: "move TASK SHARD MEMBER", Short: "Have a shard go to a member, by its id or its instance's name, and stay there", Args: cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error { return migrate(cmd, args, args[2], "goes to "+args[2]) }}
	check := &cobra.Command{Use: "check FILE", Short: "Check a file of tasks and change nothing", Args: cobra.ExactArgs(1)}
	budgetsPath := check.Flags().String("budgets", "", "the fleet's file of budgets, whose renewals, seats and clocks the tasks' times have to fit")
	check.RunE = func(cmd *cobra.Command, args []string) error {
		var budgets *quota.Config
		if *budgetsPath != "" {
			cfg, err := config.ReadBudgets(*budgetsPath, nil)
			if err != nil {
				return err
			}
			budgets = &cfg
		}
		cfg, err := config.ReadTasks(args[0], budgets)
		if err == nil {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d tasks\n", args[0], len(cfg.Tasks))
		}
		return err
	}
	set := &cobra.Command{Use: "set FILE", Short: "Have the fleet go by a file of tasks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.ReadTasks(args[0], nil)
			if err != nil {
				return err
			}
			cfg, err = f.client.SetLeaseConfig(cmd.Context(), cfg)
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
	cmd.AddCommand(list, show, release, move, set, check)
	return cmd
}

// changeError converts the error of a change: a rejection is returned as is, any other error carries exitNoResponse, since the change may
// have been applied.
func (f *fleetFlags) changeError(err error) error {
	var rejected *agent.RejectedError
	var rejection quota.RejectionError
	if err == nil || errors.As(err, &rejected) || errors.As(err, &rejection) {
		return err
	}
	return &exitError{exitNoResponse, err}
}

func taskSummaries(v agent.FleetView) []taskSummary {
	all := []taskSummary{}
	for _, t := range v.LeaseConfig.Tasks {
		summary := taskSummary{Task: t}
		holders := map[string]bool{}
		for _, l := range v.Leases {
			if l.Task == t.Name && l.Holder != "" {
				summary.Held++
				holders[l.Holder] = true
				summary.Completed, summary.Fenced, summary.Failed = summary.Completed+l.Completed, summary.Fenced+l.Fenced, summary.Failed+l.Failed
			}
		}
		summary.Members = len(holders)
		all = append(all, summary)
	}
	return all
}

func newTaskStatus(v agent.FleetView, name string) (*taskStatus, error) {
	t := v.LeaseConfig.Task(name)
	if t == nil {
		return nil, fmt.Errorf("task: no task %q", name)
	}
	status := &taskStatus{Task: *t, Agent: v.Agent, Leads: v.Leads, AgeMs: v.AgeMs, Leases: []lessor.LeaseStatus{}}
	for _, l := range v.Leases {
		if l.Task == name {
			status.Leases = append(status.Leases, l)
		}
	}
	if t.Kind == lease.EndpointProbe {
		status.Board = v.Board
	}
	return status, nil
}

func (status *taskStatus) writeTable(w io.Writer) {
	msOrUnknown := func(n int64) string {
		if n < 0 {
			return "unknown"
		}
		return formatMs(n)
	}
	fmt.Fprintln(w, "SHARD\tSTATE\tHOLDER\tTOKEN\tSINCE\tENDS IN\tPROGRESS\tACTS\tREFUSED\tFAILED\tNEXT\tMEMBER")
	for _, l := range status.Leases {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", l.Shard, l.State, l.HolderName, l.Token, msOrUnknown(l.SinceMs), msOrUnknown(l.UntilMs), msOrUnknown(l.ProgressMs),
			l.Completed, l.Fenced, l.Failed, l.NextHolder, l.Holder)
	}
	fmt.Fprintf(w, "by %s\n", status.Agent)
	if len(status.Board) > 0 {
		fmt.Fprintln(w, "TARGET\tAVOIDED BY\tFOUND\tAGO\tTOOK\tTOKEN")
	}
	for _, b := range status.Board {
		result, age, took, token := "not yet", "", "", ""
		if b.Result != nil {
			result, age, took, token = "not well", formatMs(b.Result.AgeMs), fmt.Sprintf("%d us", b.Result.LatencyUs), fmt.Sprint(b.Result.Token)
			if b.Result.Healthy {
				result = "well"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", b.Target, b.Reporters, result, age, took, token)
	}
}
