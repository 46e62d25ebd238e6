package sched

import (
	"cmp"
	"slices"
	"time"
)

// PoolLoad is the work and the capacity of a pool.
type PoolLoad struct {
	pool        string
	machines    int
	needed      int
	schedulable int
	waiting     int
	running     int
	idleCores   float64
	batchCores  float64
	surplus     int
	suspects    int
	work        backlog
	rate        float64
}

// Pool returns the pool's name.
func (l PoolLoad) Pool() string { return l.pool }

// Machines returns how many machines are in the pool or are moving there.
func (l PoolLoad) Machines() int { return l.machines }

// Needed returns how many machines the pool needs for its work.
func (l PoolLoad) Needed() int { return l.needed }

// Schedulable returns how many workers take new tasks.
func (l PoolLoad) Schedulable() int { return l.schedulable }

// Waiting returns how many tasks are ready to run but not placed.
func (l PoolLoad) Waiting() int { return l.waiting }

// Running returns how many attempts are placed on workers.
func (l PoolLoad) Running() int { return l.running }

// IdleCores returns how many cores are free on schedulable workers.
func (l PoolLoad) IdleCores() float64 { return l.idleCores }

// BatchCores returns how many cores are held by attempts that end by themselves.
func (l PoolLoad) BatchCores() float64 { return l.batchCores }

// Surplus returns how many busy workers take no new tasks, so that their machines can move once their attempts have ended.
func (l PoolLoad) Surplus() int { return l.surplus }

// Suspects returns how many waiting tasks may have crashed a worker.
func (l PoolLoad) Suspects() int { return l.suspects }

// UrgentWork returns the core-seconds of unfinished work that can still meet its deadline.
func (l PoolLoad) UrgentWork() float64 { return l.work.urgent.total() }

// LateWork returns the core-seconds of unfinished work that will miss its deadline or exceeds its team's share.
func (l PoolLoad) LateWork() float64 { return l.work.late.total() }

// Rate returns how many core-seconds of work arrive per second.
func (l PoolLoad) Rate() float64 { return l.rate }

// OpenJobs returns the number of jobs that are neither cancelled nor ended.
func (sc *Scheduler) OpenJobs() int { return len(sc.openJobs) }

// PoolLoads returns the load of every declared pool, sorted by name.
func (sc *Scheduler) PoolLoads(now time.Time) []PoolLoad {
	byName := map[string]*PoolLoad{}
	for _, name := range sc.cfg.Pools() {
		byName[name] = &PoolLoad{pool: name, rate: sc.surges.trend(name).arrivalRate(now)}
	}
	for _, w := range sc.workersByID {
		l, found := byName[w.entry.Pool]
		if !found {
			continue
		}
		l.running += len(w.runs)
		l.batchCores += w.batchCores()
		if w.surplus {
			l.surplus++
		}
		if w.isSchedulable(now) {
			l.schedulable++
			l.idleCores += w.free().Cores()
		}
	}
	for _, p := range sc.poolOrder {
		if l, found := byName[p.name]; found {
			l.suspects = p.waitingSuspects()
			for s := range p.waitingSteps {
				l.waiting += s.waitingTasks
			}
		}
	}
	for name, d := range sc.demand {
		if l, found := byName[name]; found {
			l.machines, l.needed, l.work = d.machines, d.needed, d.backlog
		}
	}
	loads := make([]PoolLoad, 0, len(byName))
	for _, l := range byName {
		loads = append(loads, *l)
	}
	slices.SortFunc(loads, func(a, b PoolLoad) int { return cmp.Compare(a.pool, b.pool) })
	return loads
}
