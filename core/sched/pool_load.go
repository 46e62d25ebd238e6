package sched

import (
	"cmp"
	"slices"
	"time"
)

// PoolLoad is what a pool has to do and has to do it with.
type PoolLoad struct {
	pool        string
	machines    int
	needed      int
	schedulable int
	waiting     int
	running     int
	idleCores   float64
	rate        float64
}

// Pool returns the pool's name.
func (l PoolLoad) Pool() string { return l.pool }

// Machines returns how many machines are in the pool or on their way there.
func (l PoolLoad) Machines() int { return l.machines }

// Needed returns how many machines the pool's work needs.
func (l PoolLoad) Needed() int { return l.needed }

// Schedulable returns how many workers take new tasks.
func (l PoolLoad) Schedulable() int { return l.schedulable }

// Waiting returns how many tasks could run and don't.
func (l PoolLoad) Waiting() int { return l.waiting }

// Running returns how many attempts are on workers.
func (l PoolLoad) Running() int { return l.running }

// IdleCores returns how many cores of usable workers are free.
func (l PoolLoad) IdleCores() float64 { return l.idleCores }

// Rate returns how many core-seconds of work arrive in a second.
func (l PoolLoad) Rate() float64 { return l.rate }

// OpenJobs returns how many jobs are neither cancelled nor ended.
func (sc *Scheduler) OpenJobs() int { return len(sc.openJobs) }

// PoolLoads returns the load of every declared pool in order of name.
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
		if w.isSchedulable(now) {
			l.schedulable++
			l.idleCores += w.free().Cores()
		}
	}
	for _, p := range sc.poolOrder {
		if l, found := byName[p.name]; found {
			for s := range p.waitingSteps {
				l.waiting += s.waiting
			}
		}
	}
	for name, d := range sc.demand {
		if l, found := byName[name]; found {
			l.machines, l.needed = d.machines, d.needed
		}
	}
	loads := make([]PoolLoad, 0, len(byName))
	for _, l := range byName {
		loads = append(loads, *l)
	}
	slices.SortFunc(loads, func(a, b PoolLoad) int { return cmp.Compare(a.pool, b.pool) })
	return loads
}
