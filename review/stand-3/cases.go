package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	team      = "vigil"
	otherTeam = "retail"

	completed  = "completed"
	cancelled  = "cancelled"
	inProgress = "in_progress"
)

// crashes: the worker under one of a job's lasting tasks crashes, and the worker under its next run too.
func crashes(w *world, hasTrouble bool) verdict {
	const (
		id       = "5c0e7a21d94b36f8"
		task     = id + ".0.0.0"
		crashIn  = 300 * time.Millisecond
		downFor  = 3200 * time.Millisecond
		most     = 2
		watchFor = 20 * time.Second
	)
	w.addWorkers(poolName, 1, 9)
	w.addWorkers(spare, 20, 2)
	var mu sync.Mutex
	crashed := 0
	w.onStart = func(k *worker, started string, _ int) {
		mu.Lock()
		defer mu.Unlock()
		if hasTrouble && started == task && crashed < most {
			crashed++
			time.AfterFunc(crashIn, func() { k.crash(downFor) })
		}
	}
	w.start(3)
	lasting := stepSpec{Count: 5, CPU: 1500, MemMB: 4800, EstimateMs: 90000, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}
	if !w.submit(team, id, jobSpec{Spec: "archive", Steps: []stepSpec{lasting}}) {
		return verdict{exitNotRun, "the job was not accepted"}
	}
	if !w.wait(15*time.Second, func() bool { return w.running(id) == lasting.Count }) {
		return verdict{exitNotRun, "the job was not started"}
	}
	time.Sleep(watchFor)
	state := w.state(team, id)
	what := fmt.Sprintf("the job is shown as %s; %d of its %d tasks run; stopped while max_unavailable others were away: %s", state, w.running(id), lasting.Count, strings.Join(w.interrupts, ", "))
	if len(w.interrupts) > 0 {
		return verdict{exitBroken, what}
	}
	return verdict{exitHeld, what}
}

// foreign: a consumer of another tenant sends a DELETE for a job of this one, with its own key.
func foreign(w *world, hasTrouble bool) verdict {
	const id = "5c0e7a21d94b36f8"
	w.addWorkers(poolName, 1, 3)
	w.start(3)
	if !w.submit(team, id, jobSpec{Spec: "reprint", Steps: []stepSpec{{Count: 2, CPU: 1300, MemMB: 4800, EstimateMs: 90000, LongRunning: true}}}) {
		return verdict{exitNotRun, "the job was not accepted"}
	}
	if !w.wait(15*time.Second, func() bool { return w.state(team, id) == inProgress }) {
		return verdict{exitNotRun, "the job was not started"}
	}
	if hasTrouble {
		w.call(w.gates[1], otherTeam, http.MethodGet, id, nil)
		w.call(w.gates[1], otherTeam, http.MethodDelete, id, nil)
	}
	time.Sleep(4 * time.Second)
	state, stopped := w.state(team, id), w.count("stopped")
	what := fmt.Sprintf("its tenant, which has not cancelled it, sees the job as %s; %d of its tasks were stopped", state, stopped)
	if state == cancelled {
		return verdict{exitBroken, what}
	}
	return verdict{exitHeld, what}
}

// lateUpkeep: the order of a machine's upkeep gets no answer and is carried out late; the interface refuses calls for a while meanwhile.
func lateUpkeep(w *world, hasTrouble bool) verdict {
	const (
		wave      = 7
		lateBy    = 9 * time.Second
		busyAfter = 3200 * time.Millisecond
		busyFor   = 2500 * time.Millisecond
	)
	w.addWorkers(poolName, 1, 8)
	w.addWorkers(spare, 20, 2)
	w.waveCap = 1
	if hasTrouble {
		w.cloud.lateMachine, w.cloud.lateBy = "m-001", lateBy
	}
	w.start(3)
	machines := []string{}
	for _, m := range w.cloud.machines {
		if m.pool == poolName {
			machines = append(machines, m.id)
		}
	}
	declared, err := json.Marshal(map[string]any{"wave": wave, "machines": machines, "duration_s": 60, "cap": w.waveCap})
	check(err)
	w.log.put("keyed.op", fmt.Sprintf("wave/%d", wave), declared)
	w.note("wave %d of %s, one at a time, in 60 s", wave, strings.Join(machines, " "))
	if hasTrouble {
		if !w.wait(15*time.Second, func() bool { return !w.cloud.lateOrderAt().IsZero() }) {
			return verdict{exitNotRun, "no upkeep was ordered"}
		}
		time.Sleep(time.Until(w.cloud.lateOrderAt().Add(busyAfter)))
		w.note("the machines' interface answers 503 now")
		w.cloud.setBusy(true)
		time.Sleep(busyFor)
		w.note("the machines' interface serves again")
		w.cloud.setBusy(false)
	}
	isDone := func() bool {
		return strings.Contains(w.log.get("keyed.status", fmt.Sprintf("wave/%d", wave)), completed)
	}
	finished := w.wait(70*time.Second, func() bool { return isDone() || len(w.overlaps) > 0 })
	switch {
	case len(w.overlaps) > 0:
		return verdict{exitBroken, "an upkeep began while the wave's cap was used up: " + strings.Join(w.overlaps, " ")}
	case !finished:
		return verdict{exitNotRun, "the wave did not end"}
	default:
		return verdict{exitHeld, "no upkeep began beyond the wave's cap"}
	}
}

// scheduledJob: a tenant's job is accepted and runs. Then a consumer of another tenant hands in one scheduled job with a short interval. finish_s
// later the tenant asks for its job.
func scheduledJob(w *world, hasTrouble bool) verdict {
	const (
		id            = "5c0e7a21d94b36f8"
		otherID       = "00007a21d94b0000"
		repetitions   = 5000
		usualInterval = 2000             // in milliseconds
		shortInterval = 1                // in milliseconds
		finish        = 14 * time.Second // finish_s
		watchFor      = 10 * time.Second // from then on
		idleBound     = 3 * time.Second  // the tasks have been without a run for far longer than 6 s by then
		startIn       = 1 * time.Second
	)
	w.addWorkers(poolName, 1, 9)
	w.start(3)
	kills := w.enforceMemory()
	if !w.submit(team, id, jobSpec{Spec: "reprint", Steps: []stepSpec{{Count: 2, CPU: 1300, MemMB: 4800, EstimateMs: 90000, LongRunning: true}}}) {
		return verdict{exitNotRun, "the job was not accepted"}
	}
	if !w.wait(15*time.Second, func() bool { return w.state(team, id) == inProgress }) {
		return verdict{exitNotRun, "the job was not started"}
	}
	interval := int64(usualInterval)
	if hasTrouble {
		interval = shortInterval
	}
	scheduled := jobSpec{
		Spec: "stock", Steps: []stepSpec{{Count: 1000, CPU: 880, MemMB: 1800, EstimateMs: 1000}},
		StartMs: time.Now().Add(startIn).UnixMilli(), IntervalMs: interval, Repetitions: repetitions,
	}
	if !w.submit(otherTeam, otherID, scheduled) {
		return verdict{exitHeld, "the scheduled job was refused"}
	}
	w.note("the traffic has ended")
	time.Sleep(finish)
	w.note("finish_s has passed: the job is asked for, and its tasks are watched")
	longestIdle, answers, asked := time.Duration(0), 0, 0
	began := time.Now()
	for lastRan := began; time.Since(began) < watchFor; time.Sleep(100 * time.Millisecond) {
		if w.running(id) > 0 || w.coresInUse(poolName) >= 0.5 {
			lastRan = time.Now()
		}
		longestIdle = max(longestIdle, time.Since(lastRan))
		asked++
		if status, _ := w.call(w.gates[asked%len(w.gates)], team, http.MethodGet, id, nil); status == http.StatusOK {
			answers++
		}
	}
	what := fmt.Sprintf("none of the job's tasks ran for %.1f s on end after finish_s; gates were killed for their memory %d times; its state was told %d of %d times",
		longestIdle.Seconds(), kills(), answers, asked)
	if longestIdle >= idleBound || answers == 0 {
		return verdict{exitBroken, what}
	}
	return verdict{exitHeld, what}
}

// manySteps: a tenant's job of lasting tasks runs. Then a consumer of another tenant hands in jobs of many steps.
func manySteps(w *world, hasTrouble bool) verdict {
	const (
		id          = "5c0e7a21d94b36f8"
		jobs        = 12
		wideSteps   = 6000
		fewSteps    = 4
		neededLabel = "k9" // of a kind of worker that this deployment doesn't have
		watchFor    = 40 * time.Second
	)
	w.addWorkers(poolName, 1, 9)
	w.start(3)
	lasting := stepSpec{Count: 5, CPU: 1300, MemMB: 4800, EstimateMs: 90000, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}
	if !w.submit(team, id, jobSpec{Spec: "reprint", Steps: []stepSpec{lasting}}) {
		return verdict{exitNotRun, "the job was not accepted"}
	}
	if !w.wait(15*time.Second, func() bool { return w.running(id) == lasting.Count }) {
		return verdict{exitNotRun, "the job was not started"}
	}
	steps := fewSteps
	if hasTrouble {
		steps = wideSteps
	}
	for n := range jobs {
		if w.count("lapsed") > 0 {
			break
		}
		job := jobSpec{Spec: "stock"}
		for range steps {
			job.Steps = append(job.Steps, stepSpec{Count: 1, CPU: 1, Requires: neededLabel})
		}
		w.submitWithRetries(n, otherTeam, fmt.Sprintf("%016x", 0x7a21d94b0000+n), job)
	}
	began := time.Now()
	for time.Since(began) < watchFor && w.count("lapsed") < 2 {
		time.Sleep(200 * time.Millisecond)
	}
	what := fmt.Sprintf("%d lasting tasks ended as their leases lapsed", w.count("lapsed"))
	if w.count("lapsed") > lasting.MaxUnavailable {
		return verdict{exitBroken, what}
	}
	return verdict{exitHeld, what}
}

// formerLife: orders to workers get no answer and are carried out late, and workers crash and start again under their ids.
func formerLife(w *world, hasTrouble bool) verdict {
	const (
		downFor  = 600 * time.Millisecond
		crashGap = time.Second
		jobGap   = 700 * time.Millisecond
		playFor  = 100 * time.Second
		tasks    = 12
		workers  = 9
		taskMs   = 3300
	)
	w.addWorkers(poolName, 1, workers)
	w.addWorkers(spare, 20, 2)
	w.start(3)
	began := time.Now()
	if hasTrouble {
		w.lateUntil = began.Add(playFor)
	}
	hasEnded := func() bool { return time.Since(began) > playFor || len(w.doubles()) > 0 }
	if hasTrouble {
		go func() {
			for ; !hasEnded(); time.Sleep(crashGap) {
				if k := w.cloud.workers()[rand.IntN(workers)]; k.isUp() {
					k.crash(downFor)
				}
			}
		}()
	}
	for n := 0; !hasEnded(); n++ {
		job := jobSpec{Spec: "pour", Steps: []stepSpec{{Count: tasks, CPU: 1900, MemMB: 3900, EstimateMs: taskMs}}}
		w.submitWithRetries(n, team, fmt.Sprintf("%016x", 0x5c0e7a210000+n), job)
		time.Sleep(jobGap)
	}
	doubled := w.doubles()
	if len(doubled) > 0 {
		return verdict{exitBroken, fmt.Sprintf("after %.0f s: %s", time.Since(began).Seconds(), doubled[0])}
	}
	return verdict{exitHeld, "no task ran twice at the same time"}
}

// oddByte: a worker's report of a task's checkpoint holds a byte that is no text. After the next snapshot of the journal the owner is killed.
func oddByte(w *world, hasTrouble bool) verdict {
	const (
		id         = "5c0e7a21d94b36f8"
		savingID   = "00007a21d94b0000"
		snapshotIn = 70 * time.Second
		watchFor   = 12 * time.Second
	)
	w.addWorkers(poolName, 1, 9)
	w.start(3)
	if hasTrouble {
		w.checkpoint = "00000bb8" + oddByteMark
	} else {
		w.checkpoint = "00000bb87a21d94b"
	}
	if !w.submit(team, id, jobSpec{Spec: "reprint", Steps: []stepSpec{{Count: 2, CPU: 1300, MemMB: 4800, EstimateMs: 90000, LongRunning: true}}}) {
		return verdict{exitNotRun, "the job was not accepted"}
	}
	if !w.submit(otherTeam, savingID, jobSpec{Spec: "stock", Steps: []stepSpec{{Count: 1, CPU: 1900, MemMB: 3900, EstimateMs: 110000, Checkpoints: true}}}) {
		return verdict{exitNotRun, "the job that saves its progress was not accepted"}
	}
	if !w.wait(15*time.Second, func() bool { return w.state(team, id) == inProgress && w.running(savingID) == 1 }) {
		return verdict{exitNotRun, "the jobs were not started"}
	}
	g := w.owner()
	if g == nil || !w.wait(snapshotIn, func() bool { return strings.Contains(g.log(), "snapshot-marked") }) {
		return verdict{exitNotRun, "no snapshot was stored"}
	}
	w.note("%s, which owns the scheduler, has stored a snapshot, and is killed", g.name)
	g.kill()
	time.Sleep(time.Second)
	g.start()
	time.Sleep(watchFor)
	// The gates that were not killed are in touch all the while.
	w.gates = slices.DeleteFunc(w.gates, func(other *gate) bool { return other == g })
	state, other := w.state(team, id), w.state(otherTeam, savingID)
	w.gates = append(w.gates, g)
	what := fmt.Sprintf("the job is %s, the one that saves its progress %s; %d tasks were stopped", state, other, w.count("stopped"))
	if state == "gone" {
		return verdict{exitBroken, what}
	}
	return verdict{exitHeld, what}
}
