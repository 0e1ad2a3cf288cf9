package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"spindlehitch/internal/process/config"
)

// loadCertSet reads the certificate, its private key and the CA file.
func loadCertSet(f config.TLS) (*certSet, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("cert, key: %w", err)
	}
	caPEM, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	set := &certSet{cert: pair, roots: x509.NewCertPool()}
	if !set.roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("ca: %s holds no certificate", f.CA)
	}
	return set, nil
}

// Store holds the certificates in use. Its methods are safe for concurrent use, except Reload.
type Store struct {
	files    config.TLS
	rotation atomic.Pointer[rotation]
}

// Load returns a store with the certificates of the files.
func Load(f config.TLS) (*Store, error) {
	k := &Store{files: f}
	k.rotation.Store(&rotation{})
	return k, k.Reload()
}

// Reload reads the files again and rotates to their certificates. On an error the certificates in use stay. It must not be
// called concurrently.
func (k *Store) Reload() error {
	set, err := loadCertSet(k.files)
	if err != nil {
		return err
	}
	next := k.rotation.Load().rotate(set, time.Now(), time.Duration(k.files.OverlapMs)*time.Millisecond)
	k.rotation.Store(&next)
	return nil
}

// Generation is the number of rotations since Load.
func (k *Store) Generation() int { return k.rotation.Load().current.generation }

// ServerConfig is the TLS configuration of a listener: it presents the newest certificate and requires one of the host.
func (k *Store) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.rotation.Load().current.cert, nil },
		VerifyConnection: func(s tls.ConnectionState) error { return k.VerifyClient(s) }}
}

// VerifyClient checks the client certificate of a connection that a listener accepted against the certificates that are accepted now.
func (k *Store) VerifyClient(s tls.ConnectionState) error {
	return k.rotation.Load().verify(s.PeerCertificates, time.Now(), x509.ExtKeyUsageClientAuth, "")
}

// ClientConfig is the TLS configuration of a connection to a target of that name or address. InsecureSkipVerify is set since
// VerifyConnection checks the chain against each accepted set, which the library's own check cannot do.
func (k *Store) ClientConfig(name string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: name, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.rotation.Load().current.cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.rotation.Load().verify(s.PeerCertificates, time.Now(), x509.ExtKeyUsageServerAuth, name)
		}}
}
