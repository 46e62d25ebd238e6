package sched

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"mangowing/core/setup"
)

// Pattern: pools in turns on a large fleet, with lasting tasks on all pools.
func BenchmarkTurnsOnALargeFleet(b *testing.B) {
	for _, pools := range []int{4, 36} {
		b.Run(fmt.Sprintf("%d-workers", pools*workersPerPool), func(b *testing.B) {
			f := newFleet(pools)
			for b.Loop() {
				f.second(60)
			}
		})
	}
}

// Pattern: a hot team hands in more than the whole fleet can do, so that hundreds of jobs wait.
func BenchmarkBacklogOnALargeFleet(b *testing.B) {
	f := newFleet(4)
	for b.Loop() {
		f.second(400)
	}
}

const (
	workersPerPool = 80
	tasksPerJob    = 8
	turnSeconds    = 4
	teams          = 29
)

// fleet plays workers that run what they are told without a fault.
type fleet struct {
	m       *Scheduler
	now     time.Time
	pools   int
	jobs    int
	seconds int
	ends    fleetEnds
	numbers map[string]int64
	held    map[string]PollWorker
	running map[string]map[runKey]bool

	entries  map[string]WorkerEntry
	machines []MachineEntry
}

type fleetEnd struct {
	at    time.Time
	order StartTask
}

type fleetEnds []fleetEnd

func (e fleetEnds) Len() int           { return len(e) }
func (e fleetEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEnds) Push(x any)        { *e = append(*e, x.(fleetEnd)) }
func (e *fleetEnds) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newFleet(pools int) *fleet {
	f := &fleet{
		m: New(Options{AllowPoolMoves: true}), now: start, pools: pools, numbers: map[string]int64{},
		held: map[string]PollWorker{}, running: map[string]map[runKey]bool{},
	}
	var queues []setup.Queue
	var declared []setup.Pool
	entries := map[string]WorkerEntry{}
	var machines []MachineEntry
	for p := range pools {
		pool := fmt.Sprintf("pool-%d", p)
		queues = append(queues, setup.Queue{Name: "queue-" + pool, Pool: pool, MaxAttempts: 2, Slack: 1.6, Target: 600 * time.Millisecond})
		declared = append(declared, setup.Pool{Name: pool, EnforcesCapacity: true})
		for i := range workersPerPool {
			id := fmt.Sprintf("w-%d-%d", p, i)
			entries[id] = WorkerEntry{
				ID: id, Machine: "m-" + id, Pool: pool, Address: "127.0.0.1:1", DataCentre: "a",
				Labels: []string{"k", fmt.Sprintf("r%d", i/8)}, Capacity: setup.Resources{CPU: 32000, MemMB: 65536}, Incarnation: 1,
			}
			machines = append(machines, MachineEntry{ID: "m-" + id, Pool: pool, Worker: id, Capacity: setup.Resources{CPU: 32000, MemMB: 65536}})
			f.running[id] = map[runKey]bool{}
		}
	}
	f.entries, f.machines = entries, machines
	f.m.TakeOwnership(f.now, 0)
	f.m.Configure(f.now, setup.New(1, queues, declared, []setup.Team{{Name: "retail", Weight: 1000}}, setup.Limits{}))
	f.m.UpdateWorkers(f.now, entries)
	f.m.ListMachines(f.now, f.now, machines)
	for p := range pools {
		f.submit(p, StepSpec{Count: 24, CPU: 1500, MemMB: 4000, EstimateMs: 700, LongRunning: true, MaxUnavailable: 4})
	}
	f.settle()
	return f
}

func (f *fleet) submit(pool int, step StepSpec) { f.submitFor("retail", pool, step) }

func (f *fleet) submitFor(team string, pool int, step StepSpec) {
	f.jobs++
	f.m.AcceptFromInbox(f.now, JobSpec{
		ID: fmt.Sprintf("%016x", f.jobs), Queue: fmt.Sprintf("queue-pool-%d", pool), Pool: fmt.Sprintf("pool-%d", pool), Team: team,
		Steps: []StepSpec{step}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600, AcceptedMs: f.now.UnixMilli(), FirstReceivedMs: f.now.UnixMilli(),
	})
}

// waiting returns how many tasks of the pool wait.
func (f *fleet) waiting(pool int) int {
	n := 0
	for s := range f.m.poolOf(fmt.Sprintf("pool-%d", pool)).waitingSteps {
		n += s.waiting
	}
	return n
}

// second plays a second in which one pool in four has its turn, with so many jobs.
func (f *fleet) second(jobsPerSecond int) {
	f.seconds++
	const steps = 200
	for i := range steps {
		f.now = f.now.Add(time.Second / steps)
		for p := range f.pools {
			if p%4 != f.seconds/turnSeconds%4 || i*jobsPerSecond/steps == (i+1)*jobsPerSecond/steps {
				continue
			}
			f.submit(p, StepSpec{Count: tasksPerJob, CPU: 3000, MemMB: 2000, EstimateMs: 1000})
			f.settle()
		}
		for len(f.ends) > 0 && !f.ends[0].at.After(f.now) {
			f.endOne(heap.Pop(&f.ends).(fleetEnd))
			f.settle()
		}
		for id, o := range f.held {
			if f.now.Sub(f.m.workers[id].nextPollAt) >= o.MaxWait {
				f.answer(o, nil)
				f.settle()
			}
		}
		f.settle()
	}
}

// endOne lets a task end well, which answers the look at its worker.
func (f *fleet) endOne(e fleetEnd) {
	key := runKey{e.order.Task, e.order.Attempt}
	delete(f.running[e.order.Worker], key)
	f.numbers[e.order.Worker]++
	f.answer(PollWorker{Worker: e.order.Worker, Lease: time.Second}, []EndedRun{
		{Number: f.numbers[e.order.Worker], Task: e.order.Task, Attempt: e.order.Attempt, Outcome: AttemptDone},
	})
}

func (f *fleet) answer(o PollWorker, ended []EndedRun) {
	delete(f.held, o.Worker)
	rep := PollResult{Order: o, SentAt: f.now, GrantedAt: f.now, Incarnation: 1, Ended: ended}
	for key := range f.running[o.Worker] {
		rep.Active = append(rep.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
	}
	f.m.ApplyResult(f.now, rep)
}

func (f *fleet) settle() {
	f.m.Decide(f.now)
	batch := f.m.TakeBatch()
	f.m.ConfirmStored(batch)
	f.m.Decisions()
	for _, o := range append(f.m.TakeImmediateOrders(), batch.DeferredOrders...) {
		f.carryOut(o)
	}
}

func (f *fleet) carryOut(o Order) {
	switch o := o.(type) {
	case StartTask:
		f.running[o.Worker][runKey{o.Task, o.Attempt}] = true
		if f.m.jobs[o.Task.Job].spec.Steps[0].LongRunning {
			f.m.ApplyResult(f.now, StartResult{Order: o, GrantedAt: f.now})
			return
		}
		heap.Push(&f.ends, fleetEnd{f.now.Add(time.Second), o})
		f.m.ApplyResult(f.now, StartResult{Order: o, GrantedAt: f.now})
	case PollWorker:
		f.held[o.Worker] = o
	case MoveMachine:
		f.m.ApplyResult(f.now, MoveResult{Order: o, Answer: AnswerBusy})
	default:
	}
}

// Pattern: few jobs on thousands of workers, whose lists come several times a second while machines are away.
func BenchmarkFewJobsOnALargeFleet(b *testing.B) {
	f := newFleet(36)
	for b.Loop() {
		f.second(1)
		for range 4 {
			f.m.UpdateWorkers(f.now, f.entries)
			f.settle()
		}
		f.m.ListMachines(f.now, f.now, f.machines)
		f.settle()
	}
}

// Pattern: after an outage ten thousand tasks of many teams wait in one pool, while jobs go on coming.
func BenchmarkDeepBacklog(b *testing.B) {
	f := newFleet(4)
	for i := range 1250 {
		f.submitFor(fmt.Sprintf("team-%d", i%teams), 0, StepSpec{Count: tasksPerJob, CPU: 500 + i*37%8000, MemMB: 500 + i*101%9000, EstimateMs: 1000})
	}
	f.settle()
	for b.Loop() {
		f.second(60)
	}
	b.ReportMetric(float64(f.waiting(0)), "waiting")
}
