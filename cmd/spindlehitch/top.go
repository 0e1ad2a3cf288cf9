package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"spindlehitch/internal/observability/accounts"
)

func topCommand() *cobra.Command {
	var instances []string
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Show live which volumes wait, and behind what",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(instances) == 0 {
				return errors.New("top: --instances is required")
			}
			_, err := tea.NewProgram(topModel{instances: instances, interval: max(interval, 100*time.Millisecond), height: 24},
				tea.WithInput(cmd.InOrStdin()), tea.WithOutput(cmd.OutOrStdout()), tea.WithContext(cmd.Context())).Run()
			return err
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instances", nil, "addresses at which running instances tell their accounts")
	cmd.Flags().DurationVar(&interval, "every", time.Second, "how often they are asked")
	return cmd
}

// topModel is the Bubble Tea model of the screen.
type topModel struct {
	instances []string
	interval  time.Duration
	height    int
	order     int // index into sortOrders
	report    accounts.Report
	failed    []string // instances that failed to respond, with their errors
}

// sortOrders are the sort keys of the volume list, in descending order of value.
var sortOrders = []struct {
	name  string
	value func(accounts.Row) float64
}{
	{"waiting", func(r accounts.Row) float64 { return r.LimitWait }},
	{"p99", func(r accounts.Row) float64 { return r.P99 }},
	{"requests", func(r accounts.Row) float64 { return float64(r.Requests) }},
	{"still nodes", func(r accounts.Row) float64 { return r.Stalled }},
}

// refreshMsg is the result of polling all instances.
type refreshMsg struct {
	report accounts.Report
	failed []string
}

// refresh polls the instances and merges the accounts of those that respond into one report.
func (t topModel) refresh() tea.Msg {
	var msg refreshMsg
	var snapshots []accounts.Snapshot
	for _, addr := range t.instances {
		s, err := fetchSnapshot(addr)
		if err != nil {
			msg.failed = append(msg.failed, fmt.Sprintf("%s: %v", addr, err))
			continue
		}
		snapshots = append(snapshots, s)
	}
	merged, err := accounts.Merge(snapshots...)
	if err == nil {
		msg.report, err = accounts.NewReport(merged, "")
	}
	if err != nil {
		msg.failed = append(msg.failed, err.Error())
	}
	return msg
}

func (t topModel) Init() tea.Cmd { return t.refresh }

func (t topModel) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case refreshMsg:
		t.report, t.failed = m.report, m.failed
		return t, tea.Tick(t.interval, func(time.Time) tea.Msg { return t.refresh() })
	case tea.WindowSizeMsg:
		t.height = m.Height
	case tea.KeyPressMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return t, tea.Quit
		case "o", "space":
			t.order = (t.order + 1) % len(sortOrders)
		}
	}
	return t, nil
}

func (t topModel) View() tea.View {
	v := tea.NewView(t.render())
	v.AltScreen = true
	return v
}

// render returns the screen's text: as many sorted volumes as fit, and the instances that failed to respond.
func (t topModel) render() string {
	var b strings.Builder
	r, order := t.report, sortOrders[t.order]
	rows := slices.Clone(r.Volumes)
	slices.SortStableFunc(rows, func(x, y accounts.Row) int { return cmp.Compare(order.value(y), order.value(x)) })
	const reservedLines = 8 // lines other than volume rows
	hidden := max(0, len(rows)-max(1, t.height-reservedLines-len(t.failed)))
	r.Volumes = rows[:len(rows)-hidden]
	fmt.Fprintf(&b, "volumes by %s (o: other order, q: quit)\n", order.name)
	if len(r.Instances) > 0 {
		r.Targets = nil
		if err := r.Text(&b); err != nil {
			fmt.Fprintln(&b, err)
		}
	}
	if hidden > 0 {
		fmt.Fprintf(&b, "%d volumes more\n", hidden)
	}
	for _, f := range t.failed {
		fmt.Fprintf(&b, "no answer: %s\n", f)
	}
	return b.String()
}
