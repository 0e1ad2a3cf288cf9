package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTestbedIsNotLinked holds that the programs that serve contain nothing of internal/testbed: neither fault injection, the fleet model
// and scale runs, nor the searches of the state machines may reach a production binary through an import.
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
