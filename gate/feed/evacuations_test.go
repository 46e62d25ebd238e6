package feed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
)

// scriptedOperators answers one read after the other, and cancels the reader's context with the last one.
type scriptedOperators struct {
	ports.Operators
	reads  []scriptedRead
	cancel context.CancelFunc
}

type scriptedRead struct {
	declared []ports.Declaration
	next     int64
	err      error
}

func (o *scriptedOperators) All(context.Context) ([]ports.Declaration, int64, error) {
	r := o.reads[0]
	if o.reads = o.reads[1:]; len(o.reads) == 0 {
		o.cancel()
	}
	return r.declared, r.next, r.err
}

func (o *scriptedOperators) Changes(ctx context.Context, _ int64, _ time.Duration) ([]ports.Declaration, int64, error) {
	return o.All(ctx)
}

// Guards against evacuations that go on after a withdrawal that was trimmed before it was read, and against those that end because the platform
// can't be reached.
func TestEvacuationsAreReadFromThePlatform(t *testing.T) {
	request := func(name string) ports.Declaration {
		return ports.Declaration{Evacuation: &ports.Evacuation{DataCentre: name}}
	}
	withdrawal := ports.Declaration{Evacuation: &ports.Evacuation{DataCentre: "a", Withdrawn: true}}
	all := scriptedRead{[]ports.Declaration{request("b"), request("a")}, 7, nil}
	scenarios := []struct {
		testName string
		reads    []scriptedRead
		expected []string
		offset   int64
		known    bool
	}{
		{"never read", []scriptedRead{{err: ports.ErrRejected}}, nil, 0, false},
		{"full read", []scriptedRead{all}, []string{"a", "b"}, 7, true},
		{"withdrawal and request", []scriptedRead{all, {[]ports.Declaration{withdrawal, request("c")}, 9, nil}}, []string{"b", "c"}, 9, true},
		{"request after its withdrawal", []scriptedRead{all, {[]ports.Declaration{withdrawal, request("a")}, 9, nil}}, []string{"a", "b"}, 9, true},
		{"unreachable", []scriptedRead{all, {err: ports.ErrOutcomeUnknown}}, []string{"a", "b"}, 7, true},
		{"missed withdrawal", []scriptedRead{all, {err: ports.ErrTrimmed}, {[]ports.Declaration{request("b")}, 30, nil}}, []string{"b"}, 30, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := NewConfigs(&scriptedOperators{reads: s.reads, cancel: cancel}, nil)
			changed := c.Subscribe()
			assert.ErrorIs(t, c.Follow(ctx), context.Canceled)
			names, offset, known := c.Evacuations()
			assert.DeepEqual(t, names, s.expected)
			assert.Equal(t, offset, s.offset)
			assert.Equal(t, known, s.known)
			assert.Equal(t, len(changed) == 1, len(s.expected) > 0)
			assert.Assert(t, c.TimeSinceRead() < readTimeout)
		})
	}
}
