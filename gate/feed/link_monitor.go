package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/ports"
	"mangowing/gate/reach"
)

const (
	linkTick        = 50 * time.Millisecond
	linkQueryPeriod = 300 * time.Millisecond
	logProbeTimeout = 450 * time.Millisecond
	// maxClaim bounds the durations in a gate's answer, so that sums with them don't overflow.
	maxClaim = time.Hour
	// maxRemoteQueries and maxLocalQueries are how many gates of other data centres and of this one are asked at a time.
	maxRemoteQueries = 3
	maxLocalQueries  = 1

	metricCutOff  = "mangowing_cut_off"
	metricCutOffs = "mangowing_cut_offs_total"
)

// LinkMonitor watches whether this gate is cut off from the log and the owner while others are not. A nil LinkMonitor watches
// nothing.
type LinkMonitor struct {
	peers   *Peers
	configs *Configs
	now     func() time.Duration // time since a fixed point

	mu        sync.Mutex
	detector  reach.Detector
	queriedAt time.Duration
	probing   bool           // whether a read of the log is under way
	inFlight  map[string]int // by address, the queries of gates that are under way
	cutOffAt  time.Duration
}

// NewLinkMonitor returns a monitor that watches nothing until Connect and Serve.
func NewLinkMonitor() *LinkMonitor {
	return &LinkMonitor{now: timer.SinceBoot, inFlight: map[string]int{}}
}

// Connect sets what the monitor asks and what it informs of the answers. It must be called before Serve.
func (m *LinkMonitor) Connect(peers *Peers, configs *Configs) {
	if m == nil {
		return
	}
	m.peers, m.configs, peers.links = peers, configs, m
}

// IsCutOff reports whether this gate is cut off.
func (m *LinkMonitor) IsCutOff() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.CutOff()
}

// logAgeMs returns how long ago the log last answered and the longest recent time between two answers, both in milliseconds. The age is
// nil if it is not watched.
func (m *LinkMonitor) logAgeMs() (age *int64, gap int64) {
	if m == nil {
		return nil, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	ms := m.detector.LogAge(now).Milliseconds()
	return &ms, m.detector.LogGap(now).Milliseconds()
}

// Serve watches until the context ends.
func (m *LinkMonitor) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if m != nil {
			m.tick(ctx, m.now())
		}
		timer.Sleep(ctx, linkTick)
	}
	return ctx.Err()
}

// tick decides anew, and asks the log and other gates while the log is silent or this gate is cut off.
func (m *LinkMonitor) tick(ctx context.Context, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := m.detector.Silence(now)
	if m.detector.Tick(now) {
		m.recordChange(now, silence)
	}
	if m.detector.LogAge(now) < reach.QueryAfter && !m.detector.CutOff() {
		return
	}
	if now-m.queriedAt < linkQueryPeriod {
		return
	}
	m.queriedAt = now
	if !m.probing {
		m.probing = true
		go m.probeLog(ctx)
	}
	m.queryGates(ctx, now)
}

func (m *LinkMonitor) recordChange(now, silence time.Duration) {
	if !m.detector.CutOff() {
		metrics.GetOrCreateGauge(metricCutOff, nil).Set(0)
		klog.InfoS("gate-connected-again", "after-ms", (now - m.cutOffAt).Milliseconds(), "log-age-ms", m.detector.LogAge(now).Milliseconds())
		return
	}
	m.cutOffAt = now
	metrics.GetOrCreateGauge(metricCutOff, nil).Set(1)
	metrics.GetOrCreateCounter(metricCutOffs).Inc()
	klog.InfoS("gate-cut-off", "why", string(m.detector.Cause()), "silence-ms", silence.Milliseconds(),
		"log-age-ms", m.detector.LogAge(now).Milliseconds())
}

func (m *LinkMonitor) probeLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logProbeTimeout)
	defer cancel()
	// The answer is recorded by observedLog.
	if err := m.peers.elector.ProbeLog(ctx); err != nil {
		klog.V(1).InfoS("log-not-reached", "error", err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
}

// queryGates asks some gates of each kind that are not being asked already, and the owner.
func (m *LinkMonitor) queryGates(ctx context.Context, now time.Duration) {
	remote, local := m.peers.gatesByPlace()
	if m.startQueries(ctx, remote, maxRemoteQueries) > 0 {
		m.detector.PeersQueried(now)
	}
	m.startQueries(ctx, local, maxLocalQueries)
	// The owner is asked each time, since its answers keep this gate connected.
	if v := m.peers.elector.View(); v.Address() != "" && v.Address() != m.peers.self.Address {
		m.startQuery(ctx, v.Address())
	}
}

// startQueries asks the first of the gates that are not being asked, at most limit of them, and returns how many it asked.
func (m *LinkMonitor) startQueries(ctx context.Context, gates []gateEntry, limit int) (asked int) {
	for _, g := range gates {
		if asked == limit {
			break
		}
		if m.inFlight[g.Address] == 0 {
			asked++
			m.startQuery(ctx, g.Address)
		}
	}
	return asked
}

func (m *LinkMonitor) startQuery(ctx context.Context, address string) {
	m.inFlight[address]++
	go m.query(ctx, address)
}

// query asks the gate at the address what it has heard from the log.
func (m *LinkMonitor) query(ctx context.Context, address string) {
	queryCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	asked := m.now()
	result, err := m.peers.syncWith(queryCtx, address)
	if err == nil && min(result.Version, result.AgeMs) < 0 {
		err = errors.New("numbers out of range")
	}
	if err == nil {
		m.configs.updateFromPeer(ctx, NewPeerVersion(result.Version, time.Duration(result.AgeMs)*time.Millisecond, address), asked)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[address]--; m.inFlight[address] == 0 {
		delete(m.inFlight, address)
	}
	if err != nil {
		klog.V(1).InfoS("peer-not-reached", "address", address, "error", err.Error())
		return
	}
	m.recordAnswer(address, result, asked, m.now())
}

// recordAnswer passes a gate's answer on to the detector. A gate that doesn't send when it heard from the log heard from it at the
// latest when its configuration was last confirmed.
func (m *LinkMonitor) recordAnswer(address string, result syncResult, asked, received time.Duration) {
	ageMs := result.AgeMs
	if result.LogAgeMs != nil {
		ageMs = *result.LogAgeMs
	}
	logAt := asked - clampClaim(ageMs)
	place := m.peers.placeOf(address)
	m.detector.PeerAnswered(received, logAt, clampClaim(result.LogGapMs), place)
	if result.Address == address {
		m.detector.OwnerAnswered(received, logAt, place)
	}
}

// clampClaim returns the milliseconds that a gate claims as a duration from 0 to maxClaim.
func clampClaim(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxClaim.Milliseconds())) * time.Millisecond
}

// placeOf returns where the gate at the address stands.
func (p *Peers) placeOf(address string) reach.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		if g.Address == address {
			return p.place(g)
		}
	}
	return reach.UnknownDataCentre
}

func (p *Peers) place(g gateEntry) reach.Place {
	switch {
	case g.DataCentre == "" || p.self.DataCentre == "":
		return reach.UnknownDataCentre
	case g.DataCentre == p.self.DataCentre:
		return reach.SameDataCentre
	default:
		return reach.OtherDataCentre
	}
}

// gatesByPlace returns the gates of other data centres and those that may be in this one, each in random order. Of the remote
// gates the first ones are in different data centres, so that one data centre without gates doesn't take all queries.
func (p *Peers) gatesByPlace() (remote, local []gateEntry) {
	p.mu.Lock()
	gates := append([]gateEntry(nil), p.gates...)
	p.mu.Unlock()
	rand.Shuffle(len(gates), func(i, j int) { gates[i], gates[j] = gates[j], gates[i] })
	var later []gateEntry
	seen := map[string]bool{}
	for _, g := range gates {
		switch {
		case p.place(g) != reach.OtherDataCentre:
			local = append(local, g)
		case seen[g.DataCentre]:
			later = append(later, g)
		default:
			seen[g.DataCentre] = true
			remote = append(remote, g)
		}
	}
	return append(remote, later...), local
}

// Observe returns the log, and records each of its answers.
func (m *LinkMonitor) Observe(log ports.Log) ports.Log { return observedLog{log, m} }

// observedLog records when the log answered.
type observedLog struct {
	ports.Log
	monitor *LinkMonitor
}

// Append appends records and records the log's answer.
func (l observedLog) Append(ctx context.Context, a ports.Append) (int64, error) {
	offset, err := l.Log.Append(ctx, a)
	l.record(err)
	return offset, err
}

// Read reads records and records the log's answer.
func (l observedLog) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (ports.Page, error) {
	page, err := l.Log.Read(ctx, topic, partition, from, wait)
	l.record(err)
	return page, err
}

// record records an answer unless the log rejected the call or didn't answer it: a gate whose calls are rejected can store
// nothing.
func (l observedLog) record(err error) {
	if errors.Is(err, ports.ErrRejected) || errors.Is(err, ports.ErrOutcomeUnknown) {
		return
	}
	l.monitor.mu.Lock()
	defer l.monitor.mu.Unlock()
	l.monitor.detector.LogAnswered(l.monitor.now())
}
