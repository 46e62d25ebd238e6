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
	declarationAPI
	keyAPI
	fleetAPI
	waveAPI
	eventAPI
}

// Options holds the streams, the clock and the client constructors that the commands use.
type Options struct {
	In                io.Reader                                                // input of questions and of "-" files
	Out               io.Writer                                                // results
	Err               io.Writer                                                // messages
	Terminal          bool                                                     // whether Out is a terminal
	Now               func() time.Time                                         // the wall clock
	Random            io.Reader                                                // random source of new keys
	NewOperatorClient func(options gates.Options, operator string) OperatorAPI // connects to the operators' API
	Form              ConfigurationForm                                        // reads the platform's form of configurations
	NewJobClient      func(options gates.Options) JobAPI                       // connects to the callers' API for jobs
}

// CLI is the state that all commands share: options, global flags and settings.
type CLI struct {
	options      Options
	settingsFile string
	output       string
	flags        settings
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

// NewRoot returns the command line with all commands.
func NewRoot(options Options) *cobra.Command {
	c := &CLI{options: options}
	root := &cobra.Command{
		Use:   "mango",
		Short: "Operate a fleet of mangowing gates",
		Long: `Mango is the operators' command line: it applies declarations, grants keys, drives waves and shows the fleet.

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong usage or settings; 3 outcome unknown or no gate
reachable; 4 another operator was first. "mango check" has its own. "mango codes" explains the numbers in answers.`,
		SilenceUsage:      true,
		SilenceErrors:     true,
		DisableAutoGenTag: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return c.checkFlags() },
	}
	root.SetIn(options.In)
	root.SetOut(options.Out)
	root.SetErr(options.Err)
	c.addFlags(root)
	root.AddCommand(
		c.applyCommand(), c.diffCommand(), c.validateCommand(), c.checkCommand(), c.historyCommand(),
		c.keyCommand(), c.teamCommand(), c.poolCommand(), c.vmCommand(), c.moveCommand(), c.waveCommand(),
		c.jobCommand(), c.statusCommand(), c.timelineCommand(), c.codesCommand(), c.referenceCommand(root),
	)
	return root
}

func (c *CLI) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.flags.gateAddresses, "gates", nil, "operator addresses of gates, host:port, tried in turn")
	flags.StringVar(&c.flags.operatorKeyFile, "operator-key-file", "", "file with the operator's key")
	flags.StringVar(&c.output, "output", outputTable, "table or json")
	flags.StringVar(&c.settingsFile, "settings", "", "INI file with [operator], [caller] and [tls]")
}

func (c *CLI) checkFlags() error {
	if c.output != outputTable && c.output != outputJSON {
		return usagef("--output %s: expected table or json", c.output)
	}
	return nil
}

func (c *CLI) effectiveSettings() (*settings, error) {
	cfg, err := loadSettings(c.settingsFile)
	if err != nil {
		return nil, err
	}
	overrideList(&cfg.gateAddresses, c.flags.gateAddresses)
	overrideList(&cfg.callerAddresses, c.flags.callerAddresses)
	if c.flags.operatorKeyFile != "" {
		cfg.operatorKeyFile = c.flags.operatorKeyFile
	}
	if c.flags.teamKeyFile != "" {
		cfg.teamKeyFile = c.flags.teamKeyFile
	}
	return cfg, nil
}

func overrideList(field *[]string, flag []string) {
	if len(flag) > 0 {
		*field = flag
	}
}

func (c *CLI) operatorClient() (OperatorAPI, error) {
	cfg, err := c.effectiveSettings()
	if err != nil {
		return nil, err
	}
	options, err := cfg.operatorOptions()
	if err != nil {
		return nil, err
	}
	return c.options.NewOperatorClient(options, cfg.operatorName()), nil
}

func (c *CLI) jobClient() (JobAPI, error) {
	cfg, err := c.effectiveSettings()
	if err != nil {
		return nil, err
	}
	options, err := cfg.callerOptions()
	if err != nil {
		return nil, err
	}
	return c.options.NewJobClient(options), nil
}

func (c *CLI) print(v show.View) error {
	return show.NewPrinter(c.options.Out, c.output == outputJSON).Print(v)
}

func (c *CLI) printResult(r opsapi.Result, err error) error {
	if err != nil {
		return err
	}
	return c.print(show.NewWriteResult(r))
}

// withOperatorAPI returns a command's RunE that connects to the operators' API before it calls run.
func (c *CLI) withOperatorAPI(run func(cmd *cobra.Command, args []string, ops OperatorAPI) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ops, err := c.operatorClient()
		if err != nil {
			return err
		}
		return run(cmd, args, ops)
	}
}

// commandGroup returns a command that only has subcommands. The error for an unknown subcommand suggests the nearest one.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	var names []string
	for _, c := range commands {
		names = append(names, c.Name())
	}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return cmd.Help()
			}
			return usagef("unknown command %q for %q; the nearest known one is %q", args[0], cmd.CommandPath(), decl.ClosestMatch(args[0], names))
		},
	}
	cmd.AddCommand(commands...)
	return cmd
}
