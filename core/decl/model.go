package decl

import (
	"slices"
	"time"
)

// Class is the urgency of a team's work on a queue; it orders the queue.
type Class uint8

// Classes in falling urgency; the zero value is Normal work.
const (
	Normal Class = iota
	Urgent
	Patient
	Background
)

// String returns the name used in declarations.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Patient:
		return "patient"
	case Background:
		return "background"
	default:
		return "normal"
	}
}

// Fleet is the deployment's own section.
type Fleet struct {
	name           string
	dataCentres    []string
	sparePool      string
	sizing         string
	weightShare    float64
	weightMoves    float64
	weightBuffer   float64
	weightRollOut  float64
	minimumStay    time.Duration
	plannerLease   time.Duration
	ejectedPercent int
}

// Name returns the deployment's name.
func (f Fleet) Name() string { return f.name }

// DataCentres returns the names of the data centres in declared order.
func (f Fleet) DataCentres() []string { return f.dataCentres }

// SparePool returns the pool that lends VMs first.
func (f Fleet) SparePool() string { return f.sparePool }

// Sizing returns the sizing policy: static, threshold or joint.
func (f Fleet) Sizing() string { return f.sizing }

// WeightShare returns the price of one slot-second of shortfall.
func (f Fleet) WeightShare() float64 { return f.weightShare }

// WeightMoves returns the price of one move.
func (f Fleet) WeightMoves() float64 { return f.weightMoves }

// WeightBuffer returns the price of one idle VM-second.
func (f Fleet) WeightBuffer() float64 { return f.weightBuffer }

// WeightRollOut returns the price of one second of roll-out time.
func (f Fleet) WeightRollOut() float64 { return f.weightRollOut }

// MinimumStay returns how long a moved VM stays in its pool at least.
func (f Fleet) MinimumStay() time.Duration { return f.minimumStay }

// PlannerLease returns how long a planner's lease lasts.
func (f Fleet) PlannerLease() time.Duration { return f.plannerLease }

// EjectedPercent returns the largest share of a pool's VMs that routing may eject, in percent.
func (f Fleet) EjectedPercent() int { return f.ejectedPercent }

// Pool is a declared pool of VMs.
type Pool struct {
	name       string
	vms        []string
	minServing int
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// VMs returns the names of the VMs whose home is this pool.
func (p Pool) VMs() []string { return p.vms }

// MinServing returns how many VMs must keep serving during waves and moves.
func (p Pool) MinServing() int { return p.minServing }

// Queue is a declared queue onto a pool.
type Queue struct {
	name   string
	pool   string
	open   bool
	teams  []string
	length int
}

// Name returns the queue's name.
func (q Queue) Name() string { return q.name }

// Pool returns the pool that serves the queue.
func (q Queue) Pool() string { return q.pool }

// Open tells whether requests without a key are taken, for the team "open".
func (q Queue) Open() bool { return q.open }

// Teams returns the teams that may use the queue, empty for all.
func (q Queue) Teams() []string { return q.teams }

// Length returns how many requests of one team may wait.
func (q Queue) Length() int { return q.length }

// Allows tells whether a team may use the queue.
func (q Queue) Allows(team string) bool {
	if len(q.teams) == 0 {
		return true
	}
	for _, t := range q.teams {
		if t == team {
			return true
		}
	}
	return false
}

// Team is a declared team with its share, limit and answers.
type Team struct {
	name         string
	organisation string
	share        int
	limit        int
	class        Class
	idempotent   bool
	runTime      time.Duration
	timeout      time.Duration
	latestFinish time.Duration
	hasFinish    bool
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Organisation returns the organisation that the team belongs to.
func (t Team) Organisation() string { return t.organisation }

// Share returns the team's weight when a pool is full.
func (t Team) Share() int { return t.share }

// Limit returns the most requests and tasks the team may have running across the fleet.
func (t Team) Limit() int { return t.limit }

// Class returns the urgency of the team's work.
func (t Team) Class() Class { return t.class }

// Idempotent tells whether the team's requests may be repeated.
func (t Team) Idempotent() bool { return t.idempotent }

// RunTime returns the run time that the team declared.
func (t Team) RunTime() time.Duration { return t.runTime }

// Timeout returns how long a caller of the team waits for an answer.
func (t Team) Timeout() time.Duration { return t.timeout }

// LatestFinish returns the time of day by which background work must be done, and whether one is declared.
func (t Team) LatestFinish() (time.Duration, bool) { return t.latestFinish, t.hasFinish }

// Window is a span of the day, in UTC, in which a wave starts nothing; it may pass midnight.
type Window struct {
	from time.Duration
	to   time.Duration
}

// Contains tells whether the time of day, as a duration since midnight UTC, lies in the window.
func (w Window) Contains(ofDay time.Duration) bool {
	if w.from <= w.to {
		return ofDay >= w.from && ofDay < w.to
	}
	return ofDay >= w.from || ofDay < w.to
}

// Wave is a declared maintenance wave.
type Wave struct {
	name        string
	pools       []string
	minServing  int
	pace        int
	abortFaults int
	freeze      []Window
}

// Name returns the wave's name.
func (w Wave) Name() string { return w.name }

// Pools returns the pools that the wave covers, empty for all.
func (w Wave) Pools() []string { return w.pools }

// Covers tells whether the wave covers the pool.
func (w Wave) Covers(pool string) bool {
	return len(w.pools) == 0 || slices.Contains(w.pools, pool)
}

// MinServing returns how many VMs of each pool must keep serving, besides the pool's own minimum.
func (w Wave) MinServing() int { return w.minServing }

// Pace returns how many VMs may be out at once.
func (w Wave) Pace() int { return w.pace }

// AbortFaults returns how many VMs may fail to come back before the wave pauses.
func (w Wave) AbortFaults() int { return w.abortFaults }

// Freeze returns the windows in which the wave starts nothing.
func (w Wave) Freeze() []Window { return w.freeze }

// FrozenAt tells whether the wave starts nothing at the time of day, a duration since midnight UTC.
func (w Wave) FrozenAt(ofDay time.Duration) bool {
	return slices.ContainsFunc(w.freeze, func(window Window) bool { return window.Contains(ofDay) })
}

// Config is a whole checked configuration, immutable after Compile.
type Config struct {
	fleet  Fleet
	pools  map[string]Pool
	queues map[string]Queue
	teams  map[string]Team
	waves  map[string]Wave
	home   map[string]string
}

// Fleet returns the deployment's own section.
func (c *Config) Fleet() Fleet { return c.fleet }

// Pool returns the pool of that name.
func (c *Config) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Queue returns the queue of that name.
func (c *Config) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Team returns the team of that name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Wave returns the wave of that name.
func (c *Config) Wave(name string) (Wave, bool) {
	w, ok := c.waves[name]
	return w, ok
}

// Home returns the pool that declares the VM, empty for none.
func (c *Config) Home(vm string) string { return c.home[vm] }

// Pools returns the names of all pools in order.
func (c *Config) Pools() []string { return sortedKeys(c.pools) }

// Queues returns the names of all queues in order.
func (c *Config) Queues() []string { return sortedKeys(c.queues) }

// Teams returns the names of all teams in order.
func (c *Config) Teams() []string { return sortedKeys(c.teams) }

// Waves returns the names of all waves in order.
func (c *Config) Waves() []string { return sortedKeys(c.waves) }
