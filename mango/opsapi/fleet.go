package opsapi

import (
	"context"
	"encoding/json"
	"net/url"
)

// WaveRow is the progress of one wave.
type WaveRow struct {
	w waveWire
}

type waveWire struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	Reason     string `json:"reason,omitempty"`
	Total      int    `json:"total"`
	Done       int    `json:"done"`
	Out        int    `json:"out"`
	BudgetLeft int    `json:"budget-left"`
}

// Name returns the wave's name.
func (w WaveRow) Name() string { return w.w.Name }

// State returns planned, running, paused, cancelled or done.
func (w WaveRow) State() string { return w.w.State }

// Reason returns the reason for the wave's last change of state.
func (w WaveRow) Reason() string { return w.w.Reason }

// Total returns the number of VMs that the wave covers.
func (w WaveRow) Total() int { return w.w.Total }

// Done returns the number of VMs that are back in service.
func (w WaveRow) Done() int { return w.w.Done }

// Out returns the number of VMs that are out of service now.
func (w WaveRow) Out() int { return w.w.Out }

// BudgetLeft returns how many more VMs may go out now.
func (w WaveRow) BudgetLeft() int { return w.w.BudgetLeft }

// MarshalJSON returns the wire form.
func (w WaveRow) MarshalJSON() ([]byte, error) { return json.Marshal(w.w) }

// UnmarshalJSON reads the wire form.
func (w *WaveRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &w.w) }

type commandWire struct {
	ID string `json:"id"`
	By string `json:"by"`
}

type moveWire struct {
	ID   string `json:"id"`
	By   string `json:"by"`
	VM   string `json:"vm"`
	Pool string `json:"pool"`
}

// Waves returns the progress of all declared waves.
func (c *Client) Waves(ctx context.Context) ([]WaveRow, error) {
	var answer struct {
		Waves []WaveRow `json:"waves"`
	}
	err := c.get(ctx, "/ops/v1/waves", &answer)
	return answer.Waves, err
}

// StepWave sends one step of a wave: start, pause, resume or cancel.
func (c *Client) StepWave(ctx context.Context, wave, step string) (Result, error) {
	return c.write(ctx, "/ops/v1/waves/"+url.PathEscape(wave)+"/"+step, commandWire{newID(), c.operator})
}

// MoveVM starts the move of a VM to a pool.
func (c *Client) MoveVM(ctx context.Context, vm, pool string) (Result, error) {
	return c.write(ctx, "/ops/v1/moves", moveWire{newID(), c.operator, vm, pool})
}

// FenceVM isolates a VM and ends its work, so that the VM can be replaced.
func (c *Client) FenceVM(ctx context.Context, vm string) (Result, error) {
	return c.write(ctx, "/ops/v1/vms/"+url.PathEscape(vm)+"/fence", commandWire{newID(), c.operator})
}
