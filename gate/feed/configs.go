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
	// A large configuration takes long over a slow link. The adapter times out earlier if it receives nothing.
	readTimeout = 15 * time.Second
	retryPause  = 150 * time.Millisecond
	// Other gates are queried when the platform has not answered for this long.
	peerQueryAfter   = 1100 * time.Millisecond
	peerQueryPeriod  = 400 * time.Millisecond
	peerQueryTimeout = 600 * time.Millisecond
	fetchTimeout     = 8 * time.Second
)

// PeerVersion is the version of another gate's configuration. The zero value means that the gate did not answer.
type PeerVersion struct {
	version int64
	age     time.Duration
	address string
}

// NewPeerVersion returns the version of the gate at the address, and how long ago it was known to be the newest.
func NewPeerVersion(version int64, age time.Duration, address string) PeerVersion {
	return PeerVersion{version, age, address}
}

// Version returns the configuration's version, 0 for none.
func (c PeerVersion) Version() int64 { return c.version }

// Age returns how long ago the version was known to be the newest.
func (c PeerVersion) Age() time.Duration { return c.age }

// ConfigPeers queries the configurations of other gates.
type ConfigPeers interface {
	// QueryVersions returns the versions of some gates, with a zero value for each gate that did not answer.
	QueryVersions(ctx context.Context) []PeerVersion
	// FetchConfig returns the encoded configuration of the gate at the address.
	FetchConfig(ctx context.Context, address string) ([]byte, error)
}

// Configs is a gate's copy of the configuration, waves and evacuations that operators have declared.
type Configs struct {
	operators ports.Operators
	peers     ConfigPeers

	mu                sync.Mutex
	cfg               *setup.Config
	encoded           []byte
	confirmedAt       time.Duration // when cfg was last known to be the newest, as time since boot
	waves             map[int64]sched.Wave
	evacuations       evacuations
	subscribers       []chan struct{}
	platformReachable bool // whether the last read of the platform succeeded
	fetching          bool // whether a configuration is being fetched from another gate
}

// NewConfigs returns Configs without a configuration.
func NewConfigs(operators ports.Operators, peers ConfigPeers) *Configs {
	return &Configs{operators: operators, peers: peers, waves: map[int64]sched.Wave{}}
}

// Config returns the newest known configuration, nil if there is none.
func (c *Configs) Config() *setup.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg
}

// Age returns how long ago the configuration was last known to be the newest.
func (c *Configs) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return timer.SinceBoot() - c.confirmedAt
}

// VersionAndAge returns the configuration's version and how long ago it was last known to be the newest. Both are 0 if there
// is no configuration.
func (c *Configs) VersionAndAge() (version int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg == nil {
		return 0, 0
	}
	return c.cfg.Version(), timer.SinceBoot() - c.confirmedAt
}

// Encoded returns the encoded configuration, nil if there is none.
func (c *Configs) Encoded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encoded
}

// Waves returns the declared waves in no particular order.
func (c *Configs) Waves() []sched.Wave {
	c.mu.Lock()
	defer c.mu.Unlock()
	waves := make([]sched.Wave, 0, len(c.waves))
	for _, w := range c.waves {
		waves = append(waves, w)
	}
	return waves
}

// Subscribe returns a channel that signals after each new configuration or wave, and each change of the evacuations.
func (c *Configs) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, ch)
	return ch
}

// Follow reads the operators' declarations from the platform until the context ends.
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
			c.recordReadFailure(err, started)
			timer.Sleep(ctx, retryPause)
			continue
		}
		c.applyDeclarations(declared, after, !known, started)
		next, known = after, true
	}
	return ctx.Err()
}

func (c *Configs) readOnce(ctx context.Context, next int64, known bool) ([]ports.Declaration, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !known {
		return c.operators.All(ctx)
	}
	return c.operators.Changes(ctx, next, readWait)
}

func (c *Configs) recordReadFailure(err error, started time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.platformReachable {
		klog.InfoS("platform-lost", "part", "declarations", "error", err.Error())
	}
	c.platformReachable, c.evacuations.readAt = false, started
}

// applyDeclarations applies declarations that were read up to the offset, by a full read or since the last read.
func (c *Configs) applyDeclarations(declared []ports.Declaration, offset int64, isFullRead bool, started time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.platformReachable {
		klog.InfoS("platform-reached", "part", "declarations")
	}
	c.platformReachable, c.evacuations.readAt = true, started
	c.updateEvacuations(declared, offset, isFullRead)
	for _, d := range declared {
		if d.Config != nil {
			c.install(d.Config, d.EncodedConfig, "platform")
		}
		if d.Wave != nil {
			if _, known := c.waves[d.Wave.Number]; !known {
				klog.InfoS("wave-declared", "wave", d.Wave.Number, "machines", len(d.Wave.Machines), "most", d.Wave.MaxDown)
			}
			c.waves[d.Wave.Number] = *d.Wave
			c.notifySubscribers()
		}
	}
	if c.cfg != nil {
		c.confirmedAt = max(c.confirmedAt, started)
	}
}

// install makes cfg the current configuration if it is newer than the current one.
func (c *Configs) install(cfg *setup.Config, encoded []byte, source string) {
	if c.cfg != nil && cfg.Version() <= c.cfg.Version() {
		return
	}
	klog.InfoS("configuration-in-force", "version", cfg.Version(), "source", source, "queues", cfg.QueueCount())
	c.cfg, c.encoded = cfg, encoded
	c.notifySubscribers()
}

func (c *Configs) notifySubscribers() {
	for _, ch := range c.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// PollPeers queries other gates while this gate can't reach the platform, until the context ends.
func (c *Configs) PollPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Sleep(ctx, peerQueryPeriod)
		if c.Age() >= peerQueryAfter {
			c.queryPeers(ctx)
		}
	}
	return ctx.Err()
}

func (c *Configs) queryPeers(ctx context.Context) {
	started := timer.SinceBoot()
	askCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	for _, peer := range c.peers.QueryVersions(askCtx) {
		c.updateFromPeer(ctx, peer, started)
	}
}

// updateFromPeer confirms the configuration if the peer has the same version, and fetches the peer's if it is newer. At most
// one fetch runs at a time, since a configuration may be large.
func (c *Configs) updateFromPeer(ctx context.Context, peer PeerVersion, asked time.Duration) {
	if peer.version == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := c.cfg != nil; {
	case known && peer.version == c.cfg.Version():
		c.confirmedAt = max(c.confirmedAt, asked-peer.age)
	case (!known || peer.version > c.cfg.Version()) && !c.fetching:
		c.fetching = true
		go c.fetchFromPeer(ctx, peer.address)
	}
}

// fetchFromPeer fetches the configuration of the gate at the address and installs it if it is newer.
func (c *Configs) fetchFromPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	encoded, err := c.peers.FetchConfig(ctx, address)
	var cfg *setup.Config
	if err == nil {
		cfg, err = c.operators.Decode(encoded)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = false
	if err != nil {
		klog.InfoS("peer-configuration-not-fetched", "from", address, "error", err.Error())
		return
	}
	c.install(cfg, encoded, "peer")
}
