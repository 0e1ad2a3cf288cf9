package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"spindlehitch/internal/process/config"
)

func read(f config.TLS) (*material, error) {
	own, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("cert, key: %w", err)
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	m := &material{own: own, trust: x509.NewCertPool()}
	if !m.trust.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("ca: %s holds no certificate", f.CA)
	}
	return m, nil
}

// Keys are the certificates in use.
type Store struct {
	files config.TLS
	ring  atomic.Pointer[ring]
}

// Load reads the files.
func Load(f config.TLS) (*Store, error) {
	k := &Store{files: f}
	k.ring.Store(&ring{})
	return k, k.Reload()
}

// Reload reads the files again. Where they cannot be used all stays as it is; only one caller at a time.
func (k *Store) Reload() error {
	m, err := read(k.files)
	if err != nil {
		return err
	}
	next := k.ring.Load().change(m, time.Now(), time.Duration(k.files.OverlapMs)*time.Millisecond)
	k.ring.Store(&next)
	return nil
}

// Serial grows with each change.
func (k *Store) Generation() int { return k.ring.Load().now.serial }

// Server is for a front: it shows the newest certificate and asks for the host's.
func (k *Store) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.ring.Load().now.own, nil },
		VerifyConnection: func(s tls.ConnectionState) error { return k.VerifyClient(s) }}
}

// Good tells whether the peer of a front's connection is still vouched for.
func (k *Store) VerifyClient(s tls.ConnectionState) error {
	return k.ring.Load().verify(s.PeerCertificates, time.Now(), x509.ExtKeyUsageClientAuth, "")
}

// Client is for the way to a target of that name or address. The chain is verified here, against each set that is good,
// which the library's own check could not.
func (k *Store) ClientConfig(name string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: name, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.ring.Load().now.own, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.ring.Load().verify(s.PeerCertificates, time.Now(), x509.ExtKeyUsageServerAuth, name)
		}}
}
