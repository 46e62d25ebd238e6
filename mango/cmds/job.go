package cmds

import (
	"context"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mangowing/mango/jobs"
	"mangowing/mango/show"
)

// Jobs is what the commands ask of the callers' API.
type Jobs interface {
	Submit(ctx context.Context, queue string, spec []byte) (jobs.Job, error)
	Status(ctx context.Context, id string) (jobs.Job, error)
	Cancel(ctx context.Context, id string) (jobs.Job, error)
}

func (s *Shell) jobCommand() *cobra.Command {
	cmd := group("job", "Hand in, watch and cancel long jobs with a team's key (no gate serves them yet)", s.jobSubmitCommand(),
		s.jobByIDCommand("status", "Show the state of a job", Jobs.Status),
		s.jobByIDCommand("cancel", "Cancel a job; cancelling it again changes nothing", Jobs.Cancel))
	cmd.PersistentFlags().StringSliceVar(&s.flags.callers, "callers", nil, "caller addresses of gates or of the balancer, host:port")
	cmd.PersistentFlags().StringVar(&s.flags.teamKey, "team-key-file", "", "file with the team's key")
	return cmd
}

func (s *Shell) jobSubmitCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "submit QUEUE FILE",
		Short:   "Hand in a job; FILE holds what the worker is told, - reads it from the input",
		Example: "  mango job submit reprints order-7.json --team-key-file reprints.key",
		Args:    exactArgs("QUEUE", "FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := s.jobs()
			if err != nil {
				return err
			}
			spec, err := s.readInput(args[1])
			if err != nil {
				return usagef("%s", err)
			}
			return s.printJob(client.Submit(cmd.Context(), args[0], spec))
		},
	}
}

func (s *Shell) readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.spec.In)
	}
	return os.ReadFile(path)
}

func (s *Shell) jobByIDCommand(name, short string, call func(Jobs, context.Context, string) (jobs.Job, error)) *cobra.Command {
	return &cobra.Command{
		Use:     name + " JOB",
		Short:   short,
		Example: "  mango job " + name + " 7XQ2 --team-key-file reprints.key",
		Args:    exactArgs("JOB"),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := s.jobs()
			if err != nil {
				return err
			}
			return s.printJob(call(client, cmd.Context(), args[0]))
		},
	}
}

func (s *Shell) printJob(j jobs.Job, err error) error {
	if err != nil {
		return err
	}
	return s.print(show.NewJob(j))
}
