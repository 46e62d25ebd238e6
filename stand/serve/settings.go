package serve

import (
	"time"

	"mangowing/core/config"
	"mangowing/stand/fleet"
	"mangowing/stand/store"
)

// Settings holds the settings of a stand.
type Settings struct {
	address      string
	directory    string
	firstPort    int
	slots        int
	connections  int
	cores        int
	memoryGB     int
	accelerators int
	usageLag     time.Duration
	fleet        fleet.Config
	store        store.Config
}

// DefaultSettings returns the values of settings that the file leaves out.
func DefaultSettings() *Settings {
	return &Settings{
		firstPort:   7200,
		slots:       8,
		connections: 64,
		cores:       16,
		memoryGB:    64,
		usageLag:    time.Second,
		fleet:       fleet.Config{ListLag: 500 * time.Millisecond, RebootTime: 2 * time.Second},
		store: store.Config{
			RetentionAge:     time.Hour,
			RetentionEntries: 100_000,
			AppendLatency:    2 * time.Millisecond,
		},
	}
}

// Bind returns the set of settings whose values are stored in s.
func (s *Settings) Bind() *config.Set {
	var set config.Set
	set.Address("platform", "address", &s.address, "where the platform listens")
	set.Text("deployment", "directory", &s.directory, "the directory of declarations that names pools and VMs")
	set.Int("workers", "first-port", &s.firstPort, 0, 60_000, "the first worker's port, the others follow; 0: any free ports")
	set.Int("workers", "slots", &s.slots, 1, 10_000, "requests that a worker runs at once")
	set.Int("workers", "connections", &s.connections, 1, 100_000, "connections that a worker has open at once")
	set.Int("workers", "cores", &s.cores, 1, 4096, "a worker's processor cores")
	set.Int("workers", "memory-gb", &s.memoryGB, 1, 65_536, "a worker's memory in gigabytes")
	set.Int("workers", "accelerators", &s.accelerators, 0, 64, "a worker's accelerators")
	set.Duration("workers", "usage-lag", &s.usageLag, 0, time.Minute, "how old a worker's report is at most")
	set.Duration("workers", "reboot-time", &s.fleet.RebootTime, 0, time.Hour, "how long a reboot takes")
	set.Duration("vm-list", "lag", &s.fleet.ListLag, 0, time.Minute, "how long a change takes to show in the VM list")
	set.Duration("log", "append-latency", &s.store.AppendLatency, 0, time.Minute, "how long an append takes")
	set.Duration("log", "retention-age", &s.store.RetentionAge, 0, 1000*time.Hour, "how long the log keeps an entry")
	set.Int("log", "retention-entries", &s.store.RetentionEntries, 1, 10_000_000, "how many entries a stream keeps")
	return &set
}
