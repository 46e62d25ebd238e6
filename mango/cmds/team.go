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

func (s *CLI) teamCommand() *cobra.Command {
	return group("team", "Set up teams from a questionnaire", s.teamNewCommand(), s.teamSetCommand(), s.teamShowCommand())
}

const teamLong = `

The answers are kept in DIR/answers/TEAM.ini. From them the [team] section, its queues' lists of teams and the
freeze windows of the waves over its pools are generated into DIR; the difference is shown first, and nothing
reaches the gates before "mango apply DIR".`

func (s *CLI) teamNewCommand() *cobra.Command {
	var dir, file string
	var yes bool
	cmd := &cobra.Command{
		Use:     "new TEAM",
		Short:   "Ask the questionnaire for a new team and generate its declarations",
		Long:    "New asks each question at the terminal, or takes the answers from a file with one section [answers TEAM]." + teamLong,
		Example: "  mango team new bakers --dir deploy/vlnka\n  mango team new bakers --dir deploy/vlnka --answers bakers.ini --yes",
		Args:    exactArgs("TEAM"),
		RunE: func(_ *cobra.Command, args []string) error {
			book, err := openBook(dir)
			if err != nil {
				return err
			}
			if book.has(args[0]) {
				return usagef("team %s has answers already; use mango team set", args[0])
			}
			answers, err := s.answersFor(survey.NewAnswers(args[0]), file)
			if err != nil {
				return err
			}
			return s.regenerate(book, answers, yes)
		},
	}
	addTeamFlags(cmd, &dir, &file, &yes)
	return cmd
}

func (s *CLI) teamSetCommand() *cobra.Command {
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
			book, err := openBook(dir)
			if err != nil {
				return err
			}
			answers, err := book.team(args[0])
			if err != nil {
				return err
			}
			if answers, err = s.changedAnswers(answers, args[1:], file); err != nil {
				return err
			}
			return s.regenerate(book, answers, yes)
		},
	}
	addTeamFlags(cmd, &dir, &file, &yes)
	return cmd
}

func (s *CLI) teamShowCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:     "show TEAM",
		Short:   "Show a team's answers",
		Example: "  mango team show plant-floor --dir deploy/vlnka",
		Args:    exactArgs("TEAM"),
		RunE: func(_ *cobra.Command, args []string) error {
			book, err := openBook(dir)
			if err != nil {
				return err
			}
			answers, err := book.team(args[0])
			if err != nil {
				return err
			}
			return s.print(show.NewAnswers(answers))
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

// book is a deployment's directory with the answers of all its teams.
type book struct {
	directory folder.Directory
	answers   []survey.Answers
}

func openBook(dir string) (book, error) {
	directory, err := folder.Open(dir)
	if err != nil {
		return book{}, &faultsError{err.Error()}
	}
	answers, err := survey.ReadAll(dir)
	if err != nil {
		return book{}, &faultsError{err.Error()}
	}
	return book{directory, answers}, nil
}

func (b book) has(team string) bool {
	return slices.ContainsFunc(b.answers, func(a survey.Answers) bool { return a.Team() == team })
}

func (b book) team(name string) (survey.Answers, error) {
	var names []string
	for _, a := range b.answers {
		if a.Team() == name {
			return a, nil
		}
		names = append(names, a.Team())
	}
	return survey.Answers{}, unknownName("team", name, names)
}

// answersFor takes the answers from the file, or asks for them.
func (s *CLI) answersFor(a survey.Answers, file string) (survey.Answers, error) {
	if file == "" {
		return s.ask(a)
	}
	given, err := survey.ReadFile(file)
	if err != nil {
		return a, &faultsError{err.Error()}
	}
	if given.Team() != a.Team() {
		return a, &faultsError{fmt.Sprintf("%s: has the answers of team %s, expected %s", file, given.Team(), a.Team())}
	}
	return given, nil
}

func (s *CLI) changedAnswers(a survey.Answers, pairs []string, file string) (survey.Answers, error) {
	if len(pairs) == 0 {
		return s.answersFor(a, file)
	}
	for _, pair := range pairs {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return a, usagef("%s: expected QUESTION=ANSWER", pair)
		}
		a = a.With(key, value)
	}
	if faults := a.Faults(); len(faults) > 0 {
		return a, &faultsError{strings.Join(faults, "\n")}
	}
	return a, nil
}

// ask puts every question until its answer fits; an empty line takes the answer in brackets, "-" takes none.
func (s *CLI) ask(a survey.Answers) (survey.Answers, error) {
	lines := bufio.NewReader(s.spec.In)
	for _, q := range survey.Questions() {
		for {
			s.tellf("%s\n  %s [%s]: ", q.Prompt(), q.Expected(), a.Value(q.Key()))
			line, err := lines.ReadString('\n')
			if err != nil && line == "" {
				return a, usagef("\nthe questions need a terminal, or answers from a file: --answers FILE")
			}
			next := answered(a, q, strings.TrimSpace(line))
			if err := q.Check(next.Value(q.Key())); err != nil {
				s.tellf("  %s\n", err)
				continue
			}
			a = next
			break
		}
	}
	s.spec.In = lines
	return a, nil
}

func answered(a survey.Answers, q survey.Question, line string) survey.Answers {
	switch {
	case line == "":
		return a
	case line == "-" && q.Optional():
		return a.With(q.Key(), "")
	default:
		return a.With(q.Key(), line)
	}
}

func (s *CLI) tellf(format string, args ...any) { _, _ = fmt.Fprintf(s.spec.Err, format, args...) }

// regenerate shows what the answers change and writes the files if told so.
func (s *CLI) regenerate(b book, answers survey.Answers, yes bool) error {
	old := b.directory.Objects()
	wanted, err := survey.Regenerate(old, b.answers, survey.Replace(b.answers, answers))
	if err != nil {
		return &faultsError{err.Error()}
	}
	if err := checked(wanted, decl.Origins{}); err != nil {
		return err
	}
	if err := s.print(show.NewDifferences(delta.Compare(old, wanted))); err != nil {
		return err
	}
	if !yes && !s.confirm("Write this to the directory?") {
		return &faultsError{"nothing was written"}
	}
	return s.write(b.directory, wanted, answers)
}

func (s *CLI) write(d folder.Directory, wanted []record.Object, answers survey.Answers) error {
	if err := d.Write(wanted); err != nil {
		return err
	}
	if err := d.WriteAnswers(answers); err != nil {
		return err
	}
	s.tellf("written; bring it into force with mango apply\n")
	return nil
}

func (s *CLI) confirm(question string) bool {
	s.tellf("%s (yes or no) ", question)
	line, err := bufio.NewReader(s.spec.In).ReadString('\n')
	if err != nil && err != io.EOF {
		return false
	}
	return strings.TrimSpace(line) == "yes"
}
