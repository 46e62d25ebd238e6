package main

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

func init() { cases["advice"] = refusingPolicy }

// refusingPolicy hands jobs in to a queue whose policy allows each step three of the pool's 61 workers, drawn by a hash of
// the step's name.
func refusingPolicy(trouble bool) bool {
	const (
		workers = 61
		allowed = 3
		finish  = 14 * time.Second // finish_s
	)
	var ids []string
	hash := func(text string) uint32 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(text))
		return h.Sum32() * 2654435761
	}
	allowedBy := func(step string) []string {
		drawn := append([]string(nil), ids...)
		sort.Slice(drawn, func(i, j int) bool { return hash(drawn[i]+step) < hash(drawn[j]+step) })
		return drawn[:allowed]
	}
	a := newAdvisor(func(step, id string) bool { return !trouble || slices.Contains(allowedBy(step), id) })
	d := newAdvisedDeployment(3, workers, 32000, 65536, a)
	defer d.finish()
	for _, w := range d.workers {
		ids = append(ids, w.id)
	}
	d.begin()
	var jobs []*job
	for n := range 20 {
		j := &job{ID: newID(100 + n), Spec: "(text)", advised: true, Steps: []step{
			{Count: 4, CPU: 2300, MemMB: 4700, EstimatedMs: 1000, spread: 0.3},
			{Count: 4, CPU: 2300, MemMB: 4700, EstimatedMs: 1000, Dependencies: []int{0}, spread: 0.3}}}
		if d.submit(n, "batches", "key-growers", j) {
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	busy := 0
	for n := 0; n < 30; n++ { // 3 s in which nothing runs
		for _, w := range d.workers {
			busy += w.counts()
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range jobs {
		if trouble {
			d.book.note("the policy allows %v to run step %s.0.0, %v to run step %s.0.1", allowedBy(j.ID+".0.0"), j.ID, allowedBy(j.ID+".0.1"), j.ID)
		}
		if s := d.state("batches", "key-growers", j); s != "completed" {
			what := fmt.Sprintf("job %s, accepted at %.1f s, is %s %v after the traffic has ended", j.ID, j.acceptedAt.Sub(d.book.from).Seconds(), s, finish)
			if busy == 0 {
				d.book.broke("LOST", what+"; for 3 s nothing ran on any worker")
			} else {
				d.book.note("%s", what)
			}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	never := 0
	for _, id := range ids {
		if a.asked[id] == 0 {
			never++
		}
	}
	d.book.note("%d jobs accepted, %d starts; the advisor was never asked about %d of %d workers", len(jobs), d.book.starts, never, workers)
	return d.book.count("LOST") > 0
}
