// Package faults is a rig for fault runs: it starts the built program as many processes on the loopback, puts relays between
// any two of them that delay, hold, throttle, cut or reset what passes in one direction or both, pauses, kills and starts
// processes again, fills an agent's disk, and has stand-in targets that count by themselves what reaches them. What is done
// when is a schedule, which its seed names again. docs/faults.md is its page.
//
// Every process and every relay ends with the test that started it, also where that fails.
package faults
