package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/config"
)

func changeCommand() *cobra.Command {
	var f fleetFlags
	cmd := &cobra.Command{Use: "change", Short: "The feed of changes of targets and configuration: put one, and see where it is in force"}
	f.add(cmd)
	var feedFile, replaces string
	var ifVersion int64
	readFile := func(path string) (watchstream.Change, error) {
		var feed *config.Feed
		if feedFile != "" {
			var err error
			if feed, err = config.ReadFeed(feedFile); err != nil {
				return watchstream.Change{}, fmt.Errorf("%s: %w", feedFile, err)
			}
		}
		return config.ReadChange(path, feed)
	}
	put := &cobra.Command{Use: "put FILE", Short: "Have a file of changes made, as one version", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readFile(args[0])
			if err != nil {
				return err
			}
			if ifVersion >= 0 {
				n := uint64(ifVersion)
				c.IfVersion = &n
			}
			if replaces != "" {
				c.Replaces = replaces
			}
			v, err := f.client.PutChange(cmd.Context(), c)
			var rejected *agent.RejectedError
			if errors.As(err, &rejected) {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := f.changeError(err); err != nil {
				return err
			}
			if f.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(agent.ChangeResponse{Version: v})
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", v)
			return nil
		}}
	put.Flags().Int64Var(&ifVersion, "if-version", -1, "only where this is the newest version; 0: only as the first change")
	put.Flags().StringVar(&replaces, "replaces", "", "the epoch of an earlier history of this fleet that this one takes the place of")
	check := &cobra.Command{Use: "check FILE", Short: "Check a file of changes and change nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := readFile(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d puts for fleet %s\n", args[0], len(c.Puts), c.Fleet)
			}
			return err
		}}
	for _, c := range []*cobra.Command{put, check} {
		c.Flags().StringVar(&feedFile, "feed", "", "an operator's file with [feed]: regions and zones that it doesn't name are refused")
	}
	show := &cobra.Command{Use: "show [KIND [KEY]]", Short: "Show the targets (target) or the layers of the configuration (config), or one of them", Args: cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return f.showRecords(cmd, args) }}
	status := &cobra.Command{Use: "status [VERSION]", Short: "Show how many have a version in force, since when, who lags and why; the newest unless told", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version := uint64(0)
			if len(args) > 0 {
				n, err := strconv.ParseUint(args[0], 10, 64)
				if err != nil || n == 0 {
					return fmt.Errorf("version: %q is not a number from 1 on", args[0])
				}
				version = n
			}
			return f.showStreamStatus(cmd, version)
		}}
	cmd.AddCommand(put, check, show, status)
	return cmd
}

// queryError converts the error of a query; if no agent responded, the result carries exitNoResponse.
func queryError(err error) error {
	var rejected *agent.RejectedError
	switch {
	case errors.Is(err, agent.ErrNotFound):
		return errors.New("no change has been published yet")
	case err == nil, errors.As(err, &rejected):
		return err
	}
	return &exitError{exitNoResponse, err}
}

func (f *fleetFlags) showRecords(cmd *cobra.Command, args []string) error {
	kinds := watchstream.Kinds[:]
	if len(args) > 0 {
		var k watchstream.Kind
		if err := k.UnmarshalText([]byte(args[0])); err != nil {
			return fmt.Errorf("kind: %w", err)
		}
		kinds = []watchstream.Kind{k}
	}
	key := ""
	if len(args) > 1 {
		key = args[1]
	}
	all := []watchstream.Record{}
	for _, k := range kinds {
		found, err := f.client.Records(cmd.Context(), k, key)
		if err != nil {
			return queryError(err)
		}
		all = append(all, found...)
	}
	if key != "" && len(all) == 0 {
		return fmt.Errorf("key: no %s %q", kinds[0], key)
	}
	if f.json {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(all)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tKEY\tVERSION\tVALUE")
	for i := range all {
		value := string(all[i].Value)
		if len(value) > 120 && key == "" {
			value = value[:117] + "..."
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", all[i].Kind, all[i].Key, all[i].Version, value)
	}
	return w.Flush()
}

func (f *fleetFlags) showStreamStatus(cmd *cobra.Command, version uint64) error {
	v, err := f.client.StreamStatus(cmd.Context(), version)
	if err != nil {
		return queryError(err)
	}
	if f.json {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		err = e.Encode(v)
	} else {
		err = writeStreamStatus(cmd.OutOrStdout(), v)
	}
	if err == nil && !v.Leads {
		age := "age unknown"
		if v.AgeMs >= 0 {
			age = "at least " + formatMs(v.AgeMs) + " old"
		}
		err = &exitError{exitStale, fmt.Errorf("no leader available: showing the log of agent %s, %s; initiator status is unknown", v.Agent, age)}
	}
	return err
}

func writeStreamStatus(out io.Writer, v agent.StreamStatus) error {
	msOrUnknown := func(n int64) string {
		if n < 0 {
			return "not known"
		}
		return formatMs(n)
	}
	fmt.Fprintf(out, "version %d of %s, newest %d, epoch %s, by %s\n", v.Version, v.Fleet, v.Head, v.Epoch, v.Agent)
	if !v.Leads {
		return nil
	}
	fmt.Fprintf(out, "in force at %d of %d (%.4g in 100), put %s ago; %d are silent, %d turned a configuration down\n", v.Applied, v.Readers, 100*v.AppliedShare, msOrUnknown(v.SinceMs),
		v.Silent, v.Rejected)
	fmt.Fprintf(out, "half had it after %s, 99 in 100 after %s, all after %s\n", msOrUnknown(v.HalfMs), msOrUnknown(v.P99Ms), msOrUnknown(v.AllMs))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(v.Relays) > 0 {
		fmt.Fprintln(w, "RELAY\tREGION\tHAS\tOLD\tREPORTED\tREADERS")
	}
	for _, r := range v.Relays {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s ago\t%d\n", r.ID, r.Region, r.Consistent, formatMs(r.AgeMs), formatMs(r.LastHeardMs), r.Readers)
	}
	if len(v.Lagging) > 0 {
		fmt.Fprintln(w, "LAGS\tREGION\tRELAY\tHAS\tWHY\tHEARD\tTURNED DOWN")
	}
	for _, l := range v.Lagging {
		rejection := ""
		if l.Rejection != nil {
			rejection = fmt.Sprintf("version %d: %s", l.Rejection.Version, l.Rejection.Reason)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s ago\t%s\n", l.Name, l.Region, l.Relay, l.Applied, l.Cause, formatMs(l.LastHeardMs), rejection)
	}
	if omitted := v.Readers - v.Applied - len(v.Lagging); omitted > 0 {
		fmt.Fprintf(w, "and %d more that lag\n", omitted)
	}
	return w.Flush()
}
