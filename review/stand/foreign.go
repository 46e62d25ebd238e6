package main

import (
	"encoding/json"
	"time"
)

func init() { cases["foreign"] = foreignEntry }

// foreignEntry has another writer enter itself beside the workers, with a service that no configuration names.
func foreignEntry(trouble bool) bool {
	d := newDeployment(3, 9, 32000, 131072)
	defer d.finish()
	d.begin()
	var jobs []*job
	for n := range 12 {
		j := &job{ID: newID(100 + n), Spec: "(text)", Steps: []step{{Count: 6, CPU: 2300, MemMB: 4700, EstimatedMs: 4000, spread: 0.2}}}
		jobs = append(jobs, j)
		d.submit(n, "quotes", "key-roasters", j)
		if n == 5 && trouble {
			w := d.workers[0]
			for _, x := range d.workers {
				if x.counts() > w.counts() {
					w = x
				}
			}
			raw, _ := json.Marshal(map[string]any{
				"service": "node-metrics", "address": "127.0.0.1:9", "zone": zone, "version": "1", "slots": 1, "state": "ready",
				"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "host_machine": w.machine, "labels": []string{"a", "r1"},
				"capacity": map[string]int{"cpu": 100, "mem_mb": 64},
			})
			d.log.put("servers", "n0c4e1-1", raw)
			d.book.note("another writer enters n0c4e1-1 of service node-metrics on %s, where %s runs %d tasks: %s", w.machine, w.id, w.counts(), raw)
		}
		time.Sleep(400 * time.Millisecond)
	}
	for limit := time.Now().Add(25 * time.Second); time.Now().Before(limit); time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, j := range jobs {
			if d.state("quotes", "key-roasters", j) != "completed" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	d.book.note("%d starts; TWICE %d times", d.book.starts, d.book.count("TWICE"))
	return d.book.count("TWICE") > 0
}
