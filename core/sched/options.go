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
	defaultLease               = 4500 * time.Millisecond
	defaultRenewalInterval     = 700 * time.Millisecond
	defaultIdlePollInterval    = 2 * time.Second
	defaultMinPollInterval     = 50 * time.Millisecond
	defaultRetention           = 150 * time.Second
	defaultMaintenanceDuration = 2 * time.Second
	defaultMigrationDuration   = 1500 * time.Millisecond
	defaultStopTimeout         = 400 * time.Millisecond
	// Orders in a second.
	defaultMachineOrderRate = 50.0
)

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Lease, defaultLease},
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
	return o
}

const (
	// A worker's clock may be this much slower than ours.
	maxClockSlowdown = 1.0205
	// Delay of an order on its way and of a timer at the worker.
	leaseExpiryMargin = 250 * time.Millisecond
)

// lapseAfter returns how long after the last grant all that ran under it has surely ended.
func (o Options) leaseExpiryBound() time.Duration {
	return time.Duration(float64(o.Lease)*maxClockSlowdown) + leaseExpiryMargin
}
