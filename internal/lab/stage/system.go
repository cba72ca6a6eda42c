//go:build !wasip1

package stage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System is loopback and child processes: the stage in real time.
type System struct {
	Command []string // one sidecar; it gets the EDGE_ variables
	Dir     string   // for configurations and logs
	Sockets int      // descriptors that one sidecar may hold
}

// Claim takes a free block of loopback addresses, 127.block.0.0/16, which is the run's until the function returned is
// called, and lets this process hold as many descriptors as the system allows.
func (*System) Claim() (block int, release func(), err error) {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		l.Cur = l.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	}
	for range 200 {
		block := 16 + rand.IntN(200)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, guardPort))
		if err == nil {
			return block, func() { ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("no free block of loopback addresses")
}

// Listen listens on a TCP address.
func (*System) Listen(addr string) (Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &tcpListener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Dial connects over TCP.
func (*System) Dial(addr string, timeout time.Duration) (Conn, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return tcpConn{c.(*net.TCPConn)}, nil
}

type tcpListener struct {
	*net.TCPListener
	mu      sync.Mutex
	fillers []net.Conn // connections that fill the backlog of a muted listener
}

// Close ends listening and closes the listener. Closing alone would not free the address: a child process that is forked but
// not yet executed holds a copy of every descriptor, so the socket would listen until the child has closed its copy.
func (l *tcpListener) Close() error {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	return l.TCPListener.Close()
}

func (l *tcpListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return tcpConn{c}, nil
}

// Mute shrinks the backlog to one and fills it: the system then drops further connects, as with a machine that is
// cut off.
func (l *tcpListener) Mute(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		for _, c := range l.fillers {
			tcpConn{c.(*net.TCPConn)}.Reset()
		}
		l.fillers = nil
		l.backlog(1024)
		return
	}
	l.backlog(0)
	l.SetDeadline(time.Now()) // whoever accepts has to wait
	for range 2 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		l.fillers = append(l.fillers, c)
	}
}

// backlog sets how many connections the system completes ahead of their being accepted.
func (l *tcpListener) backlog(n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

type tcpConn struct{ *net.TCPConn }

// SinceData returns for how long the last byte that came has been here, read or not.
func (c tcpConn) SinceData() (since time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

func (c tcpConn) Reset() {
	c.SetLinger(0)
	c.Close()
}

// Unread is unknown: the system only tells what has arrived.
func (c tcpConn) Unread() int { return -1 }

func (c tcpConn) Quiet() bool    { return errors.Is(c.peek(), syscall.EAGAIN) }
func (c tcpConn) Readable() bool { return c.peek() == nil }

// peek returns nil where there are bytes to read, EAGAIN where there is nothing yet.
func (c tcpConn) peek() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if state = e; e == nil && n == 0 {
			state = net.ErrClosed
		}
	})
	return errors.Join(err, state)
}

// child is a sidecar as a child process.
type child struct {
	cmd         *exec.Cmd
	done        chan struct{}
	config, log string
}

// Start starts a child process with its configuration and log in the folder.
func (s *System) Start(n int, p Place, config []byte) (Sidecar, error) {
	c := &child{done: make(chan struct{}), config: filepath.Join(s.Dir, p.Name+".json"), log: filepath.Join(s.Dir, p.Name+".log")}
	if err := c.Rewrite(config); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(s.Command[0], s.Command[1:]...)
	c.cmd.Env = append(os.Environ(), "EDGE_NAME="+p.Name, "EDGE_LISTEN="+p.Listen, "EDGE_DISCOVERY="+p.Registry, "EDGE_CONFIG="+c.config)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	// A group of its own keeps a Ctrl-C of the terminal from it; it ends with the laboratory all the same.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		c.cmd.Wait()
		close(c.done)
	}()
	limit := uint64(s.Sockets)
	if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil); err != nil {
		c.cmd.Process.Kill()
		return nil, fmt.Errorf("limit of descriptors: %w", err)
	}
	return c, nil
}

func (c *child) Signal(sig syscall.Signal)   { c.cmd.Process.Signal(sig) }
func (c *child) Rewrite(config []byte) error { return os.WriteFile(c.config, config, 0o600) }
func (c *child) Done() <-chan struct{}       { return c.done }

func (c *child) Exit() (int, string) {
	return c.cmd.ProcessState.ExitCode(), c.cmd.ProcessState.String() + ", see " + c.log
}

func (c *child) Used() (memory int64, sockets int, ok bool) {
	dir := "/proc/" + strconv.Itoa(c.cmd.Process.Pid)
	text, err := os.ReadFile(dir + "/statm")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0, 0, false
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	files, _ := os.ReadDir(dir + "/fd")
	return pages * int64(os.Getpagesize()), len(files), true
}

func (c *child) Log() string {
	b, _ := os.ReadFile(c.log)
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
