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

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// Line is a log line about a job.
type Line struct {
	timestamp string
	process   string
	message   string
	details   string
}

// At returns the line's time as the gate wrote it.
func (l Line) At() string { return l.timestamp }

// Process returns the gate that wrote the line.
func (l Line) Process() string { return l.process }

// Message returns the line's kebab-case message.
func (l Line) Message() string { return l.message }

// Details returns the line's other fields as key=value, sorted by key.
func (l Line) Details() string { return l.details }

// Read returns the lines about the job or one of its tasks, in their order in the log. Lines that are not JSON are
// skipped. On a read error it also returns the lines before it.
func Read(r io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(job)) {
			continue
		}
		// The bench prefixes each log line with the time and the machine.
		if start := bytes.IndexByte(raw, '{'); start >= 0 {
			raw = raw[start:]
		}
		var fields map[string]any
		if json.Unmarshal(raw, &fields) != nil || !isAboutJob(fields, job) {
			continue
		}
		lines = append(lines, newLine(fields))
	}
	return lines, scanner.Err()
}

// isAboutJob reports whether the line's fields name the job or one of its tasks.
func isAboutJob(fields map[string]any, job string) bool {
	if fields["job"] == job {
		return true
	}
	task, _ := fields["task"].(string)
	return strings.HasPrefix(task, job+".")
}

func newLine(fields map[string]any) Line {
	l := Line{timestamp: formatValue(fields["ts"]), process: formatValue(fields["process"]), message: formatValue(fields["msg"])}
	var details []string
	for key, value := range fields {
		switch key {
		case "ts", "process", "msg", "logger", "level":
		default:
			details = append(details, key+"="+formatValue(value))
		}
	}
	slices.Sort(details)
	l.details = strings.Join(details, " ")
	return l
}

func formatValue(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Sort sorts the lines of several logs by time; lines of the same time keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.timestamp, b.timestamp) })
}
