package prove

import (
	"crypto/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	waveTimeout     = 60 * time.Second
	recoveryTimeout = 30 * time.Second
	sampleInterval  = 50 * time.Millisecond
)

type poolStatus struct {
	Pools []struct {
		Name       string `json:"name"`
		MinServing int    `json:"min-serving"`
		Serving    int    `json:"serving"`
		VMs        []struct {
			Name  string `json:"name"`
			State string `json:"state"`
			Pool  string `json:"pool"`
		} `json:"vms"`
	} `json:"pools"`
	Lease struct {
		Holder string `json:"holder"`
	} `json:"lease"`
}

type waveStatus struct {
	Waves []struct {
		Name   string `json:"name"`
		State  string `json:"state"`
		Reason string `json:"reason"`
		Total  int    `json:"total"`
		Done   int    `json:"done"`
	} `json:"waves"`
}

func (g *gateProcess) readPools() poolStatus {
	var answer poolStatus
	g.callOperatorAPI(http.MethodGet, "/status", nil, &answer)
	return answer
}

func (g *gateProcess) readWave(name string) (state, reason string, done, total int) {
	var answer waveStatus
	g.callOperatorAPI(http.MethodGet, "/waves", nil, &answer)
	for _, w := range answer.Waves {
		if w.Name == name {
			return w.State, w.Reason, w.Done, w.Total
		}
	}
	return "", "", 0, 0
}

func (g *gateProcess) postAction(path string, body map[string]string) recordAnswer {
	body["id"] = rand.Text()
	body["by"] = "prove"
	var answer recordAnswer
	g.callOperatorAPI(http.MethodPost, path, body, &answer)
	return answer
}

// findPlanner returns the gate that holds the planner's lease according to the observer, or nil.
func (f *fleet) findPlanner(observer *gateProcess) *gateProcess {
	holder := observer.readPools().Lease.Holder
	for _, g := range f.gates {
		if strings.HasPrefix(holder, g.name+".") {
			return g
		}
	}
	return nil
}

// servingMonitor samples all pools and keeps the fewest serving VMs seen in each.
type servingMonitor struct {
	mu         sync.Mutex
	minServing map[string]int
	stop       chan struct{}
	stopped    chan struct{}
}

func (f *fleet) monitorServing(observer *gateProcess) *servingMonitor {
	m := &servingMonitor{minServing: map[string]int{}, stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(m.stopped)
		for {
			m.record(observer.readPools())
			select {
			case <-m.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return m
}

func (m *servingMonitor) record(s poolStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range s.Pools {
		if old, ok := m.minServing[p.Name]; !ok || p.Serving < old {
			m.minServing[p.Name] = p.Serving
		}
	}
}

func (m *servingMonitor) stopAndRead() map[string]int {
	close(m.stop)
	<-m.stopped
	return m.minServing
}

// Promise 1: a wave keeps its budget and completes although its planner is killed and the next one is suspended until its
// lease expires.
func TestWaveKeepsItsBudget(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c")
	f.applyDeployment()
	f.await(readyTimeout, "a planner", func() bool { return f.findPlanner(f.gates[0]) != nil })
	observer := f.gates[0]
	if f.findPlanner(observer) == observer {
		observer = f.gates[1]
	}
	assert.Equal(t, observer.postAction("/waves/office/start", map[string]string{}).Code, 0)
	monitor := f.monitorServing(observer)
	time.Sleep(1500 * time.Millisecond)
	first := f.findPlanner(observer)
	first.killAndRestart()
	f.await(waveTimeout, "another planner", func() bool { return f.findPlanner(observer) != first })
	second := f.findPlanner(observer)
	if second != observer {
		second.suspend()
		f.await(waveTimeout, "a third planner", func() bool { return f.findPlanner(observer) != second })
		second.resume()
	}
	f.await(waveTimeout, "the wave is done", func() bool {
		state, _, _, _ := observer.readWave("office")
		return state == "done"
	})
	minServing := monitor.stopAndRead()
	const floor = 4
	assert.Assert(t, minServing["office-tools"] >= floor, "only %d served", minServing["office-tools"])
	_, _, done, total := observer.readWave("office")
	assert.Equal(t, done, total)
	t.Logf("10 VMs maintained over 3 planners; at the worst moment %d of 10 served, floor %d", minServing["office-tools"], floor)
}

// Promise 1: VMs that fail during a wave count against its budget: once the VMs under maintenance are back, the wave takes
// out none that the pool's minimum needs.
func TestLostVMsCountAgainstTheBudget(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-b", "cz-c")
	f.applyDeployment()
	assert.Equal(t, f.gates[0].postAction("/waves/office/start", map[string]string{}).Code, 0)
	time.Sleep(time.Second)
	for _, vm := range servingOfficeVMs(f)[:5] {
		f.setFault(vm, "gone", 1)
	}
	const floor = 4
	time.Sleep(time.Second)
	f.await(recoveryTimeout, "the wave's own VMs are back", func() bool { return len(servingOfficeVMs(f)) >= floor })
	monitor := f.monitorServing(f.gates[0])
	time.Sleep(6 * time.Second)
	minServing := monitor.stopAndRead()["office-tools"]
	state, reason, done, total := f.gates[0].readWave("office")
	assert.Assert(t, minServing >= floor, "%d served", minServing)
	assert.Assert(t, done < total)
	t.Logf("5 of 10 VMs lost: wave %s (%s), %d of %d done, fewest serving after that %d", state, reason, done, total, minServing)
}

func servingOfficeVMs(f *fleet) []string {
	var out []string
	for _, p := range f.gates[0].readPools().Pools {
		if p.Name != "office-tools" {
			continue
		}
		for _, vm := range p.VMs {
			if vm.State == "serving" {
				out = append(out, vm.Name)
			}
		}
	}
	return out
}

// Promise 2: a VM belongs to one pool although two operators move it at once, the platform's answers get lost after the
// actions took effect, and the planner is suspended during the move.
func TestVMBelongsToOnePool(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-c")
	f.applyDeployment()
	quotes := f.startLoad(6, "quote", request{queue: "quotes", key: f.createKey("buyers"), runMs: 40})
	replans := f.startLoad(6, "replan", request{queue: "replans", key: f.createKey("warehouse"), runMs: 40})
	f.await(readyTimeout, "a planner", func() bool { return f.findPlanner(f.gates[0]) != nil })
	f.setFault("all", "action-answers-lost", 3)
	answers := make(chan recordAnswer, 2)
	for i, pool := range []string{"replans", "office-tools"} {
		go func() { answers <- f.gates[i].postAction("/moves", map[string]string{"vm": "cz-a-01", "pool": pool}) }()
	}
	const conflict = 401
	codes := []int{(<-answers).Code, (<-answers).Code}
	assert.Equal(t, codes[0]+codes[1], conflict, "codes %v", codes)
	time.Sleep(600 * time.Millisecond)
	suspended := f.findPlanner(f.gates[0])
	observer := f.gates[0]
	if suspended == observer {
		observer = f.gates[1]
	}
	suspended.suspend()
	f.await(recoveryTimeout, "another planner", func() bool { return f.findPlanner(observer) != suspended })
	suspended.resume()
	f.await(recoveryTimeout, "the move ends", func() bool { return poolOf(observer, "cz-a-01") != "quotes" })
	time.Sleep(time.Second)
	quotes.stopAndWait()
	replans.stopAndWait()
	c := f.readCounts()
	assert.Equal(t, len(c.TwoPools), 0, "%s", c.TwoPools)
	pools := map[string]bool{}
	for _, g := range f.gates {
		pools[poolOf(g, "cz-a-01")] = true
	}
	assert.Equal(t, len(pools), 1, "%v", pools)
}

func poolOf(g *gateProcess, vm string) string {
	for _, p := range g.readPools().Pools {
		for _, v := range p.VMs {
			if v.Name == vm && v.State == "serving" {
				return v.Pool
			}
		}
	}
	return "quotes"
}
