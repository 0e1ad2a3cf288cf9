// Package certs holds the certificates for listeners and for connections to targets, and rotates them in service: after a
// rotation the previous ones stay accepted for a limited overlap. TLS 1.3 takes pre-shared keys or certificates; Go's TLS
// library does not accept external pre-shared keys, so both sides use certificates.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// certSet is the content of one set of files.
type certSet struct {
	cert       tls.Certificate
	roots      *x509.CertPool
	generation int
}

// rotation decides which peer certificates are accepted at which time. It does no I/O and reads no clock.
type rotation struct {
	current       *certSet
	previous      *certSet  // nil before the first rotation
	previousUntil time.Time // end of the overlap in which previous is accepted
}

// rotate makes next the current set; the former current set stays accepted for the overlap. An older one is dropped at once:
// with three accepted sets, frequent rotations would prolong the life of a key.
func (r rotation) rotate(next *certSet, at time.Time, overlap time.Duration) rotation {
	if r.current == nil {
		return rotation{current: next}
	}
	next.generation = r.current.generation + 1
	return rotation{current: next, previous: r.current, previousUntil: at.Add(overlap)}
}

// accepted returns the sets whose roots a peer's chain may lead to.
func (r rotation) accepted(at time.Time) []*certSet {
	if r.previous != nil && at.Before(r.previousUntil) {
		return []*certSet{r.current, r.previous}
	}
	return []*certSet{r.current}
}

// ErrPeerRejected marks a peer whose certificate is not accepted.
var ErrPeerRejected = errors.New("peer certificate rejected")

// verify checks a peer's chain at that time, for that use and, unless it is empty, that name.
func (r rotation) verify(chain []*x509.Certificate, at time.Time, use x509.ExtKeyUsage, name string) error {
	if len(chain) == 0 {
		return fmt.Errorf("%w: none was presented", ErrPeerRejected)
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	var err error
	for _, set := range r.accepted(at) {
		if _, err = chain[0].Verify(x509.VerifyOptions{Roots: set.roots, Intermediates: intermediates, CurrentTime: at,
			KeyUsages: []x509.ExtKeyUsage{use}, DNSName: name}); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrPeerRejected, err)
}
