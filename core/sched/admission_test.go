package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// calmTime is how long the load is ordinary before a pattern begins.
const calmTime = 5 * time.Second

// surge has ordinary clients submit several times a pool's usual number of jobs.
func (b *loadBench) surge(pool int, d time.Duration) {
	b.offer(d, "a", pool, 20, shortSteps)
	b.offer(d, "b", pool, 2, wideSteps)
}

// Each pattern is played with and without the timeline. Guards against jobs that are accepted and then done too late to be of use,
// against refusals in calm, and against ordinary teams that are refused behind a hot one.
func TestAdmissionUnderLoad(t *testing.T) {
	scenarios := []struct {
		testName string
		tails    int // of a hundred tasks
		play     func(b *loadBench)
	}{
		{"surges in turn beside two hot teams", 0, func(b *loadBench) {
			for i := range 4 {
				b.surge(i, 4*time.Second)
				b.offer(2*time.Second, "hot", i, 60, shortSteps)
				b.offer(2*time.Second, "hot-too", i, 15, wideSteps)
				b.run(4 * time.Second)
			}
		}},
		{"a burst at the change of surges", 0, func(b *loadBench) {
			b.surge(0, 5*time.Second)
			b.run(4500 * time.Millisecond)
			b.offer(500*time.Millisecond, "a", 1, 200, shortSteps)
			b.surge(1, 5*time.Second)
			b.run(5 * time.Second)
		}},
		{"two pools short at once", 0, func(b *loadBench) {
			b.surge(0, 6*time.Second)
			b.surge(1, 6*time.Second)
			b.run(6 * time.Second)
		}},
		{"tails", 3, func(b *loadBench) {
			b.surge(0, 6*time.Second)
			b.run(4 * time.Second)
			b.surge(1, 6*time.Second)
			b.run(6 * time.Second)
		}},
		{"a takeover in the middle", 0, func(b *loadBench) {
			b.surge(0, 6*time.Second)
			b.surge(1, 6*time.Second)
			b.run(3 * time.Second)
			b.takeOver()
			b.offer(300*time.Millisecond, "a", 2, 300, shortSteps)
			b.run(3 * time.Second)
		}},
		{"half of the machines in maintenance", 0, func(b *loadBench) {
			for id, m := range b.machines {
				if id < "m-40" {
					delete(b.entries, m.Worker)
					m.State, m.Worker = MachineInMaintenance, ""
					b.machines[id] = m
				}
			}
			b.surge(0, 6*time.Second)
			b.run(6 * time.Second)
		}},
		{"a flood through the inbox", 0, func(b *loadBench) {
			for i := range 1500 {
				at := b.now.Add(time.Duration(i-1500) * time.Millisecond).UnixMilli()
				name := fmt.Sprintf("pool-%d", i%loadPools)
				b.sc.AcceptFromInbox(b.now, JobSpec{
					ID: fmt.Sprintf("f%015x", i), Queue: name, Pool: name, Team: "hot", Steps: shortSteps(), MaxAttempts: 2, Slack: 1.6,
					TargetMs: 600, AcceptedMs: at, FirstReceivedMs: at,
				})
			}
			b.run(6 * time.Second)
		}},
	}
	teams := []setup.Team{{Name: "a", Weight: 100}, {Name: "b", Weight: 100}, {Name: "hot", Weight: 2}, {Name: "hot-too", Weight: 0.5}}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			play := func(timeline bool) *loadBench {
				b := newLoadBench(timeline, teams...)
				b.tails = s.tails
				b.run(time.Second)
				b.offerUsual(20 * time.Second)
				b.run(calmTime)
				s.play(b)
				b.run(15 * time.Second)
				return b
			}
			with, without := play(true), play(false)
			all, before := with.result(0, "a", "b", "hot", "hot-too"), without.result(0, "a", "b", "hot", "hot-too")
			t.Logf("with the timeline %+v, worth %.3f; without %+v, worth %.3f", all, all.worth(), before, before.worth())
			assert.Assert(t, all.worth() > before.worth())
			assert.Assert(t, 20*all.useless <= all.offered-all.refused, "accepted, and then too late to be of use")
			calm := with.result(calmTime-time.Second, "a", "b")
			assert.Assert(t, calm.refused == 0 && (s.tails > 0 || calm.inTime == calm.offered), "%+v", calm)
			ordinary, hot := with.result(0, "a", "b"), with.result(0, "hot", "hot-too")
			assert.Assert(t, hot.offered == 0 || 4*ordinary.refused*hot.offered < hot.refused*ordinary.offered, "%+v %+v", ordinary, hot)
		})
	}
}

// Guards against other decisions in a fleet whose pools have room: ordinary load, with long tasks.
func TestTimelineChangesNothingInCalm(t *testing.T) {
	play := func(timeline bool) []Record {
		b := newLoadBench(timeline, setup.Team{Name: "a", Weight: 100}, setup.Team{Name: "b", Weight: 100})
		b.sc.options.AllowPoolMoves = false
		b.offerUsual(10 * time.Second)
		b.run(15 * time.Second)
		return b.records
	}
	assert.DeepEqual(t, play(true), play(false))
}

// Guards against a pool that stays too small since nothing but refusals shows its demand: a surge that is refused at first.
func TestRefusedWorkMovesMachines(t *testing.T) {
	b := newLoadBench(true, setup.Team{Name: "b", Weight: 100})
	b.run(time.Second)
	b.offer(time.Second, "b", 0, 20, wideSteps)
	b.run(900 * time.Millisecond)
	assert.Assert(t, len(b.sc.admission.refused) > 0)
	assert.Assert(t, b.sc.demand["pool-0"].needed > loadMachines/2, "%d machines", b.sc.demand["pool-0"].needed)
}

// Guards against a team that uses up its share by retries: its pool is full.
func TestRefusedJobsDoNotUseUpTheShare(t *testing.T) {
	b := newLoadBench(true, setup.Team{Name: "b", Weight: 2})
	b.run(time.Second)
	for range 50 {
		_, r := b.sc.Submit(b.now, JobSpec{ID: "large", Queue: "pool-0", Pool: "pool-0", Team: "b", Steps: []StepSpec{oneCoreStep(10000)}, Slack: 1.6})
		assert.Equal(t, r.Cause(), "pool-full")
	}
}

// Guards against late work that holds machines which work in time wants elsewhere: a pool with a backlog from an overload.
func TestLateWorkKeepsNoMargin(t *testing.T) {
	d := &poolDemand{needed: 40, neededWithForecast: 10}
	assert.Equal(t, New(Options{}).machinesToKeep(d), 52)
	assert.Equal(t, New(Options{AdmissionTimeline: true}).machinesToKeep(d), 40)
}

// A hot team's jobs are refused and submitted again. Guards against retries that use up the team's share, and against a share that grows since
// refusals give it back.
func TestRetriesTakeNothingOfTheShare(t *testing.T) {
	b := newTestBench(t, 1)
	b.sc.options.AdmissionTimeline = true
	b.advance(time.Second)
	b.decideAndStore()
	job := func(id string) JobSpec {
		return JobSpec{
			ID: id, Queue: "plans", Pool: "pots", Team: "floor", Steps: []StepSpec{oneCoreStep(40)}, Slack: 1.6, TargetMs: 600, FirstReceivedMs: b.now.UnixMilli(),
		}
	}
	submit := func(id string) string {
		result, r := b.sc.Submit(b.now, job(id))
		assert.Equal(t, result, Overloaded)
		return r.Cause()
	}
	const burst = 20 // the weight of the team times the seconds of its burst
	for i := range burst {
		assert.Equal(t, submit(fmt.Sprint("new", i)), "pool-full")
	}
	assert.Equal(t, submit("new0"), "pool-full", "a retry")
	assert.Equal(t, submit("more"), "share-used")
}

// Clients that waited for an owner come back all at once, before the new one has a list of workers. Guards against an owner that accepts
// whatever comes until then: the work of 20 s after one takeover.
func TestNewOwnerWithoutWorkersAcceptsWhatItsPoolsDid(t *testing.T) {
	b := newLoadBench(true, setup.Team{Name: "a", Weight: 1000})
	b.offerUsual(3 * time.Second)
	b.run(3 * time.Second)
	b.sc = New(b.options)
	for _, r := range b.records {
		assert.NilError(t, b.sc.Replay(r))
	}
	b.sc.TakeOwnership(b.now, 0)
	b.sc.Configure(b.now, b.cfg)
	b.sc.Decide(b.now)
	accepted := 0.0
	for i := range 400 {
		spec := JobSpec{ID: fmt.Sprint("back", i), Queue: "pool-0", Pool: "pool-0", Team: "a", Steps: shortSteps(), Slack: 1.6, TargetMs: 600}
		spec.FirstReceivedMs = b.now.UnixMilli()
		if result, _ := b.sc.Submit(b.now, spec); result == Accepted {
			_, coreSeconds := spec.Work()
			accepted += coreSeconds
		}
	}
	const poolCores = loadMachines / loadPools * loadCores
	usefulWait := 3 * 2.5 // seconds, at most
	assert.Assert(t, accepted > poolCores/2, "%.0f core-seconds accepted", accepted)
	assert.Assert(t, accepted < poolCores*usefulWait, "%.0f core-seconds accepted", accepted)
}
