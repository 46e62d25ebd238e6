package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRackBench returns a bench with the given number of workers of four cores on each of the racks r1, r2 and so on.
func newRackBench(t *testing.T, remoteFactor float64, racks, perRack int) *testBench {
	b := newTestBench(t, 0)
	b.sc.options.RemoteFactor = remoteFactor
	for rack := range racks {
		for i := range perRack {
			id := fmt.Sprintf("w%d-%d", rack+1, i+1)
			b.addWorker(id, "pots")
			e := b.entries[id]
			e.Labels = []string{"k", fmt.Sprintf("r%d", rack+1)}
			b.entries[id] = e
		}
	}
	b.listWorkers()
	b.answerPolls()
	return b
}

func dataStep(count int, rack string) StepSpec {
	s := oneCoreStep(count)
	s.DataRack = rack
	return s
}

// Guards against tasks that start far from their data just before room is free there, and against waits that hold up what is behind.
func TestTaskWaitsForItsRackWhileThatPaysOff(t *testing.T) {
	group := oneCoreStep(5)
	group.RackLocal = true
	scenarios := []struct {
		testName string
		factor   float64
		elapsed  time.Duration // of the tasks that fill rack r1
		step     StepSpec
		started  int // of the step's tasks, at once
	}{
		{"room soon", 2, 900 * time.Millisecond, dataStep(1, "r1"), 0},
		{"disabled", 0, 900 * time.Millisecond, dataStep(1, "r1"), 1},
		{"room late", 1.5, 0, dataStep(1, "r1"), 1},
		{"unknown rack", 2, 900 * time.Millisecond, dataStep(1, "r9"), 1},
		{"no rack", 2, 900 * time.Millisecond, oneCoreStep(1), 1},
		{"hot rack", 2, 900 * time.Millisecond, dataStep(8, "r1"), 4},
		{"beside its group", 2, 900 * time.Millisecond, group, 4},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newRackBench(t, s.factor, 2, 1)
			b.submit("first", dataStep(4, "r1"))
			b.answerStarts(AnswerOK)
			b.advance(s.elapsed)
			b.submit("a", s.step)
			assert.Equal(t, len(b.answerStarts(AnswerOK)), s.started)
			if s.started == 0 {
				b.submit("behind", oneCoreStep(1))
				assert.Equal(t, len(b.answerStarts(AnswerOK)), 1, "a task behind the one that waits")
			}
		})
	}
}

// Guards against waits without end, and against counts that don't tell waits that paid off from those in vain.
func TestWaitEndsOnTheRackOrElsewhere(t *testing.T) {
	first := oneCoreStep(4)
	first.DataRack, first.EstimateMs = "r1", 1000
	scenarios := []struct {
		testName string
		happens  func(b *testBench, first []StartTask) *testBench
		expected string // worker
		gained   uint64
	}{
		{"room on the rack", func(b *testBench, first []StartTask) *testBench { b.endAttempt(first[0], AttemptDone); return b }, "w1-1", 1},
		{"the tasks there go on", func(b *testBench, _ []StartTask) *testBench { return b }, "w2-1", 0},
		{"the rack disappears", func(b *testBench, _ []StartTask) *testBench {
			delete(b.entries, "w1-1")
			b.listWorkers()
			return b
		}, "w2-1", 0},
		{"a takeover", func(b *testBench, _ []StartTask) *testBench { return b.takeOver() }, "w2-1", 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newRackBench(t, 2, 2, 1)
			b.submit("first", first)
			running := b.answerStarts(AnswerOK)
			b.advance(900 * time.Millisecond)
			b.submit("a", dataStep(1, "r1"))
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 0)
			assert.Equal(t, b.sc.LocalityWaits().Begun(), uint64(1))
			takenOver := b
			b = s.happens(b, running)
			var starts []StartTask
			for waited := time.Duration(0); len(starts) == 0; waited += 50 * time.Millisecond {
				assert.Assert(t, waited <= 1200*time.Millisecond, "waits for longer than it would lose")
				b.answerPolls()
				starts = b.answerStarts(AnswerOK)
				b.advance(50 * time.Millisecond)
			}
			assert.Equal(t, starts[0].Worker, s.expected)
			if b == takenOver {
				waits := b.sc.LocalityWaits()
				assert.Equal(t, waits.Gained(), s.gained)
				assert.Equal(t, waits.InVain(), 1-s.gained)
			}
		})
	}
}

// takeOver returns a bench whose scheduler has replayed the journal and polled all workers.
func (b *testBench) takeOver() *testBench {
	next := *b
	next.sc = New(b.sc.options)
	for _, r := range b.records {
		assert.NilError(b.t, next.sc.Replay(r))
	}
	next.sc.TakeOwnership(next.now, 0)
	next.sc.Configure(next.now, testConfig())
	next.listWorkers()
	for _, o := range takeOrders[PollWorker](&next) {
		res := PollResult{Order: o, SentAt: next.now, GrantedAt: next.now, Incarnation: 1}
		for key := range next.sc.workers[o.Worker].runs {
			res.Active = append(res.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
		}
		next.sc.ApplyResult(next.now, res)
	}
	next.decideAndStore()
	return &next
}

// playRacks submits 25 jobs of one task a second for 15 s to 4 racks of 2 workers, and returns all starts, the mean time of a job and the number
// of refused jobs. Nine of ten tasks have data, on one of the given number of racks; of these the fourth and later ones are the same. Tasks
// run for their estimate on their data's rack and twice as long elsewhere.
func playRacks(t *testing.T, remoteFactor float64, dataRacks int) (starts []string, mean time.Duration, refused int) {
	const step, steps = 50 * time.Millisecond, 300
	b := newRackBench(t, remoteFactor, 4, 2)
	random := rand.New(rand.NewPCG(7, 7))
	type run struct {
		start  StartTask
		endsAt time.Time
	}
	var running []run
	submitted, ended := map[string]time.Time{}, 0
	for n := 0; n < steps || len(running) > 0; n++ {
		for i := 0; n < steps && i < 1+n%4/3; i++ {
			s := oneCoreStep(1)
			s.EstimateMs = 640 + 660*int64(random.IntN(2))
			if hasData := random.IntN(10) > 0; hasData && dataRacks > 0 {
				s.DataRack = fmt.Sprintf("r%d", min(1+random.IntN(dataRacks), 4))
			}
			id := fmt.Sprint(n, "-", i)
			submitted[id] = b.now
			if result, _ := b.sc.Submit(b.now, JobSpec{ID: id, Queue: "plans", Pool: "pots", Steps: []StepSpec{s}, Slack: 1.6, TargetMs: 600, FirstReceivedMs: b.now.UnixMilli()}); result != Accepted {
				refused++
			}
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.endsAt.After(b.now) {
				return false
			}
			b.endAttempt(r.start, AttemptDone)
			mean, ended = mean+b.now.Sub(submitted[r.start.Task.Job]), ended+1
			return true
		})
		b.answerPolls()
		for _, o := range b.answerStarts(AnswerOK) {
			spec := b.sc.jobs[o.Task.Job].spec.Steps[0]
			took := spec.Estimate()
			if spec.DataRack != "" && !b.sc.workers[o.Worker].hasLabel(spec.DataRack) {
				took *= 2
			}
			running = append(running, run{o, b.now.Add(took)})
			starts = append(starts, fmt.Sprint(n, o.Task, o.Worker))
		}
		b.advance(step)
	}
	return starts, mean / time.Duration(ended), refused
}

// The load is short jobs on four fifths of the cores. Guards against other decisions for tasks without a rack, and against waits that gain
// nothing for those with one.
func TestWaitsForLocalityUnderLoad(t *testing.T) {
	before, _, _ := playRacks(t, 0, 0)
	after, _, _ := playRacks(t, 2, 0)
	assert.DeepEqual(t, before, after)
	for testName, dataRacks := range map[string]int{"even": 4, "one hot rack": 6} {
		_, never, refusedBefore := playRacks(t, 0, dataRacks)
		_, waits, refused := playRacks(t, 2, dataRacks)
		t.Logf("%s: mean time of a job %s without waits, %s with them; refused %d and %d", testName, never, waits, refusedBefore, refused)
		assert.Assert(t, waits < never*3/4 && refused <= refusedBefore, "%s", testName)
	}
}
