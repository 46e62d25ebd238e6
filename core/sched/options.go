package sched

import "time"

// Options sets the scheduler's times and limits; zero fields get their default.
type Options struct {
	Lease               time.Duration // how long the attempts on a worker are renewed by each call
	MaxLease            time.Duration // longest lease that a worker grants, whatever a call asks for
	RenewalInterval     time.Duration // longest time between two polls of a busy worker
	IdlePollInterval    time.Duration // time between two polls of an idle worker
	MinPollInterval     time.Duration // least time between two polls of a worker, so that several ends are fetched by one poll
	Retention           time.Duration // how long the state of an ended job is kept
	MaintenanceDuration time.Duration // how long a machine is away for maintenance
	MigrationDuration   time.Duration // how long a machine is away when it moves
	StopTimeout         time.Duration // longest time that a worker takes to stop a task
	AllowPoolMoves      bool          // machines may be moved between pools
	EvacuationBound     time.Duration // time within which the last task starts in an evacuated data centre; 0 if evacuations are not acted on
	AdmissionTimeline   bool          // new jobs are checked against a timeline of capacity
	// MachineOrderRate is the platform's limit of machine orders per second.
	MachineOrderRate float64
	// RemoteFactor is how many times as long tasks run on another rack than that of their data or their group. Tasks wait for
	// their rack only if it exceeds 1.
	RemoteFactor float64
	// MaxJobMemory is how many bytes the state of all jobs should take; 0 for no bound. Jobs beyond it are refused.
	MaxJobMemory int
	// MaxOpenJobs is how many jobs may be open; others are refused. Each pass of the owner goes through all of them.
	MaxOpenJobs int
	// MaxRecordBytes is the largest record that the journal stores.
	MaxRecordBytes int
}

// Defaults of Options.
const (
	defaultLease               = 4500 * time.Millisecond
	defaultMaxLease            = 10 * time.Second
	defaultRenewalInterval     = 700 * time.Millisecond
	defaultIdlePollInterval    = 2 * time.Second
	defaultMinPollInterval     = 50 * time.Millisecond
	defaultRetention           = 150 * time.Second
	defaultMaintenanceDuration = 2 * time.Second
	defaultMigrationDuration   = 1500 * time.Millisecond
	defaultStopTimeout         = 400 * time.Millisecond
	// Orders per second.
	defaultMachineOrderRate = 50.0
	defaultMaxRecordBytes   = 256 << 10
	defaultMaxOpenJobs      = 1 << 15
)

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Lease, defaultLease},
		{&o.MaxLease, defaultMaxLease},
		{&o.RenewalInterval, defaultRenewalInterval},
		{&o.IdlePollInterval, defaultIdlePollInterval},
		{&o.MinPollInterval, defaultMinPollInterval},
		{&o.Retention, defaultRetention},
		{&o.MaintenanceDuration, defaultMaintenanceDuration},
		{&o.MigrationDuration, defaultMigrationDuration},
		{&o.StopTimeout, defaultStopTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if o.MachineOrderRate == 0 {
		o.MachineOrderRate = defaultMachineOrderRate
	}
	if o.MaxOpenJobs == 0 {
		o.MaxOpenJobs = defaultMaxOpenJobs
	}
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = defaultMaxRecordBytes
	}
	return o
}

// maxTasksShare is the part of the largest record that the tasks in one record of a snapshot may take, so that records with
// tasks remain small to read.
const maxTasksShare = 4

// maxTasksBytes returns the size that the tasks in one record of a snapshot may take. A single checkpoint may take as much.
func (o Options) maxTasksBytes() int {
	return min(o.MaxRecordBytes, defaultMaxRecordBytes) / maxTasksShare
}

// maxJobOverheadBytes is by how much a job's record in a snapshot may exceed its JobAccepted.
const maxJobOverheadBytes = 64

// MaxJobBytes returns the size of the largest encoded JobAccepted whose job the journal can store and save in a snapshot.
func (o Options) MaxJobBytes() int { return o.withDefaults().MaxRecordBytes - maxJobOverheadBytes }

const (
	// A worker's clock may be slower than the scheduler's by up to this factor.
	maxClockSlowdown = 1.0205
	// Margin for the network delay of an order and for late timers at the worker.
	leaseExpiryMargin = 250 * time.Millisecond
)

// stopBound returns the time after a worker has received a stop by which it lists the end of the run.
func (o Options) stopBound() time.Duration { return o.StopTimeout + stopListingDelay }

// leaseExpiryBound returns the time after a renewal by which its leases have run out even on the slowest worker clock.
func (o Options) leaseExpiryBound() time.Duration { return expiryBound(o.Lease) }

// maxLeaseExpiryBound returns the time after a call by which the leases that it has set have run out, even if their end was computed
// by the clock of an earlier incarnation of the worker.
func (o Options) maxLeaseExpiryBound() time.Duration { return expiryBound(max(o.Lease, o.MaxLease)) }

func expiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*maxClockSlowdown) + leaseExpiryMargin
}
