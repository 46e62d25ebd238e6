package cmds

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/event"
)

// fakeEventAPI returns on each call the next list of events that match the filter. The lists hold timestamps in
// milliseconds. It cancels the context on the call for the last list.
type fakeEventAPI struct {
	t       *testing.T
	answers [][]int64
	since   []int64
	cancel  context.CancelFunc
}

func (f *fakeEventAPI) Events(_ context.Context, filter event.Filter) ([]event.Event, error) {
	f.since = append(f.since, filter.Since.Time().UnixMilli())
	answer := f.answers[0]
	f.answers = f.answers[1:]
	if len(f.answers) == 0 {
		f.cancel()
	}
	var out []event.Event
	for _, ms := range answer {
		var e event.Event
		text := fmt.Sprintf(`{"stamp":%d,"process":"g","kind":"e%d"}`, ms<<counterBits, ms)
		assert.NilError(f.t, e.UnmarshalJSON([]byte(text)))
		if filter.Matches(e) {
			out = append(out, e)
		}
	}
	return out, nil
}

func TestFollowPrintsLateEventsExactlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var out bytes.Buffer
		fake := &fakeEventAPI{t: t, cancel: cancel, answers: [][]int64{
			{10_000, 12_000},
			{10_000, 11_000, 12_000},
			{11_000, 20_000, 19_000},
			{12_000, 19_000, 20_000, 21_000},
			{},
		}}
		cli := &CLI{options: Options{Out: &out}, output: outputTable}
		started := time.Now()
		assert.NilError(t, cli.followEvents(ctx, fake, event.Filter{Since: timestampAt(time.UnixMilli(9000))}))
		var shown []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			shown = append(shown, strings.Fields(line)[2])
		}
		assert.DeepEqual(t, shown, []string{"e10000", "e12000", "e11000", "e19000", "e20000", "e21000"})
		assert.DeepEqual(t, fake.since, []int64{9000, 9000, 9000, 15_000, 16_000})
		assert.Equal(t, time.Since(started), 4*timelinePollInterval)
	})
}
