package setup

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Resources is an amount of CPU in thousandths of a core, memory in megabytes and a number of GPUs.
type Resources struct {
	CPU   int
	MemMB int
	GPU   int
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// FitsWithin reports whether no amount exceeds that of room.
func (r Resources) FitsWithin(limit Resources) bool {
	return r.CPU <= limit.CPU && r.MemMB <= limit.MemMB && r.GPU <= limit.GPU
}

// Cores returns CPU and GPUs together in cores; a GPU counts as CoresPerGPU cores.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/MilliCoresPerCore + float64(r.GPU)*CoresPerGPU
}

const (
	// MilliCoresPerCore is the number of units of Resources.CPU in one core.
	MilliCoresPerCore = 1000
	// CoresPerGPU is the number of cores that a GPU counts as.
	CoresPerGPU = 8
)

// AdviceConfig describes the policy service that issues tickets for a queue's tasks. The zero value means that the queue
// needs no tickets.
type AdviceConfig struct {
	CallTime      time.Duration // duration of a call
	TimePerWorker time.Duration // additional duration for each worker in a call
	Validity      time.Duration // lifetime of a ticket
}

// IsRequired reports whether workers need a ticket for the queue's tasks.
func (a AdviceConfig) IsRequired() bool { return a != AdviceConfig{} }

// Queue is a declared queue with its route.
type Queue struct {
	Name          string
	Host          string
	Prefix        string // path prefix, up to the job's id
	Pool          string // pool whose workers run its jobs
	KeyOptional   bool   // requests without a key are accepted
	Priority      int    // 0 is the most urgent
	MaxAttempts   int    // a job fails when one of its tasks has failed this often; 0 counts as 1
	SlackFactor   float64
	TargetLatency time.Duration // a job's objective is SlackFactor times its critical path, plus TargetLatency
	Timeout       time.Duration // maximum duration of a call
	Advice        AdviceConfig
}

// Pool is a declared pool of workers.
type Pool struct {
	Name             string
	EnforcesCapacity bool // its workers reject tasks that exceed their capacity
	Standby          bool // its workers are switched off and cost nothing
}

// Team holds an organisation's weight, upper limit and keys.
type Team struct {
	Name   string
	Weight float64
	Limit  Resources // 0 in a field means no limit
	Keys   []string
}

// Limits holds the limits on callers' requests.
type Limits struct {
	BodyBytes     int
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	version int64
	queues  map[string]Queue
	routes  map[string][]Queue // by host, longest prefix first
	pools   map[string]Pool
	teams   map[string]Team
	keys    map[string]string // team by key
	limits  Limits
}

// New returns a configuration with the given version.
func New(version int64, queues []Queue, pools []Pool, teams []Team, limits Limits) *Config {
	c := &Config{
		version: version, queues: map[string]Queue{}, routes: map[string][]Queue{},
		pools: map[string]Pool{}, teams: map[string]Team{}, keys: map[string]string{}, limits: limits,
	}
	for _, q := range queues {
		c.queues[q.Name] = q
		host := strings.ToLower(q.Host)
		c.routes[host] = append(c.routes[host], q)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range pools {
		c.pools[p.Name] = p
	}
	for _, t := range teams {
		c.teams[t.Name] = t
		for _, key := range t.Keys {
			c.keys[key] = t.Name
		}
	}
	return c
}

// Version returns the version, which increases with each configuration.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Match returns the queue of the host with the longest prefix of the path, and the rest of the path. A port in host is
// ignored.
func (c *Config) Match(host, path string) (q Queue, rest string, found bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, q := range c.routes[name] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// TeamByKey returns the name of the team to which the key belongs.
func (c *Config) TeamByKey(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// QueueCount returns the number of declared queues.
func (c *Config) QueueCount() int { return len(c.queues) }

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the names of all pools, sorted.
func (c *Config) Pools() []string {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns the names of all teams, sorted.
func (c *Config) Teams() []string {
	names := make([]string, 0, len(c.teams))
	for name := range c.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
