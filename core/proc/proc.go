package proc

import (
	"crypto/rand"
	"time"

	"mangowing/core/event"
	"mangowing/core/timer"
)

// Process is passed to every component of a program.
type Process struct {
	name        string
	incarnation string
	timers      *timer.Service
	clock       *event.Clock
	events      *event.Ring
}

// New returns a process with the given name and a new incarnation.
func New(name string) *Process {
	clock := &event.Clock{}
	return &Process{
		name:        name,
		incarnation: name + "." + rand.Text()[:10],
		timers:      &timer.Service{},
		clock:       clock,
		events:      event.NewRing(clock, name),
	}
}

// Name returns the process's name, which a replacement process may reuse.
func (p *Process) Name() string { return p.name }

// Incarnation returns the id of this run of the process, which is never reused.
func (p *Process) Incarnation() string { return p.incarnation }

// Timers returns the timer service.
func (p *Process) Timers() *timer.Service { return p.timers }

// Clock returns the hybrid logical clock.
func (p *Process) Clock() *event.Clock { return p.clock }

// Events returns the process's timeline of events.
func (p *Process) Events() *event.Ring { return p.events }

// NowMs returns the wall clock in Unix milliseconds.
func (p *Process) NowMs() int64 { return time.Now().UnixMilli() }
