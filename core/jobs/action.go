package jobs

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Action is one thing to do: Place, Requeue, SetAside, Checkpoint, Stop or Cancel.
type Action interface {
	action()
}

// Place starts a job on a worker under a lease.
type Place struct {
	job    string
	worker string
}

// Requeue makes a job wait for another worker.
type Requeue struct {
	job string
}

// SetAside ends a job that failed on enough distinct healthy workers.
type SetAside struct {
	job string
}

// Checkpoint asks a worker that is being drained to save a job.
type Checkpoint struct {
	job    string
	worker string
}

// Stop asks a worker to end jobs, all in one call.
type Stop struct {
	worker string
	jobs   []string
}

// Cancel ends jobs that run nowhere, all in one record.
type Cancel struct {
	jobs []string
}

// Job returns the job's id.
func (p Place) Job() string { return p.job }

// Worker returns the worker that gets the job.
func (p Place) Worker() string { return p.worker }

// Job returns the job's id.
func (r Requeue) Job() string { return r.job }

// Job returns the job's id.
func (s SetAside) Job() string { return s.job }

// Job returns the job's id.
func (c Checkpoint) Job() string { return c.job }

// Worker returns the worker that runs the job.
func (c Checkpoint) Worker() string { return c.worker }

// Worker returns the worker that runs the jobs.
func (s Stop) Worker() string { return s.worker }

// Jobs returns the jobs' ids in order.
func (s Stop) Jobs() []string { return s.jobs }

// RequestID returns an id that is the same for the same worker and jobs, so that a repeat is idempotent.
func (s Stop) RequestID() string { return requestID("stop-"+s.worker, s.jobs) }

// Jobs returns the jobs' ids in order.
func (c Cancel) Jobs() []string { return c.jobs }

// RequestID returns an id that is the same for the same jobs, so that a repeat is idempotent.
func (c Cancel) RequestID() string { return requestID("cancel", c.jobs) }

func requestID(prefix string, jobs []string) string {
	return fmt.Sprintf("%s-%016x", prefix, xxhash.Sum64String(strings.Join(jobs, "\x00")))
}

func (Place) action()      {}
func (Requeue) action()    {}
func (SetAside) action()   {}
func (Checkpoint) action() {}
func (Stop) action()       {}
func (Cancel) action()     {}
