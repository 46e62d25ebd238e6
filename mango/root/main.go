package root

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"mangowing/mango/cmds"
	"mangowing/mango/gates"
	"mangowing/mango/jobs"
	"mangowing/mango/opsapi"
	"mangowing/platform/form"
)

// Main runs the command line on the process's standard streams and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return Run(ctx, args, cmds.Options{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: isTerminal(os.Stdout),
		Now:      time.Now,
		Random:   rand.Reader,
	})
}

// Run runs one command line with the given streams and clock, and returns the exit code.
func Run(ctx context.Context, args []string, options cmds.Options) int {
	options.NewOperatorClient = func(s gates.Options, operator string) cmds.OperatorAPI { return opsapi.New(s, operator) }
	options.NewJobClient = func(s gates.Options) cmds.JobAPI { return jobs.New(s) }
	options.Form = form.Reader{}
	root := cmds.NewRoot(options)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		printError(options.Err, root, err)
	}
	return cmds.ExitCode(err)
}

func printError(w io.Writer, root *cobra.Command, err error) {
	text := strings.TrimLeft(err.Error(), "\n")
	_, _ = fmt.Fprintf(w, "%s: %s\n", root.Name(), text)
}

func isTerminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}
