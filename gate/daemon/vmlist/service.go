package vmlist

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/proc"
	"mangowing/gate/peers"
	"mangowing/gate/plat"
)

const (
	methodRead      = "vmlist/read"
	pollerKey       = "vm-poller"
	callMargin      = 700 * time.Millisecond
	freshnessMargin = 500 * time.Millisecond
	probePeriod     = 2 * time.Second
	failurePause    = 250 * time.Millisecond
)

var errPlatformDown = eris.New("the last call to the platform failed")

// Platform returns the VMs that changed since a version of the list.
type Platform interface {
	VMs(ctx context.Context, since uint64, wait time.Duration) (plat.VMPage, error)
}

// Peers calls the other gates and registers handlers for their calls.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// List is an immutable copy of the VM list. The zero value is an empty list.
type List struct {
	version uint64
	vms     map[string]plat.VM
}

// VM returns the VM with the name and whether it is in the list.
func (l *List) VM(name string) (plat.VM, bool) {
	vm, ok := l.vms[name]
	return vm, ok
}

// Names returns the names of all VMs, sorted.
func (l *List) Names() []string { return slices.Sorted(maps.Keys(l.vms)) }

// Len returns the number of VMs.
func (l *List) Len() int { return len(l.vms) }

type readWire struct {
	Since  uint64 `json:"since"`
	WaitMs int64  `json:"wait-ms"`
}

type readAnswerWire struct {
	Version     uint64    `json:"version"`
	StalenessMs int64     `json:"staleness-ms"`
	VMs         []plat.VM `json:"vms,omitempty"`
}

// Service polls the VM list and publishes copies of it.
type Service struct {
	process     *proc.Process
	platform    Platform
	peers       Peers
	view        func() *peers.View
	maxWait     time.Duration
	current     atomic.Pointer[List]
	mu          sync.Mutex
	changed     chan struct{}
	versions    map[string]uint64
	confirmedAt time.Time
	nextProbe   time.Time
	onChange    []func(*List)
}

// New returns the service. One call for the list waits at most maxWait for a change.
func New(process *proc.Process, platform Platform, network Peers, membershipView func() *peers.View, maxWait time.Duration) *Service {
	s := &Service{
		process:  process,
		platform: platform,
		peers:    network,
		view:     membershipView,
		maxWait:  maxWait,
		changed:  make(chan struct{}),
		versions: map[string]uint64{},
	}
	s.current.Store(&List{})
	network.Handle(methodRead, s.handleRead)
	return s
}

// List returns the last published copy.
func (s *Service) List() *List { return s.current.Load() }

// OnChange registers a function that is called after each change. Call it before Serve.
func (s *Service) OnChange(f func(*List)) { s.onChange = append(s.onChange, f) }

// StalenessMs returns the milliseconds since the platform last confirmed the list to this gate or to the gate that it
// reads from.
func (s *Service) StalenessMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt).Milliseconds()
}

// Serve polls the list until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.poll(ctx); err != nil {
			klog.V(2).InfoS("vm-list-failed", "error", err.Error())
			pause := time.NewTimer(failurePause)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
	}
	return ctx.Err()
}

// poll asks the data centre's poller, or else the platform, or else the other gates. A poller that can't reach the platform
// answers with an old list, so only a fresh answer ends the search.
func (s *Service) poll(ctx context.Context) error {
	poller, ok := s.view().Pick(s.ownDataCentre(), pollerKey)
	if ok && !poller.IsSelf() && s.pollPeer(ctx, poller, s.maxWait) {
		return nil
	}
	failure := s.pollPlatform(ctx)
	if failure == nil {
		return nil
	}
	for _, m := range s.view().Rank("", pollerKey) {
		if !m.IsSelf() && s.pollPeer(ctx, m, s.maxWait) {
			return nil
		}
	}
	return failure
}

// pollPlatform asks the platform. While it does not answer and an older list can be used, it tries only once per
// probePeriod.
func (s *Service) pollPlatform(ctx context.Context) error {
	if s.List().Len() > 0 && time.Now().Before(s.nextProbe) {
		return errPlatformDown
	}
	ctx, cancel := context.WithTimeout(ctx, s.maxWait+callMargin)
	defer cancel()
	page, err := s.platform.VMs(ctx, s.List().version, s.maxWait)
	if err != nil {
		s.nextProbe = time.Now().Add(probePeriod)
		return err
	}
	s.merge(page.Version(), page.VMs(), time.Now())
	return nil
}

// pollPeer merges another gate's list and reports whether the platform confirmed that list recently.
func (s *Service) pollPeer(ctx context.Context, m peers.Member, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var answer readAnswerWire
	if err := s.peers.Call(ctx, m.Address(), methodRead, readWire{s.List().version, wait.Milliseconds()}, &answer); err != nil {
		return false
	}
	s.merge(answer.Version, answer.VMs, time.Now().Add(-time.Duration(answer.StalenessMs)*time.Millisecond))
	return answer.StalenessMs <= (s.maxWait + freshnessMargin).Milliseconds()
}

func (s *Service) ownDataCentre() string {
	for _, m := range s.view().Members() {
		if m.IsSelf() {
			return m.DataCentre()
		}
	}
	return ""
}

func (s *Service) merge(version uint64, vms []plat.VM, confirmedAt time.Time) {
	s.mu.Lock()
	if confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
	}
	old := s.List()
	if version <= old.version {
		s.mu.Unlock()
		return
	}
	next := &List{version, maps.Clone(old.vms)}
	if next.vms == nil {
		next.vms = map[string]plat.VM{}
	}
	for _, vm := range vms {
		s.recordChange(old, vm)
		next.vms[vm.Name()] = vm
		s.versions[vm.Name()] = version
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	for _, f := range s.onChange {
		f(next)
	}
}

func (s *Service) recordChange(old *List, vm plat.VM) {
	before, known := old.vms[vm.Name()]
	if known && before.State() != vm.State() {
		s.process.Events().Add("vm-"+vm.State(), event.Fields{VM: vm.Name()})
	}
	if known && before.Generation() != vm.Generation() {
		s.process.Events().Add("vm-replaced", event.Fields{VM: vm.Name()})
	}
}

func (s *Service) handleRead(ctx context.Context, raw json.RawMessage) (any, error) {
	var w readWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.awaitNewer(ctx, w.Since, min(time.Duration(w.WaitMs)*time.Millisecond, s.maxWait))
	answer := readAnswerWire{StalenessMs: s.StalenessMs()}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.List()
	answer.Version = list.version
	for name, version := range s.versions {
		if version > w.Since {
			answer.VMs = append(answer.VMs, list.vms[name])
		}
	}
	return answer, nil
}

func (s *Service) awaitNewer(ctx context.Context, since uint64, wait time.Duration) {
	s.mu.Lock()
	changed := s.changed
	newer := s.List().version > since
	s.mu.Unlock()
	if newer {
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	select {
	case <-changed:
	case <-deadline.C:
	case <-ctx.Done():
	}
}
