package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: a hot team that sends many times its usual.
func TestShareBucketLimitsJobRate(t *testing.T) {
	var s shareBucket
	accepted := 0
	for i := range 1000 {
		if s.takeToken(testStart.Add(time.Duration(i)*10*time.Millisecond), 5) {
			accepted++
		}
	}
	assert.Assert(t, accepted >= 65 && accepted <= 75, "5 a second over 10 s and the burst: %d", accepted)
}

// Pattern: a hot team beside others in a full pool.
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

// Pattern: more work than the pool can do in any useful time.
func TestJobIsRefusedWithRetryTimeWhenPoolIsOverloaded(t *testing.T) {
	sc := New(Options{})
	spec := JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600}
	scenarios := []struct {
		testName string
		urgent   float64 // core-seconds ahead
		late     float64
		excess   bool
		refused  bool
		cause    string
	}{
		{"idle pool", 0, 0, false, false, ""},
		{"late but useful", 400, 0, false, false, ""},
		{"useless", 600, 0, false, true, "pool-full"},
		{"in time before late work", 100, 900, false, false, ""},
		{"late itself, behind much late work", 400, 900, false, true, "pool-full"},
		{"beyond the share, idle pool", 50, 0, true, false, ""},
		{"beyond the share, busy pool", 90, 0, true, true, "share-used"},
		{"beyond the share, much of that kind waits", 10, 80, true, true, "share-used"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			sc.demand = map[string]*poolDemand{"pots": {backlog: backlog{s.urgent, s.late}, reachableCores: 100}}
			spec.OverShare = s.excess
			r, refused := sc.checkOverload(&spec)
			assert.Equal(t, refused, s.refused)
			if refused {
				assert.Assert(t, r.RetryAfter().Seconds() >= s.urgent/100)
				assert.Assert(t, !s.excess || r.RetryAfter().Seconds() >= (s.urgent+s.late)/100)
				assert.Equal(t, r.Cause(), s.cause)
			}
		})
	}
}

// Pattern: a team with a small limit in a large pool that hands in more than its limit can do. Guards against jobs that
// are accepted and wait for a minute beside idle workers (soak, seeds 3 and 13).
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
	assert.Assert(t, accepted >= limitCores*seconds, "%d core-seconds taken: the limit is used", accepted)
	assert.Assert(t, float64(accepted) <= limitCores*(seconds+maxUsefulWait), "%d core-seconds taken, the limit does %d a second", accepted, limitCores)
	result, _ := submit("other", "floor")
	assert.Equal(t, result, Accepted, "another team has room")
}

// Pattern: two pools in their turns and not enough machines.
func TestMachinesAreRationedByNeed(t *testing.T) {
	demand := map[string]*poolDemand{
		"pots":  {machines: 38, needed: 60, neededAtLeast: 3},
		"desks": {machines: 2, needed: 20, neededAtLeast: 3},
	}
	assert.Assert(t, rationMachines(demand))
	assert.Equal(t, demand["pots"].needed, 30)
	assert.Equal(t, demand["desks"].needed, 10)
}

// Pattern: a turn that was forecast too high, beside a pool whose work waits.
func TestRationServesPresentWorkBeforeForecast(t *testing.T) {
	scenarios := []struct {
		testName    string
		pots, desks poolDemand
		expected    [2]int
	}{
		{"enough for what is there", poolDemand{machines: 30, needed: 40, neededSoon: 40, neededNow: 10}, poolDemand{machines: 10, needed: 20, neededSoon: 20, neededNow: 20}, [2]int{20, 20}},
		{"too few for what is there", poolDemand{machines: 30, needed: 90, neededSoon: 90, neededNow: 10}, poolDemand{machines: 10, needed: 70, neededSoon: 70, neededNow: 70}, [2]int{5, 35}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Assert(t, rationMachines(map[string]*poolDemand{"pots": &s.pots, "desks": &s.desks}))
			assert.Equal(t, [2]int{s.pots.needed, s.desks.needed}, s.expected)
		})
	}
}

// Pattern: a pool's backlog of late work, left by a flood or an outage, as another pool's turn comes.
func TestRationServesOnTimeWorkBeforeLateBacklog(t *testing.T) {
	scenarios := []struct {
		testName string
		late     poolDemand // of the pool with the backlog
		turn     poolDemand
		expected [2]int
	}{
		{"the turn is there", poolDemand{machines: 36, needed: 60, neededSoon: 4, neededNow: 4}, poolDemand{machines: 4, needed: 30, neededSoon: 30, neededNow: 30}, [2]int{10, 30}},
		{"the turn is expected", poolDemand{machines: 36, needed: 60, neededSoon: 4, neededNow: 4}, poolDemand{machines: 4, needed: 30, neededSoon: 30, neededNow: 2}, [2]int{10, 30}},
		{"the turn alone is too much", poolDemand{machines: 36, needed: 60, neededSoon: 4, neededNow: 4}, poolDemand{machines: 4, needed: 76, neededSoon: 76, neededNow: 76}, [2]int{2, 38}},
		{"room for both", poolDemand{machines: 36, needed: 20, neededSoon: 4, neededNow: 4}, poolDemand{machines: 4, needed: 10, neededSoon: 10, neededNow: 10}, [2]int{20, 10}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Assert(t, rationMachines(map[string]*poolDemand{"pots": &s.late, "desks": &s.turn}))
			assert.Equal(t, [2]int{s.late.needed, s.turn.needed}, s.expected)
		})
	}
}

// Pattern: one pool's turn ends as the other's begins.
func TestIdleMachinesMoveToPoolInNeed(t *testing.T) {
	b := newTestBench(t, 6)
	b.addWorker("d1", "desks")
	b.listWorkers()
	b.answerPolls()
	b.listMachinesExcept()
	for i := range 12 {
		_, _ = b.sc.Submit(b.now, JobSpec{
			ID: fmt.Sprint(i), Queue: "quotes", Pool: "desks", Steps: []StepSpec{oneCoreStep(2)}, Slack: 1.6, TargetMs: 600,
			FirstReceivedMs: b.now.UnixMilli(),
		})
	}
	b.sc.options.AllowPoolMoves = true
	b.runFor(600 * time.Millisecond)
	moves := takeOrders[MoveMachine](b)
	assert.Assert(t, len(moves) >= 3, "%v", moves)
	for _, o := range moves {
		assert.Equal(t, o.Pool, "desks")
	}
}

// Pattern: a filling task beside a serving one that nears its target.
func TestNextSpeedOfBestEffortTask(t *testing.T) {
	scenarios := []struct {
		testName string
		paced    int
		serving  bool
		worst    float64
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
			assert.Equal(t, nextSpeed(s.paced, s.serving, s.worst), s.expected)
		})
	}
}

// Pattern: a worker that fails all that it starts.
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

// Pattern: a worker on which all tasks stand still though it answers.
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

// Pattern: one task that is long indeed on a worker where others end.
func TestLongTaskOnHealthyWorkerIsNotStopped(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(2))
	starts := b.answerStarts(AnswerOK)
	b.runFor(2 * time.Second)
	b.endAttempt(starts[0], AttemptDone)
	b.runFor(4 * time.Second)
	assert.Equal(t, len(takeOrders[StopTask](b)), 0)
}

// Pattern: a hot team on a fleet that is larger than what its owner has processor time for.
func TestStarvedSchedulerRefusesOverShareJobs(t *testing.T) {
	scenarios := []struct {
		testName string
		strain   time.Duration
		excess   SubmitResult
		ordinary SubmitResult
	}{
		{"time enough", 0, Accepted, Accepted},
		{"strained", starvedLatency, Overloaded, Accepted},
		{"exhausted", exhaustedLatency, Overloaded, Overloaded},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 4)
			b.sc.callLatency.fastest = s.strain
			submit := func(id, team string) SubmitResult {
				verdict, r := b.sc.Submit(b.now, JobSpec{ID: id, Queue: "plans", Pool: "pots", Team: team, Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600})
				assert.Equal(t, verdict == Overloaded, r.RetryAfter() > 0)
				assert.Equal(t, verdict == Overloaded, r.Cause() == "owner-busy")
				return verdict
			}
			b.sc.ensureTeam("floor").share = shareBucket{refilledAt: b.now}
			assert.Equal(t, submit("hot", "floor"), s.excess)
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

// Pattern: an owner without processor time, and slow workers beside sound ones.
func TestLatencyMeterUsesFastestCall(t *testing.T) {
	var s latencyMeter
	now := testStart
	recordAnswer := func(took time.Duration) {
		now = now.Add(20 * time.Millisecond)
		s.observe(now, took)
	}
	for range 10 {
		recordAnswer(400 * time.Millisecond)
		recordAnswer(5 * time.Millisecond)
	}
	assert.Equal(t, s.fastest, 5*time.Millisecond, "some workers are slow")
	for range 20 {
		recordAnswer(300 * time.Millisecond)
		recordAnswer(280 * time.Millisecond)
	}
	assert.Equal(t, s.fastest, 280*time.Millisecond, "all orders are slow")
	s.expire(now.Add(latencyMaxAge))
	assert.Equal(t, s.fastest, time.Duration(0))
}

// Pattern: more starts than the owner has processor time for.
func TestStartWindowShrinksUnderLoad(t *testing.T) {
	var w startWindow
	underway := func() int {
		w.inFlight = 0
		for w.hasSpace() {
			w.inFlight++
		}
		return w.inFlight
	}
	assert.Equal(t, underway(), initialStartLimit)
	w.adapt(starvedLatency)
	assert.Equal(t, underway(), initialStartLimit*startLimitKeepPercent/100)
	for range 20 {
		w.adapt(starvedLatency)
	}
	assert.Equal(t, underway(), minStartLimit)
	w.adapt(0)
	assert.Equal(t, underway(), minStartLimit+startLimitIncrement)
	w.wasFull = false
	w.adapt(0)
	assert.Equal(t, underway(), minStartLimit+startLimitIncrement, "it was not full")
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

// Pattern: jobs for all pools when the owner is what limits them.
func TestStarvedSchedulerRefusesJobsByThroughput(t *testing.T) {
	sc := New(Options{})
	spec := JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600}
	sc.demand = map[string]*poolDemand{"pots": {backlog: backlog{urgent: 100}, reachableCores: 1000}, "desks": {backlog: backlog{urgent: 900}, reachableCores: 1000}}
	sc.throughput.rate = 100
	_, refused := sc.checkOverload(&spec)
	assert.Assert(t, !refused, "the pools have room")
	sc.callLatency.fastest = starvedLatency
	r, refused := sc.checkOverload(&spec)
	assert.Assert(t, refused && r.RetryAfter() >= 10*time.Second)
	assert.Equal(t, r.Cause(), "owner-busy")
}
