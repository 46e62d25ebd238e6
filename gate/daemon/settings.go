package daemon

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"mangowing/core/config"
	"mangowing/gate/peers"
)

const (
	defaultMaxBodyBytes     = 16 << 20
	maxBodyBytesLimit       = 1 << 30
	defaultHeartbeat        = 500 * time.Millisecond
	defaultLameDuck         = 3 * time.Second
	defaultStopLimit        = 15 * time.Minute
	defaultAppendGroup      = 4 * time.Millisecond
	defaultVMPoll           = time.Second
	defaultAnswersKeptBytes = 8 << 20
	answersKeptBytesLimit   = 1 << 30
	defaultSnapshotEvery    = 2000
	snapshotEveryLimit      = 1_000_000
	defaultSnapshotAge      = 10 * time.Minute
	defaultReportLag        = time.Second
	defaultRetryPercent     = 10
)

// Settings holds the settings from a gate's INI file.
type Settings struct {
	name             string
	dataCentre       string
	callerAddress    string
	operatorAddress  string
	peerAddress      string
	members          []string
	platform         string
	operatorHashes   []string
	maxBodyBytes     int
	heartbeat        time.Duration
	lameDuck         time.Duration
	stopLimit        time.Duration
	appendGroup      time.Duration
	vmPoll           time.Duration
	reportLag        time.Duration
	answersKeptBytes int
	snapshotEvery    int
	snapshotAge      time.Duration
	retryPercent     int
	certificate      string
	certificateKey   string
	authority        string
}

// NewSettings returns the settings with their defaults.
func NewSettings() *Settings {
	return &Settings{
		maxBodyBytes:     defaultMaxBodyBytes,
		heartbeat:        defaultHeartbeat,
		lameDuck:         defaultLameDuck,
		stopLimit:        defaultStopLimit,
		appendGroup:      defaultAppendGroup,
		vmPoll:           defaultVMPoll,
		reportLag:        defaultReportLag,
		answersKeptBytes: defaultAnswersKeptBytes,
		snapshotEvery:    defaultSnapshotEvery,
		snapshotAge:      defaultSnapshotAge,
		retryPercent:     defaultRetryPercent,
	}
}

// Bind returns the set of all settings, bound to the fields of s.
func (s *Settings) Bind() *config.Set {
	set := &config.Set{}
	set.Name("gate", "name", &s.name, "the gate's name, kept by its replacement")
	set.Name("gate", "data-centre", &s.dataCentre, "the data centre that the gate stands in")
	set.Address("gate", "caller-address", &s.callerAddress, "where callers and the balancer connect")
	set.Address("gate", "operator-address", &s.operatorAddress, "where operators connect")
	set.Address("gate", "peer-address", &s.peerAddress, "where other gates connect")
	set.Duration("gate", "lame-duck", &s.lameDuck, 0, time.Minute, "how long a stopping gate still takes requests after it told the balancer")
	set.Duration("gate", "stop-limit", &s.stopLimit, time.Second, 24*time.Hour, "how long a planned stop waits for running work")
	set.List("peers", "members", &s.members, "every gate as name/data-centre/ip:port of its peer address, this one included")
	set.Duration("peers", "heartbeat", &s.heartbeat, 50*time.Millisecond, 10*time.Second, "time between two heartbeats to a gate")
	set.Address("platform", "address", &s.platform, "the platform's interfaces")
	set.Duration("platform", "vm-poll", &s.vmPoll, 100*time.Millisecond, time.Minute, "longest wait of one call for the VM list")
	set.Duration("platform", "report-lag", &s.reportLag, 0, time.Minute, "how late the workers' reports of running work may be")
	set.Duration("log", "append-group", &s.appendGroup, 0, time.Second, "how long records are gathered for one append")
	set.Int("log", "snapshot-every", &s.snapshotEvery, 10, snapshotEveryLimit, "entries between two snapshots of the state")
	set.Duration("log", "snapshot-age", &s.snapshotAge, time.Second, 24*time.Hour, "longest time between two snapshots; keep it well below the log's retention")
	set.List("operators", "key-hashes", &s.operatorHashes, "hex SHA-256 hashes of the operators' keys")
	set.Int("traffic", "max-body-bytes", &s.maxBodyBytes, 1, maxBodyBytesLimit, "largest request body")
	set.Int("traffic", "retry-percent", &s.retryPercent, 0, 100, "retries as a share of requests")
	set.Int("tickets", "answers-kept-bytes", &s.answersKeptBytes, 0, answersKeptBytesLimit, "memory for answers that repeats may ask for")
	set.Text("tls", "certificate", &s.certificate, "PEM file of this gate's certificate, for operators and peers")
	set.Text("tls", "key", &s.certificateKey, "PEM file of the certificate's key")
	set.Text("tls", "authority", &s.authority, "PEM file of the authority that signs the gates' certificates")
	return set
}

// Load reads and checks the file and returns the declared gates, this one included. If settings can't be read, the error
// lists all of them.
func (s *Settings) Load(path string) ([]peers.Member, error) {
	if err := s.Bind().Load(path); err != nil {
		return nil, err
	}
	return s.check(path)
}

func (s *Settings) check(path string) ([]peers.Member, error) {
	members, err := parseMembers(path, s.members)
	if err != nil {
		return nil, err
	}
	if !s.includesSelf(members) {
		return nil, fmt.Errorf("%s: [peers] members: expected %s/%s/%s among them", path, s.name, s.dataCentre, s.peerAddress)
	}
	if len(s.operatorHashes) == 0 {
		return nil, fmt.Errorf("%s: [operators] key-hashes: missing, expected at least one SHA-256 hash", path)
	}
	for _, h := range s.operatorHashes {
		if len(h) != 64 {
			return nil, fmt.Errorf("%s: [operators] key-hashes: expected 64 hex digits each", path)
		}
	}
	return members, s.checkTLS(path)
}

func (s *Settings) includesSelf(members []peers.Member) bool {
	for _, m := range members {
		if m.Name() == s.name && m.DataCentre() == s.dataCentre && m.Address() == s.peerAddress {
			return true
		}
	}
	return false
}

// checkTLS returns an error for an unencrypted peer or operator listener on an address that other machines
// can reach.
func (s *Settings) checkTLS(path string) error {
	if s.certificate != "" {
		if s.certificateKey == "" || s.authority == "" {
			return fmt.Errorf("%s: [tls] certificate: expected key and authority beside it", path)
		}
		return nil
	}
	for key, address := range map[string]string{"peer-address": s.peerAddress, "operator-address": s.operatorAddress} {
		if ap, err := netip.ParseAddrPort(address); err == nil && !ap.Addr().IsLoopback() {
			return fmt.Errorf("%s: [gate] %s: expected [tls] certificate, key and authority for an address that is not loopback", path, key)
		}
	}
	return nil
}

func parseMembers(path string, items []string) ([]peers.Member, error) {
	var out []peers.Member
	seen := map[string]bool{}
	for _, item := range items {
		parts := strings.Split(item, "/")
		if len(parts) != 3 {
			return nil, fmt.Errorf("%s: [peers] members: %q: expected name/data-centre/ip:port", path, item)
		}
		if _, err := netip.ParseAddrPort(parts[2]); err != nil {
			return nil, fmt.Errorf("%s: [peers] members: %q: expected an IP number and a port after the data centre", path, item)
		}
		if seen[parts[0]] || seen[parts[2]] {
			return nil, fmt.Errorf("%s: [peers] members: %q: name or address given twice", path, item)
		}
		seen[parts[0]], seen[parts[2]] = true, true
		out = append(out, peers.NewMember(parts[0], parts[1], parts[2]))
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: [peers] members: missing, expected every gate as name/data-centre/ip:port", path)
	}
	return out, nil
}
