package sched

import "time"

// Options sets the machine's times.
type Options struct {
	Lease               time.Duration // how long what runs on a worker is renewed
	RenewalInterval     time.Duration // longest time between two looks at a busy worker
	IdlePollInterval    time.Duration // time between two looks at an idle worker
	MinPollInterval     time.Duration // least time between two looks, so that ends are fetched together
	Retention           time.Duration // how long an ended job can be asked for
	MaintenanceDuration time.Duration // how long a machine is away for maintenance
	MigrationDuration   time.Duration // how long a machine is away when it moves
	StopTimeout         time.Duration // a worker takes at most this long to stop a task
	AllowPoolMoves      bool          // machines may be moved between pools
	// MachineOrders is how many orders to machines the platform takes in a second.
	MachineOrderRate float64
}

// Defaults of Options.
const (
	defaultLease       = 4500 * time.Millisecond
	defaultRenewal     = 700 * time.Millisecond
	defaultIdleLook    = 2 * time.Second
	defaultEndsGather  = 50 * time.Millisecond
	defaultRetention   = 150 * time.Second
	defaultMaintenance = 2 * time.Second
	defaultMigration   = 1500 * time.Millisecond
	defaultStopLimit   = 400 * time.Millisecond
	// Orders in a second.
	defaultMachineOrders = 50.0
)

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Lease, defaultLease},
		{&o.RenewalInterval, defaultRenewal},
		{&o.IdlePollInterval, defaultIdleLook},
		{&o.MinPollInterval, defaultEndsGather},
		{&o.Retention, defaultRetention},
		{&o.MaintenanceDuration, defaultMaintenance},
		{&o.MigrationDuration, defaultMigration},
		{&o.StopTimeout, defaultStopLimit},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if o.MachineOrderRate == 0 {
		o.MachineOrderRate = defaultMachineOrders
	}
	return o
}

const (
	// A worker's clock may be this much slower than ours.
	slowClock = 1.0205
	// Delay of an order on its way and of a timer at the worker.
	lapseMargin = 250 * time.Millisecond
)

// lapseAfter returns how long after the last grant all that ran under it has surely ended.
func (o Options) lapseAfter() time.Duration {
	return time.Duration(float64(o.Lease)*slowClock) + lapseMargin
}
