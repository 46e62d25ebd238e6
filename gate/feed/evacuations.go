package feed

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/ports"
)

// evacuations is the set of evacuated data centres as read from the platform. Other gates' sets are not used, since a gate that can't reach
// the platform can't become the owner.
type evacuations struct {
	names  map[string]bool
	offset int64         // the declarations were read up to this offset
	known  bool          // they were read at least once
	readAt time.Duration // when the last read that has returned, successful or not, was started, as time since boot
}

// apply applies declarations that were read up to the offset, and reports whether the set has changed. A full read replaces the set, since
// a withdrawal may have been missed.
func (e *evacuations) apply(declared []ports.Declaration, offset int64, isFullRead bool) (changed bool) {
	names := map[string]bool{}
	if !isFullRead {
		maps.Copy(names, e.names)
	}
	for _, d := range declared {
		switch {
		case d.Evacuation == nil:
		case d.Evacuation.Withdrawn:
			delete(names, d.Evacuation.DataCentre)
		default:
			names[d.Evacuation.DataCentre] = true
		}
	}
	changed = !maps.Equal(names, e.names)
	e.names, e.offset, e.known = names, offset, true
	return changed
}

// Evacuations returns the evacuated data centres in order of name and the offset up to which the operators' declarations were read. It is not
// known until they were read from the platform once.
func (c *Configs) Evacuations() (dataCentres []string, offset int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.evacuations.names)), c.evacuations.offset, c.evacuations.known
}

// TimeSinceRead returns how long ago the last read of the platform's declarations that has returned was started, whether or not it succeeded.
// The start counts, since an answer may have waited while this process was paused.
func (c *Configs) TimeSinceRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return timer.SinceBoot() - c.evacuations.readAt
}

// updateEvacuations applies declarations that were read up to the offset. The caller holds the lock.
func (c *Configs) updateEvacuations(declared []ports.Declaration, offset int64, isFullRead bool) {
	if c.evacuations.apply(declared, offset, isFullRead) {
		klog.InfoS("evacuations-declared", "data-centres", slices.Sorted(maps.Keys(c.evacuations.names)), "offset", offset, "full-read", isFullRead)
		c.notifySubscribers()
	}
}
