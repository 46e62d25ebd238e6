package jobs

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"mangowing/core/codes"
	"mangowing/mango/gates"
)

// Job is the state of one job as a gate reports it to the job's team.
type Job struct {
	w jobWire
}

type jobWire struct {
	Job     string     `json:"job"`
	State   string     `json:"state,omitempty"`
	Queue   string     `json:"queue,omitempty"`
	Team    string     `json:"team,omitempty"`
	Worker  string     `json:"worker,omitempty"`
	Attempt int        `json:"attempt,omitempty"`
	Code    codes.Code `json:"code,omitempty"`
	Outcome string     `json:"outcome,omitempty"`
	Detail  string     `json:"detail,omitempty"`
}

// ID returns the job's id.
func (j Job) ID() string { return j.w.Job }

// State returns the job's state, empty if the gate reported none.
func (j Job) State() string { return j.w.State }

// Queue returns the queue that the job was submitted to.
func (j Job) Queue() string { return j.w.Queue }

// Worker returns the worker that holds the job's lease, empty for none.
func (j Job) Worker() string { return j.w.Worker }

// Attempt returns how many times the job has been started.
func (j Job) Attempt() int { return j.w.Attempt }

// Code returns the numbered result, OK while there is nothing to report.
func (j Job) Code() codes.Code { return j.w.Code }

// MarshalJSON returns the wire form.
func (j Job) MarshalJSON() ([]byte, error) { return json.Marshal(j.w) }

// UnmarshalJSON reads the wire form.
func (j *Job) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &j.w) }

// Client calls the callers' API with a team's key.
type Client struct {
	gates *gates.Client
}

// New returns a client that authenticates with the team's key in the options.
func New(options gates.Options) *Client { return &Client{gates.New(options)} }

// Submit submits a long job. The call is not repeated once a gate may have acted on it, since a repeat would be another
// job.
func (c *Client) Submit(ctx context.Context, queue string, spec []byte) (Job, error) {
	var j Job
	path := "/v1/queues/" + url.PathEscape(queue) + "/jobs"
	return j, c.gates.Do(ctx, gates.Call{Method: http.MethodPost, Path: path, Body: spec, AtMostOnce: true}, &j)
}

// Status returns the state of a job.
func (c *Client) Status(ctx context.Context, id string) (Job, error) {
	j := Job{jobWire{Job: id}}
	return j, c.gates.Get(ctx, "/v1/jobs/"+url.PathEscape(id), &j)
}

// Cancel cancels a job; it is idempotent.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	j := Job{jobWire{Job: id}}
	return j, c.gates.Do(ctx, gates.Call{Method: http.MethodDelete, Path: "/v1/jobs/" + url.PathEscape(id)}, &j)
}
