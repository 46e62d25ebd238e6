package fleet

// States of a VM in the platform's VM list.
const (
	PlatformLive    = "live"
	PlatformLeaving = "leaving"
	PlatformGone    = "gone"
)

// VMRow is one row of the platform's VM list, which lags behind the real state.
type VMRow struct {
	spec      VMRowSpec
	domainKey string
}

// VMRowSpec names the fields of a VMRow for NewVMRow.
type VMRowSpec struct {
	Name       string // the VM's name
	DataCentre string // the data centre's name
	Rack       string // the rack's name within the data centre
	Generation uint64 // raised by each reboot or replacement
	State      string // live, leaving or gone
	Pool       string // the pool to which the platform assigns the VM, empty if unknown
	Slots      int    // how many requests the VM runs concurrently
}

// NewVMRow returns the row described by the specification.
func NewVMRow(s VMRowSpec) VMRow { return VMRow{s, s.DataCentre + "/" + s.Rack} }

// Name returns the VM's name.
func (r VMRow) Name() string { return r.spec.Name }

// DataCentre returns the name of the VM's data centre.
func (r VMRow) DataCentre() string { return r.spec.DataCentre }

// Rack returns the rack's name within the data centre.
func (r VMRow) Rack() string { return r.spec.Rack }

// Generation returns the VM's generation, which each reboot or replacement raises.
func (r VMRow) Generation() uint64 { return r.spec.Generation }

// State returns the VM's state according to the platform, such as PlatformLive.
func (r VMRow) State() string { return r.spec.State }

// Pool returns the pool to which the platform assigns the VM, empty if unknown.
func (r VMRow) Pool() string { return r.spec.Pool }

// Slots returns how many requests the VM runs concurrently.
func (r VMRow) Slots() int { return r.spec.Slots }

func (r VMRow) isLive() bool { return r.spec.State == PlatformLive }

func (r VMRow) isLeavingOrGone() bool {
	return r.spec.State == PlatformLeaving || r.spec.State == PlatformGone
}

// failureDomain returns the data centre and rack.
func (r VMRow) failureDomain() string { return r.domainKey }
