package keys_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/issue"
)

// state is what a front knows of a peer that showed the certificate at that path.
func state(t *testing.T, f config.TLS) tls.ConnectionState {
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

// TestChange follows one peer's certificate through changes: good while its authority is in use, for the overlap after
// that, not past it, and not past a second change.
func TestChange(t *testing.T) {
	dir := t.TempDir()
	f := issue.Into(t, dir, time.Hour)
	f.OverlapMs = 300
	k, err := keys.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	first := state(t, f)
	if err := k.VerifyClient(first); err != nil || k.Generation() != 0 {
		t.Errorf("before a change: %v", err)
	}
	change := func() {
		t.Helper()
		issue.Into(t, dir, time.Hour)
		if err := k.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	change()
	second := state(t, f)
	if err := errors.Join(k.VerifyClient(first), k.VerifyClient(second)); err != nil || k.Generation() != 1 {
		t.Errorf("during the overlap: %v", err)
	}
	time.Sleep(320 * time.Millisecond)
	if k.VerifyClient(first) == nil || k.VerifyClient(second) != nil {
		t.Error("past the overlap: the old one is good, or the new one is not")
	}
	change()
	change()
	if k.VerifyClient(second) == nil {
		t.Error("two changes within an overlap left the oldest good")
	}
	if k.VerifyClient(tls.ConnectionState{}) == nil {
		t.Error("nobody's certificate is good")
	}
	if err := k.VerifyClient(first); !errors.Is(err, keys.ErrPeerRejected) {
		t.Errorf("refused with %v", err)
	}
}

// TestExpiry refuses a certificate past its own time, whatever else holds.
func TestExpiry(t *testing.T) {
	f := issue.Into(t, t.TempDir(), -time.Second)
	k, err := keys.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	if k.VerifyClient(state(t, f)) == nil {
		t.Error("an expired certificate is good")
	}
}

// TestBadFiles names the file that cannot be used, and keeps what there was.
func TestBadFiles(t *testing.T) {
	f := issue.Into(t, t.TempDir(), time.Hour)
	k, err := keys.Load(f)
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
		t.Error("files that cannot be used were taken into use")
	}
}
