package fleet

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/stand/count"
)

// fakeWorker records whether it is open and how many faults were set.
type fakeWorker struct {
	isOpen bool
	faults int
}

func (w *fakeWorker) Open() error { w.isOpen = true; return nil }

func (w *fakeWorker) Address() string { return "127.0.0.1:9" }

func (w *fakeWorker) Close() { w.isOpen = false }

func (w *fakeWorker) Tick(time.Time) {}

func (w *fakeWorker) SetFault(name string, _ int) bool {
	w.faults++
	return name == "paused"
}

func newTestFleet(t *testing.T) (*Fleet, *fakeWorker) {
	t.Helper()
	f := New(Config{ListLag: 500 * time.Millisecond, RebootTime: 2 * time.Second}, &count.Recorder{})
	first := &fakeWorker{}
	f.Add(VMSpec{Name: "a", DataCentre: "d", Rack: "r1", Pool: "pours"}, first)
	f.Add(VMSpec{Name: "b", DataCentre: "d", Rack: "r2", Pool: "quotes"}, &fakeWorker{})
	assert.NilError(t, f.Open())
	return f, first
}

func TestActions(t *testing.T) {
	type step struct {
		action         string
		wire           actionWire
		after          time.Duration
		expectedStatus int
		expectedLost   bool
	}
	reassign := func(id, pool string, status int) step {
		return step{"reassign", actionWire{id, 1, pool}, 0, status, false}
	}
	scenarios := []struct {
		testName     string
		fault        string
		steps        []step
		expectedRow  string
		expectedOpen bool
	}{
		{"reassign", "", []step{reassign("1", "quotes", 200)}, "live 1 quotes", true},
		{"reassign without a pool", "", []step{reassign("1", "", 400)}, "live 1 pours", true},
		{"a repeat does nothing", "", []step{reassign("1", "quotes", 200), reassign("2", "spare", 200), reassign("1", "quotes", 200)}, "live 1 spare", true},
		{"another generation is refused", "", []step{{"reassign", actionWire{"1", 7, "quotes"}, 0, 409, false}}, "live 1 pours", true},
		{"an answer lost took effect, its repeat is answered", "action-answers-lost", []step{
			{"reassign", actionWire{"1", 1, "quotes"}, 0, 200, true}, reassign("1", "quotes", 200),
		}, "live 1 quotes", true},
		{"reboot, under way", "", []step{{"reboot", actionWire{"1", 1, ""}, time.Second, 200, false}}, "live 1 pours", false},
		{"reboot, back", "", []step{{"reboot", actionWire{"1", 1, ""}, 3 * time.Second, 200, false}}, "live 2 pours", true},
		{"reboot twice at once", "", []step{{"reboot", actionWire{"1", 1, ""}, 0, 200, false}, {"reboot", actionWire{"2", 1, ""}, 3 * time.Second, 409, false}}, "live 2 pours", true},
		{"reboot repeated when back", "", []step{{"reboot", actionWire{"1", 1, ""}, 3 * time.Second, 200, false}, {"reboot", actionWire{"1", 1, ""}, 3 * time.Second, 200, false}}, "live 2 pours", true},
		{"reboot, answer lost", "action-answers-lost", []step{{"reboot", actionWire{"1", 1, ""}, 3 * time.Second, 200, true}}, "live 2 pours", true},
		{"reboot, never back", "no-return", []step{{"reboot", actionWire{"1", 1, ""}, time.Hour, 200, false}}, "live 1 pours", false},
		{"reboot of a leaving VM", "leaving", []step{{"reboot", actionWire{"1", 1, ""}, 3 * time.Second, 200, false}}, "leaving 2 pours", true},
		{"fence", "", []step{{"fence", actionWire{"1", 1, ""}, 0, 200, false}}, "gone 1 pours", false},
		{"fence, then reboot", "", []step{{"fence", actionWire{"1", 1, ""}, 0, 200, false}, {"reboot", actionWire{"2", 1, ""}, 3 * time.Second, 200, false}}, "live 2 pours", true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, w := newTestFleet(t)
				if s.fault != "" {
					f.SetFault("a", s.fault, 1, time.Now())
				}
				for _, step := range s.steps {
					answer, lost := f.runAction("a", step.action, step.wire, time.Now())
					assert.Equal(t, answer.status, step.expectedStatus, answer.text)
					assert.Equal(t, lost, step.expectedLost)
					time.Sleep(step.after)
					synctest.Wait()
				}
				row := f.vms["a"].row
				assert.Equal(t, row.State+" "+string(rune('0'+row.Generation))+" "+row.Pool, s.expectedRow)
				assert.Equal(t, w.isOpen, s.expectedOpen)
			})
		})
	}
	f, _ := newTestFleet(t)
	answer, _ := f.runAction("nobody", "reboot", actionWire{"1", 1, ""}, time.Now())
	assert.Equal(t, answer.status, http.StatusNotFound)
}

func TestListLagAndFreeze(t *testing.T) {
	f, _ := newTestFleet(t)
	now := time.Now()
	version, rows, _ := f.changesSince(0)
	assert.Equal(t, version, uint64(2))
	assert.Equal(t, len(rows), 2)
	f.SetFault("a", "leaving", 1, now)
	f.SetFault("a", "leaving", 0, now)
	f.SetFault("a", "leaving", 1, now)
	scenarios := []struct {
		testName        string
		frozen          int
		afterMs         int
		since           uint64
		expectedVersion uint64
		expectedStates  []string
	}{
		{"before the lag", 0, 499, 2, 2, nil},
		{"frozen", 1, 600, 2, 2, nil},
		{"after the lag, only the last row of a VM", 0, 600, 2, 5, []string{"leaving"}},
		{"nothing new", 0, 600, 5, 5, nil},
		{"from the start", 0, 600, 0, 5, []string{"live", "leaving"}},
		{"a version of an earlier run of the platform", 0, 600, 77, 5, []string{"live", "leaving"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f.SetListFault("frozen", s.frozen)
			f.Tick(now.Add(time.Duration(s.afterMs) * time.Millisecond))
			version, rows, _ := f.changesSince(s.since)
			assert.Equal(t, version, s.expectedVersion)
			var states []string
			for _, row := range rows {
				states = append(states, row.State)
			}
			assert.DeepEqual(t, states, s.expectedStates)
		})
	}
}

func TestFaultTargets(t *testing.T) {
	scenarios := []struct {
		testName      string
		target        string
		fault         string
		expectedVMs   int
		expectedKnown bool
	}{
		{"one VM", "a", "paused", 1, true},
		{"all", "all", "paused", 2, true},
		{"a rack", "rack:r2", "paused", 1, true},
		{"a data centre", "data-centre:d", "gone", 2, true},
		{"nobody", "c", "paused", 0, true},
		{"no such fault", "a", "pused", 1, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f, _ := newTestFleet(t)
			vms, known := f.SetFault(s.target, s.fault, 1, time.Now())
			assert.Equal(t, vms, s.expectedVMs)
			assert.Equal(t, known, s.expectedKnown)
		})
	}
}

func TestGoneVMReturnsInNewGeneration(t *testing.T) {
	f, w := newTestFleet(t)
	now := time.Now()
	f.SetFault("a", "gone", 1, now)
	assert.Assert(t, !w.isOpen)
	assert.Equal(t, f.vms["a"].row.State, "gone")
	f.SetFault("a", "gone", 0, now)
	assert.Assert(t, w.isOpen)
	assert.Equal(t, f.vms["a"].row.State, "live")
	assert.Equal(t, f.vms["a"].row.Generation, uint64(2))
}
