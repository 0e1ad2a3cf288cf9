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

// dup gives a socket's descriptor a copy that is not closed with it, as an inherited one is.
func dup(t *testing.T, s interface{ File() (*os.File, error) }) string {
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

// TestInherited takes over a socket that its first owner has left, and serves who waited there; the descriptor that was
// named is closed. A second process's copy of it goes on when this one's listener is closed.
func TestInherited(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	mine, others := dup(t, first.(*net.TCPListener)), dup(t, first.(*net.TCPListener))
	first.Close()
	for _, number := range []string{mine, others} {
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

// TestNotInherited is about descriptors that cannot be listened at: each is told by the variable's name.
func TestNotInherited(t *testing.T) {
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
	for number, want := range map[string]string{"x": "is not a number", "-1": "is not a number", "60001": "is no socket",
		strconv.Itoa(int(file.Fd())): "is no socket", dup(t, c.(*net.TCPConn)): "does not listen", dup(t, u.(*net.UnixListener)): "not for TCP"} {
		if l, err := FromDescriptor(number); err == nil || !strings.HasPrefix(err.Error(), config.SocketFDEnv+": ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %v; want %q", number, l, err, want)
		}
	}
}
