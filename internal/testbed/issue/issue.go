// Package issue creates certificates for tests: a certificate authority and a certificate that is valid for 127.0.0.1.
package issue

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"spindlehitch/internal/process/config"
)

// WriteCertificates writes a new authority, and a certificate of it that is valid for the given time, into the folder.
// It replaces the files that are there.
func WriteCertificates(t testing.TB, dir string, validFor time.Duration) config.TLS {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	newKey := func() *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		must(err)
		return k
	}
	ca, own := newKey(), newKey()
	from := time.Now().Add(-time.Minute)
	authority := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotBefore: from,
		NotAfter: from.Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "test"}, NotBefore: from,
		NotAfter: time.Now().Add(validFor), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	caDER, err := x509.CreateCertificate(rand.Reader, authority, authority, ca.Public(), ca)
	must(err)
	ownDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, own.Public(), ca)
	must(err)
	keyDER, err := x509.MarshalECPrivateKey(own)
	must(err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		must(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return config.TLS{CA: write("ca.pem", "CERTIFICATE", caDER), Cert: write("cert.pem", "CERTIFICATE", ownDER),
		Key: write("key.pem", "EC PRIVATE KEY", keyDER)}
}
