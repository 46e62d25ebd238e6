package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/logs"
	"mangowing/core/timer"
	"mangowing/gate/owner"
	"mangowing/gate/ports"
)

const (
	gatesTopic      = "gates"
	refreshPeriod   = 10 * time.Second
	maxQueriedPeers = 3
	logCallTimeout  = 2 * time.Second
	logRetryPause   = 500 * time.Millisecond
	// The first reads are closer together, so that gates that start at the same time find each other.
	initialRefreshes     = 8
	initialRefreshPeriod = 250 * time.Millisecond
)

// gateEntry is a gate's record in the topic of gates. Each gate writes its own.
type gateEntry struct {
	Address string  `json:"address"`
	Cores   float64 `json:"processor"` // cores that the gate may use
	// DataCentre is empty in entries of earlier versions.
	DataCentre string `json:"data-centre,omitempty"`
}

// maxDataCentreBytes is the longest name of a data centre in an entry.
const maxDataCentreBytes = 253

// maxCores is the most that a gate's entry may claim; more would make all other gates count as weak.
const maxCores = 4096

func parseGateEntry(raw []byte) (gateEntry, error) {
	var g gateEntry
	if err := json.Unmarshal(raw, &g); err != nil {
		return gateEntry{}, eris.Wrap(err, "decode")
	}
	if _, err := netip.ParseAddrPort(g.Address); err != nil {
		return gateEntry{}, eris.Wrap(err, "address")
	}
	if g.Cores < 0 || g.Cores > maxCores {
		return gateEntry{}, eris.Errorf("%g cores", g.Cores)
	}
	if len(g.DataCentre) > maxDataCentreBytes {
		return gateEntry{}, eris.Errorf("data centre of %d bytes", len(g.DataCentre))
	}
	return g, nil
}

// Peers is the list of the other gates, and calls them.
type Peers struct {
	log     ports.Log
	network Network
	elector *owner.Elector
	name    string
	self    gateEntry
	links   *LinkMonitor // nil if it is not used

	mu    sync.Mutex
	gates []gateEntry
}

// NewPeers returns the list of gates other than the named one, empty until Serve. dataCentre is where this gate stands, and cores
// how many it may use.
func NewPeers(log ports.Log, network Network, elector *owner.Elector, name, address, dataCentre string, cores float64) *Peers {
	return &Peers{log: log, network: network, elector: elector, name: name, self: gateEntry{Address: address, Cores: cores, DataCentre: dataCentre}}
}

// Serve registers this gate and refreshes the list until the context ends.
func (p *Peers) Serve(ctx context.Context) error {
	registered := false
	for n := 0; ctx.Err() == nil; n++ {
		wait := refreshPeriod
		if n < initialRefreshes {
			wait = initialRefreshPeriod
		}
		if !registered {
			registered = p.register(ctx)
		}
		if !p.refresh(ctx) || !registered {
			wait = logRetryPause
		}
		timer.Sleep(ctx, wait)
	}
	return ctx.Err()
}

func (p *Peers) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	value, err := json.Marshal(p.self)
	if err == nil {
		err = p.log.Put(ctx, gatesTopic, ports.KeyValue{Key: p.name, Value: value})
	}
	if err != nil {
		klog.InfoS("gate-not-entered", "error", err.Error())
	}
	return err == nil
}

func (p *Peers) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	entries, err := p.log.Newest(ctx, gatesTopic)
	if err != nil {
		klog.V(1).InfoS("gates-not-read", "error", err.Error())
		return false
	}
	var gates []gateEntry
	for _, e := range entries {
		if e.Key == p.name {
			continue
		}
		g, err := parseGateEntry(e.Value)
		if err != nil {
			klog.InfoS("gate-entry-skipped", "gate", e.Key, "why", logs.Shorten(err))
			continue
		}
		gates = append(gates, g)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = gates
	return true
}

// Count returns the number of gates that are known, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.gates) + 1
}

// queryAddresses returns the addresses of some randomly chosen gates and of the owner, unless that is this gate.
func (p *Peers) queryAddresses() []string {
	var all []string
	p.mu.Lock()
	for _, g := range p.gates {
		all = append(all, g.Address)
	}
	p.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), maxQueriedPeers)]
	if v := p.elector.View(); v.Address() != "" && v.Address() != p.self.Address {
		all = append(all, v.Address())
	}
	return all
}
