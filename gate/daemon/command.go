package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mangowing/core/logs"
)

// The exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	code := exitOK
	root := &cobra.Command{
		Use:           "gate",
		Short:         "gate serves callers, operators and other gates on one entry VM",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(&code), checkCommand(), referenceCommand())
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return code
}

func serveCommand(code *int) *cobra.Command {
	var path string
	var level int
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "run the gate until SIGTERM, which begins a planned stop; a second one ends it at once",
		Example: "  gate serve --settings gate-1.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings := NewSettings()
			members, err := settings.Load(path)
			if err != nil {
				return err
			}
			logs.Setup(os.Stderr, settings.name, level)
			g, err := assemble(settings, members)
			if err != nil {
				return err
			}
			*code = runUntilSignal(g)
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "settings", "gate.ini", "settings file")
	cmd.Flags().IntVar(&level, "log-level", 0, "0 events, 1 each request, 2 details")
	return cmd
}

func runUntilSignal(g *gate) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- g.run(ctx) }()
	stopped := make(chan struct{})
	go func() {
		<-signals
		go func() {
			g.stop(ctx)
			close(stopped)
		}()
		<-signals
		cancel()
	}()
	select {
	case <-stopped:
		cancel()
		<-done
		return exitOK
	case err := <-done:
		if ctx.Err() != nil {
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check-settings FILE",
		Short:   "check a settings file and start nothing",
		Example: "  gate check-settings gate-1.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := NewSettings().Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
}

func referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "settings-reference",
		Short: "print every setting as a Markdown table",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprint(cmd.OutOrStdout(), NewSettings().Bind().Reference())
		},
	}
}
