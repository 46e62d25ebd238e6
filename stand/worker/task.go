package worker

import (
	"encoding/json"
	"strconv"
	"time"

	"mangowing/stand/count"
)

// States of a task; it is expired if its lease was not renewed in time.
const (
	stateRunning   = "running"
	stateThrottled = "throttled"
	stateDone      = "done"
	stateFailed    = "failed"
	stateStopped   = "stopped"
	stateExpired   = "lapsed"
)

const throttleDivisor = 2

// task is a leased task; its progress is the run time completed so far, and its checkpoint that progress in ms.
type task struct {
	id          string
	team        string
	state       string
	runFor      time.Duration
	alwaysFails bool
	progress    time.Duration
	checkpoint  string
	leaseEnd    time.Time
	advancedAt  time.Time
	run         *count.Run
}

// specWire is a task's spec: its run time (0: until stopped), the checkpoint to start from and whether it always fails.
type specWire struct {
	RunMs       int64  `json:"run-ms"`
	Checkpoint  string `json:"checkpoint"`
	AlwaysFails bool   `json:"never"`
	WorkID      string `json:"work-id"`
}

type taskWire struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	State       string `json:"state"`
	Checkpoint  string `json:"checkpoint"`
	LeaseLeftMs int64  `json:"lease-left-ms"`
}

func newTask(id string, body startTaskWire, now time.Time) (*task, specWire) {
	var spec specWire
	_ = json.Unmarshal([]byte(body.Spec), &spec)
	return &task{
		id:          id,
		team:        body.Team,
		state:       stateRunning,
		runFor:      time.Duration(spec.RunMs) * time.Millisecond,
		alwaysFails: spec.AlwaysFails,
		progress:    time.Duration(parseNumber(spec.Checkpoint)) * time.Millisecond,
		checkpoint:  spec.Checkpoint,
		leaseEnd:    now.Add(body.lease()),
		advancedAt:  now,
	}, spec
}

func (t *task) isActive() bool { return t.state == stateRunning || t.state == stateThrottled }

func (t *task) advance(now time.Time, isFailing bool) {
	if !t.isActive() {
		return
	}
	step := now.Sub(t.advancedAt)
	if t.state == stateThrottled {
		step /= throttleDivisor
	}
	t.progress += step
	t.advancedAt = now
	switch {
	case t.alwaysFails || isFailing:
		t.end(now, stateFailed)
	case t.runFor > 0 && t.progress >= t.runFor:
		t.end(now, stateDone)
	case !now.Before(t.leaseEnd):
		t.end(now, stateExpired)
	}
}

func (t *task) end(now time.Time, state string) {
	if !t.isActive() {
		return
	}
	t.state = state
	t.run.End(now, state != stateDone)
}

func (t *task) saveCheckpoint() { t.checkpoint = strconv.FormatInt(t.progress.Milliseconds(), 10) }

func (t *task) wire(now time.Time) taskWire {
	left := max(0, t.leaseEnd.Sub(now).Milliseconds())
	if !t.isActive() {
		left = 0
	}
	return taskWire{t.id, t.team, t.state, t.checkpoint, left}
}
