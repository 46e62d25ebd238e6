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
	replanSlots         = 80
	plantFloorWeight    = 5.0
	retailWeight        = 6.0
	maxShareError       = 3.0 // percentage points of the used slot-time
	shareWindow         = 10 * time.Second
	shareSampleInterval = time.Second
	shareSamples        = 16
	minPoolUsage        = 90.0 // percent of the pool's slot-time
	maxUrgentWait       = 8400 * time.Millisecond
)

// usage is the slot-time in ms that each of two teams had used up to a point in time.
type usage struct {
	at         time.Time
	plantFloor float64
	retail     float64
}

func (f *fleet) readUsage() usage {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.platformAddress + "/counts")
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

// measureShare returns how far the plant floor's part of the used slot-time was from its share, in percentage points, and
// how many percent of the pool were used.
func measureShare(start, end usage) (deviation, used float64) {
	plantFloor := end.plantFloor - start.plantFloor
	retail := end.retail - start.retail
	expected := plantFloorWeight / (plantFloorWeight + retailWeight)
	window := float64(end.at.Sub(start.at).Milliseconds())
	return 100 * (plantFloor/(plantFloor+retail) - expected), 100 * (plantFloor + retail) / (window * replanSlots)
}

func (f *fleet) keepIdleConnections() {
	const connections = 400
	f.client.Transport = &http.Transport{MaxIdleConnsPerHost: connections}
}

// applyWithPinnedVMs applies the deployment with a min-serving at which no pool can spare a VM, so that none is moved while
// shares are measured.
func (f *fleet) applyWithPinnedVMs() {
	f.t.Helper()
	objects, err := decl.ReadDirectory(deployment)
	assert.NilError(f.t, err)
	var pinned []record.Object
	for _, o := range objects {
		if o.Kind() == "pool" {
			pinned = append(pinned, withField(o, "min-serving", "10"))
		}
	}
	f.applyDeployment(pinned...)
}

// The plant floor keeps its share of a saturated pool over any 10 s while the largest customer overloads it.
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
			f.keepIdleConnections()
			f.applyWithPinnedVMs()
			floorKey, retailKey := f.createKey("plant-floor"), f.createKey("retail")
			floorFleet := *f
			floorFleet.gates = f.gates[:s.floorGates]
			retail := f.startLoad(140, "retail", request{queue: "replans", key: retailKey, runMs: 250})
			floor := floorFleet.startLoad(70, "floor", request{queue: "replans", key: floorKey, runMs: s.floorRunMs})
			time.Sleep(4 * time.Second)
			worst := f.worstShareError()
			floorReplies, retailReplies := floor.stopAndWait(), retail.stopAndWait()
			t.Logf("worst share error %.1f %%; answered: plant floor %d of %d, retail %d of %d", worst,
				countOutcome(floorReplies, "ran"), len(floorReplies), countOutcome(retailReplies, "ran"), len(retailReplies))
			assert.Check(t, worst < maxShareError)
		})
	}
}

// worstShareError samples the usage and returns the largest deviation in either direction over all 10 s windows.
func (f *fleet) worstShareError() float64 {
	var samples []usage
	for range shareSamples {
		samples = append(samples, f.readUsage())
		time.Sleep(shareSampleInterval)
	}
	windowSamples := int(shareWindow / shareSampleInterval)
	worst := 0.0
	for i := windowSamples; i < len(samples); i++ {
		deviation, used := measureShare(samples[i-windowSamples], samples[i])
		f.t.Logf("10 s: the plant floor had %+.1f %% beside its share of %.1f %%, %.1f %% of the pool was used",
			deviation, 100*plantFloorWeight/(plantFloorWeight+retailWeight), used)
		assert.Check(f.t, used >= minPoolUsage, "the pool was not saturated")
		worst = max(worst, deviation, -deviation)
	}
	return worst
}

// Urgent work starts within 8.4 s while another team overloads the pool.
func TestUrgentWorkStartsUnderOverload(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.keepIdleConnections()
	f.applyWithPinnedVMs()
	floorKey, retailKey := f.createKey("plant-floor"), f.createKey("retail")
	overload := f.startLoad(240, "retail", request{queue: "replans", key: retailKey, runMs: 1000})
	time.Sleep(3 * time.Second)
	const urgentRun, urgentRequests = 100 * time.Millisecond, 30
	var waits []time.Duration
	for i := range urgentRequests {
		sentAt := time.Now()
		r := f.sendBalanced(i, request{queue: "replans", key: floorKey, runMs: int(urgentRun.Milliseconds())})
		assert.Equal(t, r.outcome, "ran", "%+v", r)
		waits = append(waits, time.Since(sentAt)-urgentRun)
	}
	assert.Assert(t, len(overload.stopAndWait()) > urgentRequests)
	slices.Sort(waits)
	t.Logf("urgent work started after %s at the median, %s at worst, by the time of its answer", waits[len(waits)/2], waits[len(waits)-1])
	assert.Assert(t, waits[len(waits)-1] < maxUrgentWait)
}
