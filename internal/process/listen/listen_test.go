package listen

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spindlehitch/internal/process/config"
)

// dupDescriptor duplicates a socket's descriptor, so that it stays open like an inherited one when the socket is closed.
func dupDescriptor(t *testing.T, s interface{ File() (*os.File, error) }) string {
	t.Helper()
	f, err := s.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := unix.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(fd)
}

// TestFromDescriptor accepts connections at a socket that its first owner has closed; the descriptor that was passed is closed.
// A second duplicate, as another process would have, still accepts after the first listener is closed.
func TestFromDescriptor(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	ours, others := dupDescriptor(t, first.(*net.TCPListener)), dupDescriptor(t, first.(*net.TCPListener))
	first.Close()
	for _, number := range []string{ours, others} {
		l, err := FromDescriptor(number)
		if err != nil {
			t.Fatal(err)
		}
		if fd, _ := strconv.Atoi(number); unix.SetNonblock(fd, true) == nil {
			t.Errorf("descriptor %d is still open", fd)
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		l.Close()
	}
}

// TestFromDescriptorErrors passes descriptors that are no TCP listeners: each error names the environment variable.
func TestFromDescriptorErrors(t *testing.T) {
	file, err := os.Create(t.TempDir() + "/file")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	u, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	for number, want := range map[string]string{"x": "is not a descriptor number", "-1": "is not a descriptor number", "60001": "is no socket",
		strconv.Itoa(int(file.Fd())): "is no socket", dupDescriptor(t, c.(*net.TCPConn)): "does not listen", dupDescriptor(t, u.(*net.UnixListener)): "not for TCP"} {
		if l, err := FromDescriptor(number); err == nil || !strings.HasPrefix(err.Error(), config.SocketFDEnv+": ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %v; want %q", number, l, err, want)
		}
	}
}
