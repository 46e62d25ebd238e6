package decl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mangowing/core/record"
)

// Kinds of declared sections.
const (
	KindFleet = "fleet"
	KindPool  = "pool"
	KindQueue = "queue"
	KindTeam  = "team"
	KindWave  = "wave"
)

// OpenTeam is the team that requests without a key on an open queue work for.
const OpenTeam = "open"

const (
	defaultQueueLength    = 1000
	defaultTimeout        = 30 * time.Second
	defaultRunTime        = 100 * time.Millisecond
	defaultMinimumStay    = 2 * time.Minute
	defaultPlannerLease   = 6 * time.Second
	defaultEjectedPercent = 30
)

// Fault is one thing wrong with a declaration.
type Fault struct {
	section string
	key     string
	text    string
}

// Section returns the faulty section, such as "team plant-floor".
func (f Fault) Section() string { return f.section }

// Key returns the faulty key, empty if the section itself is at fault.
func (f Fault) Key() string { return f.key }

// String returns section, key and what was expected.
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("[%s]: %s", f.section, f.text)
	}
	return fmt.Sprintf("[%s] %s: %s", f.section, f.key, f.text)
}

// Compile checks all sections together and returns the configuration, or every fault found.
func Compile(objects []record.Object) (*Config, []Fault) {
	c := compiler{cfg: emptyConfig()}
	for _, o := range objects {
		c.section(o)
	}
	c.crossCheck()
	if len(c.faults) > 0 {
		slices.SortFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.String(), b.String()) })
		return nil, c.faults
	}
	return c.cfg, nil
}

func emptyConfig() *Config {
	return &Config{
		fleet:  defaultFleet(),
		pools:  map[string]Pool{},
		queues: map[string]Queue{},
		teams:  map[string]Team{},
		waves:  map[string]Wave{},
		home:   map[string]string{},
	}
}

func defaultFleet() Fleet {
	return Fleet{
		sizing:         "joint",
		weightShare:    1,
		weightMoves:    1,
		weightBuffer:   1,
		weightRollOut:  1,
		minimumStay:    defaultMinimumStay,
		plannerLease:   defaultPlannerLease,
		ejectedPercent: defaultEjectedPercent,
	}
}

// Empty returns the configuration with nothing declared.
func Empty() *Config { return emptyConfig() }

type compiler struct {
	cfg    *Config
	faults []Fault
}

func (c *compiler) fault(section, key, format string, args ...any) {
	c.faults = append(c.faults, Fault{section, key, fmt.Sprintf(format, args...)})
}

func (c *compiler) section(o record.Object) {
	r := newReader(o, c)
	switch o.Kind() {
	case KindFleet:
		if first := c.cfg.fleet.name; first != "" {
			c.fault(r.section, "", "fleet %s is declared already", first)
		}
		c.cfg.fleet = r.fleet(o.Name())
	case KindPool:
		c.cfg.pools[o.Name()] = r.pool(o.Name())
	case KindQueue:
		c.cfg.queues[o.Name()] = r.queue(o.Name())
	case KindTeam:
		c.cfg.teams[o.Name()] = r.team(o.Name())
	case KindWave:
		c.cfg.waves[o.Name()] = r.wave(o.Name())
	default:
		c.fault(r.section, "", "unknown kind of section, expected fleet, pool, queue, team or wave")
		return
	}
	r.unknownKeys()
}

func (c *compiler) crossCheck() {
	for _, name := range sortedKeys(c.cfg.pools) {
		c.claimVMs(c.cfg.pools[name])
	}
	for _, name := range sortedKeys(c.cfg.queues) {
		c.checkQueue(c.cfg.queues[name])
	}
	for _, name := range sortedKeys(c.cfg.waves) {
		for _, pool := range c.cfg.waves[name].pools {
			c.needPool("wave "+name, "pools", pool)
		}
	}
	if spare := c.cfg.fleet.sparePool; spare != "" {
		c.needPool("fleet "+c.cfg.fleet.name, "spare-pool", spare)
	}
}

func (c *compiler) claimVMs(p Pool) {
	for _, vm := range p.vms {
		if other, taken := c.cfg.home[vm]; taken {
			c.fault("pool "+p.name, "vms", "VM %s is already in pool %s", vm, other)
			continue
		}
		c.cfg.home[vm] = p.name
	}
}

func (c *compiler) checkQueue(q Queue) {
	if q.pool != "" {
		c.needPool("queue "+q.name, "pool", q.pool)
	}
	for _, team := range q.teams {
		if _, ok := c.cfg.teams[team]; !ok {
			c.fault("queue "+q.name, "teams", "team %s is not declared", Quoted(team))
		}
	}
	if _, ok := c.cfg.teams[OpenTeam]; q.open && !ok {
		c.fault("queue "+q.name, "open", "an open queue needs a [team open] with its share and limit")
	}
}

func (c *compiler) needPool(section, key, pool string) {
	if _, ok := c.cfg.pools[pool]; !ok {
		c.fault(section, key, "pool %s is not declared", Quoted(pool))
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// ExpandNames returns the names of a list such as "pour-[01-10], spare-1", in order.
func ExpandNames(list string) ([]string, error) {
	var out []string
	for _, item := range splitList(list) {
		names, err := expandRange(item)
		if err != nil {
			return nil, err
		}
		out = append(out, names...)
	}
	return out, nil
}

func expandRange(item string) ([]string, error) {
	open := strings.IndexByte(item, '[')
	if open < 0 {
		return []string{item}, nil
	}
	var first, last int
	closing := strings.IndexByte(item, ']')
	if closing < open {
		return nil, fmt.Errorf("%s: expected a range such as name-[01-10]", Quoted(item))
	}
	low, high, ok := strings.Cut(item[open+1:closing], "-")
	if !ok || scanInt(low, &first) != nil || scanInt(high, &last) != nil || last < first || last-first >= maxRange {
		return nil, fmt.Errorf("%s: expected a range such as name-[01-10]", Quoted(item))
	}
	var out []string
	for n := first; n <= last; n++ {
		out = append(out, fmt.Sprintf("%s%0*d%s", item[:open], len(low), n, item[closing+1:]))
	}
	return out, nil
}
