//go:build !faults

// Package failpoint lets fault runs stop a process at a named step, aimed and not left to luck. A program that is built without the tag
// faults has none of it.
package failpoint

// Hit does nothing.
func Hit(string) {}
