package cmds

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/core/record"
	"mangowing/mango/delta"
	"mangowing/mango/gates"
	"mangowing/mango/opsapi"
	"mangowing/mango/show"
)

type declarationAPI interface {
	Objects(ctx context.Context) (opsapi.Declarations, error)
	Change(ctx context.Context, objects []record.Object, note string) (opsapi.Result, error)
	History(ctx context.Context) ([]opsapi.HistoryRow, error)
}

func (c *CLI) applyCommand() *cobra.Command {
	var note string
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Bring the fleet to the declarations in a directory, all of them or none",
		Long: `Apply sends the sections that differ from those in force, removed ones included, as one change. It returns
once the change is in force at every gate that was asked, and says which gate was last.

If a section was changed by someone else meanwhile, nothing changes and the exit code is 4.`,
		Example: "  mango apply deploy/vlnka --note \"raise the plant floor's share\"",
		Args:    exactArgs("DIR"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return c.apply(cmd.Context(), ops, args[0], note)
		}),
	}
	cmd.Flags().StringVar(&note, "note", "", "a note for the history")
	return cmd
}

func (c *CLI) apply(ctx context.Context, ops declarationAPI, dir, note string) error {
	differences, err := compareWithDirectory(ctx, ops, dir)
	if err != nil {
		return err
	}
	if len(differences) == 0 {
		return c.print(show.Message("nothing to change"))
	}
	var changed []record.Object
	for _, d := range differences {
		changed = append(changed, d.Change())
	}
	result, err := ops.Change(ctx, changed, note)
	return c.printResult(result, addAcceptedChange(ctx, ops, err))
}

func compareWithDirectory(ctx context.Context, ops declarationAPI, dir string) ([]delta.Difference, error) {
	declared, err := readValidated(dir)
	if err != nil {
		return nil, err
	}
	inForce, err := ops.Objects(ctx)
	if err != nil {
		return nil, err
	}
	return delta.Compare(inForce.Objects(), declared), nil
}

// readValidated returns a directory's sections, or an error that lists every fault with its file and line.
func readValidated(dir string) ([]record.Object, error) {
	objects, err := decl.ReadDirectory(dir)
	if err != nil {
		return nil, &localRefusalError{err.Error()}
	}
	origins, err := decl.ReadPositions(dir)
	if err != nil {
		return nil, &localRefusalError{err.Error()}
	}
	return objects, validate(objects, origins)
}

func validate(objects []record.Object, origins decl.Positions) error {
	_, faults := decl.Compile(objects)
	if len(faults) == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("%d faults, nothing was changed", len(faults))}
	for _, f := range faults {
		lines = append(lines, strings.TrimRight("  "+origins.Of(f), " ")+"  "+f.String())
	}
	return &localRefusalError{strings.Join(lines, "\n")}
}

// conflictError reports that another operator's change was accepted first.
type conflictError struct {
	refused  *gates.RefusedError
	accepted opsapi.HistoryRow
}

func (c *conflictError) Error() string {
	return fmt.Sprintf("%s\n  %s was first at revision %d (%s); look at mango diff, then apply again",
		c.refused, c.accepted.Operator(), c.accepted.Revision(), noteOr(c.accepted.Note(), "no note"))
}

func (c *conflictError) Unwrap() error { return c.refused }

func noteOr(note, fallback string) string {
	if note == "" {
		return fallback
	}
	return note
}

// addAcceptedChange adds the latest accepted change to a revision conflict. Other errors are returned as they are.
func addAcceptedChange(ctx context.Context, ops declarationAPI, err error) error {
	var refused *gates.RefusedError
	if !errors.As(err, &refused) || refused.Result().Code() != codes.RevisionConflict {
		return err
	}
	rows, historyErr := ops.History(ctx)
	if historyErr != nil {
		return err
	}
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].Code() == codes.OK {
			return &conflictError{refused, rows[i]}
		}
	}
	return err
}

func (c *CLI) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff DIR",
		Short:   "Show how a directory differs from the declarations in force",
		Example: "  mango diff deploy/vlnka\n  mango diff deploy/vlnka --output json",
		Args:    exactArgs("DIR"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			differences, err := compareWithDirectory(cmd.Context(), ops, args[0])
			if err != nil {
				return err
			}
			return c.print(show.NewDifferences(differences))
		}),
	}
}

func (c *CLI) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate DIR",
		Short:   "Check a directory without asking a gate",
		Example: "  mango validate deploy/hessian",
		Args:    exactArgs("DIR"),
		RunE: func(_ *cobra.Command, args []string) error {
			objects, err := readValidated(args[0])
			if err != nil {
				return err
			}
			return c.print(show.Message(fmt.Sprintf("%s: %d sections, no fault", args[0], len(objects))))
		},
	}
}

func (c *CLI) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the last changes, accepted and refused",
		Example: "  mango history",
		Args:    exactArgs(),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			rows, err := ops.History(cmd.Context())
			if err != nil {
				return err
			}
			return c.print(show.NewHistory(rows))
		}),
	}
}

// exactArgs requires one argument for each of the expected names.
func exactArgs(expected ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(expected) {
			return nil
		}
		return usagef("%s: expected %s, got %d arguments", cmd.CommandPath(), strings.Join(orNone(expected), " "), len(args))
	}
}

func orNone(names []string) []string {
	if len(names) == 0 {
		return []string{"no arguments"}
	}
	return names
}
