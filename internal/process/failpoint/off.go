//go:build !faults

// Package failpoint lets fault runs stop a process deterministically at a named step. In a program that is built without the
// tag faults it does nothing.
package failpoint

// Hit does nothing.
func Hit(string) {}
