package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
)

// scriptedOperators answers one read after the other.
type scriptedOperators struct {
	ports.Operators
	reads  []scriptedRead
	cancel context.CancelFunc
}

type scriptedRead struct {
	isFull   bool
	declared []ports.Declaration
	next     int64
	err      error
}

func (o *scriptedOperators) read(isFull bool) ([]ports.Declaration, int64, error) {
	r := o.reads[0]
	if o.reads = o.reads[1:]; len(o.reads) == 0 {
		o.cancel()
	}
	if r.isFull != isFull {
		return nil, 0, errors.New("another kind of read is expected")
	}
	return r.declared, r.next, r.err
}

func (o *scriptedOperators) All(context.Context) ([]ports.Declaration, int64, error) {
	return o.read(true)
}

func (o *scriptedOperators) Changes(context.Context, int64, time.Duration) ([]ports.Declaration, int64, error) {
	return o.read(false)
}

func evacuate(names ...string) (declared []ports.Declaration) {
	for _, name := range names {
		declared = append(declared, ports.Declaration{Evacuation: &ports.Evacuation{DataCentre: name}})
	}
	return declared
}

// Guards against evacuations that go on after a withdrawal that was trimmed before it was read, and against those that end because the platform
// can't be reached.
func TestEvacuationsAreReadFromThePlatform(t *testing.T) {
	withdrawn := []ports.Declaration{{Evacuation: &ports.Evacuation{DataCentre: "a", Withdrawn: true}}}
	all := scriptedRead{isFull: true, declared: evacuate("b", "a"), next: 7}
	scenarios := []struct {
		testName string
		reads    []scriptedRead
		expected []string
		offset   int64
		known    bool
	}{
		{"never read", []scriptedRead{{isFull: true, err: ports.ErrRejected}}, nil, 0, false},
		{"full read", []scriptedRead{all}, []string{"a", "b"}, 7, true},
		{"withdrawal and request", []scriptedRead{all, {declared: append(withdrawn, evacuate("c")...), next: 9}}, []string{"b", "c"}, 9, true},
		{"request after its withdrawal", []scriptedRead{all, {declared: append(withdrawn, evacuate("a")...), next: 9}}, []string{"a", "b"}, 9, true},
		{"unreachable", []scriptedRead{all, {err: ports.ErrOutcomeUnknown}}, []string{"a", "b"}, 7, true},
		{"missed withdrawal", []scriptedRead{all, {err: ports.ErrTrimmed}, {isFull: true, declared: evacuate("b"), next: 30}}, []string{"b"}, 30, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := NewConfigs(&scriptedOperators{reads: s.reads, cancel: cancel}, nil)
			changed := c.Subscribe()
			assert.Assert(t, errors.Is(c.Follow(ctx), context.Canceled))
			names, offset, known := c.Evacuations()
			assert.DeepEqual(t, names, s.expected)
			assert.Equal(t, offset, s.offset)
			assert.Equal(t, known, s.known)
			assert.Equal(t, len(changed) == 1, len(s.expected) > 0)
		})
	}
}
