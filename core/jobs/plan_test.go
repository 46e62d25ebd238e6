package jobs

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const nowMs = 1_000_000

func worker(name, domain string, free int, edit ...func(*WorkerSpec)) Worker {
	s := WorkerSpec{Name: name, Domain: domain, Free: free, Serving: true, Reachable: true}
	for _, e := range edit {
		e(&s)
	}
	return NewWorker(s)
}

func waiting(id string, size int, failedOn ...string) Job {
	return NewJob(JobSpec{ID: id, Team: "photos", Size: size, FailedOn: failedOn})
}

func running(id, worker string, edit ...func(*JobSpec)) Job {
	s := JobSpec{ID: id, Team: "photos", Size: 1, State: Running, Worker: worker, LeaseEnds: nowMs + 1}
	for _, e := range edit {
		e(&s)
	}
	return NewJob(s)
}

func draining(s *WorkerSpec)    { s.Serving = false }
func unreachable(s *WorkerSpec) { s.Reachable = false }
func fenced(s *WorkerSpec)      { s.Reachable, s.Fenced = false, true }
func failsAll(s *WorkerSpec)    { s.FailsAll = true }
func lapsed(s *JobSpec)         { s.LeaseEnds = nowMs }
func saved(s *JobSpec)          { s.State = Checkpointed }
func cancelled(s *JobSpec)      { s.Cancelled = true }
func failed(on ...string) func(*JobSpec) {
	return func(s *JobSpec) { s.State, s.FailedOn = Failed, on }
}

func texts(actions []Action) []string {
	out := []string{}
	for _, action := range actions {
		switch a := action.(type) {
		case Place:
			out = append(out, a.Job()+" on "+a.Worker())
		case Requeue:
			out = append(out, "requeue "+a.Job())
		case SetAside:
			out = append(out, "set aside "+a.Job())
		case Checkpoint:
			out = append(out, "checkpoint "+a.Job()+" on "+a.Worker())
		case Stop:
			out = append(out, fmt.Sprint("stop ", a.Jobs(), " on ", a.Worker()))
		case Cancel:
			out = append(out, fmt.Sprint("cancel ", a.Jobs()))
		}
	}
	return out
}

func TestPlan(t *testing.T) {
	scenarios := []struct {
		testName string
		jobs     []Job
		workers  []Worker
		expected []string
	}{
		{"largest first", []Job{waiting("a", 1), waiting("b", 8)}, []Worker{worker("w1", "r1", 8)}, []string{"b on w1"}},
		{"fullest worker that fits", []Job{waiting("a", 3)}, []Worker{worker("w1", "r1", 8), worker("w2", "r1", 4), worker("w3", "r1", 2)}, []string{"a on w2"}},
		{"spread over failure domains", []Job{waiting("a", 1), waiting("b", 1)}, []Worker{worker("w1", "r1", 8), worker("w2", "r1", 8), worker("w3", "r2", 8)}, []string{"a on w1", "b on w3"}},
		{"counts what runs", []Job{running("a", "w1"), waiting("b", 1)}, []Worker{worker("w1", "r1", 1), worker("w2", "r2", 8)}, []string{"b on w2"}},
		{"no room", []Job{waiting("a", 9)}, []Worker{worker("w1", "r1", 8)}, []string{}},
		{"not where it failed", []Job{waiting("a", 1, "w1")}, []Worker{worker("w1", "r1", 1), worker("w2", "r1", 8)}, []string{"a on w2"}},
		{"not on a draining, silent or failing worker", []Job{waiting("a", 1)}, []Worker{worker("w1", "r1", 8, draining), worker("w2", "r1", 8, unreachable), worker("w3", "r1", 8, failsAll)}, []string{}},
		{"silent worker, lease runs", []Job{running("a", "w1")}, []Worker{worker("w1", "r1", 0, unreachable)}, []string{}},
		{"silent worker, lease lapsed", []Job{running("a", "w1", lapsed)}, []Worker{worker("w1", "r1", 0, unreachable)}, []string{"requeue a"}},
		{"fenced worker", []Job{running("a", "w1")}, []Worker{worker("w1", "r1", 0, fenced)}, []string{"requeue a"}},
		{"worker no longer listed, lease runs", []Job{running("a", "w1")}, nil, []string{}},
		{"saved before a drain", []Job{running("a", "w1")}, []Worker{worker("w1", "r1", 0, draining)}, []string{"checkpoint a on w1"}},
		{"ended once saved", []Job{running("a", "w1", saved), running("b", "w1", saved)}, []Worker{worker("w1", "r1", 0, draining)}, []string{"stop [a b] on w1"}},
		{"failed twice", []Job{running("a", "w3", failed("w1", "w2"))}, []Worker{worker("w3", "r1", 0)}, []string{"requeue a"}},
		{"failed on three healthy workers", []Job{running("a", "w3", failed("w1", "w2", "w3"))}, []Worker{worker("w3", "r1", 0)}, []string{"set aside a"}},
		{"cancellations in groups", []Job{running("d", "w1", cancelled), running("c", "w1", cancelled), NewJob(JobSpec{ID: "b", Cancelled: true}), NewJob(JobSpec{ID: "a", Cancelled: true})}, []Worker{worker("w1", "r1", 0)}, []string{"cancel [a b]", "stop [c d] on w1"}},
		{"cancelled on a silent worker", []Job{running("a", "w1", cancelled)}, []Worker{worker("w1", "r1", 0, unreachable)}, []string{}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.DeepEqual(t, texts(Plan(View{Jobs: s.jobs, Workers: s.workers, NowMs: nowMs})), s.expected)
		})
	}
}

func TestRepeatedCancellationsAreTheSameCall(t *testing.T) {
	assert.Equal(t, Stop{"w1", []string{"a", "b"}}.RequestID(), Stop{"w1", []string{"a", "b"}}.RequestID())
	assert.Assert(t, Stop{"w1", []string{"a"}}.RequestID() != Stop{"w2", []string{"a"}}.RequestID())
	assert.Assert(t, Cancel{[]string{"a"}}.RequestID() != Cancel{[]string{"b"}}.RequestID())
}
