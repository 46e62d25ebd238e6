// Command stand is a small stand-in of the platform and its workers, with a load generator and a benchmark; see README.md.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const (
	exitFailed     = 1
	exitBadSetting = 2
)

// errCheckFailed is returned by a command whose printed report already shows what is wrong; main doesn't print it.
var errCheckFailed = errors.New("something was found wrong")

func main() {
	root := &cobra.Command{
		Use:           "stand",
		Short:         "A small stand-in of the platform and its workers",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(serveCommand(), faultCommand(), loadCommand(), probeCommand(), benchCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	if !errors.Is(err, errCheckFailed) {
		fmt.Fprintln(os.Stderr, err)
	}
	var bad *settingsError
	if errors.As(err, &bad) {
		os.Exit(exitBadSetting)
	}
	os.Exit(exitFailed)
}
