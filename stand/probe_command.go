package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mangowing/stand/load"
)

func probeCommand() *cobra.Command {
	probe := load.Probe{}
	var keyFile string
	cmd := &cobra.Command{
		Use:   "probe",
		Short: "Wait until every gate is ready, or answers a request on a queue with an expected code",
		Example: "  stand probe --gates 127.0.0.1:7101,127.0.0.1:7102\n" +
			"  stand probe --gates 127.0.0.1:7101 --queue quotes --key-file run/key --expect 104 --within 5s",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if keyFile != "" {
				key, err := load.ReadKey(keyFile)
				if err != nil {
					return &settingsError{err}
				}
				probe.Key = key
			}
			took, err := probe.Run(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d gates as expected after %d ms\n", len(probe.Gates), took.Milliseconds())
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&probe.Gates, "gates", nil, "the gates' addresses for callers")
	cmd.Flags().StringVar(&probe.Queue, "queue", "", "the queue to send a request to, empty to ask for readiness")
	cmd.Flags().StringVar(&keyFile, "key-file", "", "the file of the key that comes with the request")
	cmd.Flags().IntVar(&probe.Expect, "expect", 0, "the code that the request should get")
	cmd.Flags().DurationVar(&probe.Within, "within", 10*time.Second, "how long to go on asking")
	return cmd
}
