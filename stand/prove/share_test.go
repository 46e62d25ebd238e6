package prove

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/decl"
	"mangowing/core/record"
)

const (
	replanSlots     = 80
	plantFloorShare = 5.0
	retailShare     = 6.0
	shareTarget     = 3.0 // percent of the pool
	shareWindow     = 10 * time.Second
	sharePeriod     = time.Second
	shareSamples    = 16
	leastUsed       = 90.0 // percent of the pool's slots
	urgentLimit     = 8400 * time.Millisecond
)

// usage is the slot-time that each of two teams had by a moment.
type usage struct {
	at         time.Time
	plantFloor float64
	retail     float64
}

func (f *fleet) usage() usage {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.platform + "/counts")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Teams []struct {
			Team   string `json:"team"`
			SlotMs int64  `json:"slot-ms"`
		} `json:"teams"`
	}
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&answer))
	u := usage{at: time.Now()}
	for _, t := range answer.Teams {
		switch t.Team {
		case "plant-floor":
			u.plantFloor = float64(t.SlotMs)
		case "retail":
			u.retail = float64(t.SlotMs)
		}
	}
	return u
}

// shareError returns by how many percent of the used slots the plant floor missed its share, and how much of the pool was used.
func shareError(from, to usage) (missed, used float64) {
	floor := to.plantFloor - from.plantFloor
	retail := to.retail - from.retail
	entitled := plantFloorShare / (plantFloorShare + retailShare)
	window := float64(to.at.Sub(from.at).Milliseconds())
	return 100 * (floor/(floor+retail) - entitled), 100 * (floor + retail) / (window * replanSlots)
}

func (f *fleet) keepConnections() {
	const connections = 400
	f.client.Transport = &http.Transport{MaxIdleConnsPerHost: connections}
}

// applyPinned applies the deployment with pools that can spare no VM, so that none moves while shares are measured.
func (f *fleet) applyPinned() {
	f.t.Helper()
	objects, err := decl.ReadDirectory(deployment)
	assert.NilError(f.t, err)
	var pinned []record.Object
	for _, o := range objects {
		if o.Kind() == "pool" {
			pinned = append(pinned, withField(o, "min-serving", "10"))
		}
	}
	f.apply(pinned...)
}

// The plant floor keeps its share of a saturated pool while the large customer floods, over any 10 s.
func TestShareInASaturatedPool(t *testing.T) {
	scenarios := []struct {
		testName   string
		floorGates int
		floorRunMs int
	}{
		{testName: "both teams through all gates", floorGates: 6, floorRunMs: 400},
		{testName: "plant floor through one data centre", floorGates: 2, floorRunMs: 400},
		{testName: "plant floor with long runs through one gate", floorGates: 1, floorRunMs: 2000},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
			f.keepConnections()
			f.applyPinned()
			floorKey, retailKey := f.grant("plant-floor"), f.grant("retail")
			near := *f
			near.gates = f.gates[:s.floorGates]
			retail := f.startLoad(140, "retail", task{queue: "replans", key: retailKey, runMs: 250})
			floor := near.startLoad(70, "floor", task{queue: "replans", key: floorKey, runMs: s.floorRunMs})
			time.Sleep(4 * time.Second)
			worst := f.worstShareError()
			floorReplies, retailReplies := floor.end(), retail.end()
			t.Logf("worst share error %.1f %%; answered: plant floor %d of %d, retail %d of %d", worst,
				countOutcome(floorReplies, "ran"), len(floorReplies), countOutcome(retailReplies, "ran"), len(retailReplies))
			assert.Check(t, worst < shareTarget)
		})
	}
}

// worstShareError samples the usage and returns the largest error of all windows of 10 s.
func (f *fleet) worstShareError() float64 {
	var samples []usage
	for range shareSamples {
		samples = append(samples, f.usage())
		time.Sleep(sharePeriod)
	}
	steps := int(shareWindow / sharePeriod)
	worst := 0.0
	for i := steps; i < len(samples); i++ {
		missed, used := shareError(samples[i-steps], samples[i])
		f.t.Logf("10 s: the plant floor had %+.1f %% beside its share of %.1f %%, %.1f %% of the pool was used",
			missed, 100*plantFloorShare/(plantFloorShare+retailShare), used)
		assert.Check(f.t, used >= leastUsed, "the pool was not saturated")
		worst = max(worst, missed, -missed)
	}
	return worst
}

// Urgent work starts within 8.4 s while a flood of another team's work runs.
func TestUrgentWorkStartsDuringAFlood(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.keepConnections()
	f.applyPinned()
	floorKey, retailKey := f.grant("plant-floor"), f.grant("retail")
	flood := f.startLoad(240, "retail", task{queue: "replans", key: retailKey, runMs: 1000})
	time.Sleep(3 * time.Second)
	const urgentRun, urgentRequests = 100 * time.Millisecond, 30
	var waits []time.Duration
	for i := range urgentRequests {
		begun := time.Now()
		r := f.sendAnywhere(i, task{queue: "replans", key: floorKey, runMs: int(urgentRun.Milliseconds())})
		assert.Equal(t, r.outcome, "ran", "%+v", r)
		waits = append(waits, time.Since(begun)-urgentRun)
	}
	assert.Assert(t, len(flood.end()) > urgentRequests)
	slices.Sort(waits)
	t.Logf("urgent work started after %s at the median, %s at worst, by the time of its answer", waits[len(waits)/2], waits[len(waits)-1])
	assert.Assert(t, waits[len(waits)-1] < urgentLimit)
}
