package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mangowing/core/decl"
	"mangowing/mango/opsapi"
	"mangowing/mango/show"
)

const wavePollInterval = 500 * time.Millisecond

type waveAPI interface {
	Waves(ctx context.Context) ([]opsapi.WaveRow, error)
	StepWave(ctx context.Context, wave, step string) (opsapi.Result, error)
}

func (c *CLI) waveCommand() *cobra.Command {
	return commandGroup("wave", "Plan, drive and watch maintenance waves",
		c.wavePlanCommand(),
		c.waveStepCommand("start", "Start a wave; a wave that ended before starts anew"),
		c.waveStepCommand("pause", "Pause a wave: no further VM goes out, those that are out come back"),
		c.waveStepCommand("resume", "Resume a paused wave"),
		c.waveStepCommand("cancel", "Cancel a wave"),
		c.waveStatusCommand())
}

func (c *CLI) waveStepCommand(step, short string) *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:     step + " NAME",
		Short:   short,
		Example: "  mango wave " + step + " maintenance",
		Args:    exactArgs("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			if err := c.printResult(ops.StepWave(cmd.Context(), args[0], step)); err != nil || !follow {
				return err
			}
			return c.followWave(cmd.Context(), ops, args[0])
		}),
	}
	if step == "start" || step == "resume" {
		cmd.Flags().BoolVarP(&follow, "follow", "f", false, "show the progress until the wave is done, paused or cancelled")
	}
	return cmd
}

func (c *CLI) waveStatusCommand() *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:     "status [NAME]",
		Short:   "Show the progress of all waves, or of one",
		Example: "  mango wave status\n  mango wave status maintenance -f",
		Args:    atMostOneArg("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			if follow && len(args) == 0 {
				return usagef("mango wave status: --follow needs a wave's name")
			}
			if follow {
				return c.followWave(cmd.Context(), ops, args[0])
			}
			return c.printWaves(cmd.Context(), ops, args)
		}),
	}
	cmd.Flags().BoolVarP(&follow, "follow", "f", false, "show the progress until the wave is done, paused or cancelled")
	return cmd
}

func (c *CLI) printWaves(ctx context.Context, ops waveAPI, args []string) error {
	rows, err := ops.Waves(ctx)
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return c.print(show.NewWaves(rows))
	}
	row, err := findWave(rows, args[0])
	if err != nil {
		return err
	}
	return c.print(show.NewWaves([]opsapi.WaveRow{row}))
}

func findWave(rows []opsapi.WaveRow, name string) (opsapi.WaveRow, error) {
	var names []string
	for _, row := range rows {
		if row.Name() == name {
			return row, nil
		}
		names = append(names, row.Name())
	}
	return opsapi.WaveRow{}, unknownName("wave", name, names)
}

// followWave prints the wave's progress until it stops running: on a terminal it redraws one line, otherwise it prints a
// line for each change.
func (c *CLI) followWave(ctx context.Context, ops waveAPI, name string) error {
	ticker := time.NewTicker(wavePollInterval)
	defer ticker.Stop()
	lastLine := ""
	for {
		rows, err := ops.Waves(ctx)
		if err != nil {
			return err
		}
		row, err := findWave(rows, name)
		if err != nil {
			return err
		}
		if lastLine, err = c.printProgress(row, lastLine); err != nil {
			return err
		}
		if row.State() != "running" {
			return c.finishProgress()
		}
		select {
		case <-ctx.Done():
			return c.finishProgress()
		case <-ticker.C:
		}
	}
}

func (c *CLI) printProgress(row opsapi.WaveRow, lastLine string) (string, error) {
	line := show.ProgressLine(row)
	switch {
	case c.output == outputJSON:
		return line, c.print(show.NewWaves([]opsapi.WaveRow{row}))
	case c.options.Terminal:
		_, err := fmt.Fprintf(c.options.Out, "\r\x1b[K%s", show.ProgressBar(row))
		return line, err
	case line == lastLine:
		return line, nil
	default:
		_, err := fmt.Fprintln(c.options.Out, line)
		return line, err
	}
}

func (c *CLI) finishProgress() error {
	if !c.options.Terminal || c.output == outputJSON {
		return nil
	}
	_, err := fmt.Fprintln(c.options.Out)
	return err
}

func (c *CLI) wavePlanCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan NAME",
		Short: "Show what a declared wave may do as the fleet stands now",
		Long: `Plan counts, for each pool that the wave covers, how many VMs may go out at once: those that serve, less the
larger of the pool's and the wave's minimum, and at most the wave's pace. Nothing is changed.`,
		Example: "  mango wave plan maintenance",
		Args:    exactArgs("NAME"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return c.planWave(cmd.Context(), ops, ops, args[0])
		}),
	}
}

func (c *CLI) planWave(ctx context.Context, declared declarationAPI, fleet fleetAPI, name string) error {
	inForce, err := declared.Objects(ctx)
	if err != nil {
		return err
	}
	cfg, faults := decl.Compile(inForce.Objects())
	if len(faults) > 0 {
		return &localRefusalError{"the declarations in force don't compile here: " + faults[0].String()}
	}
	wave, ok := cfg.Wave(name)
	if !ok {
		return unknownName("wave", name, cfg.Waves())
	}
	status, err := fleet.Status(ctx)
	if err != nil {
		return err
	}
	return c.print(show.NewWavePlan(name, wave.IsFrozenAt(timeOfDay(c.options.Now())), planRows(wave, status)))
}

func timeOfDay(now time.Time) time.Duration {
	now = now.UTC()
	return now.Sub(now.Truncate(24 * time.Hour))
}

func planRows(wave decl.Wave, status opsapi.Status) []show.PlanRow {
	var rows []show.PlanRow
	for _, pool := range status.Pools() {
		if !wave.Covers(pool.Name()) {
			continue
		}
		required := max(pool.MinServing(), wave.MinServing())
		maxOut := max(0, min(wave.MaxUnavailable(), pool.Serving()-required))
		rows = append(rows, show.PlanRow{
			Pool: pool.Name(), VMs: len(pool.VMs()), Serving: pool.Serving(), RequiredServing: required, MaxOut: maxOut,
			Racks: rackCount(pool), MinSteps: minSteps(pool, maxOut),
		})
	}
	return rows
}

func rackCount(pool opsapi.PoolRow) int { return len(vmsByRack(pool)) }

func vmsByRack(pool opsapi.PoolRow) map[string]int {
	count := map[string]int{}
	for _, vm := range pool.VMs() {
		count[vm.DataCentre()+"/"+vm.Rack()]++
	}
	return count
}

// minSteps returns the number of groups that go out one after the other if only one rack is out at a time, or 0 if no VM
// may go out.
func minSteps(pool opsapi.PoolRow, maxOut int) int {
	if maxOut == 0 {
		return 0
	}
	steps := 0
	for _, n := range vmsByRack(pool) {
		steps += (n + maxOut - 1) / maxOut
	}
	return steps
}
