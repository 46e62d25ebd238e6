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
	directoryPeriod = 400 * time.Millisecond
	expectingPeriod = 120 * time.Millisecond
	directoryLimit  = 2 * time.Second
	machinesPeriod  = time.Second
	takenPeriod     = 350 * time.Millisecond // while machines are away
	machinesPause   = 60 * time.Millisecond
	// Entries that lapsed while the platform was away are back this long after its return, or are gone.
	returnGrace = 2500 * time.Millisecond
)

// directory is the owner's copy of the list of workers.
type directory struct {
	entries map[string]sched.WorkerEntry
	missing map[string]time.Time // entries that left while the platform was away, and until when they may come back
	away    time.Time            // when the platform last did not answer
	next    int64
	whole   bool
}

// watchDirectory follows the list of workers and hands each change to the term.
func (t *term) watchDirectory(ctx context.Context) {
	d := &directory{entries: map[string]sched.WorkerEntry{}, missing: map[string]time.Time{}}
	for ctx.Err() == nil {
		changed, err := d.read(ctx, t.deps.Directory)
		if err != nil {
			d.away = time.Now()
			klog.V(1).InfoS("workers-not-read", "error", err.Error())
		}
		if changed {
			select {
			case t.lists <- maps.Clone(d.entries):
			case <-ctx.Done():
			}
		}
		timer.Sleep(ctx, t.directoryPause())
	}
}

// directoryPause is short while machines are on their way, so that their new workers are used soon.
func (t *term) directoryPause() time.Duration {
	if t.expecting.Load() {
		return expectingPeriod
	}
	return directoryPeriod
}

func (d *directory) read(ctx context.Context, from ports.Directory) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, directoryLimit)
	defer cancel()
	if !d.whole {
		return d.readAll(ctx, from)
	}
	changes, next, err := from.Changes(ctx, d.next, 0)
	if errors.Is(err, ports.ErrTrimmed) {
		return d.readAll(ctx, from)
	}
	if err != nil {
		return false, err
	}
	d.next = next
	now := time.Now()
	for _, c := range changes {
		changed = d.apply(now, c) || changed
	}
	return d.expire(now) || changed, nil
}

func (d *directory) readAll(ctx context.Context, from ports.Directory) (bool, error) {
	entries, next, err := from.All(ctx)
	if err != nil {
		return false, err
	}
	now := time.Now()
	d.next, d.whole = next, true
	listed := map[string]bool{}
	for i := range entries {
		listed[entries[i].ID] = true
		d.apply(now, ports.Change{ID: entries[i].ID, Entry: &entries[i]})
	}
	for id := range d.entries {
		if !listed[id] {
			d.apply(now, ports.Change{ID: id})
		}
	}
	return true, nil
}

func (d *directory) apply(now time.Time, c ports.Change) (changed bool) {
	old, known := d.entries[c.ID]
	if c.Entry != nil {
		delete(d.missing, c.ID)
		d.entries[c.ID] = *c.Entry
		return !known || !sameEntry(old, *c.Entry)
	}
	if !known {
		return false
	}
	if now.Sub(d.away) < returnGrace {
		if _, waits := d.missing[c.ID]; !waits {
			d.missing[c.ID] = now.Add(returnGrace)
		}
		return false
	}
	delete(d.entries, c.ID)
	return true
}

// expire drops the entries that did not come back after the platform's return.
func (d *directory) expire(now time.Time) (changed bool) {
	for id, until := range d.missing {
		if now.After(until) {
			delete(d.missing, id)
			delete(d.entries, id)
			changed = true
		}
	}
	return changed
}

func sameEntry(a, b sched.WorkerEntry) bool {
	a.Remaining, b.Remaining = 0, 0
	return reflect.DeepEqual(a, b)
}

// inboxPage is an answer to a read of the inbox.
type inboxPage struct {
	ports.Page
	asked time.Time // the page has all records up to its end that were there then
}

// watchInbox hands what gates put into the inbox to the term, and tells it each time that there is nothing new.
func (t *term) watchInbox(ctx context.Context, from int64) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.readInbox(ctx, from, wait)
		if errors.Is(err, ports.ErrTrimmed) {
			from = page.First
			continue
		}
		if err != nil {
			timer.Sleep(ctx, retryReadStep)
			continue
		}
		from, wait = page.Next(), readWait
		select {
		case t.inbox <- page:
		case <-ctx.Done():
		}
	}
}

func (t *term) readInbox(ctx context.Context, from int64, wait time.Duration) (inboxPage, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+directoryLimit)
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
	asked   time.Time
	entries []sched.MachineEntry
}

// watchMachines lists the machines at a pace, and at once when an order to one was answered.
func (t *term) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, machineLimit)
		entries, err := t.deps.Machines.List(listCtx)
		cancel()
		if err != nil {
			klog.V(1).InfoS("machines-not-listed", "error", err.Error())
		} else {
			select {
			case t.machines <- machineList{asked, entries}:
			case <-ctx.Done():
			}
		}
		t.waitForMachines(ctx)
	}
}

func (t *term) waitForMachines(ctx context.Context) {
	timer.Sleep(ctx, machinesPause)
	period := machinesPeriod
	if t.expecting.Load() {
		period = takenPeriod
	}
	wait := time.NewTimer(period)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-t.machinesNews:
	case <-ctx.Done():
	}
}
