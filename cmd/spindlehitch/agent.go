package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/process/config"
)

func agentCommand() *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run one of the agents that keep the instances' configurations",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.ReadAgent(operator)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return runAgent(ctx, cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operator, "operator", "deploy/agent.toml", "the operator's file (TOML) with the agents")
	return cmd
}

// runAgent runs an agent until ctx is cancelled or its HTTP server fails.
func runAgent(ctx context.Context, cfg *config.Agent, log *slog.Logger) error {
	l, err := net.Listen("tcp", cfg.API())
	if err != nil {
		return fmt.Errorf("agent.peer.api: %w", err)
	}
	a, err := agent.Start(agent.Options{ID: cfg.ID, Dir: cfg.Dir, Peers: cfg.Peers, Log: log, ValidateConfig: validateConfig, StartContext: ctx})
	if err != nil {
		l.Close()
		return err
	}
	log.Info("agent up", slog.String("id", cfg.ID), slog.String("listen", cfg.API()))
	serveErr := make(chan error, 1)
	go func() { serveErr <- a.Serve(l) }()
	select {
	case err := <-serveErr:
		_ = a.Stop()
		return err
	case <-ctx.Done():
		return a.Stop()
	}
}

// validateConfig returns an error if the named instance could not start with the configuration.
func validateConfig(name string, text []byte) error {
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err == nil && cfg.Name != name {
		err = fmt.Errorf("name: the configuration is %q's, not %q's", cfg.Name, name)
	}
	return err
}

// configCommand groups the commands that read and write instances' configurations.
func configCommand() *cobra.Command {
	client := &agent.Client{}
	cmd := &cobra.Command{Use: "config", Short: "Read and write instances' configurations at the agents"}
	cmd.PersistentFlags().StringSliceVar(&client.Addrs, "agents", []string{"127.0.0.1:7701"}, "where the agents answer")
	printJSON := func(cmd *cobra.Command, v any) error {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	get := &cobra.Command{Use: "get NAME", Short: "Print an instance's configuration", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := client.GetConfig(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return printJSON(cmd, e)
		}}
	list := &cobra.Command{Use: "list", Short: "List the instances and the versions of their configurations", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			versions, err := client.ListConfigs(cmd.Context())
			if err != nil {
				return err
			}
			names := make([]string, 0, len(versions))
			for name := range versions {
				names = append(names, name)
			}
			slices.Sort(names)
			for _, name := range names {
				fmt.Fprintf(cmd.OutOrStdout(), "%s\t%d\n", name, versions[name])
			}
			return nil
		}}
	var ifVersion int64
	write := func(cmd *cobra.Command, name string, text []byte) error {
		condition := ""
		if ifVersion >= 0 {
			condition = strconv.FormatInt(ifVersion, 10)
		}
		e, err := client.PutConfig(cmd.Context(), name, text, condition)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s\t%d\n", e.Name, e.Version)
		return nil
	}
	put := &cobra.Command{Use: "put NAME FILE", Short: "Write an instance's configuration (FILE - is standard input)", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(cmd, args[1])
			if err != nil {
				return err
			}
			if err := validateConfig(args[0], text); err != nil {
				return err
			}
			return write(cmd, args[0], text)
		}}
	remove := &cobra.Command{Use: "delete NAME", Short: "Take an instance's configuration away; one that runs goes on", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return write(cmd, args[0], nil) }}
	for _, c := range []*cobra.Command{put, remove} {
		c.Flags().Int64Var(&ifVersion, "if-version", -1, "only over this version; 0: only where there is none yet")
	}
	status := &cobra.Command{Use: "status", Short: "Show each agent's state and leader", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, s := range client.Status(cmd.Context()) {
				fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\tleader=%s\tapplied=%d\n", s.ID, s.State, s.Leader, s.Applied)
			}
			return nil
		}}
	cmd.AddCommand(get, list, put, remove, status)
	return cmd
}

func readInput(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(name)
}
