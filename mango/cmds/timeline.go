package cmds

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"mangowing/core/event"
	"mangowing/mango/show"
)

const (
	timelinePollInterval = time.Second
	// An event of another gate may arrive this much later than newer events.
	timelineOverlap    = 5 * time.Second
	counterBits        = 16 // low bits of an event.Timestamp, a counter
	defaultTimelineAge = 10 * time.Minute
)

type eventAPI interface {
	Events(ctx context.Context, f event.Filter) ([]event.Event, error)
}

func (c *CLI) timelineCommand() *cobra.Command {
	var since time.Duration
	var follow bool
	filter := event.Filter{}
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show what all gates did, in one order",
		Long: `Timeline merges the events that the gates keep. They are ordered by a hybrid logical clock, so that an effect
never stands before its cause although the machines' clocks differ.`,
		Example: "  mango timeline --since 5m --team plant-floor\n  mango timeline --request 3QK5 --output json\n  mango timeline --vm cz-a-15 -f",
		Args:    exactArgs(),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			filter.Since = timestampAt(c.options.Now().Add(-since))
			if follow {
				return c.followEvents(cmd.Context(), ops, filter)
			}
			events, err := ops.Events(cmd.Context(), filter)
			if err != nil {
				return err
			}
			sortEvents(events)
			return c.print(show.NewEvents(events))
		}),
	}
	flags := cmd.Flags()
	flags.DurationVar(&since, "since", defaultTimelineAge, "how far back")
	flags.StringVar(&filter.Team, "team", "", "only events of this team")
	flags.StringVar(&filter.VM, "vm", "", "only events of this VM")
	flags.StringVar(&filter.Request, "request", "", "only events of this request")
	flags.BoolVarP(&follow, "follow", "f", false, "go on with new events until interrupted")
	return cmd
}

func timestampAt(t time.Time) event.Timestamp {
	return event.Timestamp(max(0, t.UnixMilli())) << counterBits
}

func sortEvents(events []event.Event) {
	slices.SortStableFunc(events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp(), b.Timestamp()), cmp.Compare(a.Process(), b.Process()))
	})
}

func (c *CLI) followEvents(ctx context.Context, ops eventAPI, filter event.Filter) error {
	ticker := time.NewTicker(timelinePollInterval)
	defer ticker.Stop()
	seen := seenEvents{}
	for {
		events, err := ops.Events(ctx, filter)
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		unseen := seen.addUnseen(events)
		sortEvents(unseen)
		if len(unseen) > 0 {
			if err := c.print(show.NewEvents(unseen)); err != nil {
				return err
			}
		}
		filter.Since = max(filter.Since, seen.dropOld())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

type eventKey struct {
	timestamp event.Timestamp
	process   string
}

// seenEvents holds the keys of the printed events within the overlap, so that each event is printed once.
type seenEvents struct {
	shown  map[eventKey]bool
	newest event.Timestamp
}

// addUnseen records the events and returns those that were not recorded before.
func (s *seenEvents) addUnseen(events []event.Event) []event.Event {
	if s.shown == nil {
		s.shown = map[eventKey]bool{}
	}
	var out []event.Event
	for _, e := range events {
		key := eventKey{e.Timestamp(), e.Process()}
		if s.shown[key] {
			continue
		}
		s.shown[key] = true
		s.newest = max(s.newest, e.Timestamp())
		out = append(out, e)
	}
	return out
}

// dropOld removes events older than the overlap and returns the timestamp from which to poll next.
func (s *seenEvents) dropOld() event.Timestamp {
	if s.newest == 0 {
		return 0
	}
	from := timestampAt(s.newest.Time().Add(-timelineOverlap))
	for key := range s.shown {
		if key.timestamp < from {
			delete(s.shown, key)
		}
	}
	return from
}
