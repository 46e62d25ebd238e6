package opsapi

import (
	"context"
	"encoding/json"
	"time"
)

// Status is one gate's view of the whole fleet.
type Status struct {
	w statusWire
}

type statusWire struct {
	Deployment string    `json:"deployment"`
	Gates      []GateRow `json:"gates"`
	Pools      []PoolRow `json:"pools"`
	Teams      []TeamRow `json:"teams"`
	Lease      leaseWire `json:"lease"`
	Log        logWire   `json:"log"`
}

type leaseWire struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

type logWire struct {
	Reachable bool   `json:"reachable"`
	Offset    uint64 `json:"offset"`
}

// Deployment returns the deployment's name.
func (s Status) Deployment() string { return s.w.Deployment }

// Gates returns all gates known to the answering gate.
func (s Status) Gates() []GateRow { return s.w.Gates }

// Pools returns all pools.
func (s Status) Pools() []PoolRow { return s.w.Pools }

// Teams returns all teams.
func (s Status) Teams() []TeamRow { return s.w.Teams }

// Lease returns the incarnation that holds the planner's lease, empty for none, and its fencing token.
func (s Status) Lease() (holder string, token uint64) { return s.w.Lease.Holder, s.w.Lease.Token }

// Log reports whether the answering gate reaches the platform's log, and returns the last log offset known to it.
func (s Status) Log() (reachable bool, offset uint64) { return s.w.Log.Reachable, s.w.Log.Offset }

// MarshalJSON returns the wire form.
func (s Status) MarshalJSON() ([]byte, error) { return json.Marshal(s.w) }

// UnmarshalJSON reads the wire form.
func (s *Status) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &s.w) }

// Status returns the answering gate's view of the whole fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, "/ops/v1/status", &s)
}

// GateRow is the state of one gate as last reported to the answering gate.
type GateRow struct {
	w gateWire
}

type gateWire struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Reachable   bool   `json:"reachable"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Offset      uint64 `json:"offset"`
	Digest      any    `json:"digest"`
	StalenessMs int64  `json:"staleness-ms"`
}

// Name returns the gate's name.
func (g GateRow) Name() string { return g.w.Name }

// DataCentre returns the gate's data centre.
func (g GateRow) DataCentre() string { return g.w.DataCentre }

// Address returns the gate's address for its peers.
func (g GateRow) Address() string { return g.w.Address }

// State returns unreachable, stopping, ready or not-ready.
func (g GateRow) State() string {
	switch {
	case !g.w.Reachable:
		return "unreachable"
	case g.w.Stopping:
		return "stopping"
	case g.w.Ready:
		return "ready"
	default:
		return "not-ready"
	}
}

// Offset returns the last log offset that the gate has applied.
func (g GateRow) Offset() uint64 { return g.w.Offset }

// Staleness returns the time since the gate was last known to have the log's newest entry.
func (g GateRow) Staleness() time.Duration { return time.Duration(g.w.StalenessMs) * time.Millisecond }

// MarshalJSON returns the wire form.
func (g GateRow) MarshalJSON() ([]byte, error) { return json.Marshal(g.w) }

// UnmarshalJSON reads the wire form.
func (g *GateRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &g.w) }

// PoolRow is one pool with its VMs.
type PoolRow struct {
	w poolWire
}

type poolWire struct {
	Name       string  `json:"name"`
	MinServing int     `json:"min-serving"`
	Serving    int     `json:"serving"`
	Waiting    int     `json:"waiting"`
	VMs        []VMRow `json:"vms"`
}

// Name returns the pool's name.
func (p PoolRow) Name() string { return p.w.Name }

// MinServing returns how many VMs must keep serving.
func (p PoolRow) MinServing() int { return p.w.MinServing }

// Serving returns how many VMs serve.
func (p PoolRow) Serving() int { return p.w.Serving }

// Waiting returns how many requests wait for the pool.
func (p PoolRow) Waiting() int { return p.w.Waiting }

// VMs returns the VMs that belong to the pool.
func (p PoolRow) VMs() []VMRow { return p.w.VMs }

// MarshalJSON returns the wire form.
func (p PoolRow) MarshalJSON() ([]byte, error) { return json.Marshal(p.w) }

// UnmarshalJSON reads the wire form.
func (p *PoolRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &p.w) }

// VMRow is the state of one VM.
type VMRow struct {
	w vmWire
}

type vmWire struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Target     string `json:"target,omitempty"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Running    int    `json:"running"`
}

// Name returns the VM's name.
func (v VMRow) Name() string { return v.w.Name }

// State returns serving, draining, moving, rebooting, quarantined or leaving.
func (v VMRow) State() string { return v.w.State }

// Pool returns the one pool that the VM belongs to.
func (v VMRow) Pool() string { return v.w.Pool }

// Target returns the destination pool of a move, empty if the VM is not moving.
func (v VMRow) Target() string { return v.w.Target }

// DataCentre returns the VM's data centre.
func (v VMRow) DataCentre() string { return v.w.DataCentre }

// Rack returns the VM's rack, its failure domain.
func (v VMRow) Rack() string { return v.w.Rack }

// Running returns the last known number of requests and tasks that run on the VM.
func (v VMRow) Running() int { return v.w.Running }

// MarshalJSON returns the wire form.
func (v VMRow) MarshalJSON() ([]byte, error) { return json.Marshal(v.w) }

// UnmarshalJSON reads the wire form.
func (v *VMRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &v.w) }

// TeamRow is one team's use of the fleet.
type TeamRow struct {
	w teamWire
}

type teamWire struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Share        int    `json:"share"`
	Limit        int    `json:"limit"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	RightsHeld   int    `json:"rights-held"`
	RightsSpare  int    `json:"rights-spare"`
}

// Name returns the team's name.
func (t TeamRow) Name() string { return t.w.Name }

// Organisation returns the team's organisation.
func (t TeamRow) Organisation() string { return t.w.Organisation }

// Share returns the team's weight in the division of a full pool.
func (t TeamRow) Share() int { return t.w.Share }

// Limit returns the maximum of the team's running work.
func (t TeamRow) Limit() int { return t.w.Limit }

// Running returns the amount of the team's running work.
func (t TeamRow) Running() int { return t.w.Running }

// Waiting returns how many of the team's requests wait.
func (t TeamRow) Waiting() int { return t.w.Waiting }

// Rights returns how many of the rights that make up the team's limit the gates hold, and how many of these are unused.
func (t TeamRow) Rights() (held, spare int) { return t.w.RightsHeld, t.w.RightsSpare }

// MarshalJSON returns the wire form.
func (t TeamRow) MarshalJSON() ([]byte, error) { return json.Marshal(t.w) }

// UnmarshalJSON reads the wire form.
func (t *TeamRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &t.w) }
