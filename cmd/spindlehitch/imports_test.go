package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTestbedIsNotLinked checks that the production programs do not import internal/testbed: fault injection, the fleet model, scale runs
// and the state machines' model checkers must not reach a production binary.
func TestTestbedIsNotLinked(t *testing.T) {
	for _, program := range []string{"spindlehitch/cmd/spindlehitch", "spindlehitch/cmd/benchlink"} {
		t.Run(program, func(t *testing.T) {
			out, err := exec.Command("go", "list", "-deps", program).Output()
			require.NoError(t, err)
			packages := strings.Fields(string(out))
			require.Contains(t, packages, program)
			for _, path := range packages {
				require.NotContains(t, path, "/internal/testbed", "linked into %s", program)
			}
		})
	}
}
