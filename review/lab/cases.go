package main

import (
	"fmt"
	"time"
)

// labelsOfRacks puts four workers on a rack.
func labelsOfRacks(n int) []string { return []string{"a", fmt.Sprintf("r1-%d", n/4)} }

const (
	halfWorkerCPU = 10000 // more than half of a worker, so that each worker runs one task
	restartTime   = 500 * time.Millisecond
)

// warmUp runs jobs on all workers, so that each has listed ends.
func (l *lab) warmUp(workers int) error {
	for range 2 {
		id := l.nextJob()
		if err := l.submit(id, "ms=200", step{Count: workers, CPU: halfWorkerCPU, MemMB: 256, EstimatedMs: 200}); err != nil {
			return err
		}
		if state := l.awaitState(id, 10*time.Second, "completed"); state != "completed" {
			return fmt.Errorf("the first job is %q", state)
		}
	}
	return nil
}

// playRebornEnds lets an idle worker crash and start again under its id right before a job comes, round after round.
func playRebornEnds(l *lab) error {
	const workers, rounds = 8, 26
	if err := l.begin(workers, labelsOfRacks); err != nil {
		return err
	}
	if err := l.warmUp(workers); err != nil {
		return err
	}
	var ids []string
	for round := range rounds {
		// The pauses differ, so that the crashes don't keep step with the system's calls to idle workers.
		time.Sleep(2300*time.Millisecond + time.Duration(round*370%1150)*time.Millisecond)
		w := l.workers[round%workers]
		if l.trouble {
			w.crash()
			time.Sleep(restartTime)
			if err := w.start(); err != nil {
				return err
			}
		}
		id := l.nextJob()
		ids = append(ids, id)
		if err := l.submit(id, "ms=200", step{Count: workers, CPU: halfWorkerCPU, MemMB: 256, EstimatedMs: 200}); err != nil {
			return err
		}
		if l.isDecided() {
			break
		}
	}
	time.Sleep(3 * time.Second)
	for _, id := range ids {
		l.state(id)
	}
	return nil
}

// isDecided reports whether a rule was broken, or the time of the play is used up.
func (l *lab) isDecided() bool { return len(l.broken()) > 0 || time.Since(l.started) > playTime }

// playTime is the time after which no further round begins.
const playTime = 98 * time.Second

// playRebornLease lets an idle worker crash and start again under its id right before a long task comes, and cuts it off soon after.
func playRebornLease(l *lab) error {
	const (
		workers   = 8
		cutAfter  = 700 * time.Millisecond
		cutTime   = 5500 * time.Millisecond
		taskMs    = 12000
		restRound = 3 * time.Second
	)
	l.holdMax = 10 * time.Second
	if err := l.begin(workers, labelsOfRacks); err != nil {
		return err
	}
	if err := l.warmUp(workers); err != nil {
		return err
	}
	for round := range 6 {
		time.Sleep(restRound + time.Duration(round*370%1700)*time.Millisecond)
		started := make(chan *worker, 16)
		for _, w := range l.workers {
			w.setOnStart(func(w *worker, _ string, _ int) { started <- w })
		}
		w := l.workers[0] // of equal workers the first one is taken
		if l.trouble {
			w.crash()
			time.Sleep(restartTime)
			if err := w.start(); err != nil {
				return err
			}
		}
		id := l.nextJob()
		if err := l.submit(id, fmt.Sprintf("ms=%d", taskMs), step{Count: 1, CPU: halfWorkerCPU, MemMB: 256, EstimatedMs: taskMs}); err != nil {
			return err
		}
		var on *worker
		select {
		case on = <-started:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("job %s was not started", id)
		}
		if l.trouble && on == w {
			time.Sleep(cutAfter)
			l.note("worker %s is cut off", w.id)
			w.proxy.setCut(true)
			time.Sleep(cutTime)
			w.proxy.setCut(false)
			l.note("worker %s is reached again", w.id)
		}
		l.awaitState(id, 25*time.Second, "completed", "failed")
		if l.isDecided() {
			break
		}
	}
	return nil
}

// playCutStop cuts a worker off for about two seconds while jobs come, round after round. Some of its tasks end soon after the cut, and the system
// orders others there before it notices.
func playCutStop(l *lab) error {
	const (
		workers = 8
		rounds  = 16
		// From the start of the first tasks to the cut, and from there to its end.
		cutAfter                                    = 300 * time.Millisecond
		cutTime                                     = 1800 * time.Millisecond
		earlyJobs, earlyCPU, earlyMs, earlySpreadMs = 8, 500, 2180, 30
		jobs, cpu, taskMs                           = 8, 1400, 1500
		jobGap                                      = 25 * time.Millisecond
		// More jobs come once the system has noticed the cut, and fill the next worker.
		laterJobs, laterAfter = 10, 1300 * time.Millisecond
	)
	l.stopTime, l.stopLimit, l.holdDelay = 350*time.Millisecond, 400*time.Millisecond, 30*time.Millisecond
	if err := l.begin(workers, labelsOfRacks); err != nil {
		return err
	}
	if err := l.warmUp(workers); err != nil {
		return err
	}
	submit := func(cpu, ms int) (string, error) {
		id := l.nextJob()
		return id, l.submit(id, fmt.Sprintf("ms=%d", ms), step{Count: 1, CPU: cpu, MemMB: 256, EstimatedMs: ms})
	}
	for round := range rounds {
		time.Sleep(500 * time.Millisecond)
		w := l.workers[0] // of equal workers the first one is taken, and then the fullest one
		for n := range earlyJobs {
			if _, err := submit(earlyCPU, earlyMs+n*earlySpreadMs); err != nil {
				return err
			}
		}
		time.Sleep(cutAfter)
		if l.trouble {
			l.note("worker %s is cut off", w.id)
			w.proxy.setCut(true)
			time.AfterFunc(cutTime+time.Duration(round%4)*60*time.Millisecond, func() {
				w.proxy.setCut(false)
				l.note("worker %s is reached again", w.id)
			})
		}
		cutAt := time.Now()
		var ids []string
		for n := range jobs + laterJobs {
			if n == jobs {
				time.Sleep(time.Until(cutAt.Add(laterAfter)))
			}
			id, err := submit(cpu, taskMs)
			if err != nil {
				return err
			}
			ids = append(ids, id)
			time.Sleep(jobGap)
		}
		for _, id := range ids {
			l.awaitState(id, 20*time.Second, "completed", "failed")
		}
		if l.isDecided() {
			break
		}
	}
	return nil
}
