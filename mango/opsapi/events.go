package opsapi

import (
	"context"
	"net/url"
	"strconv"

	"mangowing/core/event"
)

// Events returns the events of all gates that match the filter, as collected by the gate that answers.
func (c *Client) Events(ctx context.Context, f event.Filter) ([]event.Event, error) {
	query := url.Values{"all": {"yes"}}
	if f.Since > 0 {
		query.Set("since", strconv.FormatUint(uint64(f.Since), 10))
	}
	for key, value := range map[string]string{"request": f.Request, "team": f.Team, "vm": f.VM} {
		if value != "" {
			query.Set(key, value)
		}
	}
	var answer struct {
		Events []event.Event `json:"events"`
	}
	err := c.get(ctx, "/ops/v1/events?"+query.Encode(), &answer)
	return answer.Events, err
}
