package plat

import "encoding/json"

// States of a VM in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
	VMGone    = "gone"
)

// VMPage holds the changes of the VM list after a version.
type VMPage struct {
	w vmPageWire
}

type vmPageWire struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Version returns the version to pass to the next call of Client.VMs.
func (p VMPage) Version() uint64 { return p.w.Version }

// VMs returns the VMs that changed.
func (p VMPage) VMs() []VM { return p.w.VMs }

// VM is an entry of the platform's VM list.
type VM struct {
	w vmWire
}

type vmWire struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	Rack         string `json:"rack"`
	Generation   uint64 `json:"generation"`
	State        string `json:"state"`
	Cores        int    `json:"cores"`
	MemoryGB     int    `json:"memory-gb"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	Pool         string `json:"pool"`
}

// VMSpec holds the fields of a VM, for NewVM.
type VMSpec struct {
	Name         string // the VM's name
	Address      string // host and port of its worker
	DataCentre   string // the data centre's name
	Rack         string // the rack's name, a failure domain
	Generation   uint64 // incremented by each reboot
	State        string // VMLive, VMLeaving or VMGone
	Cores        int    // processor cores
	MemoryGB     int    // memory in gigabytes
	Accelerators int    // number of accelerators
	Slots        int    // requests that may run at once
	Connections  int    // connections that may be open at once
	Pool         string // the pool's name
}

// NewVM returns a VM with the given fields.
func NewVM(s VMSpec) VM { return VM{vmWire(s)} }

// Name returns the VM's name.
func (v VM) Name() string { return v.w.Name }

// Address returns the host and port of the VM's worker.
func (v VM) Address() string { return v.w.Address }

// DataCentre returns the name of the VM's data centre.
func (v VM) DataCentre() string { return v.w.DataCentre }

// Rack returns the name of the VM's rack.
func (v VM) Rack() string { return v.w.Rack }

// Generation returns a number that each reboot increases.
func (v VM) Generation() uint64 { return v.w.Generation }

// State returns VMLive, VMLeaving or VMGone.
func (v VM) State() string { return v.w.State }

// Cores returns the number of processor cores.
func (v VM) Cores() int { return v.w.Cores }

// MemoryGB returns the memory in gigabytes.
func (v VM) MemoryGB() int { return v.w.MemoryGB }

// Accelerators returns the number of accelerators.
func (v VM) Accelerators() int { return v.w.Accelerators }

// Slots returns how many requests may run at once.
func (v VM) Slots() int { return v.w.Slots }

// Connections returns how many connections may be open at once.
func (v VM) Connections() int { return v.w.Connections }

// Pool returns the name of the VM's pool according to the platform.
func (v VM) Pool() string { return v.w.Pool }

// MarshalJSON returns the VM's wire form.
func (v VM) MarshalJSON() ([]byte, error) { return json.Marshal(v.w) }

// UnmarshalJSON reads the VM's wire form.
func (v *VM) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &v.w) }
