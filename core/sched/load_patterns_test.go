package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A team submits many times its usual number of jobs.
func TestShareBucketLimitsJobRate(t *testing.T) {
	var bucket shareBucket
	accepted := 0
	for i := range 1000 {
		if bucket.takeToken(testStart.Add(time.Duration(i)*10*time.Millisecond), 5) {
			accepted++
		}
	}
	assert.Assert(t, accepted >= 65 && accepted <= 75, "5 a second over 10 s and the burst: %d", accepted)
}

// One team submits far more than its share while other teams use the same full pool.
func TestOverShareJobsRunAfterOtherTeams(t *testing.T) {
	b := newTestBench(t, 1)
	for i := range 50 {
		_, _ = b.sc.Submit(b.now, JobSpec{
			ID: fmt.Sprintf("hot%d", i), Queue: "plans", Pool: "pots", Team: "floor", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 60_000,
			FirstReceivedMs: b.now.UnixMilli(),
		})
	}
	_, _ = b.sc.Submit(b.now, JobSpec{
		ID: "calm", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 60_000,
		FirstReceivedMs: b.now.UnixMilli(),
	})
	b.decideAndStore()
	started := map[string]bool{}
	for _, o := range takeOrders[StartTask](b) {
		started[o.Task.Job] = true
	}
	assert.Equal(t, len(started), 4)
	assert.Assert(t, started["calm"])
}

// The pool has more work than it can do in useful time.
func TestJobIsRefusedWithRetryTimeWhenPoolIsOverloaded(t *testing.T) {
	sc := New(Options{})
	spec := JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600}
	scenarios := []struct {
		testName  string
		urgent    float64 // core-seconds ahead
		late      float64
		overShare bool
		refused   bool
		cause     string
	}{
		{"idle pool", 0, 0, false, false, ""},
		{"late but still useful", 400, 0, false, false, ""},
		{"too late to be useful", 600, 0, false, true, "pool-full"},
		{"on time ahead of late work", 100, 900, false, false, ""},
		{"late itself, behind much late work", 400, 900, false, true, "pool-full"},
		{"over the share, idle pool", 50, 0, true, false, ""},
		{"over the share, busy pool", 90, 0, true, true, "share-used"},
		{"over the share, much late work waits", 10, 80, true, true, "share-used"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			sc.demand = map[string]*poolDemand{"pots": {backlog: backlog{secondsOfWork(s.urgent), secondsOfWork(s.late)}, reachableCores: 100}}
			spec.OverShare = s.overShare
			r, refused := sc.checkOverload(&spec)
			assert.Equal(t, refused, s.refused)
			if refused {
				assert.Assert(t, r.RetryAfter().Seconds() >= s.urgent/100)
				assert.Assert(t, !s.overShare || r.RetryAfter().Seconds() >= (s.urgent+s.late)/100)
				assert.Equal(t, r.Cause(), s.cause)
			}
		})
	}
}

// A team with a small resource limit submits more to a large pool than its limit can do. Guards against jobs that are accepted
// and then wait for a minute beside idle workers (soak, seeds 3 and 13).
func TestJobIsRefusedWhenTeamLimitDelaysItTooLong(t *testing.T) {
	b := newTestBench(t, 60)
	submit := func(id, team string) (SubmitResult, Refusal) {
		return b.sc.Submit(b.now, JobSpec{
			ID: id, Queue: "plans", Pool: "pots", Team: team, Steps: []StepSpec{oneCoreStep(16)}, Slack: 1.6, TargetMs: 600,
			FirstReceivedMs: b.now.UnixMilli(),
		})
	}
	const (
		limitCores        = 64 // cores of the team
		seconds           = 8
		maxUsefulWait     = 3*2.2 - 1 // seconds that a job may wait
		coreSecondsPerJob = 16        // core-seconds of a job
	)
	accepted := 0
	for i := range 10 * seconds {
		result, r := submit(fmt.Sprint(i), "retail")
		if result == Accepted {
			accepted += coreSecondsPerJob
		} else {
			assert.Equal(t, r.Cause(), "limit-used")
			assert.Assert(t, r.RetryAfter() >= time.Second)
		}
		b.advance(100 * time.Millisecond)
	}
	assert.Assert(t, accepted >= limitCores*seconds, "%d core-seconds accepted: the limit is used", accepted)
	assert.Assert(t, float64(accepted) <= limitCores*(seconds+maxUsefulWait), "%d core-seconds accepted, the limit does %d a second", accepted, limitCores)
	result, _ := submit("other", "floor")
	assert.Equal(t, result, Accepted, "another team has room")
}

// Two pools have a surge at the same time, and there are not enough machines.
func TestMachinesAreRationedByNeed(t *testing.T) {
	demand := map[string]*poolDemand{
		"pots":  {machines: 38, needed: 60, neededAtLeast: 3},
		"desks": {machines: 2, needed: 20, neededAtLeast: 3},
	}
	assert.Assert(t, rationMachines(demand))
	assert.Equal(t, demand["pots"].needed, 30)
	assert.Equal(t, demand["desks"].needed, 10)
}

// One pool's surge was forecast too high while another pool has work waiting.
func TestRationServesPresentWorkBeforeForecast(t *testing.T) {
	scenarios := []struct {
		testName    string
		pots, desks poolDemand
		expected    [2]int
	}{
		{"enough for the present work", poolDemand{machines: 30, needed: 40, neededWithForecast: 40, neededNow: 10}, poolDemand{machines: 10, needed: 20, neededWithForecast: 20, neededNow: 20}, [2]int{20, 20}},
		{"too few for the present work", poolDemand{machines: 30, needed: 90, neededWithForecast: 90, neededNow: 10}, poolDemand{machines: 10, needed: 70, neededWithForecast: 70, neededNow: 70}, [2]int{5, 35}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Assert(t, rationMachines(map[string]*poolDemand{"pots": &s.pots, "desks": &s.desks}))
			assert.Equal(t, [2]int{s.pots.needed, s.desks.needed}, s.expected)
		})
	}
}

// One pool still has a backlog of late work from an overload or an outage when another pool's surge comes.
func TestRationServesOnTimeWorkBeforeLateBacklog(t *testing.T) {
	scenarios := []struct {
		testName   string
		backlogged poolDemand
		surging    poolDemand
		expected   [2]int
	}{
		{"the surge has started", poolDemand{machines: 36, needed: 60, neededWithForecast: 4, neededNow: 4}, poolDemand{machines: 4, needed: 30, neededWithForecast: 30, neededNow: 30}, [2]int{10, 30}},
		{"the surge is forecast", poolDemand{machines: 36, needed: 60, neededWithForecast: 4, neededNow: 4}, poolDemand{machines: 4, needed: 30, neededWithForecast: 30, neededNow: 2}, [2]int{10, 30}},
		{"the surge alone needs too much", poolDemand{machines: 36, needed: 60, neededWithForecast: 4, neededNow: 4}, poolDemand{machines: 4, needed: 76, neededWithForecast: 76, neededNow: 76}, [2]int{2, 38}},
		{"enough for both", poolDemand{machines: 36, needed: 20, neededWithForecast: 4, neededNow: 4}, poolDemand{machines: 4, needed: 10, neededWithForecast: 10, neededNow: 10}, [2]int{20, 10}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Assert(t, rationMachines(map[string]*poolDemand{"pots": &s.backlogged, "desks": &s.surging}))
			assert.Equal(t, [2]int{s.backlogged.needed, s.surging.needed}, s.expected)
		})
	}
}

// One pool's surge ends as the other's begins.
func TestIdleMachinesMoveToPoolInNeed(t *testing.T) {
	b := newTestBench(t, 6)
	b.addWorker("d1", "desks")
	b.listWorkers()
	b.answerPolls()
	b.listMachinesExcept()
	b.submitQuotes(0, 12)
	b.sc.options.AllowPoolMoves = true
	b.runFor(600 * time.Millisecond)
	moves := takeOrders[MoveMachine](b)
	assert.Assert(t, len(moves) >= 3, "%v", moves)
	for _, o := range moves {
		assert.Equal(t, o.Pool, "desks")
	}
}

// A best-effort task runs beside a serving task whose latency approaches its target.
func TestNextSpeedOfBestEffortTask(t *testing.T) {
	scenarios := []struct {
		testName string
		current  int
		serving  bool
		worst    float64 // highest latency of a serving task, as a share of its target
		expected int
	}{
		{"alone", 0, false, 0, 100},
		{"far from the target", 40, true, 0.3, 55},
		{"between", 40, true, 0.8, 40},
		{"near the target", 100, true, 0.95, 40},
		{"near the target, slow already", 20, true, 0.95, 0},
		{"over the target", 100, true, 1.2, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, nextSpeed(s.current, s.serving, s.worst), s.expected)
		})
	}
}

// A worker fails every task that it starts.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(8))
	for _, o := range b.answerStarts(AnswerOK) {
		if o.Worker == "w1" {
			b.endAttempt(o, AttemptFailed)
		}
	}
	for _, o := range b.answerStarts(AnswerOK) {
		assert.Equal(t, o.Worker, "w2")
	}
	assert.Equal(t, b.state("a"), "in-progress")
}

// A worker answers polls, but its tasks make no progress.
func TestTasksOfStalledWorkerAreRestartedElsewhere(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(4))
	starts := b.answerStarts(AnswerOK)
	stalled := starts[0].Worker
	b.runFor(4 * time.Second)
	stops := takeOrders[StopTask](b)
	assert.Assert(t, len(stops) >= 4, "%v", stops)
	for _, o := range starts {
		b.endAttempt(o, AttemptStopped)
	}
	for _, o := range b.answerStarts(AnswerOK) {
		assert.Assert(t, o.Worker != stalled)
	}
}

// A task takes much longer than estimated on a worker where other tasks end.
func TestLongTaskOnHealthyWorkerIsNotStopped(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(2))
	starts := b.answerStarts(AnswerOK)
	b.runFor(2 * time.Second)
	b.endAttempt(starts[0], AttemptDone)
	b.runFor(4 * time.Second)
	assert.Equal(t, len(takeOrders[StopTask](b)), 0)
}

// One team submits far more than its share, and the scheduler process is short of CPU time.
func TestStarvedSchedulerRefusesOverShareJobs(t *testing.T) {
	scenarios := []struct {
		testName  string
		latency   time.Duration
		overShare SubmitResult
		ordinary  SubmitResult
	}{
		{"enough CPU time", 0, Accepted, Accepted},
		{"starved", starvedLatency, Overloaded, Accepted},
		{"exhausted", exhaustedLatency, Overloaded, Overloaded},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 4)
			b.sc.callLatency.fastest = s.latency
			submit := func(id, team string) SubmitResult {
				result, r := b.sc.Submit(b.now, JobSpec{ID: id, Queue: "plans", Pool: "pots", Team: team, Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600})
				assert.Equal(t, result == Overloaded, r.RetryAfter() > 0)
				assert.Equal(t, result == Overloaded, r.Cause() == "owner-busy")
				return result
			}
			b.sc.ensureTeam("floor").share = shareBucket{refilledAt: b.now}
			assert.Equal(t, submit("hot", "floor"), s.overShare)
			assert.Equal(t, submit("calm", "retail"), s.ordinary)
		})
	}
}

func TestStarvedSchedulerPollsLessOften(t *testing.T) {
	b := newTestBench(t, 1)
	assert.Equal(t, b.sc.minPollInterval(), defaultMinPollInterval)
	b.sc.callLatency.fastest = 100 * time.Millisecond
	assert.Equal(t, b.sc.minPollInterval(), 250*time.Millisecond)
	b.sc.callLatency.fastest = time.Minute
	assert.Equal(t, b.sc.minPollInterval(), maxStarvedPollInterval)
}

// Calls to some workers are slow at first; then all calls are slow, since the scheduler process lacks CPU time.
func TestLatencyMeterUsesFastestCall(t *testing.T) {
	var meter latencyMeter
	now := testStart
	recordAnswer := func(latency time.Duration) {
		now = now.Add(20 * time.Millisecond)
		meter.observe(now, latency)
	}
	for range 10 {
		recordAnswer(400 * time.Millisecond)
		recordAnswer(5 * time.Millisecond)
	}
	assert.Equal(t, meter.fastest, 5*time.Millisecond, "some workers are slow")
	for range 20 {
		recordAnswer(300 * time.Millisecond)
		recordAnswer(280 * time.Millisecond)
	}
	assert.Equal(t, meter.fastest, 280*time.Millisecond, "all calls are slow")
	meter.expire(now.Add(latencyMaxAge))
	assert.Equal(t, meter.fastest, time.Duration(0))
}

// More starts are due than the scheduler process has CPU time for.
func TestStartWindowShrinksUnderLoad(t *testing.T) {
	var w startWindow
	startsInFlight := func() int {
		w.inFlight = 0
		for w.hasSpace() {
			w.inFlight++
		}
		return w.inFlight
	}
	assert.Equal(t, startsInFlight(), initialStartLimit)
	w.adapt(starvedLatency)
	assert.Equal(t, startsInFlight(), initialStartLimit*startLimitKeepPercent/100)
	for range 20 {
		w.adapt(starvedLatency)
	}
	assert.Equal(t, startsInFlight(), minStartLimit)
	w.adapt(0)
	assert.Equal(t, startsInFlight(), minStartLimit+startLimitIncrement)
	w.wasFull = false
	w.adapt(0)
	assert.Equal(t, startsInFlight(), minStartLimit+startLimitIncrement, "it was not full")
}

func TestStartWindowLimitsStartsInFlight(t *testing.T) {
	b := newTestBench(t, 4)
	b.sc.startWindow.limit = 3
	b.submit("a", oneCoreStep(5))
	starts := b.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 3)
	b.advance(time.Millisecond)
	assert.Equal(t, len(takeOrders[StartTask](b)), 2, "the first three were answered")
}

// All pools have work, and the scheduler process is the bottleneck.
func TestStarvedSchedulerRefusesJobsByThroughput(t *testing.T) {
	sc := New(Options{})
	spec := JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600}
	sc.demand = map[string]*poolDemand{"pots": {backlog: backlog{urgent: secondsOfWork(100)}, reachableCores: 1000}, "desks": {backlog: backlog{urgent: secondsOfWork(900)}, reachableCores: 1000}}
	sc.throughput.rate = 100
	_, refused := sc.checkOverload(&spec)
	assert.Assert(t, !refused, "the pools have room")
	sc.callLatency.fastest = starvedLatency
	r, refused := sc.checkOverload(&spec)
	assert.Assert(t, refused && r.RetryAfter() >= 10*time.Second)
	assert.Equal(t, r.Cause(), "owner-busy")
}

// Jobs from the inbox that are read after a new job of their team, as after a takeover. Guards against an ordinary team whose bucket is
// emptied by the time that lies between them.
func TestEarlierTimesTakeNoFurtherTokens(t *testing.T) {
	var bucket shareBucket
	assert.Assert(t, bucket.takeToken(testStart, 5))
	for i := range 19 {
		assert.Assert(t, bucket.takeToken(testStart.Add(time.Duration(i-60)*100*time.Millisecond), 5), "job %d", i)
	}
	assert.Assert(t, !bucket.takeToken(testStart.Add(-time.Second), 5), "the burst is used up")
	assert.Assert(t, bucket.takeToken(testStart.Add(time.Second), 5))
}
