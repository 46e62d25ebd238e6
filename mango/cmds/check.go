package cmds

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mangowing/core/lint"
	"mangowing/mango/show"
)

// ConfigurationForm reads files in the form of the platform on which jobs run. Faults are added to the report; with an error
// there, the result is nil.
type ConfigurationForm interface {
	Config(file string, raw []byte, report *lint.Report) *lint.Configuration
	Wave(file string, raw []byte, report *lint.Report) *lint.Wave
	Machines(file string, raw []byte, report *lint.Report) []lint.Machine
}

// maxInputBytes bounds a file that is checked; gates get configurations of up to some 100,000 bytes.
const maxInputBytes = 4 << 20

// The smallest task that limits are judged by without --task.
const defaultTask = "cpu=100,mem-mb=16,time=100ms"

type checkFlags struct {
	inForce     string
	machines    []string
	waves       []string
	labels      []string
	task        string
	maintenance time.Duration
	slots       int
}

// findingsError reports that a check found something; the findings themselves are printed as the command's result.
type findingsError struct {
	errors   int
	warnings int
}

func (f *findingsError) Error() string {
	return fmt.Sprintf("%s, %s", count(f.errors, "error"), count(f.warnings, "warning"))
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func (f *findingsError) exitCode() int {
	if f.errors > 0 {
		return ExitUsage
	}
	return ExitRefused
}

func (c *CLI) checkCommand() *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use:   "check PATH",
		Short: "Check a configuration before it is sent, and list what it changes",
		Long: `PATH is a directory with declarations, or a file with a configuration in the platform's form ("-" reads the
standard input). No gate is asked. Each finding has a file, a line and the name of a rule. With --in-force the changes are
listed too, those that callers notice most first: removed, redirected, tightened, altered, loosened, added. What is
removed has its place in the version in force.

Exit codes: 0 no finding, whatever changes; 1 warnings only; 2 errors, or wrong usage.`,
		Example: "  mango check config.json --in-force config-41.json --machines machines.json\n" +
			"  mango check config.json --wave wave-7.json --machines machines.json --maintenance 5s --label plan/gpu\n" +
			"  mango check deploy/vlnka --in-force ../released/vlnka --slots 8 --output json",
		Args: exactArgs("PATH"),
		ValidArgsFunction: func(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
			if len(args) > 0 {
				return nil, cobra.ShellCompDirectiveNoFileComp
			}
			return nil, cobra.ShellCompDirectiveDefault
		},
		RunE: func(_ *cobra.Command, args []string) error { return c.check(args[0], flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.inForce, "in-force", "", "the version in force, a path of the same kind")
	f.StringArrayVar(&flags.machines, "machines", nil, "file with the platform's list of machines, one for each page")
	f.StringArrayVar(&flags.waves, "wave", nil, "file with a wave; may be repeated")
	f.StringArrayVar(&flags.labels, "label", nil, "label that jobs ask for, LABEL or POOL/LABEL; may be repeated")
	f.StringVar(&flags.task, "task", defaultTask, "smallest task that a limit must hold: thousandths of a core, MB, GPUs (gpu=) and run time")
	f.DurationVar(&flags.maintenance, "maintenance", 0, "how long a machine is away for maintenance, 0 if unknown")
	f.IntVar(&flags.slots, "slots", 0, "for declarations: requests that a VM runs at once, 0 if unknown")
	for _, name := range []string{"label", "task", "maintenance", "slots"} {
		_ = cmd.RegisterFlagCompletionFunc(name, cobra.NoFileCompletions)
	}
	return cmd
}

func (c *CLI) check(path string, flags checkFlags) error {
	isDirectory, err := c.isDirectory(path)
	if err != nil {
		return err
	}
	if flags.inForce != "" {
		isInForceDirectory, err := c.isDirectory(flags.inForce)
		if err != nil {
			return err
		}
		if isDirectory != isInForceDirectory {
			return usagef("--in-force %s: expected a path of the same kind as %s", flags.inForce, path)
		}
	}
	report := &lint.Report{}
	var changes []lint.Change
	if isDirectory {
		changes, err = checkDeclarations(path, flags, report)
	} else {
		report, changes, err = c.checkConfiguration(path, flags)
	}
	if err != nil {
		return err
	}
	if err := c.print(show.NewFindings(report, changes, flags.inForce != "")); err != nil {
		return err
	}
	if report.Errors()+report.Warnings() > 0 {
		return &findingsError{report.Errors(), report.Warnings()}
	}
	return nil
}

func (c *CLI) isDirectory(path string) (bool, error) {
	if path == "-" {
		return false, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return false, usagef("%v", err)
	}
	return info.IsDir(), nil
}

func checkDeclarations(dir string, flags checkFlags, report *lint.Report) ([]lint.Change, error) {
	if len(flags.machines)+len(flags.waves)+len(flags.labels) > 0 || flags.maintenance != 0 || flags.task != defaultTask {
		return nil, usagef("--machines, --wave, --label, --task and --maintenance apply to a file, but %s is a directory", dir)
	}
	next, ok := lint.ReadDeclarations(dir, report)
	if !ok {
		return nil, nil
	}
	lint.CheckDeclarations(report, next, lint.Context{SlotsPerVM: flags.slots})
	if flags.inForce == "" {
		return nil, nil
	}
	inForce, ok := lint.ReadDeclarations(flags.inForce, report)
	if !ok {
		return nil, nil
	}
	return lint.CompareDeclarations(inForce, next), nil
}

func (c *CLI) checkConfiguration(path string, flags checkFlags) (*lint.Report, []lint.Change, error) {
	if flags.slots != 0 {
		return nil, nil, usagef("--slots applies to a directory, but %s is a file", path)
	}
	report := &lint.Report{}
	known, err := c.readContext(flags, report)
	if err != nil {
		return nil, nil, err
	}
	next, err := c.readConfiguration(path, report)
	if err != nil {
		return nil, nil, err
	}
	if next != nil {
		lint.Check(report, next, known)
	}
	if flags.inForce == "" {
		return report, nil, nil
	}
	// What is doubtful in the version in force is no finding about the next one.
	faults := &lint.Report{}
	inForce, err := c.readConfiguration(flags.inForce, faults)
	switch {
	case err != nil:
		return nil, nil, err
	case inForce == nil:
		report.AddErrors(faults)
		return report, nil, nil
	case next == nil:
		return report, nil, nil
	}
	lint.CheckOrder(report, inForce, next)
	return report, lint.Compare(inForce, next), nil
}

func (c *CLI) readConfiguration(path string, report *lint.Report) (*lint.Configuration, error) {
	raw, err := c.readBounded(path)
	if err != nil {
		return nil, err
	}
	return c.options.Form.Config(path, raw, report), nil
}

func (c *CLI) readContext(flags checkFlags, report *lint.Report) (lint.Context, error) {
	known := lint.Context{Maintenance: flags.maintenance}
	for _, path := range flags.machines {
		raw, err := c.readBounded(path)
		if err != nil {
			return known, err
		}
		known.Machines = append(known.Machines, c.options.Form.Machines(path, raw, report)...)
	}
	for _, path := range flags.waves {
		raw, err := c.readBounded(path)
		if err != nil {
			return known, err
		}
		if w := c.options.Form.Wave(path, raw, report); w != nil {
			known.Waves = append(known.Waves, *w)
		}
	}
	for _, text := range flags.labels {
		label := lint.Label{Name: text}
		if pool, name, hasPool := strings.Cut(text, "/"); hasPool {
			label = lint.Label{Pool: pool, Name: name}
		}
		known.Labels = append(known.Labels, label)
	}
	if len(known.Labels) > 0 && len(flags.machines) == 0 {
		return known, usagef("--label needs --machines, which say what labels workers have")
	}
	var err error
	known.Task, err = parseTask(defaultTask + "," + flags.task)
	return known, err
}

// readBounded returns the content of a file, or of the standard input for "-".
func (c *CLI) readBounded(path string) ([]byte, error) {
	input := c.options.In
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usagef("%v", err)
		}
		defer file.Close()
		input = file
	}
	raw, err := io.ReadAll(io.LimitReader(input, maxInputBytes+1))
	switch {
	case err != nil:
		return nil, usagef("%s: %v", path, err)
	case len(raw) > maxInputBytes:
		return nil, usagef("%s: more than %d bytes", path, maxInputBytes)
	default:
		return raw, nil
	}
}

// parseTask reads a task such as "cpu=500,mem-mb=256,gpu=1,time=640ms"; the last of several values counts.
func parseTask(text string) (lint.Task, error) {
	var t lint.Task
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		var err error
		switch name {
		case "cpu":
			t.Needs.CPU, err = parseAmount(value)
		case "mem-mb":
			t.Needs.MemMB, err = parseAmount(value)
		case "gpu":
			t.Needs.GPU, err = parseAmount(value)
		case "time":
			t.Duration, err = time.ParseDuration(value)
		default:
			return t, usagef("--task %s: expected cpu, mem-mb, gpu and time, such as %s", item, defaultTask)
		}
		if err != nil || t.Duration < 0 {
			return t, usagef("--task %s: expected an amount of at least 0, and a time such as 640ms", item)
		}
	}
	return t, nil
}

func parseAmount(text string) (int, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return int(n), err
}
