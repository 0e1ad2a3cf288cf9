package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/membership"
)

// exitViewsDiffer is the exit code of members --diff when the two views differ.
const exitViewsDiffer = 5

// membersOptions are the flags of the members command besides fleetFlags.
type membersOptions struct {
	from         string   // control address of an instance, whose view is shown instead of the agents' list
	diff         []string // control addresses of two instances whose views are compared
	links, watch bool
	asJSON       bool
}

func membersCommand() *cobra.Command {
	var f fleetFlags
	var opts membersOptions
	cmd := &cobra.Command{Use: "members", Short: "List the processes that have a seat in the fleet, or what an instance knows of the others", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.asJSON = f.json
			switch {
			case len(opts.diff) > 0:
				return opts.compareViews(cmd)
			case opts.from != "":
				return opts.show(cmd)
			case opts.links || opts.watch:
				return errors.New("--links and --watch go with --from")
			}
			return f.show(cmd, func(v agent.FleetView) (any, error) {
				v.Ledger = nil
				return v, nil
			}, func(w io.Writer, v agent.FleetView) {
				fmt.Fprintln(w, "NAME\tINCARNATION\tSTATE\tSEEN\tBY\tSEAT ENDS IN\tADDRESS\tVERSION\tMEMBER")
				for _, m := range v.Members {
					seen := "never"
					if m.LastSeenMs >= 0 {
						seen = formatMs(m.LastSeenMs) + " ago"
					}
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Incarnation, m.Liveness, seen, v.Agent, formatMs(m.SessionTTLMs), m.Addr, m.ConfigVersion, m.ID)
				}
				fmt.Fprintf(w, "%d of %d seats\n", len(v.Members), v.QuotaConfig.MaxSessions)
			})
		}}
	f.add(cmd)
	cmd.Flags().StringVar(&opts.from, "from", "", "the second address of an instance: what that one knows of all others")
	cmd.Flags().BoolVar(&opts.links, "links", false, "with --from: which ways are cut, and who says so")
	cmd.Flags().BoolVar(&opts.watch, "watch", false, "with --from: changes as they come, until interrupted")
	cmd.Flags().StringSliceVar(&opts.diff, "diff", nil, "two second addresses, A,B: what the two know otherwise; exit code 5 where there is something")
	return cmd
}

// fetchView requests an instance's membership view from its control address.
func fetchView(ctx context.Context, addr string) (v membership.View, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/members", nil)
	if err != nil {
		return v, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, &exitError{exitNoResponse, fmt.Errorf("members: %w", err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return v, fmt.Errorf("members: the instance at %s has no membership view: [fleet.members] is missing in its operator's file", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("members: %s returned status %s", addr, resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

func (opts *membersOptions) show(cmd *cobra.Command) error {
	v, err := fetchView(cmd.Context(), opts.from)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case opts.watch:
		return opts.follow(cmd.Context(), out, v)
	case opts.asJSON && opts.links:
		return json.NewEncoder(out).Encode(v.Paths)
	case opts.asJSON:
		return json.NewEncoder(out).Encode(v)
	case opts.links:
		return writePaths(out, v)
	}
	return writeView(out, v)
}

func writeView(out io.Writer, v membership.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tZONE\tHEARD\tSINCE\tINCARNATION\tLOAD\tADDRESS\tBIRTH\tWHY")
	for _, m := range v.Members {
		lastHeard := "never"
		switch {
		case m.Self:
			lastHeard = "itself"
		case m.LastHeardS >= 0:
			lastHeard = formatSeconds(m.LastHeardS) + " ago"
		}
		reason := m.Reason
		if m.State == membership.StateSuspect {
			reason += ", at most " + formatSeconds(m.DeadlineS) + " more"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", m.Name, m.State, m.Zone, lastHeard, formatSeconds(m.SinceS), m.Incarnation, m.Load, m.Addr, m.ID, reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s knows %d that live, digest %s, doubt in itself %d of 8\n", v.Self, v.Size, v.Digest, v.HealthScore)
	if v.Isolation != "" {
		fmt.Fprintf(out, "it judges nobody: %s\n", v.Isolation)
	}
	if len(v.DuplicateNames) > 0 {
		fmt.Fprintf(out, "two lives have the name: %s\n", strings.Join(v.DuplicateNames, ", "))
	}
	if len(v.Paths) > 0 {
		fmt.Fprintf(out, "%d ways are cut: --links tells them\n", len(v.Paths))
	}
	return nil
}

func formatSeconds(s float64) string {
	return (time.Duration(s*1000) * time.Millisecond).Round(10 * time.Millisecond).String()
}

func writePaths(out io.Writer, v membership.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tTO\tWHAT\tTOLD\tTIMES\tBY")
	for _, x := range v.Paths {
		from, to := x.From, x.To
		if x.BetweenZones {
			from, to = "zone "+from, "zone "+to
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%d\t%s\n", from, to, x.Kind, formatSeconds(x.AgoS), x.Count, strings.Join(x.Observers, ", "))
	}
	return w.Flush()
}

// follow polls the instance and prints new membership events until it is interrupted or a poll fails.
func (opts *membersOptions) follow(ctx context.Context, out io.Writer, v membership.View) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	type eventLine struct {
		membership.Event
		AgoS float64 `json:"ago_s"`
	}
	seenCount := v.EventCount
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
		v, err := fetchView(ctx, opts.from)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for i := max(0, len(v.Events)-(v.EventCount-seenCount)); i < len(v.Events); i++ {
			e := eventLine{v.Events[i], v.EventAgesS[i]}
			if opts.asJSON {
				if err := json.NewEncoder(out).Encode(e); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(out, "%s  %s %s (incarnation %d): %s\n", time.Now().Add(-time.Duration(e.AgoS*float64(time.Second))).Format(time.TimeOnly), e.Name, e.Status, e.Incarnation, e.Reason)
		}
		seenCount = v.EventCount
	}
}

// compareViews prints the members on which the views of two instances differ.
func (opts *membersOptions) compareViews(cmd *cobra.Command) error {
	if len(opts.diff) != 2 {
		return errors.New("--diff takes two addresses: A,B")
	}
	a, err := fetchView(cmd.Context(), opts.diff[0])
	if err != nil {
		return err
	}
	b, err := fetchView(cmd.Context(), opts.diff[1])
	if err != nil {
		return err
	}
	rows := membership.Diff(a, b)
	out := cmd.OutOrStdout()
	if opts.asJSON {
		err = json.NewEncoder(out).Encode(map[string]any{"same": len(rows) == 0, "digests": []string{a.Digest, b.Digest}, "rows": rows})
	} else if len(rows) == 0 {
		_, err = fmt.Fprintf(out, "%s and %s know the same %d, digest %s\n", a.Self, b.Self, a.Size, a.Digest)
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "NAME\tBIRTH\tAT %s\tAT %s\n", a.Self, b.Self)
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Name, r.ID, r.A, r.B)
		}
		err = w.Flush()
	}
	if err == nil && len(rows) > 0 {
		err = &exitError{exitViewsDiffer, fmt.Errorf("members: %d differ", len(rows))}
	}
	return err
}
