package main

import (
	"fmt"
	"time"
)

func init() { cases["large"] = largeJob }

// largeJob hands in one job of many tasks beside a steady flow of small jobs of another tenant.
func largeJob(trouble bool) bool {
	const (
		traffic = 45 * time.Second
		finish  = 14 * time.Second // finish_s
	)
	d := newDeployment(3, 9, 32000, 131072)
	defer d.finish()
	d.book.quiet = true
	d.begin()
	tasks := 1000
	if trouble {
		tasks = 10000
	}
	large := &job{ID: newID(1), Spec: "(text)", Steps: []step{
		{Count: tasks, CPU: 400, MemMB: 64, EstimatedMs: 800, Checkpointing: true, spread: 0.3},
		{Count: 1, CPU: 400, MemMB: 64, EstimatedMs: 500, Dependencies: []int{0}},
	}}
	go d.noteEachSecond()
	accepted := d.submit(0, "batches", "key-growers", large)
	var small []*job
	begin := time.Now()
	refused := 0
	for n := 0; time.Since(begin) < traffic; n++ {
		j := &job{ID: newID(100 + n), Spec: "(text)", Steps: []step{{Count: 3, CPU: 2300, MemMB: 4700, EstimatedMs: 640, spread: 0.3}}}
		if d.submit(n, "quotes", "key-roasters", j) {
			small = append(small, j)
		} else {
			refused++
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.book.note("the traffic ends: %d small jobs accepted, %d not; %d starts so far", len(small), refused, d.book.starts)
	time.Sleep(finish)
	idle := 0
	for n := 0; n < 30; n++ { // 3 s in which nothing runs
		for _, w := range d.workers {
			idle += w.counts()
		}
		time.Sleep(100 * time.Millisecond)
	}
	if idle > 0 {
		d.book.note("tasks still run, so jobs may just wait")
	}
	open := 0
	for _, j := range append([]*job{large}, small...) {
		if j == large && !accepted {
			continue
		}
		queue, key := "quotes", "key-roasters"
		if j == large {
			queue, key = "batches", "key-growers"
		}
		if s := d.state(queue, key, j); s != "completed" {
			open++
			what := fmt.Sprintf("job %s, accepted at %.1f s, is %s, %v after the traffic has ended", j.ID, j.acceptedAt.Sub(d.book.from).Seconds(), s, finish)
			if idle == 0 {
				d.book.broke("LOST", what+"; for 3 s nothing ran on any worker")
			} else {
				d.book.note("%s", what)
			}
		}
	}
	d.book.note("%d accepted jobs aren't completed; the log rejected %d appends for a record over %d bytes", open, d.log.rejected, recordBytes)
	return d.book.count("LOST") > 0
}

// noteEachSecond writes each second how many starts there were so far, and how many tasks run.
func (d *deployment) noteEachSecond() {
	for range time.Tick(time.Second) {
		running := 0
		for _, w := range d.workers {
			running += w.counts()
		}
		d.book.mu.Lock()
		d.book.write("%d starts so far, %d tasks run", d.book.starts, running)
		d.book.mu.Unlock()
	}
}
