package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Outcomes of a request that a worker reports.
const (
	OutcomeRan     = "ran"
	OutcomeRunning = "running"
	OutcomeNotSeen = "not-seen"
)

// Workers calls the control API of workers. Time limits are set by the context of each call.
type Workers struct {
	http *http.Client
}

type outcomeWire struct {
	Outcome string `json:"outcome"`
}

type taskSpecWire struct {
	Team    string `json:"team"`
	LeaseMs int64  `json:"lease-ms"`
	Spec    string `json:"spec"`
	Token   uint64 `json:"token"`
}

type tasksWire struct {
	AsOfMs int64      `json:"as-of-ms"`
	Tasks  []taskWire `json:"tasks"`
}

// NewWorkers returns a client for all workers.
func NewWorkers() *Workers { return &Workers{http: newHTTPClient()} }

// Running returns a worker's last report of its running requests. The error is a *CallError.
func (w *Workers) Running(ctx context.Context, address string) (RunningReport, error) {
	var answer RunningReport
	err := call{method: http.MethodGet, address: address, path: "/running", out: &answer.w}.do(ctx, w.http)
	return answer, err
}

// Outcome returns OutcomeRan, OutcomeRunning or OutcomeNotSeen for a request. The error is a *CallError.
func (w *Workers) Outcome(ctx context.Context, address, requestID string) (string, error) {
	var answer outcomeWire
	path := "/outcome/" + url.PathEscape(requestID)
	err := call{method: http.MethodGet, address: address, path: path, out: &answer}.do(ctx, w.http)
	return answer.Outcome, err
}

// StartTask starts a task under a lease, or renews the lease if the task is running. The error is a *CallError.
func (w *Workers) StartTask(ctx context.Context, address, id string, spec TaskSpec) error {
	body, err := json.Marshal(taskSpecWire{spec.Team, spec.Lease.Milliseconds(), spec.Spec, spec.Token})
	if err != nil {
		return &CallError{call: "start task", effect: EffectNone, cause: err}
	}
	return call{method: http.MethodPut, address: address, path: taskPath(id), body: body}.do(ctx, w.http)
}

// Checkpoint makes a task save its progress. The error is a *CallError.
func (w *Workers) Checkpoint(ctx context.Context, address, id string) error {
	return w.postAction(ctx, address, id, "checkpoint")
}

// Throttle makes a task run slower. The error is a *CallError.
func (w *Workers) Throttle(ctx context.Context, address, id string) error {
	return w.postAction(ctx, address, id, "throttle")
}

// StopTask stops a task. The error is a *CallError.
func (w *Workers) StopTask(ctx context.Context, address, id string) error {
	return w.postAction(ctx, address, id, "stop")
}

// Tasks returns the tasks that a worker last reported. The error is a *CallError.
func (w *Workers) Tasks(ctx context.Context, address string) ([]Task, error) {
	var answer tasksWire
	err := call{method: http.MethodGet, address: address, path: "/tasks", out: &answer}.do(ctx, w.http)
	if err != nil {
		return nil, err
	}
	out := make([]Task, 0, len(answer.Tasks))
	for _, t := range answer.Tasks {
		out = append(out, Task{t})
	}
	return out, nil
}

func (w *Workers) postAction(ctx context.Context, address, id, action string) error {
	path := taskPath(id) + "/" + action
	return call{method: http.MethodPost, address: address, path: path, body: []byte("{}")}.do(ctx, w.http)
}

func taskPath(id string) string { return "/tasks/" + url.PathEscape(id) }

// RunningReport is a worker's report of its running requests. It may be outdated, see AsOfMs.
type RunningReport struct {
	w runningWire
}

type runningWire struct {
	AsOfMs  int64                `json:"as-of-ms"`
	Slots   int                  `json:"slots"`
	Running []runningRequestWire `json:"running"`
}

type runningRequestWire struct {
	RequestID string `json:"request-id"`
	Team      string `json:"team"`
	Gate      string `json:"gate"`
}

// AsOfMs returns the time that the report describes in Unix milliseconds, by the worker's clock.
func (r RunningReport) AsOfMs() int64 { return r.w.AsOfMs }

// Slots returns how many requests the worker can run at once.
func (r RunningReport) Slots() int { return r.w.Slots }

// Requests returns the running requests.
func (r RunningReport) Requests() []RunningRequest {
	out := make([]RunningRequest, 0, len(r.w.Running))
	for _, w := range r.w.Running {
		out = append(out, RunningRequest{w})
	}
	return out
}

// RunningRequest is a request that a worker runs.
type RunningRequest struct {
	w runningRequestWire
}

// NewRunningRequest returns a running request, for tests.
func NewRunningRequest(requestID, team, gate string) RunningRequest {
	return RunningRequest{runningRequestWire{requestID, team, gate}}
}

// RequestID returns the request's id.
func (r RunningRequest) RequestID() string { return r.w.RequestID }

// Team returns the team that the request runs for.
func (r RunningRequest) Team() string { return r.w.Team }

// Gate returns the incarnation of the gate that sent it.
func (r RunningRequest) Gate() string { return r.w.Gate }

// TaskSpec holds the parameters of Workers.StartTask.
type TaskSpec struct {
	Team  string        // the team that the task runs for
	Lease time.Duration // the worker ends the task if the lease is not renewed within this time
	Spec  string        // the job's specification, passed on unchanged
	Token uint64        // the planner's fencing token; a worker refuses a token lower than the last one it received
}

// Task is a worker's report of one task.
type Task struct {
	w taskWire
}

type taskWire struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	State       string `json:"state"`
	Checkpoint  string `json:"checkpoint"`
	LeaseLeftMs int64  `json:"lease-left-ms"`
}

// ID returns the task's id.
func (t Task) ID() string { return t.w.ID }

// Team returns the team that the task runs for.
func (t Task) Team() string { return t.w.Team }

// State returns running, throttled, done, stopped or lapsed.
func (t Task) State() string { return t.w.State }

// Checkpoint returns the last saved progress, empty if there is none.
func (t Task) Checkpoint() string { return t.w.Checkpoint }

// LeaseLeft returns the remaining time of the lease.
func (t Task) LeaseLeft() time.Duration { return time.Duration(t.w.LeaseLeftMs) * time.Millisecond }
