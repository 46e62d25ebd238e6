package main

import "time"

func init() { cases["ends"] = manyEnds }

// manyEnds cuts a worker off for 2.2 s while some 800 tasks on it end.
func manyEnds(trouble bool) bool {
	d := newDeployment(3, 9, 32000, 131072)
	defer d.finish()
	d.begin()
	j := &job{ID: newID(1), Spec: "(text)", Steps: []step{{Count: 1800, CPU: 40, MemMB: 32, EstimatedMs: 2400, spread: 0.1}}}
	if !d.submit(0, "batches", "key-growers", j) {
		return false
	}
	full := 0
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		full = 0
		for i, w := range d.workers {
			if w.counts() > d.workers[full].counts() {
				full = i
			}
		}
		if d.workers[full].counts() >= 700 {
			break
		}
	}
	w := d.workers[full]
	d.book.note("%s runs %d tasks", w.id, w.counts())
	if trouble {
		d.book.note("%s is cut off", w.id)
		w.proxy.setCut(true)
		time.Sleep(2500 * time.Millisecond)
		w.proxy.setCut(false)
		d.book.note("%s is back; it runs %d tasks", w.id, w.counts())
	}
	state := ""
	for limit := time.Now().Add(25 * time.Second); time.Now().Before(limit) && state != "completed"; time.Sleep(500 * time.Millisecond) {
		state = d.state("batches", "key-growers", j)
	}
	d.book.note("the job is %s; %d starts of %d tasks; TWICE %d times", state, d.book.starts, j.Steps[0].Count, d.book.count("TWICE"))
	return d.book.count("TWICE") > 0
}
