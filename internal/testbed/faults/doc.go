// Package faults runs fault-injection tests against the built program. It starts the program as many processes on the
// loopback, puts links between them that delay, hold, throttle, cut or reset traffic in one direction or both, pauses,
// kills and restarts processes, makes an agent's disk appear full, and runs stand-in targets that count the requests
// that reach them. Which fault is injected when comes from a schedule that is reproducible from its seed. See
// docs/faults.md.
//
// Every process and every link ends with the test that started it, even if the test fails.
package faults
