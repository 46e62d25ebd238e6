package admit

import (
	"math/bits"
	"time"
)

const (
	// SlotTime is the length of a slot within the near part of a timeline.
	SlotTime = 250 * time.Millisecond
	// The near part is as long as the longest useful wait of jobs of some seconds.
	nearSlots = 64
	nearEnd   = nearSlots * SlotTime
	// Beyond the near part each slot ends at twice the time of the one before, so that the last one ends after 18 hours.
	farSlots  = 12
	slotCount = nearSlots + farSlots
)

// slotAt returns the slot that contains the time, and which part of the slot lies before it.
func slotAt(d time.Duration) (slot int, passed float64) {
	switch {
	case d <= 0:
		return 0, 0
	case d < nearEnd:
		return int(d / SlotTime), float64(d%SlotTime) / float64(SlotTime)
	default:
		return min(slotCount-1, nearSlots-1+bits.Len64(uint64(d/nearEnd))), 0
	}
}

// slotDueBy returns the last slot whose work is done by the time. Near times are rounded to the nearest end of a slot.
func slotDueBy(d time.Duration) int {
	if d < nearEnd {
		return max(0, int((d+SlotTime/2)/SlotTime)-1)
	}
	slot, _ := slotAt(d)
	return slot - 1
}

// slotEnd returns the time at which a slot ends.
func slotEnd(slot int) time.Duration {
	if slot < nearSlots {
		return time.Duration(slot+1) * SlotTime
	}
	return nearEnd << (slot - nearSlots + 1)
}

// slotLength returns the length of a slot.
func slotLength(slot int) time.Duration {
	if slot < nearSlots {
		return SlotTime
	}
	return slotEnd(slot) / 2
}
