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

// settings is what mango reads from its INI file; flags go before it.
type settings struct {
	gates          []string
	operatorKey    string
	operator       string
	callers        []string
	teamKey        string
	authority      string
	certificate    string
	certificateKey string
}

func (s *settings) bind() *config.Set {
	set := &config.Set{}
	set.List("operator", "gates", &s.gates, "the gates' operator addresses, host:port, tried in turn")
	set.Text("operator", "key-file", &s.operatorKey, "file with the operator's key")
	set.Text("operator", "name", &s.operator, "the name that the history shows, by default the login name")
	set.List("caller", "gates", &s.callers, "the gates' caller addresses or the balancer's, for jobs")
	set.Text("caller", "key-file", &s.teamKey, "file with a team's key, for jobs")
	set.Text("tls", "authority", &s.authority, "PEM file of the authority that signs the gates' certificates; TLS is used if it is set")
	set.Text("tls", "certificate", &s.certificate, "PEM file of the operator's own certificate, if the gates want one")
	set.Text("tls", "key", &s.certificateKey, "PEM file of that certificate's key")
	return set
}

// SettingsReference returns mango's settings as a Markdown table.
func SettingsReference() string { return (&settings{}).bind().Reference() }

func loadSettings(path string) (*settings, error) {
	s := &settings{}
	if path == "" {
		return s, nil
	}
	return s, s.bind().Load(path)
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

func (s *settings) operatorSpec() (gates.Options, error) {
	if len(s.gates) == 0 {
		return gates.Options{}, usagef("no gate named: use --gates or [operator] gates in the settings")
	}
	if s.operatorKey == "" {
		return gates.Options{}, usagef("no operator key named: use --operator-key-file or [operator] key-file in the settings")
	}
	return s.spec(s.gates, s.operatorKey)
}

func (s *settings) callerSpec() (gates.Options, error) {
	if len(s.callers) == 0 {
		return gates.Options{}, usagef("no caller address named: use --callers or [caller] gates in the settings")
	}
	if s.teamKey == "" {
		return gates.Options{}, usagef("no team key named: use --team-key-file or [caller] key-file in the settings")
	}
	key, err := readKey(s.teamKey)
	return gates.Options{Gates: s.callers, Key: key}, err
}

func (s *settings) spec(addresses []string, keyFile string) (gates.Options, error) {
	key, err := readKey(keyFile)
	if err != nil {
		return gates.Options{}, err
	}
	secure, err := s.tls()
	if err != nil {
		return gates.Options{}, err
	}
	for _, address := range addresses {
		if secure == nil && !isLoopback(address) {
			return gates.Options{}, usagef("%s: an operator's key goes only over TLS to an address that is not loopback; set [tls] authority", address)
		}
	}
	return gates.Options{Gates: addresses, Key: key, TLS: secure}, nil
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

func (s *settings) tls() (*tls.Config, error) {
	if s.authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.authority)
	if err != nil {
		return nil, usagef("%s", err)
	}
	cfg := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, usagef("%s: expected a certificate in PEM form", s.authority)
	}
	if s.certificate == "" {
		return cfg, nil
	}
	own, err := tls.LoadX509KeyPair(s.certificate, s.certificateKey)
	if err != nil {
		return nil, usagef("%s: %s", s.certificate, err)
	}
	cfg.Certificates = []tls.Certificate{own}
	return cfg, nil
}
