package cmds

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"mangowing/core/codes"
	"mangowing/mango/show"
)

func (c *CLI) codesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "codes [NUMBER]",
		Short:   "Explain the numbered result codes",
		Example: "  mango codes\n  mango codes 201",
		Args:    atMostOneArg("NUMBER"),
		RunE: func(_ *cobra.Command, args []string) error {
			rows := codes.Table()
			if len(args) == 0 {
				return c.print(show.NewCodes(rows))
			}
			row, err := findCode(rows, args[0])
			if err != nil {
				return err
			}
			return c.print(show.NewCodes([]codes.Entry{row}))
		},
	}
}

func findCode(entries []codes.Entry, text string) (codes.Entry, error) {
	for _, e := range entries {
		if text == strconv.Itoa(int(e.Code())) || text == e.Name() {
			return e, nil
		}
	}
	return codes.Entry{}, usagef("%s is no result code", text)
}

// referenceCommand prints the documentation pages that are generated from the code.
func (c *CLI) referenceCommand(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:       "reference codes|commands",
		Short:     "Print a generated page of the documentation",
		Hidden:    true,
		ValidArgs: []string{"codes", "commands"},
		Args:      exactArgs("codes|commands"),
		RunE: func(_ *cobra.Command, args []string) error {
			page := ""
			switch args[0] {
			case "codes":
				page = show.CodesPage(codes.Table())
			case "commands":
				page = show.CommandsPage(root, SettingsReference())
			default:
				return usagef("%s: expected codes or commands", args[0])
			}
			_, err := fmt.Fprint(c.options.Out, page)
			return err
		},
	}
}
