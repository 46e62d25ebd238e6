package show

import (
	"fmt"
	"strings"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/mango/jobs"
)

const timestampFormat = "15:04:05.000"

// Events is the view of a part of the timeline.
type Events struct {
	events []event.Event
}

// NewEvents returns the view of events in the given order.
func NewEvents(events []event.Event) Events { return Events{events} }

func (e Events) jsonValue() any {
	return struct {
		Events []event.Event `json:"events"`
	}{emptyIfNil(e.events)}
}

func (e Events) text() string {
	var b strings.Builder
	for _, ev := range e.events {
		b.WriteString(eventLine(ev) + "\n")
	}
	return b.String()
}

func eventLine(e event.Event) string {
	about := e.Fields()
	parts := []string{e.Timestamp().Time().UTC().Format(timestampFormat), e.Process(), e.Kind()}
	for _, p := range []struct{ name, value string }{{"request", about.Request}, {"team", about.Team}, {"vm", about.VM}} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	if about.Code != 0 {
		parts = append(parts, fmt.Sprintf("code=%q", codes.Code(about.Code)))
	}
	if about.Detail != "" {
		parts = append(parts, about.Detail)
	}
	return strings.TrimSpace(strings.Join(parts, " "))
}

// Job is the view of one job's state.
type Job struct {
	job jobs.Job
}

// NewJob returns the view of a job.
func NewJob(j jobs.Job) Job { return Job{j} }

func (j Job) jsonValue() any { return j.job }

func (j Job) text() string {
	t := newTable("JOB", "STATE", "QUEUE", "WORKER", "ATTEMPT", "RESULT")
	result := ""
	if j.job.Code() != codes.OK {
		result = j.job.Code().String()
	}
	t.row(j.job.ID(), j.job.State(), j.job.Queue(), j.job.Worker(), formatInt(j.job.Attempt()), result)
	return t.String()
}
