package lint

import (
	"time"

	"mangowing/core/setup"
)

// Field names a part of an entry whose place a reader knows.
type Field string

// Fields of entries.
const (
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldPool        Field = "pool"
	FieldKeyOptional Field = "key-optional"
	FieldPriority    Field = "priority"
	FieldAttempts    Field = "max-attempts"
	FieldSlack       Field = "slack"
	FieldTarget      Field = "target-latency"
	FieldTimeout     Field = "timeout"
	FieldAdvice      Field = "advice"
	FieldEnforces    Field = "enforces-capacity"
	FieldStandby     Field = "standby"
	FieldWeight      Field = "weight"
	FieldLimit       Field = "limit"
	FieldKeys        Field = "keys"
	FieldVersion     Field = "version"
	FieldBody        Field = "body-bytes"
	FieldHeader      Field = "header-bytes"
	FieldHeaderTime  Field = "header-timeout"
	FieldIdleTime    Field = "idle-timeout"
	FieldMachines    Field = "machines"
	FieldDuration    Field = "duration"
	FieldMaxDown     Field = "max-down"
	FieldNumber      Field = "number"
)

// Places holds the place of an entry and of its fields. The zero value knows none.
type Places struct {
	entry  Place
	fields map[Field]Place
}

// NewPlaces returns the places of an entry.
func NewPlaces(entry Place, fields map[Field]Place) Places { return Places{entry, fields} }

// Of returns the place of the field, or that of the entry if the field isn't there.
func (p Places) Of(f Field) Place {
	if at, ok := p.fields[f]; ok {
		return at
	}
	return p.entry
}

// Queue is a queue as it was written.
type Queue struct {
	setup.Queue
	Places Places
}

// Pool is a pool as it was written.
type Pool struct {
	setup.Pool
	Places Places
}

// Team is a team as it was written. KeyPlaces has the place of each of its keys.
type Team struct {
	setup.Team
	Places    Places
	KeyPlaces []Place
}

// Configuration is a configuration for jobs as it was written, including entries that others replace.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	Limits  setup.Limits
	Places  Places // of the version and the limits
}

// setup returns the configuration as gates apply it.
func (c *Configuration) setup() *setup.Config {
	queues := make([]setup.Queue, 0, len(c.Queues))
	for i := range c.Queues {
		queues = append(queues, c.Queues[i].Queue)
	}
	pools := make([]setup.Pool, 0, len(c.Pools))
	for i := range c.Pools {
		pools = append(pools, c.Pools[i].Pool)
	}
	teams := make([]setup.Team, 0, len(c.Teams))
	for i := range c.Teams {
		teams = append(teams, c.Teams[i].Team)
	}
	return setup.New(c.Version, queues, pools, teams, c.Limits)
}

// Wave is a maintenance wave as it was written.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	MaxDown  int // machines that may be down at once
	Places   Places
}

// Machine is a machine of the fleet.
type Machine struct {
	Name     string
	Pool     string
	Labels   []string
	Capacity setup.Resources
}

// Task is the smallest task that is expected, by which limits and shares are judged.
type Task struct {
	Needs    setup.Resources
	Duration time.Duration
}

// Label is a label that jobs ask for, in any pool if Pool is empty.
type Label struct {
	Pool string
	Name string
}

// Context is what is known beside the configuration. The zero value means that nothing is known; checks that need more are
// left out.
type Context struct {
	Machines    []Machine
	Waves       []Wave
	Labels      []Label
	Task        Task
	Maintenance time.Duration // how long a machine is away for maintenance
	SlotsPerVM  int           // for declarations: requests that a VM runs at once
}

// capacity returns the sum of the machines' capacities.
func (x *Context) capacity() setup.Resources {
	var sum setup.Resources
	for i := range x.Machines {
		sum = sum.Add(x.Machines[i].Capacity)
	}
	return sum
}
