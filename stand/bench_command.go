package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"mangowing/stand/bench"
	"mangowing/stand/load"
)

func benchCommand() *cobra.Command {
	var spec bench.Spec
	var keyFile, output string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare gates with a direct client of the same workers, in the same run",
		Long: `Compares gates with a direct client of the same workers in turns: first the throughput with all callers busy, then
the latency at half of the direct throughput.`,
		Example: "  stand bench --workers 127.0.0.1:7200 --gates 127.0.0.1:7101 --queue q --key-file run/key",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := load.ReadKey(keyFile)
			if err != nil {
				return &settingsError{err}
			}
			spec.Key = key
			comparison, err := bench.Compare(cmd.Context(), spec)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return comparison.WriteJSON(os.Stdout)
			}
			return comparison.WriteTable(os.Stdout)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&spec.Workers, "workers", nil, "the workers' addresses for the direct client")
	flags.StringSliceVar(&spec.Gates, "gates", nil, "the gates' addresses for callers")
	flags.StringVar(&spec.Queue, "queue", "bench", "the queue that leads to the same workers")
	flags.StringVar(&keyFile, "key-file", "key", "the file with the team's key")
	flags.IntVar(&spec.Callers, "callers", 48, "requests in flight at most")
	flags.IntVar(&spec.RunMs, "run-ms", 10, "how long a worker takes for a request, in milliseconds")
	flags.IntVar(&spec.BodyBytes, "body-bytes", 200, "size of a request's body")
	flags.IntVar(&spec.AnswerBytes, "answer-bytes", 1000, "size of an answer's body")
	flags.DurationVar(&spec.Duration, "duration", 2*time.Second, "how long each phase lasts")
	flags.StringVar(&output, "output", outputTable, "table or json")
	return cmd
}
