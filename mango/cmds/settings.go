package cmds

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"os/user"
	"strings"

	"mangowing/core/config"
	"mangowing/mango/gates"
)

// settings holds the values of mango's INI file; flags override them.
type settings struct {
	gateAddresses   []string
	operatorKeyFile string
	operator        string
	callerAddresses []string
	teamKeyFile     string
	caFile          string
	certFile        string
	certKeyFile     string
}

func (s *settings) fields() *config.Set {
	set := &config.Set{}
	set.List("operator", "gates", &s.gateAddresses, "the gates' operator addresses, host:port, tried in turn")
	set.Text("operator", "key-file", &s.operatorKeyFile, "file with the operator's key")
	set.Text("operator", "name", &s.operator, "the name that the history shows, by default the login name")
	set.List("caller", "gates", &s.callerAddresses, "the gates' caller addresses or the balancer's, for jobs")
	set.Text("caller", "key-file", &s.teamKeyFile, "file with a team's key, for jobs")
	set.Text("tls", "authority", &s.caFile, "PEM file of the authority that signs the gates' certificates; TLS is used if it is set")
	set.Text("tls", "certificate", &s.certFile, "PEM file of the operator's own certificate, if the gates want one")
	set.Text("tls", "key", &s.certKeyFile, "PEM file of that certificate's key")
	return set
}

// SettingsReference returns mango's settings as a Markdown table.
func SettingsReference() string { return (&settings{}).fields().Reference() }

func loadSettings(path string) (*settings, error) {
	s := &settings{}
	if path == "" {
		return s, nil
	}
	return s, s.fields().Load(path)
}

func (s *settings) operatorName() string {
	if s.operator != "" {
		return s.operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func (s *settings) operatorOptions() (gates.Options, error) {
	if len(s.gateAddresses) == 0 {
		return gates.Options{}, usagef("no gate named: use --gates or [operator] gates in the settings")
	}
	if s.operatorKeyFile == "" {
		return gates.Options{}, usagef("no operator key named: use --operator-key-file or [operator] key-file in the settings")
	}
	return s.secureOptions(s.gateAddresses, s.operatorKeyFile)
}

func (s *settings) callerOptions() (gates.Options, error) {
	if len(s.callerAddresses) == 0 {
		return gates.Options{}, usagef("no caller address named: use --callers or [caller] gates in the settings")
	}
	if s.teamKeyFile == "" {
		return gates.Options{}, usagef("no team key named: use --team-key-file or [caller] key-file in the settings")
	}
	key, err := readKey(s.teamKeyFile)
	return gates.Options{Gates: s.callerAddresses, Key: key}, err
}

func (s *settings) secureOptions(addresses []string, keyFile string) (gates.Options, error) {
	key, err := readKey(keyFile)
	if err != nil {
		return gates.Options{}, err
	}
	tlsConfig, err := s.loadTLS()
	if err != nil {
		return gates.Options{}, err
	}
	for _, address := range addresses {
		if tlsConfig == nil && !isLoopback(address) {
			return gates.Options{}, usagef("%s: an operator's key goes only over TLS to an address that is not loopback; set [tls] authority", address)
		}
	}
	return gates.Options{Gates: addresses, Key: key, TLS: tlsConfig}, nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && ip.IsLoopback()
}

func readKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", usagef("%s", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", usagef("%s: expected one line with a key", path)
	}
	return key, nil
}

func (s *settings) loadTLS() (*tls.Config, error) {
	if s.caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.caFile)
	if err != nil {
		return nil, usagef("%s", err)
	}
	cfg := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, usagef("%s: expected a certificate in PEM form", s.caFile)
	}
	if s.certFile == "" {
		return cfg, nil
	}
	cert, err := tls.LoadX509KeyPair(s.certFile, s.certKeyFile)
	if err != nil {
		return nil, usagef("%s: %s", s.certFile, err)
	}
	cfg.Certificates = []tls.Certificate{cert}
	return cfg, nil
}
