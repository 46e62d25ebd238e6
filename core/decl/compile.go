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

// Kinds of sections in declarations.
const (
	KindFleet = "fleet"
	KindPool  = "pool"
	KindQueue = "queue"
	KindTeam  = "team"
	KindWave  = "wave"
)

// OpenTeam is the name of the team for which requests without a key on an open queue count.
const OpenTeam = "open"

const (
	defaultMaxWaitingPerTeam = 1000
	defaultTimeout           = 30 * time.Second
	defaultRunTime           = 100 * time.Millisecond
	defaultMinimumStay       = 2 * time.Minute
	defaultPlannerLease      = 6 * time.Second
	defaultMaxEjectedPercent = 30
)

// Fault is a validation error in one section of the declarations.
type Fault struct {
	section string
	key     string
	text    string
}

// Section returns the faulty section, such as "team plant-floor".
func (f Fault) Section() string { return f.section }

// Key returns the faulty key, empty if the fault concerns the whole section.
func (f Fault) Key() string { return f.key }

// Text returns what is wrong.
func (f Fault) Text() string { return f.text }

// String returns the section, the key and what is wrong.
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("[%s]: %s", f.section, f.text)
	}
	return fmt.Sprintf("[%s] %s: %s", f.section, f.key, f.text)
}

// Compile validates the sections and the references between them. It returns the configuration, or all faults in sorted
// order.
func Compile(objects []record.Object) (*Config, []Fault) {
	c := compiler{cfg: emptyConfig()}
	for _, o := range objects {
		c.addSection(o)
	}
	c.checkReferences()
	if len(c.faults) > 0 {
		slices.SortFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.String(), b.String()) })
		return nil, c.faults
	}
	return c.cfg, nil
}

func emptyConfig() *Config {
	return &Config{
		fleet:     defaultFleet(),
		pools:     map[string]Pool{},
		queues:    map[string]Queue{},
		teams:     map[string]Team{},
		waves:     map[string]Wave{},
		homePools: map[string]string{},
	}
}

func defaultFleet() Fleet {
	return Fleet{
		sizing:            "joint",
		weightShare:       1,
		weightMoves:       1,
		weightBuffer:      1,
		weightRollOut:     1,
		minimumStay:       defaultMinimumStay,
		plannerLease:      defaultPlannerLease,
		maxEjectedPercent: defaultMaxEjectedPercent,
	}
}

// Empty returns a configuration without declarations and with the default fleet settings.
func Empty() *Config { return emptyConfig() }

type compiler struct {
	cfg    *Config
	faults []Fault
	vms    int // names that pools list
}

func (c *compiler) addFault(section, key, format string, args ...any) {
	c.faults = append(c.faults, Fault{section, key, fmt.Sprintf(format, args...)})
}

func (c *compiler) addSection(o record.Object) {
	r := newSectionReader(o, c)
	switch o.Kind() {
	case KindFleet:
		if first := c.cfg.fleet.name; first != "" {
			c.addFault(r.section, "", "fleet %s is declared already", first)
		}
		c.cfg.fleet = r.readFleet(o.Name())
	case KindPool:
		c.cfg.pools[o.Name()] = r.readPool(o.Name())
	case KindQueue:
		c.cfg.queues[o.Name()] = r.readQueue(o.Name())
	case KindTeam:
		c.cfg.teams[o.Name()] = r.readTeam(o.Name())
	case KindWave:
		c.cfg.waves[o.Name()] = r.readWave(o.Name())
	default:
		c.addFault(r.section, "", "unknown kind of section, expected fleet, pool, queue, team or wave")
		return
	}
	r.checkUnknownKeys()
}

func (c *compiler) checkReferences() {
	for _, name := range sortedKeys(c.cfg.pools) {
		c.assignVMs(c.cfg.pools[name])
	}
	for _, name := range sortedKeys(c.cfg.queues) {
		c.checkQueue(c.cfg.queues[name])
	}
	for _, name := range sortedKeys(c.cfg.waves) {
		for _, pool := range c.cfg.waves[name].pools {
			c.checkPoolDeclared("wave "+name, "pools", pool)
		}
	}
	if spare := c.cfg.fleet.sparePool; spare != "" {
		c.checkPoolDeclared("fleet "+c.cfg.fleet.name, "spare-pool", spare)
	}
}

func (c *compiler) assignVMs(p Pool) {
	for _, vm := range p.vms {
		if other, isAssigned := c.cfg.homePools[vm]; isAssigned {
			c.addFault("pool "+p.name, "vms", "VM %s is already in pool %s", vm, other)
			continue
		}
		c.cfg.homePools[vm] = p.name
	}
}

func (c *compiler) checkQueue(q Queue) {
	if q.pool != "" {
		c.checkPoolDeclared("queue "+q.name, "pool", q.pool)
	}
	for _, team := range q.teams {
		if _, ok := c.cfg.teams[team]; !ok {
			c.addFault("queue "+q.name, "teams", "team %s is not declared", QuoteValue(team))
		}
	}
	if _, ok := c.cfg.teams[OpenTeam]; q.isOpen && !ok {
		c.addFault("queue "+q.name, "open", "an open queue needs a [team open] with its share and limit")
	}
}

func (c *compiler) checkPoolDeclared(section, key, pool string) {
	if _, ok := c.cfg.pools[pool]; !ok {
		c.addFault(section, key, "pool %s is not declared", QuoteValue(pool))
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// ExpandNames returns the names in a comma-separated list such as "pour-[01-10], spare-1", with its ranges expanded.
func ExpandNames(list string) ([]string, error) {
	var out []string
	for _, item := range splitList(list) {
		names, err := expandRange(item)
		if err != nil {
			return nil, err
		}
		if out = append(out, names...); len(out) > maxRangeLength {
			return nil, fmt.Errorf("more than %d names", maxRangeLength)
		}
	}
	return out, nil
}

func expandRange(item string) ([]string, error) {
	opening := strings.IndexByte(item, '[')
	if len(item) > maxNameBytes {
		return nil, fmt.Errorf("%s: expected at most %d bytes", QuoteValue(item), maxNameBytes)
	}
	if opening < 0 {
		return []string{item}, nil
	}
	var first, last int
	closing := strings.IndexByte(item, ']')
	if closing < opening {
		return nil, fmt.Errorf("%s: expected a range such as name-[01-10]", QuoteValue(item))
	}
	low, high, ok := strings.Cut(item[opening+1:closing], "-")
	if !ok || parseInt(low, &first) != nil || parseInt(high, &last) != nil || last < first || last-first >= maxRangeLength {
		return nil, fmt.Errorf("%s: expected a range such as name-[01-10]", QuoteValue(item))
	}
	var out []string
	for n := first; n <= last; n++ {
		out = append(out, fmt.Sprintf("%s%0*d%s", item[:opening], len(low), n, item[closing+1:]))
	}
	return out, nil
}
