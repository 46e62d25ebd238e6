package survey

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mangowing/core/decl"
)

// Keys of the questions, in the order in which they are asked.
const (
	Organisation = "organisation"
	Work         = "work"
	Share        = "share"
	Limit        = "limit"
	Urgency      = "urgency"
	Patience     = "patience"
	RunTime      = "run-time"
	Idempotent   = "idempotent"
	LatestFinish = "latest-finish"
	Freeze       = "freeze"
)

// Question is one question of the questionnaire.
type Question struct {
	key      string
	prompt   string
	expected string
	fallback string
	optional bool
	check    func(text string) bool
}

// Key returns the name that the answer has in an answers file.
func (q Question) Key() string { return q.key }

// Prompt returns the question as it is put to people.
func (q Question) Prompt() string { return q.prompt }

// Expected returns the shape of an answer.
func (q Question) Expected() string { return q.expected }

// Fallback returns the answer taken where none is given, empty if one is needed or none is taken.
func (q Question) Fallback() string { return q.fallback }

// Optional tells whether the question may stay without an answer.
func (q Question) Optional() bool { return q.optional }

// Check returns what was expected if the text is no answer to the question.
func (q Question) Check(text string) error {
	if text == "" && q.optional || text != "" && q.check(text) {
		return nil
	}
	return fmt.Errorf("%s: expected %s", decl.Quoted(text), q.expected)
}

var questions = []Question{
	{
		key: Organisation, prompt: "Which organisation does the team belong to?",
		expected: "a name of letters, digits, '-' and '_'", check: isName,
	},
	{
		key: Work, prompt: "Which queues does its work go to, and on which pool is each?",
		expected: "queues such as: quotes on quotes, replans on replans", check: isWork,
	},
	{
		key: Share, prompt: "What weight has the team when a pool is full?",
		expected: "a whole number of at least 1", fallback: "1", check: isIntFrom(1),
	},
	{
		key: Limit, prompt: "How many requests and tasks may it have running across the fleet?",
		expected: "a whole number of at least 0", check: isIntFrom(0),
	},
	{
		key: Urgency, prompt: "How urgent is its work?",
		expected: "one of urgent, normal, patient, background", fallback: "normal",
		check: isOneOf("urgent", "normal", "patient", "background"),
	},
	{
		key: Patience, prompt: "How long does a caller wait for an answer?",
		expected: "a duration such as 250ms, 30s or 4h", fallback: "30s", check: isDuration,
	},
	{
		key: RunTime, prompt: "How long does one request run on a worker?",
		expected: "a duration such as 250ms, 30s or 4h", fallback: "100ms", check: isDuration,
	},
	{
		key: Idempotent, prompt: "May a request run twice without harm?",
		expected: "yes or no", fallback: "no", check: isOneOf("yes", "no"),
	},
	{
		key: LatestFinish, prompt: "By which time of day (UTC) must its background work be done?",
		expected: "a time of day such as 05:30", optional: true, check: isTimeOfDay,
	},
	{
		key: Freeze, prompt: "In which spans of the day (UTC) must no VM of its pools go out for maintenance?",
		expected: "spans such as 04:00-12:00, 16:00-21:00", optional: true, check: isWindows,
	},
}

// Questions returns all questions in the order in which they are asked.
func Questions() []Question { return append([]Question(nil), questions...) }

func keys() []string {
	out := make([]string, 0, len(questions))
	for _, q := range questions {
		out = append(out, q.key)
	}
	return out
}

func isName(text string) bool {
	for _, ch := range text {
		plain := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' || ch == '-' || ch == '_'
		if !plain {
			return false
		}
	}
	return text != ""
}

func isWork(text string) bool {
	uses := parseWork(text)
	for _, u := range uses {
		if !isName(u.queue) || u.pool != "" && !isName(u.pool) {
			return false
		}
	}
	return len(uses) > 0
}

func isIntFrom(least int) func(string) bool {
	return func(text string) bool {
		n, err := strconv.Atoi(text)
		return err == nil && n >= least
	}
}

func isOneOf(choices ...string) func(string) bool {
	return func(text string) bool {
		for _, c := range choices {
			if text == c {
				return true
			}
		}
		return false
	}
}

func isDuration(text string) bool {
	d, err := time.ParseDuration(text)
	return err == nil && d > 0
}

func isTimeOfDay(text string) bool {
	_, err := time.Parse("15:04", text)
	return err == nil
}

func isWindows(text string) bool {
	for _, item := range splitList(text) {
		from, to, ok := strings.Cut(item, "-")
		if !ok || !isTimeOfDay(strings.TrimSpace(from)) || !isTimeOfDay(strings.TrimSpace(to)) {
			return false
		}
	}
	return true
}

func splitList(text string) []string {
	var out []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
