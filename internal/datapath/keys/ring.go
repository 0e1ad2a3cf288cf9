// Package keys keeps the certificates of a front and of its way to targets, and has them changed in service: the ones
// before stay good for a while, and no longer. TLS 1.3 asks for pre-shared keys or certificates; the language's TLS
// library takes no pre-shared keys from outside, so these are certificates, on both sides.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// material is what one set of files held.
type material struct {
	own    tls.Certificate
	trust  *x509.CertPool
	serial int
}

// ring decides whose certificates are good when. Nothing here does I/O or reads a clock.
type ring struct {
	now    *material
	before *material // nil: none
	until  time.Time // before is good until then
}

// change takes new material into use; the one before stays good for the overlap. An older one goes at once: three sets in
// use would let a key live on by changing often.
func (r ring) change(next *material, at time.Time, overlap time.Duration) ring {
	if r.now == nil {
		return ring{now: next}
	}
	next.serial = r.now.serial + 1
	return ring{now: next, before: r.now, until: at.Add(overlap)}
}

// good are the sets that a peer may be vouched for by.
func (r ring) good(at time.Time) []*material {
	if r.before != nil && at.Before(r.until) {
		return []*material{r.now, r.before}
	}
	return []*material{r.now}
}

// ErrRefused marks a peer that is not vouched for.
var ErrPeerRejected = errors.New("the peer's certificate is refused")

// verify tells whether a peer's chain is good at that time, for that use and, unless it is empty, that name.
func (r ring) verify(chain []*x509.Certificate, at time.Time, use x509.ExtKeyUsage, name string) error {
	if len(chain) == 0 {
		return fmt.Errorf("%w: it showed none", ErrPeerRejected)
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	var err error
	for _, m := range r.good(at) {
		if _, err = chain[0].Verify(x509.VerifyOptions{Roots: m.trust, Intermediates: between, CurrentTime: at,
			KeyUsages: []x509.ExtKeyUsage{use}, DNSName: name}); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrPeerRejected, err)
}
