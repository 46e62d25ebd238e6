package intake

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

// appendPause is how long each append takes: all tries are started before the first one ends.
const appendPause = inboxAppendTimeout - inboxHedgeDelay

// scriptedLog is a log whose appends end as listed, each after appendPause.
type scriptedLog struct {
	ports.Log
	mu   sync.Mutex
	ends []error
}

// Append ends like the next entry of the list.
func (l *scriptedLog) Append(ctx context.Context, _ ports.Append) (int64, error) {
	l.mu.Lock()
	end := l.ends[0]
	l.ends = l.ends[1:]
	l.mu.Unlock()
	timer.Sleep(ctx, appendPause)
	return 0, end
}

// Guards against answering that a job was refused although an append without an answer may have stored it (review/2).
func TestJobWhoseAppendGotNoAnswerIsNotRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		ends     []error
		expected codes.Code
	}{
		{"all rejected", []error{ports.ErrRejected, ports.ErrRejected, ports.ErrRejected}, codes.JobStoreAway},
		{"no answer, then rejected", []error{ports.ErrOutcomeUnknown, ports.ErrRejected, ports.ErrRejected}, codes.JobUnsettled},
		{"rejected, then no answer", []error{ports.ErrRejected, ports.ErrOutcomeUnknown, ports.ErrRejected}, codes.JobUnsettled},
		{"stored after a rejection", []error{ports.ErrRejected, nil, nil}, codes.OK},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &scriptedLog{ends: s.ends}
				service := &Service{inbox: inboxWriter{log: log}}
				reply := service.appendToInbox(t.Context(), []byte("job"), "5c0e7a21d94b36f8", false)
				assert.Equal(t, reply.Code(), s.expected)
			})
		})
	}
}

// Guards against an accepted job that no record of the journal holds: its append would fail for ever, and nothing be scheduled any
// more for anybody (review/1).
func TestJobThatNoRecordHoldsIsRefused(t *testing.T) {
	service := &Service{maxJobBytes: sched.Options{}.MaxJobBytes()}
	spec := sched.JobSpec{ID: "5c0e7a21d94b36f8", Steps: make([]sched.StepSpec, 20000)}
	reply := service.submit(t.Context(), spec)
	assert.Equal(t, reply.Code(), codes.JobTooLarge)
}

// Guards against an accepted job that can't be done nearly when it is due: so many tasks are due at once, or rounds follow each other so fast (review/11).
func TestJobWithTooManyTasksDueIsRefused(t *testing.T) {
	now := time.Now().UnixMilli()
	step := sched.StepSpec{Count: 20, CPU: 1000}
	scenarios := []struct {
		testName string
		spec     sched.JobSpec
		refused  bool
	}{
		{"as many as may be", sched.JobSpec{Steps: []sched.StepSpec{{Count: maxTasksDue}}}, false},
		{"one more", sched.JobSpec{Steps: []sched.StepSpec{{Count: maxTasksDue}, {Count: 1}}}, true},
		{"millions", sched.JobSpec{Steps: []sched.StepSpec{{Count: 1 << 40}}}, true},
		{"many rounds, one after the other", sched.JobSpec{Steps: []sched.StepSpec{step}, Repetitions: 1 << 30, StartMs: now, IntervalMs: 2000}, false},
		{"many rounds at once", sched.JobSpec{Steps: []sched.StepSpec{step}, Repetitions: 1 << 30, StartMs: now}, true},
		{"rounds that come due far faster than any owner starts tasks (review/11)", sched.JobSpec{Steps: []sched.StepSpec{{Count: 1000}}, Repetitions: 5000, StartMs: now + 1000, IntervalMs: 1}, true},
		{"rounds a second apart", sched.JobSpec{Steps: []sched.StepSpec{{Count: 1000}}, Repetitions: 1 << 30, StartMs: now + 1000, IntervalMs: 1000}, false},
		{"rounds that overlap", sched.JobSpec{Steps: []sched.StepSpec{{Count: 100, EstimateMs: 60_000}}, Repetitions: 1 << 30, StartMs: now, IntervalMs: 100}, false},
		{"rounds that are overdue after an outage", sched.JobSpec{Steps: []sched.StepSpec{{Count: 100}}, Repetitions: 1000, StartMs: now - 900_000, IntervalMs: 1000}, false},
		{"many rounds since 1970", sched.JobSpec{Steps: []sched.StepSpec{step}, Repetitions: 1 << 40, IntervalMs: 1}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, s.spec.TasksDue(time.UnixMilli(now)) > maxTasksDue, s.refused)
			if s.refused {
				service := &Service{maxJobBytes: sched.Options{}.MaxJobBytes()}
				reply := service.submit(t.Context(), s.spec)
				assert.Equal(t, reply.Code(), codes.JobTooLarge)
			}
		})
	}
}

// Guards against an accepted job that can never start: the tasks of a gang start together, and the attempts that run at a time are bounded.
func TestJobWithAGangThatCannotStartIsRefused(t *testing.T) {
	service := &Service{maxJobBytes: sched.Options{}.MaxJobBytes()}
	wide := sched.StepSpec{Count: maxGangTasks + 1, Gang: true}
	reply := service.submit(t.Context(), sched.JobSpec{Steps: []sched.StepSpec{{Count: 1}, wide}})
	assert.Equal(t, reply.Code(), codes.JobTooLarge)
	wide.Gang = false
	spec := sched.JobSpec{Steps: []sched.StepSpec{wide, {Count: maxGangTasks, Gang: true}}}
	assert.Equal(t, spec.LargestGang(), maxGangTasks)
}

// halfDownLog is a log of which one inbox partition ends every append with an error, at once or when the caller gives up.
type halfDownLog struct {
	ports.Log
	err error
}

// Append fails on partition 0.
func (l *halfDownLog) Append(ctx context.Context, a ports.Append) (int64, error) {
	if a.Partition != 0 {
		return 0, nil
	}
	if errors.Is(l.err, ports.ErrOutcomeUnknown) {
		<-ctx.Done()
	}
	return 0, l.err
}

// Guards against jobs that can't be stored because one partition of the inbox is down, and against asking it first each time.
func TestInboxUsesAnotherPartition(t *testing.T) {
	for _, err := range []error{ports.ErrRejected, ports.ErrOutcomeUnknown} {
		synctest.Test(t, func(t *testing.T) {
			w := &inboxWriter{log: &halfDownLog{err: err}, parts: 2}
			started := time.Now()
			assert.NilError(t, w.append(t.Context(), []byte("job")))
			assert.Assert(t, time.Since(started) <= inboxHedgeDelay)
			started = time.Now()
			assert.NilError(t, w.append(t.Context(), []byte("job")))
			assert.Equal(t, time.Since(started), time.Duration(0))
		})
	}
}

// Guards against memory of the owner that holds texts of any length: an id that no job can have was stored in the inbox, for good.
func TestCancelOfAnIDThatNoJobHasIsAnsweredAtOnce(t *testing.T) {
	for _, id := range []string{"5c0e7a21d94b36f8/more", "abc", strings.Repeat("a", 16<<10)} {
		// It has no owner, no log and no elector to ask.
		reply := (&Service{}).cancel(t.Context(), Call{}, id)
		assert.Equal(t, reply.Code(), codes.JobUnknown)
	}
}
