package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// mostLine is the longest log line that is read, in bytes.
const mostLine = 1 << 20

// Line is a log line about a job.
type Line struct {
	at      string
	process string
	message string
	details string
}

// At returns the time of the line as the gate wrote it.
func (l Line) At() string { return l.at }

// Process returns the gate that wrote the line.
func (l Line) Process() string { return l.process }

// Message returns what happened, in kebab case.
func (l Line) Message() string { return l.message }

// Details returns the line's other fields as key=value in order of key.
func (l Line) Details() string { return l.details }

// Read returns the lines about the job or one of its tasks, in the order in which they stand; lines that are no JSON are
// skipped. The error says why reading ended.
func Read(r io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, mostLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(job)) {
			continue
		}
		// The bench puts time and machine before the line.
		if start := bytes.IndexByte(raw, '{'); start >= 0 {
			raw = raw[start:]
		}
		var fields map[string]any
		if json.Unmarshal(raw, &fields) != nil || !about(fields, job) {
			continue
		}
		lines = append(lines, newLine(fields))
	}
	return lines, scanner.Err()
}

// about tells whether the line's job or task is the one asked for.
func about(fields map[string]any, job string) bool {
	if fields["job"] == job {
		return true
	}
	task, _ := fields["task"].(string)
	return strings.HasPrefix(task, job+".")
}

func newLine(fields map[string]any) Line {
	l := Line{at: text(fields["ts"]), process: text(fields["process"]), message: text(fields["msg"])}
	var details []string
	for key, value := range fields {
		switch key {
		case "ts", "process", "msg", "logger", "level":
		default:
			details = append(details, key+"="+text(value))
		}
	}
	slices.Sort(details)
	l.details = strings.Join(details, " ")
	return l
}

func text(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Sort puts the lines of several logs in order of time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.at, b.at) })
}
