package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mangowing/core/logs"
	"mangowing/stand/serve"
)

// settingsError is a fault in the settings or in a file that they name; the process exits with exitBadSetting.
type settingsError struct {
	cause error
}

// Error returns the cause's text.
func (e *settingsError) Error() string { return e.cause.Error() }

func serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Serve the platform, one worker for each declared VM, fault switches and counts",
		Example: "  stand serve --settings run/stand.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings := serve.DefaultSettings()
			if err := settings.Bind().Load(file); err != nil {
				return &settingsError{err}
			}
			stand, err := serve.New(settings)
			if err != nil {
				return &settingsError{err}
			}
			logs.Setup(os.Stderr, "stand", 0)
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return stand.Run(ctx)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "stand.ini", "the settings file")
	return cmd
}
