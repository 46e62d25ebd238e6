package root

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/mango/cmds"
)

// recordID matches the random ids of records.
var recordID = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)

// session is a series of mango commands against fake gates; the transcript is compared with a golden file.
type session struct {
	testName    string
	description string
	gates       int
	setup       func(d *driver)
	steps       func(d *driver)
}

// driver runs the steps of a session and records the transcript.
type driver struct {
	t          *testing.T
	fleet      *fakeFleet
	dir        string
	terminal   bool
	random     *strings.Reader
	transcript strings.Builder
	lastOutput string
}

func newDriver(t *testing.T, gates int) *driver {
	d := &driver{t: t, fleet: newFakeFleet(t, gates), dir: t.TempDir()}
	d.random = strings.NewReader(strings.Repeat("a", 32) + strings.Repeat("b", 32) + strings.Repeat("c", 32))
	d.writeFile("operator.key", fakeOperatorKey+"\n")
	d.writeFile("mango.ini", fmt.Sprintf("[operator]\ngates = %s\nkey-file = %s\nname = eva\n[caller]\ngates = %s\nkey-file = %s\n",
		d.fleet.addresses(), d.path("operator.key"), d.fleet.addresses(), d.path("operator.key")))
	return d
}

func (d *driver) path(name string) string { return filepath.Join(d.dir, name) }

func (d *driver) writeFile(name, text string) {
	assert.NilError(d.t, os.MkdirAll(filepath.Dir(d.path(name)), 0o755))
	assert.NilError(d.t, os.WriteFile(d.path(name), []byte(text), 0o644))
}

func (d *driver) copyDeployment(name string) {
	assert.NilError(d.t, os.CopyFS(d.path(name), os.DirFS("../../deploy/"+name)))
}

// run runs one command line with the settings file and no input; DIR stands for the session's directory.
func (d *driver) run(line string) { d.runWithInput(line, "") }

// runWithInput runs one command line with the given standard input.
func (d *driver) runWithInput(line, input string) {
	var out bytes.Buffer
	args := append([]string{"--settings", d.path("mango.ini")}, d.splitArgs(line)...)
	exit := Run(context.Background(), args, cmds.Options{
		In: strings.NewReader(input), Out: &out, Err: &out, Terminal: d.terminal, Random: d.random,
		Now: func() time.Time { return time.UnixMilli(fakeNowMs) },
	})
	d.lastOutput = d.normalise(out.String())
	fmt.Fprintf(&d.transcript, "$ mango %s\n%s", line, d.lastOutput)
	if exit != 0 {
		fmt.Fprintf(&d.transcript, "(exit code %d)\n", exit)
	}
	d.transcript.WriteString("\n")
}

func (d *driver) comment(text string) { fmt.Fprintf(&d.transcript, "# %s\n", text) }

func (d *driver) splitArgs(line string) []string {
	var args []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "DIR", d.dir)
	}
	return args
}

// normalise replaces the directory, the gates' addresses and record ids, which differ from run to run.
func (d *driver) normalise(text string) string {
	text = strings.ReplaceAll(text, d.dir, "DIR")
	for i, s := range d.fleet.servers {
		text = strings.ReplaceAll(text, s.Listener.Addr().String(), fmt.Sprintf("GATE%d", i+1))
	}
	return recordID.ReplaceAllString(text, "ID")
}

func (d *driver) printFile(name string) {
	text, err := os.ReadFile(d.path(name))
	assert.NilError(d.t, err)
	fmt.Fprintf(&d.transcript, "$ cat DIR/%s\n%s\n", name, text)
}

func runSession(t *testing.T, s session) {
	d := newDriver(t, s.gates)
	d.comment(s.description)
	if s.setup != nil {
		s.setup(d)
	}
	s.steps(d)
	golden.Assert(t, d.transcript.String(), s.testName+".golden")
	if strings.Contains(d.transcript.String(), fakeOperatorKey) {
		t.Error("the operator's key is in the output")
	}
}
