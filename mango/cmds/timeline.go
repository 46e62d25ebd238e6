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
	timelinePoll = time.Second
	// Events of other gates may be gathered this much later than newer ones.
	timelineOverlap = 5 * time.Second
	counterBits     = 16
	defaultSince    = 10 * time.Minute
)

type timeline interface {
	Events(ctx context.Context, f event.Filter) ([]event.Event, error)
}

func (s *CLI) timelineCommand() *cobra.Command {
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
		RunE: s.withOperators(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			filter.Since = stampAt(s.spec.Now().Add(-since))
			if follow {
				return s.followEvents(cmd.Context(), ops, filter)
			}
			events, err := ops.Events(cmd.Context(), filter)
			if err != nil {
				return err
			}
			sortEvents(events)
			return s.print(show.NewEvents(events))
		}),
	}
	flags := cmd.Flags()
	flags.DurationVar(&since, "since", defaultSince, "how far back")
	flags.StringVar(&filter.Team, "team", "", "only events of this team")
	flags.StringVar(&filter.VM, "vm", "", "only events of this VM")
	flags.StringVar(&filter.Request, "request", "", "only events of this request")
	flags.BoolVarP(&follow, "follow", "f", false, "go on with new events until interrupted")
	return cmd
}

func stampAt(t time.Time) event.Timestamp {
	return event.Timestamp(max(0, t.UnixMilli())) << counterBits
}

func sortEvents(events []event.Event) {
	slices.SortStableFunc(events, func(a, b event.Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp(), b.Timestamp()), cmp.Compare(a.Process(), b.Process()))
	})
}

func (s *CLI) followEvents(ctx context.Context, ops timeline, filter event.Filter) error {
	ticks := time.NewTicker(timelinePoll)
	defer ticks.Stop()
	seen := seenEvents{}
	for {
		events, err := ops.Events(ctx, filter)
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		fresh := seen.fresh(events)
		sortEvents(fresh)
		if len(fresh) > 0 {
			if err := s.print(show.NewEvents(fresh)); err != nil {
				return err
			}
		}
		filter.Since = max(filter.Since, seen.forget())
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

type eventKey struct {
	stamp   event.Timestamp
	process string
}

// seenEvents remembers the events already shown, as far back as the overlap.
type seenEvents struct {
	shown  map[eventKey]bool
	newest event.Timestamp
}

func (s *seenEvents) fresh(events []event.Event) []event.Event {
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

// forget drops events older than the overlap and returns the stamp to ask from.
func (s *seenEvents) forget() event.Timestamp {
	if s.newest == 0 {
		return 0
	}
	from := stampAt(s.newest.Time().Add(-timelineOverlap))
	for key := range s.shown {
		if key.stamp < from {
			delete(s.shown, key)
		}
	}
	return from
}
