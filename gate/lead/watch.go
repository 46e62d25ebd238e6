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
	directoryPeriod         = 400 * time.Millisecond
	arrivingDirectoryPeriod = 120 * time.Millisecond
	directoryTimeout        = 2 * time.Second
	machineListPeriod       = time.Second
	arrivingListPeriod      = 350 * time.Millisecond // while orders to machines are in flight
	machineListPause        = 60 * time.Millisecond
	// Workers whose entries expired during an outage of the platform register again within this time after it, or are gone.
	outageGracePeriod = 2500 * time.Millisecond
)

// directoryCache is the owner's copy of the worker list.
type directoryCache struct {
	entries      map[string]sched.WorkerEntry
	missing      map[string]time.Time // entries that were removed during an outage, and until when they may reappear
	lastOutageAt time.Time            // last failed read
	nextOffset   int64
	loaded       bool
}

// watchDirectory follows the worker list and passes each changed list to the event loop.
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

// directoryPause returns the pause between two reads. It is shorter while orders to machines are in flight, so that their new
// workers are used soon.
func (t *term) directoryPause() time.Duration {
	if t.machinesArriving.Load() {
		return arrivingDirectoryPeriod
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
		d.applyChange(now, ports.WorkerChange{ID: entries[i].ID, Entry: &entries[i]})
	}
	for id := range d.entries {
		if !listed[id] {
			d.applyChange(now, ports.WorkerChange{ID: id})
		}
	}
	return true, nil
}

func (d *directoryCache) applyChange(now time.Time, c ports.WorkerChange) (changed bool) {
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
		if _, alreadyMissing := d.missing[c.ID]; !alreadyMissing {
			d.missing[c.ID] = now.Add(outageGracePeriod)
		}
		return false
	}
	delete(d.entries, c.ID)
	return true
}

// dropMissing removes the entries that have not reappeared in time after an outage.
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

// inboxPage is the result of one read of the inbox.
type inboxPage struct {
	ports.Page
	partition   int
	requestedAt time.Time // the page ends no earlier than the inbox did at this time
}

// watchInbox passes each page of an inbox partition to the event loop, including empty ones, which show that there is nothing new.
func (t *term) watchInbox(ctx context.Context, partition int, from int64) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.readInbox(ctx, partition, from, wait)
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

func (t *term) readInbox(ctx context.Context, partition int, from int64, wait time.Duration) (inboxPage, error) {
	ctx, cancel := context.WithTimeout(ctx, inboxReadWait+directoryTimeout)
	defer cancel()
	requestedAt := time.Now()
	page, err := t.deps.Log.Read(ctx, inboxTopic, partition, from, wait)
	if len(page.Records) == 0 && time.Since(requestedAt) >= wait {
		// The log returns an empty page only after the wait, so the page reflects that time.
		requestedAt = requestedAt.Add(wait)
	}
	return inboxPage{page, partition, requestedAt}, err
}

// machineList is the platform's answer to a request for its machines.
type machineList struct {
	requestedAt time.Time
	entries     []sched.MachineEntry
}

// watchMachines requests the machine list periodically, and at once when a machine has confirmed an order.
func (t *term) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		entries, err := t.deps.Machines.List(listCtx)
		cancel()
		if err != nil {
			klog.V(1).InfoS("machines-not-listed", "error", err.Error())
		} else {
			select {
			case t.machineLists <- machineList{requestedAt, entries}:
			case <-ctx.Done():
			}
		}
		t.waitBeforeMachineList(ctx)
	}
}

func (t *term) waitBeforeMachineList(ctx context.Context) {
	timer.Sleep(ctx, machineListPause)
	period := machineListPeriod
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
