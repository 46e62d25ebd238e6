package setup

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Resources is an amount of processor in thousandths of a core, memory in megabytes and accelerators.
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

// FitsWithin tells whether none of the amounts exceeds that of room.
func (r Resources) FitsWithin(room Resources) bool {
	return r.CPU <= room.CPU && r.MemMB <= room.MemMB && r.GPU <= room.GPU
}

// Cores returns the processor share in cores, an accelerator counting as GPUCores of them.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/MilliCoresPerCore + float64(r.GPU)*CoresPerGPU
}

const (
	// MilliCoresPerCore is how many units of Resources.CPU make a core.
	MilliCoresPerCore = 1000
	// CoresPerGPU is how many cores an accelerator is worth.
	CoresPerGPU = 8
)

// Advice is the policy service's terms for a queue; the zero value means that none is asked.
type Advice struct {
	Decision time.Duration // time for each call
	PerVM    time.Duration // time for each worker named in a call
	Validity time.Duration // how long a ticket is good
}

// IsRequired tells whether workers need a ticket for the queue's tasks.
func (a Advice) IsRequired() bool { return a != Advice{} }

// Queue is a declared queue and the route that leads to it.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // path prefix, ends before the job's id
	Pool        string // pool whose workers run its jobs
	KeyOptional bool   // calls need no key
	Priority    int    // 0 is the most urgent
	MaxAttempts int    // failed attempts of a task that fail its job; 0 means one
	Slack       float64
	Target      time.Duration // added to Slack times the job's longest chain to get its objective
	Timeout     time.Duration // longest time that a call may take
	Advice      Advice
}

// Pool is a declared pool of workers.
type Pool struct {
	Name             string
	EnforcesCapacity bool // its workers reject what does not fit
	Standby          bool // its workers are off and cost nothing
}

// Team is an organisation's share, upper limit and keys.
type Team struct {
	Name   string
	Weight float64
	Limit  Resources // 0 in a field means no limit
	Keys   []string
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes     int
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration; it is not changed after New.
type Config struct {
	version int64
	queues  map[string]Queue
	routes  map[string][]Queue // by host, longest prefix first
	pools   map[string]Pool
	teams   map[string]Team
	keys    map[string]string
	limits  Limits
}

// New returns the configuration of that version.
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

// Version returns the version; a later configuration has a higher one.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Match returns the queue with the longest prefix that the path begins with, and the rest of the path.
func (c *Config) Match(host, path string) (q Queue, rest string, found bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, q := range c.routes[name] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// TeamByKey returns the name of the team that the key belongs to.
func (c *Config) TeamByKey(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Queue returns the queue of that name.
func (c *Config) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// QueueCount returns how many queues are declared.
func (c *Config) QueueCount() int { return len(c.queues) }

// Pool returns the pool of that name.
func (c *Config) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the names of all pools in order.
func (c *Config) Pools() []string {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Team returns the team of that name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns the names of all teams in order.
func (c *Config) Teams() []string {
	names := make([]string, 0, len(c.teams))
	for name := range c.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
