package cmds

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"mangowing/core/decl"
	"mangowing/core/record"
	"mangowing/core/survey"
	"mangowing/mango/delta"
	"mangowing/mango/folder"
	"mangowing/mango/show"
)

func (c *CLI) teamCommand() *cobra.Command {
	return commandGroup("team", "Set up teams from a questionnaire", c.teamNewCommand(), c.teamSetCommand(), c.teamShowCommand())
}

const teamLong = `

The answers are kept in DIR/answers/TEAM.ini. From them the [team] section, its queues' lists of teams and the
freeze windows of the waves over its pools are generated into DIR; the difference is shown first, and nothing
reaches the gates before "mango apply DIR".`

func (c *CLI) teamNewCommand() *cobra.Command {
	var dir, file string
	var yes bool
	cmd := &cobra.Command{
		Use:     "new TEAM",
		Short:   "Ask the questionnaire for a new team and generate its declarations",
		Long:    "New asks each question at the terminal, or takes the answers from a file with one section [answers TEAM]." + teamLong,
		Example: "  mango team new bakers --dir deploy/vlnka\n  mango team new bakers --dir deploy/vlnka --answers bakers.ini --yes",
		Args:    exactArgs("TEAM"),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := openDeployment(dir)
			if err != nil {
				return err
			}
			if d.hasAnswers(args[0]) {
				return usagef("team %s has answers already; use mango team set", args[0])
			}
			answers, err := c.readAnswers(survey.NewAnswers(args[0]), file)
			if err != nil {
				return err
			}
			return c.regenerate(d, answers, yes)
		},
	}
	addTeamFlags(cmd, &dir, &file, &yes)
	return cmd
}

func (c *CLI) teamSetCommand() *cobra.Command {
	var dir, file string
	var yes bool
	cmd := &cobra.Command{
		Use:     "set TEAM [QUESTION=ANSWER ...]",
		Short:   "Change answers of a team and generate its declarations anew",
		Long:    "Set takes new answers as arguments, from a file, or asks every question with the present answer as default." + teamLong,
		Example: "  mango team set plant-floor limit=96 share=6 --dir deploy/vlnka\n  mango team set plant-floor --dir deploy/vlnka",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return nil
			}
			return usagef("%s: expected TEAM, got 0 arguments", cmd.CommandPath())
		},
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := openDeployment(dir)
			if err != nil {
				return err
			}
			answers, err := d.answersOf(args[0])
			if err != nil {
				return err
			}
			if answers, err = c.updateAnswers(answers, args[1:], file); err != nil {
				return err
			}
			return c.regenerate(d, answers, yes)
		},
	}
	addTeamFlags(cmd, &dir, &file, &yes)
	return cmd
}

func (c *CLI) teamShowCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:     "show TEAM",
		Short:   "Show a team's answers",
		Example: "  mango team show plant-floor --dir deploy/vlnka",
		Args:    exactArgs("TEAM"),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := openDeployment(dir)
			if err != nil {
				return err
			}
			answers, err := d.answersOf(args[0])
			if err != nil {
				return err
			}
			return c.print(show.NewAnswers(answers))
		},
	}
	addDirFlag(cmd, &dir)
	return cmd
}

func addTeamFlags(cmd *cobra.Command, dir, file *string, yes *bool) {
	addDirFlag(cmd, dir)
	cmd.Flags().StringVar(file, "answers", "", "file with the answers, in place of questions at the terminal")
	cmd.Flags().BoolVar(yes, "yes", false, "write the files without asking")
}

func addDirFlag(cmd *cobra.Command, dir *string) {
	cmd.Flags().StringVar(dir, "dir", ".", "the deployment's directory")
}

// deployment is a directory of declarations with the questionnaire answers of all its teams.
type deployment struct {
	directory folder.Directory
	answers   []survey.Answers
}

func openDeployment(dir string) (deployment, error) {
	directory, err := folder.Open(dir)
	if err != nil {
		return deployment{}, &localRefusalError{err.Error()}
	}
	answers, err := survey.ReadAll(dir)
	if err != nil {
		return deployment{}, &localRefusalError{err.Error()}
	}
	return deployment{directory, answers}, nil
}

func (d deployment) hasAnswers(team string) bool {
	return slices.ContainsFunc(d.answers, func(a survey.Answers) bool { return a.Team() == team })
}

func (d deployment) answersOf(name string) (survey.Answers, error) {
	var names []string
	for _, a := range d.answers {
		if a.Team() == name {
			return a, nil
		}
		names = append(names, a.Team())
	}
	return survey.Answers{}, unknownName("team", name, names)
}

// readAnswers reads the answers from the file, or asks for them if no file is given.
func (c *CLI) readAnswers(a survey.Answers, file string) (survey.Answers, error) {
	if file == "" {
		return c.askQuestions(a)
	}
	given, err := survey.ReadFile(file)
	if err != nil {
		return a, &localRefusalError{err.Error()}
	}
	if given.Team() != a.Team() {
		return a, &localRefusalError{fmt.Sprintf("%s: has the answers of team %s, expected %s", file, given.Team(), a.Team())}
	}
	return given, nil
}

func (c *CLI) updateAnswers(a survey.Answers, assignments []string, file string) (survey.Answers, error) {
	if len(assignments) == 0 {
		return c.readAnswers(a, file)
	}
	for _, pair := range assignments {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return a, usagef("%s: expected QUESTION=ANSWER", pair)
		}
		a = a.WithAnswer(key, value)
	}
	if faults := a.Faults(); len(faults) > 0 {
		return a, &localRefusalError{strings.Join(faults, "\n")}
	}
	return a, nil
}

// askQuestions repeats each question until its answer is valid. An empty line keeps the answer shown in brackets, "-"
// clears an optional one.
func (c *CLI) askQuestions(a survey.Answers) (survey.Answers, error) {
	input := bufio.NewReader(c.options.In)
	for _, q := range survey.Questions() {
		for {
			c.messagef("%s\n  %s [%s]: ", q.Prompt(), q.Expected(), a.Value(q.Key()))
			line, err := input.ReadString('\n')
			if err != nil && line == "" {
				return a, usagef("\nthe questions need a terminal, or answers from a file: --answers FILE")
			}
			next := applyInput(a, q, strings.TrimSpace(line))
			if err := q.Check(next.Value(q.Key())); err != nil {
				c.messagef("  %s\n", err)
				continue
			}
			a = next
			break
		}
	}
	c.options.In = input
	return a, nil
}

func applyInput(a survey.Answers, q survey.Question, line string) survey.Answers {
	switch {
	case line == "":
		return a
	case line == "-" && q.IsOptional():
		return a.WithAnswer(q.Key(), "")
	default:
		return a.WithAnswer(q.Key(), line)
	}
}

func (c *CLI) messagef(format string, args ...any) {
	_, _ = fmt.Fprintf(c.options.Err, format, args...)
}

// regenerate prints the changes that the answers make to the declarations, and writes the files after --yes or a
// confirmation.
func (c *CLI) regenerate(d deployment, answers survey.Answers, yes bool) error {
	old := d.directory.Objects()
	generated, err := survey.Regenerate(old, d.answers, survey.ReplaceAnswers(d.answers, answers))
	if err != nil {
		return &localRefusalError{err.Error()}
	}
	if err := validate(generated, decl.Positions{}); err != nil {
		return err
	}
	if err := c.print(show.NewDifferences(delta.Compare(old, generated))); err != nil {
		return err
	}
	if !yes && !c.confirm("Write this to the directory?") {
		return &localRefusalError{"nothing was written"}
	}
	return c.writeDeployment(d.directory, generated, answers)
}

func (c *CLI) writeDeployment(d folder.Directory, generated []record.Object, answers survey.Answers) error {
	if err := d.Write(generated); err != nil {
		return err
	}
	if err := d.WriteAnswers(answers); err != nil {
		return err
	}
	c.messagef("written; bring it into force with mango apply\n")
	return nil
}

func (c *CLI) confirm(question string) bool {
	c.messagef("%s (yes or no) ", question)
	line, err := bufio.NewReader(c.options.In).ReadString('\n')
	if err != nil && err != io.EOF {
		return false
	}
	return strings.TrimSpace(line) == "yes"
}
