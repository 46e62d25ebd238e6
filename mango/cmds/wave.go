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

const wavePoll = 500 * time.Millisecond

type waves interface {
	Waves(ctx context.Context) ([]opsapi.WaveRow, error)
	StepWave(ctx context.Context, wave, step string) (opsapi.Result, error)
}

func (s *CLI) waveCommand() *cobra.Command {
	return group("wave", "Plan, drive and watch maintenance waves",
		s.wavePlanCommand(),
		s.waveStepCommand("start", "Start a wave; a wave that ended before starts anew"),
		s.waveStepCommand("pause", "Pause a wave: no further VM goes out, those that are out come back"),
		s.waveStepCommand("resume", "Resume a paused wave"),
		s.waveStepCommand("cancel", "Cancel a wave"),
		s.waveStatusCommand())
}

func (s *CLI) waveStepCommand(step, short string) *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:     step + " NAME",
		Short:   short,
		Example: "  mango wave " + step + " maintenance",
		Args:    exactArgs("NAME"),
		RunE: s.withOperators(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			if err := s.printResult(ops.StepWave(cmd.Context(), args[0], step)); err != nil || !follow {
				return err
			}
			return s.followWave(cmd.Context(), ops, args[0])
		}),
	}
	if step == "start" || step == "resume" {
		cmd.Flags().BoolVarP(&follow, "follow", "f", false, "show the progress until the wave is done, paused or cancelled")
	}
	return cmd
}

func (s *CLI) waveStatusCommand() *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:     "status [NAME]",
		Short:   "Show the progress of all waves, or of one",
		Example: "  mango wave status\n  mango wave status maintenance -f",
		Args:    atMostOne("NAME"),
		RunE: s.withOperators(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			if follow && len(args) == 0 {
				return usagef("mango wave status: --follow needs a wave's name")
			}
			if follow {
				return s.followWave(cmd.Context(), ops, args[0])
			}
			return s.printWaves(cmd.Context(), ops, args)
		}),
	}
	cmd.Flags().BoolVarP(&follow, "follow", "f", false, "show the progress until the wave is done, paused or cancelled")
	return cmd
}

func (s *CLI) printWaves(ctx context.Context, ops waves, args []string) error {
	rows, err := ops.Waves(ctx)
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return s.print(show.NewWaves(rows))
	}
	row, err := findWave(rows, args[0])
	if err != nil {
		return err
	}
	return s.print(show.NewWaves([]opsapi.WaveRow{row}))
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

// followWave shows the wave's progress until it ends: one line redrawn on a terminal, else one line for each change.
func (s *CLI) followWave(ctx context.Context, ops waves, name string) error {
	ticks := time.NewTicker(wavePoll)
	defer ticks.Stop()
	last := ""
	for {
		rows, err := ops.Waves(ctx)
		if err != nil {
			return err
		}
		row, err := findWave(rows, name)
		if err != nil {
			return err
		}
		if last, err = s.progress(row, last); err != nil {
			return err
		}
		if row.State() != "running" {
			return s.endProgress()
		}
		select {
		case <-ctx.Done():
			return s.endProgress()
		case <-ticks.C:
		}
	}
}

func (s *CLI) progress(row opsapi.WaveRow, last string) (string, error) {
	line := show.ProgressLine(row)
	switch {
	case s.output == outputJSON:
		return line, s.print(show.NewWaves([]opsapi.WaveRow{row}))
	case s.spec.Terminal:
		_, err := fmt.Fprintf(s.spec.Out, "\r\x1b[K%s", show.ProgressBar(row))
		return line, err
	case line == last:
		return line, nil
	default:
		_, err := fmt.Fprintln(s.spec.Out, line)
		return line, err
	}
}

func (s *CLI) endProgress() error {
	if !s.spec.Terminal || s.output == outputJSON {
		return nil
	}
	_, err := fmt.Fprintln(s.spec.Out)
	return err
}

func (s *CLI) wavePlanCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan NAME",
		Short: "Show what a declared wave may do as the fleet stands now",
		Long: `Plan counts, for each pool that the wave covers, how many VMs may go out at once: those that serve, less the
larger of the pool's and the wave's minimum, and at most the wave's pace. Nothing is changed.`,
		Example: "  mango wave plan maintenance",
		Args:    exactArgs("NAME"),
		RunE: s.withOperators(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return s.planWave(cmd.Context(), ops, ops, args[0])
		}),
	}
}

func (s *CLI) planWave(ctx context.Context, declared declarations, machines fleet, name string) error {
	answer, err := declared.Objects(ctx)
	if err != nil {
		return err
	}
	cfg, faults := decl.Compile(answer.Objects())
	if len(faults) > 0 {
		return &faultsError{"the declarations in force don't compile here: " + faults[0].String()}
	}
	wave, ok := cfg.Wave(name)
	if !ok {
		return unknownName("wave", name, cfg.Waves())
	}
	status, err := machines.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(show.NewWavePlan(name, wave.FrozenAt(ofDay(s.spec.Now())), planRows(wave, status)))
}

func ofDay(now time.Time) time.Duration {
	now = now.UTC()
	return now.Sub(now.Truncate(24 * time.Hour))
}

func planRows(wave decl.Wave, status opsapi.Status) []show.PlanRow {
	var rows []show.PlanRow
	for _, pool := range status.Pools() {
		if !wave.Covers(pool.Name()) {
			continue
		}
		must := max(pool.MinServing(), wave.MinServing())
		may := max(0, min(wave.Pace(), pool.Serving()-must))
		rows = append(rows, show.PlanRow{
			Pool: pool.Name(), VMs: len(pool.VMs()), Serving: pool.Serving(), RequiredServing: must, MaxOut: may,
			Racks: racks(pool), MinSteps: leastSteps(pool, may),
		})
	}
	return rows
}

func racks(pool opsapi.PoolRow) int { return len(byRack(pool)) }

func byRack(pool opsapi.PoolRow) map[string]int {
	count := map[string]int{}
	for _, vm := range pool.VMs() {
		count[vm.DataCentre()+"/"+vm.Rack()]++
	}
	return count
}

// leastSteps returns how many groups go out one after the other if only one rack is out at a time, 0 if none may go out.
func leastSteps(pool opsapi.PoolRow, may int) int {
	if may == 0 {
		return 0
	}
	steps := 0
	for _, n := range byRack(pool) {
		steps += (n + may - 1) / may
	}
	return steps
}
