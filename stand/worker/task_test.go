package worker

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTasks(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	start := func(ms int, id, spec string, token uint64) func(h handler) int {
		return func(h handler) int {
			status, _ := h.startTask(id, startTaskWire{"t", 1000, spec, token}, at(ms))
			return status
		}
	}
	act := func(ms int, id, action string) func(h handler) int {
		return func(h handler) int {
			status, _ := h.actOnTask(id, action, at(ms))
			return status
		}
	}
	ok, conflict := http.StatusOK, http.StatusConflict
	scenarios := []struct {
		testName         string
		steps            []func(h handler) int
		fault            string
		expectedStatuses []int
		readMs           int
		expected         taskWire
	}{
		{"runs under its lease", []func(h handler) int{start(0, "j", "", 1)}, "", []int{ok}, 400, taskWire{"j", "t", "running", "", 600}},
		{"lapses without renewal", []func(h handler) int{start(0, "j", "", 1)}, "", []int{ok}, 1000, taskWire{"j", "t", "lapsed", "", 0}},
		{"goes on when renewed", []func(h handler) int{start(0, "j", "", 1), start(900, "j", "", 1)}, "", []int{ok, ok}, 1000, taskWire{"j", "t", "running", "", 900}},
		{"can't be renewed once lapsed", []func(h handler) int{start(0, "j", "", 1), start(1001, "j", "", 1)}, "", []int{ok, conflict}, 1001, taskWire{"j", "t", "lapsed", "", 0}},
		{"is done after its run time", []func(h handler) int{start(0, "j", `{"run-ms":300}`, 1)}, "", []int{ok}, 300, taskWire{"j", "t", "done", "", 0}},
		{"runs at half speed when throttled", []func(h handler) int{start(0, "j", `{"run-ms":300}`, 1), act(0, "j", "throttle"), act(400, "j", "checkpoint")}, "", []int{ok, ok, ok}, 400, taskWire{"j", "t", "throttled", "200", 600}},
		{"goes on from a checkpoint", []func(h handler) int{start(0, "j", `{"run-ms":300,"checkpoint":"200"}`, 1)}, "", []int{ok}, 100, taskWire{"j", "t", "done", "200", 0}},
		{"is stopped", []func(h handler) int{start(0, "j", "", 1), act(10, "j", "stop")}, "", []int{ok, ok}, 10, taskWire{"j", "t", "stopped", "", 0}},
		{"can never run", []func(h handler) int{start(0, "j", `{"never":true}`, 1)}, "", []int{ok}, 1, taskWire{"j", "t", "failed", "", 0}},
		{"fails on a worker that fails everything", []func(h handler) int{start(0, "j", "", 1)}, "fails-everything", []int{ok}, 1, taskWire{"j", "t", "failed", "", 0}},
		{"an older token is refused", []func(h handler) int{start(0, "j", "", 5), start(10, "j", "", 4)}, "", []int{ok, conflict}, 10, taskWire{"j", "t", "running", "", 990}},
		{"a task takes a slot", []func(h handler) int{start(0, "j", "", 1), start(0, "k", "", 1), start(0, "l", "", 1)}, "", []int{ok, ok, http.StatusTooManyRequests}, 0, taskWire{"j", "t", "running", "", 1000}},
		{"no such task, no such action", []func(h handler) int{start(0, "j", "", 1), act(0, "x", "stop"), act(0, "j", "sotp")}, "", []int{ok, 404, 404}, 0, taskWire{"j", "t", "running", "", 1000}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w, _ := startWorker(t)
			h := handler{w, w.session}
			if s.fault != "" {
				assert.Assert(t, w.SetFault(s.fault, 1))
			}
			for i, step := range s.steps {
				assert.Equal(t, step(h), s.expectedStatuses[i])
			}
			w.Tick(at(s.readMs))
			assert.DeepEqual(t, h.session.tasks["j"].wire(at(s.readMs)), s.expected)
		})
	}
}
