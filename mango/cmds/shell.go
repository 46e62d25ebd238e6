package cmds

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"mangowing/core/decl"
	"mangowing/mango/gates"
	"mangowing/mango/opsapi"
	"mangowing/mango/show"
)

// OperatorAPI is the part of the operators' API that the commands call.
type OperatorAPI interface {
	declarations
	keyring
	fleet
	waves
	timeline
}

// Options holds the streams, the clock and the client constructors that the commands use.
type Options struct {
	In                io.Reader                                             // input of questions and of "-" files
	Out               io.Writer                                             // results
	Err               io.Writer                                             // messages
	Terminal          bool                                                  // whether Out is a terminal
	Now               func() time.Time                                      // the wall clock
	Random            io.Reader                                             // random source of new keys
	NewOperatorClient func(spec gates.Options, operator string) OperatorAPI // connects to the operators' API
	NewJobClient      func(spec gates.Options) JobAPI                       // connects to the callers' API for jobs
}

// CLI is the state that all commands share: options, global flags and settings.
type CLI struct {
	spec         Options
	settingsFile string
	output       string
	flags        settings
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

// NewRoot returns the command line with all commands.
func NewRoot(spec Options) *cobra.Command {
	s := &CLI{spec: spec}
	root := &cobra.Command{
		Use:   "mango",
		Short: "Operate a fleet of mangowing gates",
		Long: `Mango is the operators' command line: it applies declarations, grants keys, drives waves and shows the fleet.

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong usage or settings; 3 outcome unknown or no gate
reachable; 4 another operator was first. "mango codes" explains the numbers in answers.`,
		SilenceUsage:      true,
		SilenceErrors:     true,
		DisableAutoGenTag: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.checkFlags() },
	}
	root.SetIn(spec.In)
	root.SetOut(spec.Out)
	root.SetErr(spec.Err)
	s.addFlags(root)
	root.AddCommand(
		s.applyCommand(), s.diffCommand(), s.validateCommand(), s.historyCommand(),
		s.keyCommand(), s.teamCommand(), s.poolCommand(), s.vmCommand(), s.moveCommand(), s.waveCommand(),
		s.jobCommand(), s.statusCommand(), s.timelineCommand(), s.codesCommand(), s.referenceCommand(root),
	)
	return root
}

func (s *CLI) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVar(&s.flags.gates, "gates", nil, "operator addresses of gates, host:port, tried in turn")
	flags.StringVar(&s.flags.operatorKey, "operator-key-file", "", "file with the operator's key")
	flags.StringVar(&s.output, "output", outputTable, "table or json")
	flags.StringVar(&s.settingsFile, "settings", "", "INI file with [operator], [caller] and [tls]")
}

func (s *CLI) checkFlags() error {
	if s.output != outputTable && s.output != outputJSON {
		return usagef("--output %s: expected table or json", s.output)
	}
	return nil
}

func (s *CLI) settings() (*settings, error) {
	loaded, err := loadSettings(s.settingsFile)
	if err != nil {
		return nil, err
	}
	override(&loaded.gates, s.flags.gates)
	override(&loaded.callers, s.flags.callers)
	if s.flags.operatorKey != "" {
		loaded.operatorKey = s.flags.operatorKey
	}
	if s.flags.teamKey != "" {
		loaded.teamKey = s.flags.teamKey
	}
	return loaded, nil
}

func override(field *[]string, flag []string) {
	if len(flag) > 0 {
		*field = flag
	}
}

func (s *CLI) operators() (OperatorAPI, error) {
	loaded, err := s.settings()
	if err != nil {
		return nil, err
	}
	spec, err := loaded.operatorSpec()
	if err != nil {
		return nil, err
	}
	return s.spec.NewOperatorClient(spec, loaded.operatorName()), nil
}

func (s *CLI) jobs() (JobAPI, error) {
	loaded, err := s.settings()
	if err != nil {
		return nil, err
	}
	spec, err := loaded.callerSpec()
	if err != nil {
		return nil, err
	}
	return s.spec.NewJobClient(spec), nil
}

func (s *CLI) print(v show.View) error {
	return show.NewPrinter(s.spec.Out, s.output == outputJSON).Print(v)
}

func (s *CLI) printResult(r opsapi.Result, err error) error {
	if err != nil {
		return err
	}
	return s.print(show.NewWriteResult(r))
}

// withOperators makes a command's action out of one that needs the operators' API.
func (s *CLI) withOperators(run func(cmd *cobra.Command, args []string, ops OperatorAPI) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ops, err := s.operators()
		if err != nil {
			return err
		}
		return run(cmd, args, ops)
	}
}

// group returns a command that only holds others; an unknown one is named with its nearest.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	var names []string
	for _, c := range commands {
		names = append(names, c.Name())
	}
	g := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return cmd.Help()
			}
			return usagef("unknown command %q for %q; the nearest known one is %q", args[0], cmd.CommandPath(), decl.Nearest(args[0], names))
		},
	}
	g.AddCommand(commands...)
	return g
}
