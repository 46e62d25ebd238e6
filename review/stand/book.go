package main

import (
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// book records what was sent, answered and run, and judges it by RULES.md, "Jobs".
type book struct {
	mu       sync.Mutex
	out      *os.File
	from     time.Time
	jobs     map[string]*job
	tasks    map[string]*taskHistory
	breaches map[string]int
	quiet    bool // single starts and ends aren't written, only counted
	starts   int
}

// job is a job that a caller hands in.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	acceptedAt time.Time
	advised    bool // its queue has a policy
}

type step struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	MemMB         int   `json:"mem_mb"`
	EstimatedMs   int   `json:"estimated_ms"`
	Dependencies  []int `json:"dependencies,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`

	spread float64 // tasks last this part of the estimate more or less
}

// duration returns how long the task works: the estimate, give or take the spread, the same at each attempt.
func (s *step) duration(task string) time.Duration {
	if s.LongRunning {
		return time.Hour
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	x := float64(h.Sum32()%10007)/10007*2 - 1
	return time.Duration(float64(s.EstimatedMs)*(1+s.spread*x)) * time.Millisecond
}

type taskHistory struct {
	running map[string]int // by worker and attempt
	done    []doneRun
	total   int
}

type doneRun struct {
	worker  *worker
	attempt int
	noted   bool
	void    bool // the worker's lease lapsed between the end and its note
}

func newBook(path string) *book {
	out, err := os.Create(path)
	check(err)
	return &book{out: out, from: time.Now(), jobs: map[string]*job{}, tasks: map[string]*taskHistory{}, breaches: map[string]int{}}
}

func (b *book) write(format string, args ...any) {
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.from).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line.
func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(format, args...)
}

func (b *book) broke(rule, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breach(rule, what)
}

func (b *book) breach(rule, what string) {
	b.breaches[rule]++
	if b.breaches[rule] <= 40 {
		b.write("BROKEN %s: %s", rule, what)
	}
}

func (b *book) count(rule string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaches[rule]
}

func (b *book) addJob(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.ID] = j
}

// step returns the step of a task ID.K.STEP.INDEX, and false if no caller has sent it.
func (b *book) step(task string) (*step, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, false
	}
	j := b.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	i, err2 := strconv.Atoi(parts[3])
	if j == nil || err != nil || err2 != nil || n >= len(j.Steps) || i >= j.Steps[n].Count {
		return nil, false
	}
	return &j.Steps[n], true
}

// job returns the job of a task, nil if no caller has sent it.
func (b *book) job(task string) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return b.jobs[id]
}

func (b *book) history(task string) *taskHistory {
	h := b.tasks[task]
	if h == nil {
		h = &taskHistory{running: map[string]int{}}
		b.tasks[task] = h
	}
	return h
}

func runName(w *worker, attempt int) string { return w.id + "/" + strconv.Itoa(attempt) }

func (b *book) started(w *worker, task string, attempt int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(task)
	b.starts++
	if !b.quiet || h.total > 0 {
		b.write("start    %s attempt %d on %s", task, attempt, w.id)
	}
	for other := range h.running {
		b.breach("TWICE", fmt.Sprintf("%s attempt %d starts on %s while %s runs", task, attempt, w.id, other))
	}
	for i := range h.done {
		if d := &h.done[i]; d.noted && !d.void {
			b.breach("TWICE", fmt.Sprintf("%s attempt %d starts on %s after attempt %d ended done on %s, which was taken note of",
				task, attempt, w.id, d.attempt, d.worker.id))
		}
	}
	// Ends that are taken note of only later count too, see noted.
	h.total++
	h.running[runName(w, attempt)] = attempt
	for i := range h.done {
		if d := &h.done[i]; !d.noted {
			b.later(task, d, attempt)
		}
	}
}

type laterStart struct {
	task    string
	attempt int
}

var laterStarts = map[*worker]map[string][]laterStart{}

// later remembers a start after an end that hasn't been taken note of yet.
func (b *book) later(task string, d *doneRun, attempt int) {
	if laterStarts[d.worker] == nil {
		laterStarts[d.worker] = map[string][]laterStart{}
	}
	key := task + "/" + strconv.Itoa(d.attempt)
	laterStarts[d.worker][key] = append(laterStarts[d.worker][key], laterStart{task, attempt})
}

func (b *book) ended(w *worker, task string, attempt int, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(task)
	delete(h.running, runName(w, attempt))
	if !b.quiet || how != "done" {
		b.write("end      %s attempt %d on %s: %s", task, attempt, w.id, how)
	}
	if how == "done" {
		h.done = append(h.done, doneRun{worker: w, attempt: attempt})
	}
}

// noted records that an end was taken note of: last_seen has reached it. It stands unless the worker's lease lapsed between.
func (b *book) noted(w *worker, e runEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(e.task)
	for i := range h.done {
		d := &h.done[i]
		if d.worker != w || d.attempt != e.attempt || d.noted {
			continue
		}
		d.noted, d.void = true, w.leaseLapsed.After(e.endedAt)
		if d.void {
			return
		}
		for _, s := range laterStarts[w][e.task+"/"+strconv.Itoa(e.attempt)] {
			b.breach("TWICE", fmt.Sprintf("%s attempt %d was started after attempt %d had ended done on %s, which is taken note of now",
				s.task, s.attempt, e.attempt, w.id))
		}
	}
}
