package fold

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
	"mangowing/core/record"
)

func vmStates() []string {
	return []string{VMServing, VMDraining, VMMoving, VMRebooting, VMQuarantined, VMLeaving}
}

// folderWithVMIn returns a folder in which vm-1 of pool "pour" is in the given state, with pool "quote" as its target.
func folderWithVMIn(t *testing.T, state string) *Folder {
	f := newDeclaredFolder(t)
	path := map[string][]string{
		VMDraining: {VMDraining}, VMMoving: {VMDraining, VMMoving}, VMRebooting: {VMDraining, VMRebooting},
		VMQuarantined: {VMQuarantined}, VMLeaving: {VMLeaving},
	}
	for _, next := range path[state] {
		assert.Equal(t, stepVM(t, f, next, "pour", "quote").Code(), codes.OK, next)
	}
	return f
}

func stepVM(t *testing.T, f *Folder, state, pool, target string) Result {
	base := f.Publish().VM("vm-1").Revision()
	return applyNext(t, f, encodeEntry(t, record.NewVMStep(record.VMStepSpec{
		VM: "vm-1", Base: base, State: state, Pool: pool, Target: target,
	})))[0]
}

func TestVMTransitions(t *testing.T) {
	var b strings.Builder
	for _, from := range vmStates() {
		for _, to := range vmStates() {
			for _, pool := range []string{"pour", "quote"} {
				v := stepVM(t, folderWithVMIn(t, from), to, pool, "quote")
				fmt.Fprintf(&b, "%-11s -> %-11s in %-5s  %s\n", from, to, pool, strings.TrimSpace(v.Code().String()+" "+v.Detail()))
			}
		}
	}
	golden.Assert(t, b.String(), "vm-states.golden")
}

func TestMoveKeepsItsTarget(t *testing.T) {
	f := folderWithVMIn(t, VMDraining)
	v := stepVM(t, f, VMMoving, "pour", "pour")
	assert.Equal(t, v.Detail(), "VM vm-1 was drained for another target")
}

func TestAdjustSplit(t *testing.T) {
	scenarios := []struct {
		testName    string
		old         map[string]int
		dataCentres []string
		limit       int
		expected    map[string]int
	}{
		{"new", nil, []string{"a", "b", "c"}, 6, map[string]int{"a": 2, "b": 2, "c": 2}},
		{"raised", map[string]int{"a": 3, "b": 1}, []string{"a", "b"}, 6, map[string]int{"a": 3, "b": 3}},
		{"lowered", map[string]int{"a": 4, "b": 1}, []string{"a", "b"}, 3, map[string]int{"a": 2, "b": 1}},
		{"lowered to nothing", map[string]int{"a": 4, "b": 1}, []string{"a", "b"}, 0, map[string]int{"a": 0, "b": 0}},
		{"data centre removed", map[string]int{"a": 2, "b": 2}, []string{"a"}, 4, map[string]int{"a": 4}},
		{"data centre added", map[string]int{"a": 4}, []string{"a", "b"}, 4, map[string]int{"a": 4, "b": 0}},
		{"several levels", map[string]int{"a": 0, "b": 2, "c": 5}, []string{"a", "b", "c"}, 10, map[string]int{"a": 2, "b": 3, "c": 5}},
		{"lowered over levels", map[string]int{"a": 9, "b": 5, "c": 1}, []string{"a", "b", "c"}, 7, map[string]int{"a": 3, "b": 3, "c": 1}},
		{"huge", map[string]int{"a": 1, "b": 0}, []string{"a", "b"}, 1 << 62, map[string]int{"a": 1 << 61, "b": 1 << 61}},
		{"no data centre", map[string]int{"a": 4}, nil, 4, map[string]int{}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.DeepEqual(t, adjustSplit("team", s.old, s.dataCentres, s.limit), s.expected)
		})
	}
}

func TestSmallLimitStaysInOneDataCentre(t *testing.T) {
	for _, limit := range []int{1, 2} {
		whole := 0
		for _, n := range adjustSplit("team", nil, []string{"a", "b", "c"}, limit) {
			if n == limit {
				whole++
			}
		}
		assert.Equal(t, whole, 1)
	}
}

func TestRedeclaredVMKeepsItsPool(t *testing.T) {
	f := newDeclaredFolder(t)
	_, pour := f.Publish().Object("pool", "pour")
	_, quote := f.Publish().Object("pool", "quote")
	v := applyNext(t, f, encodeEntry(t, record.NewChange([]record.Object{
		record.NewObject("pool", "pour", pour).WithField("vms", "vm-[2-4]"),
		record.NewObject("pool", "quote", quote).WithField("vms", "vm-1, vm-[5-6]"),
	}, "")))
	assert.Equal(t, v[0].Code(), codes.OK, "%v", v[0].Faults())
	assert.Equal(t, f.Publish().VM("vm-1").Pool(), "pour")
}
