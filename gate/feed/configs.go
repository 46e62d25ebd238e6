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
	readWait = 700 * time.Millisecond
	// A large configuration takes long over a narrow link; the adapter gives up sooner if nothing comes.
	readLimit  = 15 * time.Second
	retryPause = 150 * time.Millisecond
	// Other gates are asked when the platform was not heard for this long.
	askPeersAfter = 1100 * time.Millisecond
	askPeriod     = 400 * time.Millisecond
	askLimit      = 600 * time.Millisecond
	fetchLimit    = 8 * time.Second
)

// PeerVersion is what another gate says of its configuration.
type PeerVersion struct {
	version int64
	age     time.Duration
	from    string
}

// NewPeerVersion returns what the gate at an address said: which version it has, and how long ago that was known to be the
// newest.
func NewPeerVersion(version int64, age time.Duration, from string) PeerVersion {
	return PeerVersion{version, age, from}
}

// Version returns the configuration's version, 0 for none.
func (c PeerVersion) Version() int64 { return c.version }

// Age returns how long ago it was known to be the newest.
func (c PeerVersion) Age() time.Duration { return c.age }

// ConfigPeers are the other gates.
type ConfigPeers interface {
	// QueryVersions asks some gates which version they have.
	QueryVersions(ctx context.Context) []PeerVersion
	// FetchConfig returns the encoded form of the configuration of the gate at an address.
	FetchConfig(ctx context.Context, address string) ([]byte, error)
}

// Configs is a gate's copy of what operators declare.
type Configs struct {
	operators ports.Operators
	others    ConfigPeers

	mu      sync.Mutex
	cfg     *setup.Config
	raw     []byte
	fresh   time.Duration // when the copy was known to be the newest, since boot
	waves   map[int64]sched.Wave
	changed []chan struct{}
	reading bool // the platform answers
	fetches bool // a newer configuration is on its way from another gate
}

// NewConfigs returns an empty copy.
func NewConfigs(operators ports.Operators, others ConfigPeers) *Configs {
	return &Configs{operators: operators, others: others, waves: map[int64]sched.Wave{}}
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

// VersionAndAge returns the version of the copy and how long ago it was known to be the newest; version 0 is none.
func (c *Configs) VersionAndAge() (version int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg == nil {
		return 0, 0
	}
	return c.cfg.Version(), timer.SinceBoot() - c.fresh
}

// Encoded returns the copy's encoded form, nil if there is none.
func (c *Configs) Encoded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
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
			timer.Sleep(ctx, retryPause)
			continue
		}
		next, known = after, true
		c.adopt(declared, started)
	}
	return ctx.Err()
}

func (c *Configs) readOnce(ctx context.Context, next int64, known bool) ([]ports.Declaration, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
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

func (c *Configs) adopt(declared []ports.Declaration, started time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		klog.InfoS("platform-reached", "part", "declarations")
	}
	c.reading = true
	for _, d := range declared {
		if d.Config != nil {
			c.install(d.Config, d.EncodedConfig, "platform")
		}
		if d.Wave != nil {
			if _, known := c.waves[d.Wave.Number]; !known {
				klog.InfoS("wave-declared", "wave", d.Wave.Number, "machines", len(d.Wave.Machines), "most", d.Wave.MaxDown)
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
	klog.InfoS("configuration-in-force", "version", cfg.Version(), "source", source, "queues", cfg.QueueCount())
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

// PollPeers asks other gates while the platform does not answer this one, until the context ends.
func (c *Configs) PollPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Sleep(ctx, askPeriod)
		if c.Age() >= askPeersAfter {
			c.askPeers(ctx)
		}
	}
	return ctx.Err()
}

func (c *Configs) askPeers(ctx context.Context) {
	started := timer.SinceBoot()
	askCtx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	for _, copied := range c.others.QueryVersions(askCtx) {
		c.compare(ctx, copied, started)
	}
}

// compare takes over how fresh the gate's own version is, and fetches a newer one, one at a time: it may be large.
func (c *Configs) compare(ctx context.Context, copied PeerVersion, asked time.Duration) {
	if copied.version == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := c.cfg != nil; {
	case known && copied.version == c.cfg.Version():
		c.fresh = max(c.fresh, asked-copied.age)
	case (!known || copied.version > c.cfg.Version()) && !c.fetches:
		c.fetches = true
		go c.fetch(ctx, copied.from)
	}
}

// fetch takes over the configuration of another gate, if it is newer.
func (c *Configs) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	raw, err := c.others.FetchConfig(ctx, from)
	var cfg *setup.Config
	if err == nil {
		cfg, err = c.operators.Decode(raw)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetches = false
	if err != nil {
		klog.InfoS("peer-configuration-not-fetched", "from", from, "error", err.Error())
		return
	}
	c.install(cfg, raw, "peer")
}
