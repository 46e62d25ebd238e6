package fleet

// States of a VM in the platform's VM list.
const (
	PlatformLive    = "live"
	PlatformLeaving = "leaving"
	PlatformGone    = "gone"
)

// VMRow is one VM as the platform's lagging VM list shows it.
type VMRow struct {
	spec    VMRowSpec
	rackKey string
}

// VMRowSpec names the fields of a VMRow for NewVMRow.
type VMRowSpec struct {
	Name       string // the VM's name
	DataCentre string // the data centre's name
	Rack       string // the rack's name within the data centre
	Generation uint64 // raised by each reboot or replacement
	State      string // live, leaving or gone
	Pool       string // the pool that the platform has the VM in, empty if unknown
	Slots      int    // the requests that the VM runs at once
}

// NewVMRow returns the row described by the specification.
func NewVMRow(s VMRowSpec) VMRow { return VMRow{s, s.DataCentre + "/" + s.Rack} }

// Name returns the VM's name.
func (r VMRow) Name() string { return r.spec.Name }

// DataCentre returns the name of the VM's data centre.
func (r VMRow) DataCentre() string { return r.spec.DataCentre }

// Rack returns the rack's name within the data centre.
func (r VMRow) Rack() string { return r.spec.Rack }

// Generation returns the number that each reboot or replacement raises.
func (r VMRow) Generation() uint64 { return r.spec.Generation }

// State returns the platform's state of the VM, such as PlatformLive.
func (r VMRow) State() string { return r.spec.State }

// Pool returns the pool that the platform has the VM in, empty if unknown.
func (r VMRow) Pool() string { return r.spec.Pool }

// Slots returns how many requests the VM runs at once.
func (r VMRow) Slots() int { return r.spec.Slots }

func (r VMRow) live() bool { return r.spec.State == PlatformLive }

func (r VMRow) dropped() bool {
	return r.spec.State == PlatformLeaving || r.spec.State == PlatformGone
}

// domain returns the failure domain: the rack within its data centre.
func (r VMRow) domain() string { return r.rackKey }
