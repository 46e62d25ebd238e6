package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	readWait   = 700 * time.Millisecond
	readLimit  = 1200 * time.Millisecond
	retryPause = 150 * time.Millisecond
	// Other gates are asked when the platform was not heard for this long.
	askPeersAfter = 1100 * time.Millisecond
	askPeriod     = 400 * time.Millisecond
	askLimit      = 600 * time.Millisecond
)

// Copy is a configuration with its age.
type Copy struct {
	raw     []byte
	version int64
	age     time.Duration
}

// NewCopy returns the copy of a configuration, in its encoded form, that was in force that long ago.
func NewCopy(raw []byte, version int64, age time.Duration) Copy { return Copy{raw, version, age} }

// Raw returns the encoded form.
func (c Copy) Raw() []byte { return c.raw }

// Version returns the configuration's version, 0 for none.
func (c Copy) Version() int64 { return c.version }

// Age returns how long ago it was known to be the newest.
func (c Copy) Age() time.Duration { return c.age }

// AskPeers returns the copies of other gates; those whose version is the given one carry no encoded form.
type AskPeers func(ctx context.Context, version int64) []Copy

// Configs is a gate's copy of what operators declare.
type Configs struct {
	operators ports.Operators
	ask       AskPeers

	mu      sync.Mutex
	cfg     *setup.Config
	raw     []byte
	fresh   time.Duration // when the copy was known to be the newest, since boot
	waves   map[int64]sched.Wave
	changed []chan struct{}
	reading bool // the platform answers
}

// New returns an empty copy.
func New(operators ports.Operators, ask AskPeers) *Configs {
	return &Configs{operators: operators, ask: ask, waves: map[int64]sched.Wave{}}
}

// Config returns the newest configuration that is known, nil for none.
func (c *Configs) Config() *setup.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg
}

// Age returns how long ago the configuration was known to be the newest.
func (c *Configs) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return timer.SinceBoot() - c.fresh
}

// Copy returns the configuration for another gate that has the given version.
func (c *Configs) Copy(version int64) Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg == nil {
		return Copy{}
	}
	copied := Copy{version: c.cfg.Version(), age: timer.SinceBoot() - c.fresh}
	if copied.version > version {
		copied.raw = c.raw
	}
	return copied
}

// Waves returns the waves that were declared.
func (c *Configs) Waves() []sched.Wave {
	c.mu.Lock()
	defer c.mu.Unlock()
	waves := make([]sched.Wave, 0, len(c.waves))
	for _, w := range c.waves {
		waves = append(waves, w)
	}
	return waves
}

// Subscribe returns a channel that ticks when something was declared.
func (c *Configs) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = append(c.changed, ch)
	return ch
}

// Follow reads the operators' declarations until the context ends.
func (c *Configs) Follow(ctx context.Context) error {
	next, known := int64(0), false
	for ctx.Err() == nil {
		started := timer.SinceBoot()
		declared, after, err := c.readOnce(ctx, next, known)
		if errors.Is(err, ports.ErrTrimmed) {
			known = false
			continue
		}
		if err != nil {
			c.lost(err)
			timer.Pause(ctx, retryPause)
			continue
		}
		next, known = after, true
		c.adopt(declared, started)
	}
	return ctx.Err()
}

func (c *Configs) readOnce(ctx context.Context, next int64, known bool) ([]ports.Declared, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readLimit)
	defer cancel()
	if !known {
		return c.operators.All(ctx)
	}
	return c.operators.Changes(ctx, next, readWait)
}

func (c *Configs) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		klog.InfoS("platform-lost", "part", "declarations", "error", err.Error())
	}
	c.reading = false
}

func (c *Configs) adopt(declared []ports.Declared, started time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		klog.InfoS("platform-reached", "part", "declarations")
	}
	c.reading = true
	for _, d := range declared {
		if d.Config != nil {
			c.install(d.Config, d.Raw, "platform")
		}
		if d.Wave != nil {
			if _, known := c.waves[d.Wave.Number]; !known {
				klog.InfoS("wave-declared", "wave", d.Wave.Number, "machines", len(d.Wave.Machines), "most", d.Wave.Most)
			}
			c.waves[d.Wave.Number] = *d.Wave
			c.tick()
		}
	}
	if c.cfg != nil {
		c.fresh = max(c.fresh, started)
	}
}

// install puts a configuration in force unless a newer one is.
func (c *Configs) install(cfg *setup.Config, raw []byte, source string) {
	if c.cfg != nil && cfg.Version() <= c.cfg.Version() {
		return
	}
	klog.InfoS("configuration-in-force", "version", cfg.Version(), "source", source, "queues", cfg.Queues())
	c.cfg, c.raw = cfg, raw
	c.tick()
}

func (c *Configs) tick() {
	for _, ch := range c.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Heal asks other gates while the platform does not answer this one, until the context ends.
func (c *Configs) Heal(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Pause(ctx, askPeriod)
		if c.Age() >= askPeersAfter {
			c.askPeers(ctx)
		}
	}
	return ctx.Err()
}

func (c *Configs) askPeers(ctx context.Context) {
	started := timer.SinceBoot()
	version := int64(0)
	if cfg := c.Config(); cfg != nil {
		version = cfg.Version()
	}
	askCtx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	for _, copied := range c.ask(askCtx, version) {
		c.adoptCopy(copied, started)
	}
}

func (c *Configs) adoptCopy(copied Copy, started time.Duration) {
	if copied.version == 0 {
		return
	}
	var cfg *setup.Config
	if len(copied.raw) > 0 {
		decoded, err := c.operators.Decode(copied.raw)
		if err != nil {
			klog.ErrorS(err, "peer-configuration-unreadable", "version", copied.version)
			return
		}
		cfg = decoded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg != nil {
		c.install(cfg, copied.raw, "peer")
	}
	if c.cfg != nil && copied.version == c.cfg.Version() {
		c.fresh = max(c.fresh, started-copied.age)
	}
}
