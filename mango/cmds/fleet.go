package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"mangowing/core/decl"
	"mangowing/mango/opsapi"
	"mangowing/mango/show"
)

type fleetAPI interface {
	Status(ctx context.Context) (opsapi.Status, error)
	MoveVM(ctx context.Context, vm, pool string) (opsapi.Result, error)
	FenceVM(ctx context.Context, vm string) (opsapi.Result, error)
}

func (c *CLI) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show gates, pools and teams",
		Long: `Status shows the fleet as the answering gate knows it. BEHIND counts log entries that a gate has not taken in;
STALENESS is how long ago it last knew that it had the newest. OF ACTIVE is the team's share among the teams that
have work running, OF RUNNING what it has of all running work.`,
		Example: "  mango status --gates 10.0.0.1:7002,10.0.1.1:7002",
		Args:    exactArgs(),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			status, err := ops.Status(cmd.Context())
			if err != nil {
				return err
			}
			return c.print(show.NewStatus(status))
		}),
	}
}

func (c *CLI) poolCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "pool [NAME]",
		Short:   "List the pools, or the VMs of one pool",
		Example: "  mango pool\n  mango pool quotes",
		Args:    atMostOneArg("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			status, err := ops.Status(cmd.Context())
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return c.print(show.NewPools(status.Pools()))
			}
			return c.printPool(status, args[0])
		}),
	}
}

func (c *CLI) printPool(status opsapi.Status, name string) error {
	var names []string
	for _, p := range status.Pools() {
		if p.Name() == name {
			return c.print(show.NewVMs(p.VMs()))
		}
		names = append(names, p.Name())
	}
	return unknownName("pool", name, names)
}

func unknownName(kind, name string, known []string) error {
	if len(known) == 0 {
		return &localRefusalError{kind + " " + name + " is unknown"}
	}
	return &localRefusalError{kind + " " + name + " is unknown; the nearest known one is " + decl.ClosestMatch(name, known)}
}

func (c *CLI) vmCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "vm [NAME]",
		Short:   "List all VMs, or show one",
		Example: "  mango vm\n  mango vm cz-a-01\n  mango vm fence cz-a-01",
		Args:    atMostOneArg("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			status, err := ops.Status(cmd.Context())
			if err != nil {
				return err
			}
			return c.printVMs(status, args)
		}),
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "fence NAME",
		Short:   "Cut a VM off and end its work, so that it can be replaced elsewhere",
		Example: "  mango vm fence cz-a-01",
		Args:    exactArgs("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return c.printResult(ops.FenceVM(cmd.Context(), args[0]))
		}),
	})
	return cmd
}

func (c *CLI) printVMs(status opsapi.Status, args []string) error {
	var rows []opsapi.VMRow
	var names []string
	for _, p := range status.Pools() {
		for _, vm := range p.VMs() {
			names = append(names, vm.Name())
			if len(args) == 0 || vm.Name() == args[0] {
				rows = append(rows, vm)
			}
		}
	}
	if len(args) > 0 && len(rows) == 0 {
		return unknownName("VM", args[0], names)
	}
	return c.print(show.NewVMs(rows))
}

func (c *CLI) moveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "move VM POOL",
		Short: "Move a VM to another pool",
		Long: `Move begins the move: the VM drains, its gates acknowledge, its work ends, then it changes pools.
"mango vm VM" shows how far it is.`,
		Example: "  mango move cz-a-15 quotes",
		Args:    exactArgs("VM", "POOL"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return c.printResult(ops.MoveVM(cmd.Context(), args[0], args[1]))
		}),
	}
}

func atMostOneArg(name string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) <= 1 {
			return nil
		}
		return usagef("%s: expected at most one %s, got %d arguments", cmd.CommandPath(), name, len(args))
	}
}
