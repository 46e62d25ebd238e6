package show

import (
	"fmt"
	"strings"
	"time"

	"mangowing/core/codes"
	"mangowing/core/record"
	"mangowing/core/survey"
	"mangowing/mango/delta"
	"mangowing/mango/opsapi"
)

// WriteResult is the view of a gate's answer to an accepted write.
type WriteResult struct {
	result opsapi.Result
}

// NewWriteResult returns the view of a gate's answer to a write.
func NewWriteResult(r opsapi.Result) WriteResult { return WriteResult{r} }

func (a WriteResult) jsonValue() any { return a.result }

func (a WriteResult) text() string {
	slowest, after := a.result.Slowest()
	line := fmt.Sprintf("in force at %d of %d gates", a.result.InForce(), a.result.Gates())
	if slowest != "" {
		line += fmt.Sprintf(", slowest %s after %d ms", slowest, after/time.Millisecond)
	}
	line += "\n"
	if missing := a.result.Gates() - a.result.InForce(); missing > 0 {
		line += fmt.Sprintf("not confirmed by %d of them yet: see mango status\n", missing)
	}
	return line
}

// Differences is the view of the differences between a directory and the declarations in force.
type Differences struct {
	list []delta.Difference
}

// NewDifferences returns the view of differences.
func NewDifferences(list []delta.Difference) Differences { return Differences{list} }

type diffWire struct {
	Kind    string        `json:"change"`
	Section string        `json:"section"`
	Object  record.Object `json:"object"`
}

func (d Differences) jsonValue() any {
	out := []diffWire{}
	for _, difference := range d.list {
		out = append(out, diffWire{difference.Kind(), difference.Section(), difference.Change()})
	}
	return struct {
		Differences []diffWire `json:"differences"`
	}{out}
}

func (d Differences) text() string {
	if len(d.list) == 0 {
		return "no differences\n"
	}
	var b strings.Builder
	for _, difference := range d.list {
		mark := map[string]string{"added": "+", "removed": "-", "changed": "~"}[difference.Kind()]
		fmt.Fprintf(&b, "%s [%s]\n", mark, difference.Section())
		for _, line := range difference.Lines() {
			sign := "-"
			if line.IsAdded() {
				sign = "+"
			}
			fmt.Fprintf(&b, "    %s %s\n", sign, line.Text())
		}
	}
	return b.String()
}

// History is the view of the list of changes.
type History struct {
	rows []opsapi.HistoryRow
}

// NewHistory returns the view of the changes.
func NewHistory(rows []opsapi.HistoryRow) History { return History{rows} }

func (h History) jsonValue() any {
	return struct {
		Changes []opsapi.HistoryRow `json:"changes"`
	}{emptyIfNil(h.rows)}
}

func (h History) text() string {
	t := newTable("REVISION", "TIME (UTC)", "BY", "SECTIONS", "RESULT", "NOTE")
	for _, row := range h.rows {
		t.row(formatInt(row.Revision()), formatTime(row.AtMs()), row.Operator(), formatInt(row.Objects()), row.Code().String(), row.Note())
	}
	return t.String()
}

// Answers is the view of one team's answers to the questionnaire.
type Answers struct {
	answers survey.Answers
}

// NewAnswers returns the view of a team's answers.
func NewAnswers(a survey.Answers) Answers { return Answers{a} }

type answerWire struct {
	Question string `json:"question"`
	Answer   string `json:"answer"`
}

func (a Answers) jsonValue() any {
	out := []answerWire{}
	for _, q := range survey.Questions() {
		out = append(out, answerWire{q.Key(), a.answers.Value(q.Key())})
	}
	return struct {
		Team    string       `json:"team"`
		Answers []answerWire `json:"answers"`
	}{a.answers.Team(), out}
}

func (a Answers) text() string {
	t := newTable("QUESTION", "ANSWER", "PROMPT")
	for _, q := range survey.Questions() {
		t.row(q.Key(), a.answers.Value(q.Key()), q.Prompt())
	}
	return "team " + a.answers.Team() + "\n" + t.String()
}

// Codes is the view of the table of result codes.
type Codes struct {
	rows []codes.Entry
}

// NewCodes returns the view of rows of the code table.
func NewCodes(rows []codes.Entry) Codes { return Codes{rows} }

type codeWire struct {
	Code     codes.Code `json:"code"`
	Name     string     `json:"name"`
	Status   int        `json:"http-status"`
	Outcome  string     `json:"outcome"`
	Caller   string     `json:"caller"`
	Operator string     `json:"operator"`
}

func (c Codes) jsonValue() any {
	out := []codeWire{}
	for _, e := range c.rows {
		out = append(out, codeWire{e.Code(), e.Name(), e.Status(), e.Outcome().String(), e.CallerAdvice(), e.OperatorAdvice()})
	}
	return struct {
		Codes []codeWire `json:"codes"`
	}{out}
}

func (c Codes) text() string {
	t := newTable("CODE", "NAME", "HTTP", "OUTCOME", "CALLER", "OPERATOR")
	for _, e := range c.rows {
		t.row(formatInt(int(e.Code())), e.Name(), formatInt(e.Status()), e.Outcome().String(), e.CallerAdvice(), e.OperatorAdvice())
	}
	return t.String()
}
