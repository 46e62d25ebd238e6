package decl

import (
	"slices"
	"time"
)

// Class is the scheduling class of a team's work: it sets the order in which queued work starts.
type Class uint8

// Scheduling classes. The zero value is Normal; Urgent goes first, Background last.
const (
	Normal Class = iota
	Urgent
	Patient
	Background
)

// String returns the class's name in declarations.
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

// Fleet holds the settings of the whole deployment, from its [fleet] section.
type Fleet struct {
	name              string
	dataCentres       []string
	sparePool         string
	sizing            string
	weightShare       float64
	weightMoves       float64
	weightBuffer      float64
	weightRollOut     float64
	minimumStay       time.Duration
	plannerLease      time.Duration
	maxEjectedPercent int
}

// Name returns the deployment's name.
func (f Fleet) Name() string { return f.name }

// DataCentres returns the names of the data centres in declared order.
func (f Fleet) DataCentres() []string { return f.dataCentres }

// SparePool returns the name of the pool from which VMs are moved first, empty for none.
func (f Fleet) SparePool() string { return f.sparePool }

// Sizing returns the sizing policy: static, threshold or joint.
func (f Fleet) Sizing() string { return f.sizing }

// WeightShare returns the cost of one slot-second of unmet demand in the sizing objective.
func (f Fleet) WeightShare() float64 { return f.weightShare }

// WeightMoves returns the cost of moving one VM to another pool.
func (f Fleet) WeightMoves() float64 { return f.weightMoves }

// WeightBuffer returns the cost of one VM-second without load.
func (f Fleet) WeightBuffer() float64 { return f.weightBuffer }

// WeightRollOut returns the cost of one second of roll-out time.
func (f Fleet) WeightRollOut() float64 { return f.weightRollOut }

// MinimumStay returns the least time that a moved VM stays in its new pool.
func (f Fleet) MinimumStay() time.Duration { return f.minimumStay }

// PlannerLease returns the duration of the planner's lease.
func (f Fleet) PlannerLease() time.Duration { return f.plannerLease }

// MaxEjectedPercent returns the largest percentage of a pool's VMs that routing may eject at a time.
func (f Fleet) MaxEjectedPercent() int { return f.maxEjectedPercent }

// Pool is a declared pool of VMs.
type Pool struct {
	name       string
	vms        []string
	minServing int
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// VMs returns the names of the VMs that the pool declares.
func (p Pool) VMs() []string { return p.vms }

// MinServing returns the least number of VMs that must keep serving during waves and moves.
func (p Pool) MinServing() int { return p.minServing }

// Queue is a declared queue of requests for one pool.
type Queue struct {
	name              string
	pool              string
	isOpen            bool
	teams             []string
	maxWaitingPerTeam int
}

// Name returns the queue's name.
func (q Queue) Name() string { return q.name }

// Pool returns the pool that serves the queue.
func (q Queue) Pool() string { return q.pool }

// IsOpen reports whether the queue accepts requests without a key, which then count for OpenTeam.
func (q Queue) IsOpen() bool { return q.isOpen }

// Teams returns the names of the teams that may use the queue, empty for all.
func (q Queue) Teams() []string { return q.teams }

// MaxWaitingPerTeam returns the most requests of one team that may wait in the queue.
func (q Queue) MaxWaitingPerTeam() int { return q.maxWaitingPerTeam }

// AllowsTeam reports whether the team may use the queue.
func (q Queue) AllowsTeam(team string) bool {
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

// Team is a declared team with its share, limit and the properties of its work.
type Team struct {
	name            string
	organisation    string
	share           int
	limit           int
	class           Class
	isIdempotent    bool
	runTime         time.Duration
	timeout         time.Duration
	latestFinish    time.Duration
	hasLatestFinish bool
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Organisation returns the organisation that the team belongs to.
func (t Team) Organisation() string { return t.organisation }

// Share returns the team's weight in the distribution of a full pool's slots.
func (t Team) Share() int { return t.share }

// Limit returns the most requests and tasks that the team may have running across the fleet.
func (t Team) Limit() int { return t.limit }

// Class returns the scheduling class of the team's work.
func (t Team) Class() Class { return t.class }

// IsIdempotent reports whether the team's requests may run more than once.
func (t Team) IsIdempotent() bool { return t.isIdempotent }

// RunTime returns the declared run time of one request.
func (t Team) RunTime() time.Duration { return t.runTime }

// Timeout returns how long a caller of the team waits for a response.
func (t Team) Timeout() time.Duration { return t.timeout }

// LatestFinish returns the time of day, as a duration since midnight UTC, by which background work must be done, and
// whether one is declared.
func (t Team) LatestFinish() (time.Duration, bool) { return t.latestFinish, t.hasLatestFinish }

// Window is a daily period in UTC, as durations since midnight; it may span midnight.
type Window struct {
	from time.Duration
	to   time.Duration
}

// Contains reports whether the time of day, a duration since midnight UTC, lies in the window.
func (w Window) Contains(ofDay time.Duration) bool {
	if w.from <= w.to {
		return ofDay >= w.from && ofDay < w.to
	}
	return ofDay >= w.from || ofDay < w.to
}

// Wave is a declared maintenance wave.
type Wave struct {
	name           string
	pools          []string
	minServing     int
	maxUnavailable int
	maxFailures    int
	freezeWindows  []Window
}

// Name returns the wave's name.
func (w Wave) Name() string { return w.name }

// Pools returns the names of the pools that the wave covers, empty for all.
func (w Wave) Pools() []string { return w.pools }

// Covers reports whether the wave covers the pool.
func (w Wave) Covers(pool string) bool {
	return len(w.pools) == 0 || slices.Contains(w.pools, pool)
}

// MinServing returns the least number of VMs of each pool that must keep serving. The pool's own minimum applies as
// well.
func (w Wave) MinServing() int { return w.minServing }

// MaxUnavailable returns the most VMs that may be in maintenance at once.
func (w Wave) MaxUnavailable() int { return w.maxUnavailable }

// MaxFailures returns how many VMs may fail to come back from maintenance; one more pauses the wave.
func (w Wave) MaxFailures() int { return w.maxFailures }

// FreezeWindows returns the windows in which the wave starts no maintenance.
func (w Wave) FreezeWindows() []Window { return w.freezeWindows }

// IsFrozenAt reports whether the time of day, a duration since midnight UTC, lies in one of the freeze windows.
func (w Wave) IsFrozenAt(ofDay time.Duration) bool {
	return slices.ContainsFunc(w.freezeWindows, func(window Window) bool { return window.Contains(ofDay) })
}

// Config is a complete validated configuration. It is immutable.
type Config struct {
	fleet     Fleet
	pools     map[string]Pool
	queues    map[string]Queue
	teams     map[string]Team
	waves     map[string]Wave
	homePools map[string]string
}

// Fleet returns the settings of the whole deployment.
func (c *Config) Fleet() Fleet { return c.fleet }

// Pool returns the pool with the given name and whether it is declared.
func (c *Config) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Queue returns the queue with the given name and whether it is declared.
func (c *Config) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Team returns the team with the given name and whether it is declared.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Wave returns the wave with the given name and whether it is declared.
func (c *Config) Wave(name string) (Wave, bool) {
	w, ok := c.waves[name]
	return w, ok
}

// HomePool returns the name of the pool that declares the VM, empty for none.
func (c *Config) HomePool(vm string) string { return c.homePools[vm] }

// Pools returns the names of all pools, sorted.
func (c *Config) Pools() []string { return sortedKeys(c.pools) }

// Queues returns the names of all queues, sorted.
func (c *Config) Queues() []string { return sortedKeys(c.queues) }

// Teams returns the names of all teams, sorted.
func (c *Config) Teams() []string { return sortedKeys(c.teams) }

// Waves returns the names of all waves, sorted.
func (c *Config) Waves() []string { return sortedKeys(c.waves) }
