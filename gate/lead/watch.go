package lead

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	directoryPeriod    = 400 * time.Millisecond
	arrivingPollPeriod = 120 * time.Millisecond
	directoryTimeout   = 2 * time.Second
	machinesPeriod     = time.Second
	arrivingListPeriod = 350 * time.Millisecond // while machines are away
	machineListPause   = 60 * time.Millisecond
	// Entries that lapsed while the platform was away are back this long after its return, or are gone.
	outageGracePeriod = 2500 * time.Millisecond
)

// directory is the owner's copy of the list of workers.
type directoryCache struct {
	entries      map[string]sched.WorkerEntry
	missing      map[string]time.Time // entries that left while the platform was away, and until when they may come back
	lastOutageAt time.Time            // when the platform last did not answer
	nextOffset   int64
	loaded       bool
}

// watchDirectory follows the list of workers and hands each change to the term.
func (t *term) watchDirectory(ctx context.Context) {
	d := &directoryCache{entries: map[string]sched.WorkerEntry{}, missing: map[string]time.Time{}}
	for ctx.Err() == nil {
		changed, err := d.read(ctx, t.deps.Directory)
		if err != nil {
			d.lastOutageAt = time.Now()
			klog.V(1).InfoS("workers-not-read", "error", err.Error())
		}
		if changed {
			select {
			case t.workerLists <- maps.Clone(d.entries):
			case <-ctx.Done():
			}
		}
		timer.Sleep(ctx, t.directoryPause())
	}
}

// directoryPause is short while machines are on their way, so that their new workers are used soon.
func (t *term) directoryPause() time.Duration {
	if t.machinesArriving.Load() {
		return arrivingPollPeriod
	}
	return directoryPeriod
}

func (d *directoryCache) read(ctx context.Context, from ports.Directory) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	if !d.loaded {
		return d.readAll(ctx, from)
	}
	changes, next, err := from.Changes(ctx, d.nextOffset, 0)
	if errors.Is(err, ports.ErrTrimmed) {
		return d.readAll(ctx, from)
	}
	if err != nil {
		return false, err
	}
	d.nextOffset = next
	now := time.Now()
	for _, c := range changes {
		changed = d.applyChange(now, c) || changed
	}
	return d.dropMissing(now) || changed, nil
}

func (d *directoryCache) readAll(ctx context.Context, from ports.Directory) (bool, error) {
	entries, next, err := from.All(ctx)
	if err != nil {
		return false, err
	}
	now := time.Now()
	d.nextOffset, d.loaded = next, true
	listed := map[string]bool{}
	for i := range entries {
		listed[entries[i].ID] = true
		d.applyChange(now, ports.Change{ID: entries[i].ID, Entry: &entries[i]})
	}
	for id := range d.entries {
		if !listed[id] {
			d.applyChange(now, ports.Change{ID: id})
		}
	}
	return true, nil
}

func (d *directoryCache) applyChange(now time.Time, c ports.Change) (changed bool) {
	old, known := d.entries[c.ID]
	if c.Entry != nil {
		delete(d.missing, c.ID)
		d.entries[c.ID] = *c.Entry
		return !known || !equalEntries(old, *c.Entry)
	}
	if !known {
		return false
	}
	if now.Sub(d.lastOutageAt) < outageGracePeriod {
		if _, waits := d.missing[c.ID]; !waits {
			d.missing[c.ID] = now.Add(outageGracePeriod)
		}
		return false
	}
	delete(d.entries, c.ID)
	return true
}

// expire drops the entries that did not come back after the platform's return.
func (d *directoryCache) dropMissing(now time.Time) (changed bool) {
	for id, until := range d.missing {
		if now.After(until) {
			delete(d.missing, id)
			delete(d.entries, id)
			changed = true
		}
	}
	return changed
}

func equalEntries(a, b sched.WorkerEntry) bool {
	a.Remaining, b.Remaining = 0, 0
	return reflect.DeepEqual(a, b)
}

// inboxPage is an answer to a read of the inbox.
type inboxPage struct {
	ports.Page
	requestedAt time.Time // the page has all records up to its end that were there then
}

// watchInbox hands what gates put into the inbox to the term, and tells it each time that there is nothing new.
func (t *term) watchInbox(ctx context.Context, from int64) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.readInbox(ctx, from, wait)
		if errors.Is(err, ports.ErrTrimmed) {
			from = page.OldestOffset
			continue
		}
		if err != nil {
			timer.Sleep(ctx, readRetryPause)
			continue
		}
		from, wait = page.NextOffset(), inboxReadWait
		select {
		case t.inboxPages <- page:
		case <-ctx.Done():
		}
	}
}

func (t *term) readInbox(ctx context.Context, from int64, wait time.Duration) (inboxPage, error) {
	ctx, cancel := context.WithTimeout(ctx, inboxReadWait+directoryTimeout)
	defer cancel()
	asked := time.Now()
	page, err := t.deps.Log.Read(ctx, inboxTopic, from, wait)
	if len(page.Records) == 0 && time.Since(asked) >= wait {
		// The log answers that there is nothing only when the wait is over.
		asked = asked.Add(wait)
	}
	return inboxPage{page, asked}, err
}

// machineList is an answer of the machines' interface.
type machineList struct {
	requestedAt time.Time
	entries     []sched.MachineEntry
}

// watchMachines lists the machines at a pace, and at once when an order to one was answered.
func (t *term) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		entries, err := t.deps.Machines.List(listCtx)
		cancel()
		if err != nil {
			klog.V(1).InfoS("machines-not-listed", "error", err.Error())
		} else {
			select {
			case t.machineLists <- machineList{asked, entries}:
			case <-ctx.Done():
			}
		}
		t.waitBeforeMachineList(ctx)
	}
}

func (t *term) waitBeforeMachineList(ctx context.Context) {
	timer.Sleep(ctx, machineListPause)
	period := machinesPeriod
	if t.machinesArriving.Load() {
		period = arrivingListPeriod
	}
	wait := time.NewTimer(period)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-t.listMachinesNow:
	case <-ctx.Done():
	}
}
