package count

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecorder(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	scenarios := []struct {
		testName string
		steps    func(r *Recorder)
		expected string
	}{
		{"most running of a team over all VMs", func(r *Recorder) {
			first := r.RecordStart(Start{VM: "a", Team: "t", RequestID: "1"}, at(0))
			second := r.RecordStart(Start{VM: "b", Team: "t", RequestID: "2"}, at(5))
			first.End(at(10), false)
			first.End(at(20), false)
			second.End(at(20), true)
			r.RecordStart(Start{VM: "a", Team: "t", RequestID: "3"}, at(30))
		}, `{"totals":{"started":3,"finished":1,"cut":1,"outside-pool":0,"refused-slots":0,"refused-connections":0},` +
			`"teams":[{"team":"t","started":3,"running":1,"most-running":2,"slot-ms":25}],` +
			`"requests-twice":[],"two-pools":[],"leaving":[]}`},
		{"work started twice under two request ids, and a request id started twice", func(r *Recorder) {
			r.RecordStart(Start{VM: "a", Team: "t", RequestID: "1", WorkID: "w"}, at(0)).End(at(0), true)
			r.RecordStart(Start{VM: "b", Team: "t", RequestID: "2", WorkID: "w"}, at(0)).End(at(0), false)
			r.RecordStart(Start{VM: "b", Team: "t", RequestID: "2"}, at(0)).End(at(0), false)
		}, `{"totals":{"started":3,"finished":2,"cut":1,"outside-pool":0,"refused-slots":0,"refused-connections":0},` +
			`"teams":[{"team":"t","started":3,"running":0,"most-running":1,"slot-ms":0}],` +
			`"requests-twice":[{"request-id":"2","starts":2}],"two-pools":[],"leaving":[],` +
			`"works":[{"id":"w","starts":2,"finished":1,"vms":["a","b"]}]}`},
		{"two pools at once on one VM, and a start outside the VM's pool", func(r *Recorder) {
			r.SetPool("a", "pours")
			run := r.RecordStart(Start{VM: "a", Team: "t", Queue: "pour", RequestID: "1"}, at(0))
			r.RecordStart(Start{VM: "a", Team: "t", Queue: "quote", RequestID: "2"}, at(1)).End(at(2), false)
			run.End(at(3), false)
			r.SetPool("a", "quotes")
			r.RecordStart(Start{VM: "a", Team: "t", Queue: "quote", RequestID: "3"}, at(4)).End(at(4), false)
		}, `{"totals":{"started":3,"finished":3,"cut":0,"outside-pool":1,"refused-slots":0,"refused-connections":0},` +
			`"teams":[{"team":"t","started":3,"running":0,"most-running":2,"slot-ms":4}],` +
			`"requests-twice":[],"two-pools":[{"vm":"a","queue":"quote","other-pool":"pours","at-ms":1}],"leaving":[]}`},
		{"starts at a leaving VM, before and after it is listed", func(r *Recorder) {
			r.SetLeaving("a", at(100))
			r.RecordStart(Start{VM: "a", Team: "t", RequestID: "1"}, at(150)).End(at(150), false)
			r.SetListed("a", at(600))
			r.SetListed("a", at(900))
			r.RecordStart(Start{VM: "a", Team: "t", RequestID: "2"}, at(1600)).End(at(1600), false)
			r.SetLeaving("a", time.Time{})
			r.RecordStart(Start{VM: "a", Team: "t", RequestID: "3"}, at(9000)).End(at(9000), false)
		}, `{"totals":{"started":3,"finished":3,"cut":0,"outside-pool":0,"refused-slots":0,"refused-connections":0},` +
			`"teams":[{"team":"t","started":3,"running":0,"most-running":1,"slot-ms":0}],"requests-twice":[],"two-pools":[],` +
			`"leaving":[{"vm":"a","starts":2,"latest-ms":1500,"latest-listed-ms":1000,"starts-before-listed":1}]}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := NewRecorder(map[string]string{"pour": "pours", "quote": "quotes"})
			s.steps(r)
			data, err := r.JSON(true)
			assert.NilError(t, err)
			assert.Equal(t, string(data), s.expected)
			assert.Assert(t, json.Valid(data))
		})
	}
}
