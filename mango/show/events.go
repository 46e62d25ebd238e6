package show

import (
	"fmt"
	"strings"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/mango/jobs"
)

const stampShape = "15:04:05.000"

// Events is a part of the time line.
type Events struct {
	events []event.Event
}

// NewEvents returns the view of events in the given order.
func NewEvents(events []event.Event) Events { return Events{events} }

func (e Events) value() any {
	return struct {
		Events []event.Event `json:"events"`
	}{list(e.events)}
}

func (e Events) text() string {
	var b strings.Builder
	for _, one := range e.events {
		b.WriteString(eventLine(one) + "\n")
	}
	return b.String()
}

func eventLine(e event.Event) string {
	about := e.Fields()
	parts := []string{e.Timestamp().Time().UTC().Format(stampShape), e.Process(), e.Kind()}
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

// Job is the state of one job.
type Job struct {
	job jobs.Job
}

// NewJob returns the view of a job.
func NewJob(j jobs.Job) Job { return Job{j} }

func (j Job) value() any { return j.job }

func (j Job) text() string {
	t := newTable("JOB", "STATE", "QUEUE", "WORKER", "ATTEMPT", "RESULT")
	result := ""
	if j.job.Code() != codes.OK {
		result = j.job.Code().String()
	}
	t.row(j.job.ID(), j.job.State(), j.job.Queue(), j.job.Worker(), number(j.job.Attempt()), result)
	return t.String()
}
