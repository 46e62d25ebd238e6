package peers

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/event"
)

// tlsFor returns a gate's configuration with a new self-signed certificate for the IP address, the only one that it trusts.
func tlsFor(t *testing.T, ip string) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func TestCallsOverTLS(t *testing.T) {
	trusted, untrusted, otherAddress := tlsFor(t, "127.0.0.1"), tlsFor(t, "127.0.0.1"), tlsFor(t, "127.0.0.9")
	scenarios := []struct {
		testName       string
		caller, server *tls.Config
		expected       bool
	}{
		{"certificates of the same authority", trusted, trusted, true},
		{"certificates of different authorities", untrusted, trusted, false},
		{"the server's certificate is for another address", otherAddress, otherAddress, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error, 1)
			server := NewNetwork(freeAddress(t), s.server, &event.Clock{})
			server.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return "here", nil })
			go func() { served <- server.Serve(ctx) }()
			defer func() { cancel(); <-served }()
			var answer string
			err := callWhenUp(NewNetwork("", s.caller, &event.Clock{}), server.address, &answer)
			assert.Equal(t, err == nil, s.expected, "%v", err)
			assert.Equal(t, answer == "here", s.expected)
		})
	}
}

// callWhenUp retries the call until the server listens.
func callWhenUp(n *Network, address string, answer *string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for {
		err := n.Call(ctx, address, "echo", struct{}{}, answer)
		if !errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return err
		}
	}
}
