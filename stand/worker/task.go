package worker

import (
	"encoding/json"
	"strconv"
	"time"

	"mangowing/stand/count"
)

// States of a task.
const (
	stateRunning   = "running"
	stateThrottled = "throttled"
	stateDone      = "done"
	stateFailed    = "failed"
	stateStopped   = "stopped"
	stateLapsed    = "lapsed"
)

const throttleDivisor = 2

// task is one leased task; its progress is the run time done so far.
type task struct {
	id         string
	team       string
	state      string
	runFor     time.Duration
	never      bool
	progress   time.Duration
	checkpoint string
	lease      time.Time
	advanced   time.Time
	run        *count.Run
}

// specWire is a task's spec: how long it runs (0: until stopped), from which checkpoint, and whether it always fails.
type specWire struct {
	RunMs      int64  `json:"run-ms"`
	Checkpoint string `json:"checkpoint"`
	Never      bool   `json:"never"`
	WorkID     string `json:"work-id"`
}

type taskWire struct {
	ID          string `json:"id"`
	Team        string `json:"team"`
	State       string `json:"state"`
	Checkpoint  string `json:"checkpoint"`
	LeaseLeftMs int64  `json:"lease-left-ms"`
}

func newTask(id string, w startTaskWire, now time.Time) (*task, specWire) {
	var spec specWire
	_ = json.Unmarshal([]byte(w.Spec), &spec)
	return &task{
		id:         id,
		team:       w.Team,
		state:      stateRunning,
		runFor:     time.Duration(spec.RunMs) * time.Millisecond,
		never:      spec.Never,
		progress:   time.Duration(number(spec.Checkpoint)) * time.Millisecond,
		checkpoint: spec.Checkpoint,
		lease:      now.Add(w.lease()),
		advanced:   now,
	}, spec
}

func (t *task) active() bool { return t.state == stateRunning || t.state == stateThrottled }

func (t *task) advance(now time.Time, fails bool) {
	if !t.active() {
		return
	}
	step := now.Sub(t.advanced)
	if t.state == stateThrottled {
		step /= throttleDivisor
	}
	t.progress += step
	t.advanced = now
	switch {
	case t.never || fails:
		t.end(now, stateFailed)
	case t.runFor > 0 && t.progress >= t.runFor:
		t.end(now, stateDone)
	case !now.Before(t.lease):
		t.end(now, stateLapsed)
	}
}

func (t *task) end(now time.Time, state string) {
	if !t.active() {
		return
	}
	t.state = state
	t.run.End(now, state != stateDone)
}

func (t *task) saveCheckpoint() { t.checkpoint = strconv.FormatInt(t.progress.Milliseconds(), 10) }

func (t *task) wire(now time.Time) taskWire {
	left := max(0, t.lease.Sub(now).Milliseconds())
	if !t.active() {
		left = 0
	}
	return taskWire{t.id, t.team, t.state, t.checkpoint, left}
}
