package survey

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mangowing/core/decl"
)

// Keys of the questions, which are also the keys in an answers file, in the order in which the questions are asked.
const (
	KeyOrganisation = "organisation"
	KeyWork         = "work"
	KeyShare        = "share"
	KeyLimit        = "limit"
	KeyUrgency      = "urgency"
	KeyPatience     = "patience"
	KeyRunTime      = "run-time"
	KeyIdempotent   = "idempotent"
	KeyLatestFinish = "latest-finish"
	KeyFreeze       = "freeze"
)

// Question is one question of the questionnaire, with the rules for its answer.
type Question struct {
	key           string
	prompt        string
	expected      string
	defaultAnswer string
	isOptional    bool
	check         func(text string) bool
}

// Key returns the key of the answer in an answers file.
func (q Question) Key() string { return q.key }

// Prompt returns the text of the question.
func (q Question) Prompt() string { return q.prompt }

// Expected describes a valid answer.
func (q Question) Expected() string { return q.expected }

// Default returns the answer that is used where a team gives none. It is empty for a question that is optional or that
// must be answered.
func (q Question) Default() string { return q.defaultAnswer }

// IsOptional reports whether the question may be left without an answer.
func (q Question) IsOptional() bool { return q.isOptional }

// Check returns an error that says what is expected if the text is not a valid answer.
func (q Question) Check(text string) error {
	if text == "" && q.isOptional || text != "" && q.check(text) {
		return nil
	}
	return fmt.Errorf("%s: expected %s", decl.QuoteValue(text), q.expected)
}

var questions = []Question{
	{
		key: KeyOrganisation, prompt: "Which organisation does the team belong to?",
		expected: "a name of letters, digits, '-' and '_'", check: isName,
	},
	{
		key: KeyWork, prompt: "Which queues does its work go to, and on which pool is each?",
		expected: "queues such as: quotes on quotes, replans on replans", check: isWork,
	},
	{
		key: KeyShare, prompt: "What weight has the team when a pool is full?",
		expected: "a whole number of at least 1", defaultAnswer: "1", check: isIntAtLeast(1),
	},
	{
		key: KeyLimit, prompt: "How many requests and tasks may it have running across the fleet?",
		expected: "a whole number of at least 0", check: isIntAtLeast(0),
	},
	{
		key: KeyUrgency, prompt: "How urgent is its work?",
		expected: "one of urgent, normal, patient, background", defaultAnswer: "normal",
		check: isOneOf("urgent", "normal", "patient", "background"),
	},
	{
		key: KeyPatience, prompt: "How long does a caller wait for an answer?",
		expected: "a duration such as 250ms, 30s or 4h", defaultAnswer: "30s", check: isDuration,
	},
	{
		key: KeyRunTime, prompt: "How long does one request run on a worker?",
		expected: "a duration such as 250ms, 30s or 4h", defaultAnswer: "100ms", check: isDuration,
	},
	{
		key: KeyIdempotent, prompt: "May a request run twice without harm?",
		expected: "yes or no", defaultAnswer: "no", check: isOneOf("yes", "no"),
	},
	{
		key: KeyLatestFinish, prompt: "By which time of day (UTC) must its background work be done?",
		expected: "a time of day such as 05:30", isOptional: true, check: isTimeOfDay,
	},
	{
		key: KeyFreeze, prompt: "In which spans of the day (UTC) must no VM of its pools go out for maintenance?",
		expected: "spans such as 04:00-12:00, 16:00-21:00", isOptional: true, check: isWindows,
	},
}

// Questions returns all questions in the order in which they are asked.
func Questions() []Question { return append([]Question(nil), questions...) }

func questionKeys() []string {
	out := make([]string, 0, len(questions))
	for _, q := range questions {
		out = append(out, q.key)
	}
	return out
}

func isName(text string) bool {
	for _, ch := range text {
		isAllowed := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' || ch == '-' || ch == '_'
		if !isAllowed {
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

func isIntAtLeast(least int) func(string) bool {
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
