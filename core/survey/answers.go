package survey

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mangowing/core/decl"
	"mangowing/core/record"
)

const kindAnswers = "answers"

// Directory is the subdirectory of a deployment's declarations that keeps the answers, one file a team.
const Directory = "answers"

// Answers is one team's answers to the questionnaire.
type Answers struct {
	team   string
	values map[string]string
}

// NewAnswers returns the answers of a team that has answered nothing yet; every question has its fallback.
func NewAnswers(team string) Answers {
	a := Answers{team, map[string]string{}}
	for _, q := range questions {
		a.values[q.key] = q.defaultAnswer
	}
	return a
}

// Team returns the team's name.
func (a Answers) Team() string { return a.team }

// Value returns the answer to the question with the key, empty for none.
func (a Answers) Value(key string) string { return a.values[key] }

// WithAnswer returns a copy of the answers with one of them replaced.
func (a Answers) WithAnswer(key, value string) Answers {
	next := NewAnswers(a.team)
	for k, v := range a.values {
		next.values[k] = v
	}
	next.values[key] = strings.TrimSpace(value)
	return next
}

// Faults returns what is wrong with the answers, one line each.
func (a Answers) Faults() []string {
	var out []string
	if !isName(a.team) {
		out = append(out, fmt.Sprintf("%s: expected a team's name of letters, digits, '-' and '_'", decl.QuoteValue(a.team)))
	}
	for _, q := range questions {
		if err := q.Check(a.values[q.key]); err != nil {
			out = append(out, fmt.Sprintf("[answers %s] %s: %s", a.team, q.key, err))
		}
	}
	return append(out, a.unknownKeys()...)
}

func (a Answers) unknownKeys() []string {
	var out []string
	for key := range a.values {
		if known := keys(); !slices.Contains(known, key) {
			out = append(out, fmt.Sprintf("[answers %s] %s: unknown key; the nearest known one is %q", a.team, key, decl.ClosestMatch(key, known)))
		}
	}
	slices.Sort(out)
	return out
}

// Encode returns the answers as the INI text of an answers file.
func (a Answers) Encode() []byte {
	o := record.NewObject(kindAnswers, a.team, 0)
	for _, q := range questions {
		if v := a.values[q.key]; v != "" {
			o = o.WithField(q.key, v)
		}
	}
	return decl.WriteINI([]record.Object{o})
}

// Parse returns the answers in an INI text with one section [answers TEAM]; an error lists every fault.
func Parse(data []byte) (Answers, error) {
	objects, err := decl.ReadINI(data)
	if err != nil {
		return Answers{}, err
	}
	if len(objects) != 1 || objects[0].Kind() != kindAnswers {
		return Answers{}, fmt.Errorf("expected one section [answers TEAM]")
	}
	a := NewAnswers(objects[0].Name())
	for i := range objects[0].Len() {
		key, value := objects[0].Field(i)
		a.values[key] = strings.TrimSpace(value)
	}
	if faults := a.Faults(); len(faults) > 0 {
		return Answers{}, fmt.Errorf("%s", strings.Join(faults, "\n"))
	}
	return a, nil
}

// ReadFile returns the answers in a file; an error names it.
func ReadFile(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, err
	}
	a, err := Parse(data)
	if err != nil {
		return Answers{}, fmt.Errorf("%s: %w", path, err)
	}
	return a, nil
}

// ReadAll returns the answers of all teams of a deployment's directory in order of file name, none where it keeps no answers.
func ReadAll(deployment string) ([]Answers, error) {
	paths, err := filepath.Glob(filepath.Join(deployment, Directory, "*.ini"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var out []Answers
	for _, path := range paths {
		a, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// ReplaceAnswers returns a copy of the list, sorted by team, in which one team's answers are replaced or added.
func ReplaceAnswers(all []Answers, a Answers) []Answers {
	out := slices.DeleteFunc(slices.Clone(all), func(other Answers) bool { return other.team == a.team })
	out = append(out, a)
	slices.SortFunc(out, func(x, y Answers) int { return strings.Compare(x.team, y.team) })
	return out
}

type use struct {
	queue string
	pool  string
}

func (a Answers) uses() []use { return parseWork(a.values[KeyWork]) }

func parseWork(text string) []use {
	var out []use
	for _, item := range splitList(text) {
		queue, pool, _ := strings.Cut(item, " on ")
		out = append(out, use{strings.TrimSpace(queue), strings.TrimSpace(pool)})
	}
	return out
}
