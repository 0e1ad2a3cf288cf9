// Command benchlink connects the scheduler to the test bench: it reads batches of events and writes replies with actions, as JSON lines.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run writes one reply line to out for each batch read from in. It returns nil at the end of in.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	a := newAdapter()
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", n, err)
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			reply, err := a.handle(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", n, err)
			}
			_, _ = w.Write(reply)
			_ = w.WriteByte('\n')
			if err := w.Flush(); err != nil {
				return fmt.Errorf("writing reply %d: %w", n, err)
			}
		}
		if err != nil {
			return nil
		}
	}
}
