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

// Directory is the name of the subdirectory of a deployment's declarations that holds the answers, one file per team.
const Directory = "answers"

// Answers holds one team's answers to the questionnaire. It is immutable.
type Answers struct {
	team   string
	values map[string]string
}

// NewAnswers returns the default answers for a team.
func NewAnswers(team string) Answers {
	a := Answers{team, map[string]string{}}
	for _, q := range questions {
		a.values[q.key] = q.defaultAnswer
	}
	return a
}

// Team returns the team's name.
func (a Answers) Team() string { return a.team }

// Value returns the answer to the question with the given key, empty for none.
func (a Answers) Value(key string) string { return a.values[key] }

// WithAnswer returns a copy of the answers in which one is replaced by the trimmed value.
func (a Answers) WithAnswer(key, value string) Answers {
	updated := NewAnswers(a.team)
	for k, v := range a.values {
		updated.values[k] = v
	}
	updated.values[key] = strings.TrimSpace(value)
	return updated
}

// Faults returns a message for each invalid answer, unknown key or invalid team name.
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
	return append(out, a.unknownKeyFaults()...)
}

func (a Answers) unknownKeyFaults() []string {
	var out []string
	for key := range a.values {
		if known := questionKeys(); !slices.Contains(known, key) {
			out = append(out, fmt.Sprintf("[answers %s] %s: unknown key; the nearest known one is %q", a.team, key, decl.ClosestMatch(key, known)))
		}
	}
	slices.Sort(out)
	return out
}

// Encode returns the answers as the INI text of an answers file, without the empty ones.
func (a Answers) Encode() []byte {
	o := record.NewObject(kindAnswers, a.team, 0)
	for _, q := range questions {
		if v := a.values[q.key]; v != "" {
			o = o.WithField(q.key, v)
		}
	}
	return decl.WriteINI([]record.Object{o})
}

// Parse returns the answers in an INI text that holds one section [answers TEAM]. The error lists all faults.
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

// ReadFile returns the answers in a file. Errors name the file.
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

// ReadAll returns the answers of all teams in a deployment's directory, in order of file name. A directory without answers
// gives none.
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

// queueUse is a queue that a team uses, with the pool that the team names for it; the pool may be empty.
type queueUse struct {
	queue string
	pool  string
}

func (a Answers) queueUses() []queueUse { return parseWork(a.values[KeyWork]) }

func parseWork(text string) []queueUse {
	var out []queueUse
	for _, item := range splitList(text) {
		queue, pool, _ := strings.Cut(item, " on ")
		out = append(out, queueUse{strings.TrimSpace(queue), strings.TrimSpace(pool)})
	}
	return out
}
