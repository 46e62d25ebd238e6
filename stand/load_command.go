package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"mangowing/core/decl"
	"mangowing/stand/load"
)

// Output formats of a report.
const (
	outputTable = "table"
	outputJSON  = "json"
)

type loadFlags struct {
	gates      []string
	stand      string
	mix        string
	keys       string
	deployment string
	duration   time.Duration
	output     string
}

func loadCommand() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests of several teams through gates and check every outcome against the workers' counts",
		Long: `Sends requests of several teams through gates as callers behind a balancer do, and checks that each answer is
whole and its own, and that nothing was lost, doubled, or said not to have run although it was started.
Exit code 1 if anything of this was found.

The mix is an INI file with a section [stream NAME] for each stream:
  queue = quotes           key-file = NAME      rate = 50 (a second, 0: as fast as answers come)
  concurrency = 10         run-ms = 40          body-bytes = 100     answer-bytes = 100
  repeat = ticket, key or none                  idempotent = yes or no
  timeout = 10s`,
		Example: "  stand load --gates 127.0.0.1:7101,127.0.0.1:7102 --mix run/mix.ini --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runLoad(ctx, flags)
		},
	}
	cmd.Flags().StringSliceVar(&flags.gates, "gates", nil, "the gates' addresses for callers")
	cmd.Flags().StringVar(&flags.stand, "stand", "127.0.0.1:7000", "the stand's platform address")
	cmd.Flags().StringVar(&flags.mix, "mix", "mix.ini", "the file with the streams")
	cmd.Flags().StringVar(&flags.keys, "keys", ".", "the directory of the key files")
	cmd.Flags().StringVar(&flags.deployment, "deployment", "", "a directory of declarations whose teams' limits are checked")
	cmd.Flags().DurationVar(&flags.duration, "duration", 10*time.Second, "how long requests are sent")
	cmd.Flags().StringVar(&flags.output, "output", outputTable, "table or json")
	return cmd
}

func runLoad(ctx context.Context, flags loadFlags) error {
	streams, err := load.ReadMix(flags.mix, flags.keys)
	if err != nil {
		return &settingsError{err}
	}
	cfg, err := readDeployment(flags.deployment)
	if err != nil {
		return &settingsError{err}
	}
	balancer := load.NewBalancer(flags.gates)
	balancer.PollAll(ctx)
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	go balancer.Run(pollCtx)
	results := load.Run(ctx, balancer, streams, flags.duration)
	counts, err := load.ReadCounts(ctx, flags.stand)
	if err != nil {
		return err
	}
	report := load.Check(results, counts, cfg)
	if err := writeReport(report, flags.output); err != nil {
		return err
	}
	if report.Failed() {
		return errCheckFailed
	}
	return nil
}

func readDeployment(dir string) (*decl.Config, error) {
	if dir == "" {
		return decl.Empty(), nil
	}
	objects, err := decl.ReadDirectory(dir)
	if err != nil {
		return nil, err
	}
	cfg, faults := decl.Compile(objects)
	if len(faults) > 0 {
		return nil, eris.Errorf("%s: %s", dir, faults[0])
	}
	return cfg, nil
}

func writeReport(report *load.Report, output string) error {
	if output == outputJSON {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}
