package trial

import (
	"math/rand/v2"
	"time"
)

const (
	peakDuration      = 10 * time.Minute
	cycles            = 3
	meanSlots         = 19.0 // five times as much exceeds the capacity of a pool of ten VMs
	peakFactor        = 5.0
	troughFactor      = 0.05
	noise             = 0.15
	noiseInterval     = 10 * time.Second
	slotsPerVM        = 8
	defaultVMsPerPool = 10
	vmsPerRack        = 4
	traceSeedHigh     = 0x6d616e67
)

// trace is the demand of every pool in slots for each second. The pools have their peaks one after another.
type trace struct {
	slots [][]int
}

func newTrace(pools int, seed uint64) trace {
	random := rand.New(rand.NewPCG(traceSeedHigh, seed))
	seconds := int(peakDuration.Seconds()) * pools * cycles
	t := trace{slots: make([][]int, pools)}
	for pool := range t.slots {
		t.slots[pool] = make([]int, seconds)
	}
	for second := range seconds {
		for pool := range t.slots {
			t.slots[pool][second] = t.demandAt(pool, second, pools, random)
		}
	}
	return t
}

func (t trace) demandAt(pool, second, pools int, random *rand.Rand) int {
	draw := random.Float64()
	if second%int(noiseInterval.Seconds()) != 0 {
		return t.slots[pool][second-1]
	}
	factor := troughFactor
	if second/int(peakDuration.Seconds())%pools == pool {
		factor = peakFactor
	}
	return int(meanSlots * factor * (1 + noise*(2*draw-1)))
}

func (t trace) seconds() int { return len(t.slots[0]) }
