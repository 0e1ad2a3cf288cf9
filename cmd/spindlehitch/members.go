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

// exitDiffer is the exit code where two views that were compared are not the same.
const exitDiffer = 5

// membersOf is what flags of members say beside those of the fleet.
type membersOf struct {
	from         string
	diff         []string
	links, watch bool
	form         bool
}

func membersCommand() *cobra.Command {
	var f fleetFlags
	var of membersOf
	cmd := &cobra.Command{Use: "members", Short: "List the processes that have a seat in the fleet, or what an instance knows of the others", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			of.form = f.json
			switch {
			case len(of.diff) > 0:
				return of.compare(cmd)
			case of.from != "":
				return of.show(cmd)
			case of.links || of.watch:
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
						seen = ms(m.LastSeenMs) + " ago"
					}
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Incarnation, m.Liveness, seen, v.Agent, ms(m.SessionTTLMs), m.Addr, m.ConfigVersion, m.ID)
				}
				fmt.Fprintf(w, "%d of %d seats\n", len(v.Members), v.QuotaConfig.MaxSessions)
			})
		}}
	f.add(cmd)
	cmd.Flags().StringVar(&of.from, "from", "", "the second address of an instance: what that one knows of all others")
	cmd.Flags().BoolVar(&of.links, "links", false, "with --from: which ways are cut, and who says so")
	cmd.Flags().BoolVar(&of.watch, "watch", false, "with --from: changes as they come, until interrupted")
	cmd.Flags().StringSliceVar(&of.diff, "diff", nil, "two second addresses, A,B: what the two know otherwise; exit code 5 where there is something")
	return cmd
}

// viewOf asks an instance for its view.
func viewOf(ctx context.Context, addr string) (v membership.View, err error) {
	ctx, done := context.WithTimeout(ctx, 2*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/members", nil)
	if err != nil {
		return v, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, &exit{exitSilent, fmt.Errorf("members: %w", err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return v, fmt.Errorf("members: the instance at %s keeps no view: its operator's file has no [fleet.members]", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("members: %s answers %s", addr, resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

func (of *membersOf) show(cmd *cobra.Command) error {
	v, err := viewOf(cmd.Context(), of.from)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case of.watch:
		return of.follow(cmd.Context(), out, v)
	case of.form && of.links:
		return json.NewEncoder(out).Encode(v.Paths)
	case of.form:
		return json.NewEncoder(out).Encode(v)
	case of.links:
		return writeWays(out, v)
	}
	return writeView(out, v)
}

func writeView(out io.Writer, v membership.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tZONE\tHEARD\tSINCE\tINCARNATION\tLOAD\tADDRESS\tBIRTH\tWHY")
	for _, m := range v.Members {
		heard := "never"
		switch {
		case m.Self:
			heard = "itself"
		case m.LastHeardS >= 0:
			heard = seconds(m.LastHeardS) + " ago"
		}
		why := m.Reason
		if m.State == membership.StateSuspect {
			why += ", at most " + seconds(m.DeadlineS) + " more"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", m.Name, m.State, m.Zone, heard, seconds(m.SinceS), m.Incarnation, m.Load, m.Addr, m.ID, why)
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

func seconds(s float64) string {
	return (time.Duration(s*1000) * time.Millisecond).Round(10 * time.Millisecond).String()
}

func writeWays(out io.Writer, v membership.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tTO\tWHAT\tTOLD\tTIMES\tBY")
	for _, x := range v.Paths {
		from, to := x.From, x.To
		if x.BetweenZones {
			from, to = "zone "+from, "zone "+to
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%d\t%s\n", from, to, x.Kind, seconds(x.AgoS), x.Count, strings.Join(x.Observers, ", "))
	}
	return w.Flush()
}

// follow writes changes of a view as they come.
func (of *membersOf) follow(ctx context.Context, out io.Writer, v membership.View) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	type change struct {
		membership.Event
		AgoS float64 `json:"ago_s"`
	}
	seen := v.EventCount
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
		v, err := viewOf(ctx, of.from)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for i := max(0, len(v.Events)-(v.EventCount-seen)); i < len(v.Events); i++ {
			e := change{v.Events[i], v.EventAgesS[i]}
			if of.form {
				if err := json.NewEncoder(out).Encode(e); err != nil {
					return err
				}
				continue
			}
			fmt.Fprintf(out, "%s  %s %s (incarnation %d): %s\n", time.Now().Add(-time.Duration(e.AgoS*float64(time.Second))).Format(time.TimeOnly), e.Name, e.Status, e.Incarnation, e.Reason)
		}
		seen = v.EventCount
	}
}

// compare tells what two views have otherwise.
func (of *membersOf) compare(cmd *cobra.Command) error {
	if len(of.diff) != 2 {
		return errors.New("--diff takes two addresses: A,B")
	}
	a, err := viewOf(cmd.Context(), of.diff[0])
	if err != nil {
		return err
	}
	b, err := viewOf(cmd.Context(), of.diff[1])
	if err != nil {
		return err
	}
	rows := membership.Diff(a, b)
	out := cmd.OutOrStdout()
	if of.form {
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
		err = &exit{exitDiffer, fmt.Errorf("members: %d differ", len(rows))}
	}
	return err
}
