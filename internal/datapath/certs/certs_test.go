package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/issue"
)

// peerState is the state of a connection whose peer presented the certificate of these files.
func peerState(t *testing.T, f config.TLS) tls.ConnectionState {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}
}

// TestRotation checks one peer's certificate across rotations: accepted while its authority is current and during the
// overlap after that, rejected after the overlap and after a second rotation.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	f := issue.WriteCertificates(t, dir, time.Hour)
	f.OverlapMs = 300
	k, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	firstPeer := peerState(t, f)
	if err := k.VerifyClient(firstPeer); err != nil || k.Generation() != 0 {
		t.Errorf("before a rotation: %v", err)
	}
	rotate := func() {
		t.Helper()
		issue.WriteCertificates(t, dir, time.Hour)
		if err := k.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	rotate()
	secondPeer := peerState(t, f)
	if err := errors.Join(k.VerifyClient(firstPeer), k.VerifyClient(secondPeer)); err != nil || k.Generation() != 1 {
		t.Errorf("during the overlap: %v", err)
	}
	time.Sleep(320 * time.Millisecond)
	if k.VerifyClient(firstPeer) == nil || k.VerifyClient(secondPeer) != nil {
		t.Error("after the overlap: the old certificate is accepted, or the new one is rejected")
	}
	rotate()
	rotate()
	if k.VerifyClient(secondPeer) == nil {
		t.Error("the oldest certificate is accepted after two rotations within one overlap")
	}
	if k.VerifyClient(tls.ConnectionState{}) == nil {
		t.Error("a peer without a certificate is accepted")
	}
	if err := k.VerifyClient(firstPeer); !errors.Is(err, certs.ErrPeerRejected) {
		t.Errorf("rejected with %v, want ErrPeerRejected", err)
	}
}

// TestExpiredCertificateIsRejected checks that an expired certificate is rejected although its authority is current.
func TestExpiredCertificateIsRejected(t *testing.T) {
	f := issue.WriteCertificates(t, t.TempDir(), -time.Second)
	k, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	if k.VerifyClient(peerState(t, f)) == nil {
		t.Error("an expired certificate is accepted")
	}
}

// TestInvalidFilesKeepTheCurrentCertificates checks that a failed reload names the invalid file and changes nothing.
func TestInvalidFilesKeepTheCurrentCertificates(t *testing.T) {
	f := issue.WriteCertificates(t, t.TempDir(), time.Hour)
	k, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ path, want string }{{f.CA, "ca:"}, {f.Key, "key"}} {
		if err := os.WriteFile(c.path, []byte("half a fi"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := k.Reload(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.path, err)
		}
	}
	if k.Generation() != 0 {
		t.Error("invalid files changed the certificates in use")
	}
}
