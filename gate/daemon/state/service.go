package state

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/peers"
	"mangowing/gate/plat"
)

// The streams of the platform's log.
const (
	StreamControl  = "control"
	StreamSnapshot = "snapshot"
)

const queueLength = 256

// Log appends to and reads from the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (plat.Page, error)
}

// Peers calls the other gates and registers handlers for their calls.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// Options are the service's settings.
type Options struct {
	AppendWindow   time.Duration // how long records are collected for one append
	SnapshotEvery  int           // the number of log entries between two snapshots
	SnapshotMaxAge time.Duration // the longest time between two snapshots
}

// Service folds the log, appends records and serves log entries to other gates.
type Service struct {
	process   *proc.Process
	log       Log
	peers     Peers
	view      func() *peers.View
	options   Options
	current   atomic.Pointer[fold.State]
	commands  chan command
	tail      logTail
	freshness freshness
	withdrawn withdrawals
	pending   chan *pendingRecord
	onChange  []func(*fold.State)
	onSync    func()
	nextProbe time.Time
	snapshots snapshotProgress
	folder    *fold.Folder
}

// New returns the service. SetMembershipView must be called before Serve.
func New(process *proc.Process, log Log, network Peers, options Options) *Service {
	s := &Service{
		process:  process,
		log:      log,
		peers:    network,
		options:  options,
		commands: make(chan command, queueLength),
		pending:  make(chan *pendingRecord, queueLength),
		folder:   fold.NewFolder(),
	}
	s.current.Store(&fold.State{})
	s.tail.init()
	s.registerHandlers()
	return s
}

// SetMembershipView sets the function that returns the membership view.
func (s *Service) SetMembershipView(view func() *peers.View) { s.view = view }

// OnChange registers a function that is called after each publication of a state. Call it before Serve.
func (s *Service) OnChange(f func(*fold.State)) { s.onChange = append(s.onChange, f) }

// OnSync sets the function that is called when the gate has caught up with the log after its start or a pause. Call it
// before Serve.
func (s *Service) OnSync(f func()) { s.onSync = f }

// State returns the last published state.
func (s *Service) State() *fold.State { return s.current.Load() }

// command is a request to the goroutine that owns the folder.
type command interface{ isCommand() }

type applyEntries struct {
	entries []entry
	done    chan error
}

type adoptState struct {
	folder *fold.Folder
	done   chan error
}

type awaitRecord struct {
	id     string
	result chan foldResult
}

type forgetRecord struct {
	id string
}

type encodeState struct {
	done chan encodedState
}

type encodedState struct {
	raw    []byte
	offset uint64
	err    error
}

func (applyEntries) isCommand() {}
func (adoptState) isCommand()   {}
func (awaitRecord) isCommand()  {}
func (forgetRecord) isCommand() {}
func (encodeState) isCommand()  {}

// foldResult is the result of folding a record, and the log offset of its entry.
type foldResult struct {
	result fold.Result
	offset uint64
}

// folderLoop owns the service's folder. Only the goroutine that runs Serve calls its methods.
type folderLoop struct {
	service *Service
	waiters map[string][]chan foldResult
}

// Serve executes commands on the folder until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	loop := &folderLoop{service: s, waiters: map[string][]chan foldResult{}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cmd := <-s.commands:
			loop.handle(cmd)
		}
	}
}

func (l *folderLoop) handle(cmd command) {
	switch cmd := cmd.(type) {
	case applyEntries:
		cmd.done <- l.apply(cmd.entries)
	case adoptState:
		cmd.done <- l.adopt(cmd.folder)
	case awaitRecord:
		l.waiters[cmd.id] = append(l.waiters[cmd.id], cmd.result)
	case forgetRecord:
		delete(l.waiters, cmd.id)
	case encodeState:
		raw, err := l.service.folder.Encode()
		cmd.done <- encodedState{raw, l.service.folder.Offset(), err}
	}
}

func (l *folderLoop) apply(entries []entry) error {
	before := l.service.folder.Offset()
	for _, e := range entries {
		if e.Offset <= l.service.folder.Offset() {
			continue
		}
		results, err := l.service.folder.Apply(e.Offset, []byte(e.Data))
		if err != nil {
			l.publishIfNewer(before)
			return err
		}
		l.service.tail.add(e)
		l.deliverResults(results, e.Offset)
	}
	l.publishIfNewer(before)
	return nil
}

func (l *folderLoop) adopt(f *fold.Folder) error {
	if f.Offset() <= l.service.folder.Offset() {
		return nil
	}
	before := l.service.folder.Offset()
	l.service.folder = f
	l.service.tail.reset(f.Offset())
	l.deliverAdopted(f)
	l.publishIfNewer(before)
	return nil
}

func (l *folderLoop) publishIfNewer(before uint64) {
	if l.service.folder.Offset() == before {
		return
	}
	published := l.service.folder.Publish()
	l.service.current.Store(published)
	l.service.tail.notifyAll()
	for _, f := range l.service.onChange {
		f(published)
	}
}

func (l *folderLoop) deliverResults(results []fold.Result, offset uint64) {
	for _, result := range results {
		l.logFailure(result, offset)
		for _, waiter := range l.waiters[result.ID()] {
			waiter <- foldResult{result, offset}
		}
		delete(l.waiters, result.ID())
	}
}

// deliverAdopted sends the results of records that the adopted state already contains to their waiters.
func (l *folderLoop) deliverAdopted(f *fold.Folder) {
	for id, waiters := range l.waiters {
		result, ok := f.RecentResult(id)
		if !ok {
			continue
		}
		for _, waiter := range waiters {
			waiter <- foldResult{result, f.Offset()}
		}
		delete(l.waiters, id)
	}
}

func (l *folderLoop) logFailure(result fold.Result, offset uint64) {
	switch result.Code() {
	case codes.OK:
	case codes.RecordMalformed:
		klog.InfoS("record-malformed", "offset", offset)
		l.service.process.Events().Add("record-malformed", event.Fields{Code: uint16(result.Code())})
	default:
		klog.V(1).InfoS("record-refused", "offset", offset, "id", result.ID(), "code", uint16(result.Code()), "detail", result.Detail())
	}
}

func (s *Service) send(ctx context.Context, cmd command) error {
	select {
	case s.commands <- cmd:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) sendAndWait(ctx context.Context, cmd command, done chan error) error {
	if err := s.send(ctx, cmd); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) applyAll(ctx context.Context, entries []entry) error {
	done := make(chan error, 1)
	return s.sendAndWait(ctx, applyEntries{entries, done}, done)
}

func (s *Service) adopt(ctx context.Context, encoded []byte) error {
	f, err := fold.Restore(encoded)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	return s.sendAndWait(ctx, adoptState{f, done}, done)
}

func (s *Service) encode(ctx context.Context) (encodedState, error) {
	done := make(chan encodedState, 1)
	if err := s.send(ctx, encodeState{done}); err != nil {
		return encodedState{}, err
	}
	select {
	case e := <-done:
		return e, e.err
	case <-ctx.Done():
		return encodedState{}, ctx.Err()
	}
}

// newRecord returns a new record written by this gate.
func (s *Service) newRecord(body record.Body) record.Record {
	return record.New(s.process.Incarnation(), s.process.NowMs(), body)
}
