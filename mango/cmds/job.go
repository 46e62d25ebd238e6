package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mangowing/mango/jobs"
	"mangowing/mango/show"
	"mangowing/mango/trace"
)

// JobAPI is the part of the callers' API that the commands call.
type JobAPI interface {
	Submit(ctx context.Context, queue string, spec []byte) (jobs.Job, error)
	Status(ctx context.Context, id string) (jobs.Job, error)
	Cancel(ctx context.Context, id string) (jobs.Job, error)
}

func (c *CLI) jobCommand() *cobra.Command {
	cmd := commandGroup("job", "Hand in, watch and cancel long jobs with a team's key (no gate serves them yet)", c.jobSubmitCommand(),
		c.jobByIDCommand("status", "Show the state of a job", JobAPI.Status),
		c.jobByIDCommand("cancel", "Cancel a job; cancelling it again changes nothing", JobAPI.Cancel),
		c.jobTimelineCommand())
	cmd.PersistentFlags().StringSliceVar(&c.flags.callerAddresses, "callers", nil, "caller addresses of gates or of the balancer, host:port")
	cmd.PersistentFlags().StringVar(&c.flags.teamKeyFile, "team-key-file", "", "file with the team's key")
	return cmd
}

func (c *CLI) jobSubmitCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "submit QUEUE FILE",
		Short:   "Hand in a job; FILE holds what the worker is told, - reads it from the input",
		Example: "  mango job submit reprints order-7.json --team-key-file reprints.key",
		Args:    exactArgs("QUEUE", "FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.jobClient()
			if err != nil {
				return err
			}
			spec, err := c.readInput(args[1])
			if err != nil {
				return usagef("%s", err)
			}
			return c.printJob(client.Submit(cmd.Context(), args[0], spec))
		},
	}
}

func (c *CLI) jobTimelineCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "timeline ID LOG...",
		Short:   "Show what gates' logs say of a job on the platform, in order of time; - reads the input",
		Example: "  mango job timeline 5c0e7a21d94b36f8 gate-1.log gate-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []trace.Line
			for _, file := range args[1:] {
				log, err := c.readInput(file)
				if err != nil {
					return usagef("%s", err)
				}
				found, err := trace.Read(bytes.NewReader(log), args[0])
				if err != nil {
					return usagef("%s: %s", file, err)
				}
				lines = append(lines, found...)
			}
			trace.Sort(lines)
			for _, l := range lines {
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %-16s %-18s %s\n", l.At(), l.Process(), l.Message(), l.Details())
			}
			return nil
		},
	}
}

func (c *CLI) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(c.options.In)
	}
	return os.ReadFile(path)
}

func (c *CLI) jobByIDCommand(action, short string, call func(JobAPI, context.Context, string) (jobs.Job, error)) *cobra.Command {
	return &cobra.Command{
		Use:     action + " JOB",
		Short:   short,
		Example: "  mango job " + action + " 7XQ2 --team-key-file reprints.key",
		Args:    exactArgs("JOB"),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.jobClient()
			if err != nil {
				return err
			}
			return c.printJob(call(client, cmd.Context(), args[0]))
		},
	}
}

func (c *CLI) printJob(j jobs.Job, err error) error {
	if err != nil {
		return err
	}
	return c.print(show.NewJob(j))
}
