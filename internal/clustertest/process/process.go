// Package process starts and ends child processes as an unkind system would. Every child dies with the thread, and so with
// the program, that started it. It is for Linux.
package process

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Options of a child.
type Options struct {
	Path string
	Args []string
	Dir  string
	Env  []string             // added to this program's own
	Line func(line string)    // is given each line of its output, from one goroutine; nil: none is kept
	Gone func(how string)     // is called once it has ended and all its lines were given; nil: nobody is told
	Attr *syscall.SysProcAttr // more of it; nil: none
}

// Process is one child. It is safe for concurrent use.
type Process struct {
	pid  int
	done chan struct{}

	mu     sync.Mutex
	reaped bool
	how    string
}

// ErrGone is a signal or a limit for a child that has ended.
var ErrGone = errors.New("the process has ended")

// Unlimited takes a limit back.
const Unlimited = ^uint64(0)

// Start starts a child. SIGXFSZ is blocked in it, so that a write over its file limit is an error as on a full disk; a Go
// program would end by the signal.
func Start(o Options) (*Process, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Process{done: make(chan struct{})}
	started := make(chan error)
	var lines sync.WaitGroup
	lines.Go(func() { read(r, o.Line) })
	// Pdeathsig goes by the thread that has started the child, and the signal mask is that thread's.
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with this goroutine, and its mask with it
		cmd := exec.Command(o.Path, o.Args...)
		cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = o.Dir, append(os.Environ(), o.Env...), w, w
		if cmd.SysProcAttr = o.Attr; o.Attr == nil {
			cmd.SysProcAttr = &syscall.SysProcAttr{}
		}
		cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
		err := unix.PthreadSigmask(unix.SIG_BLOCK, only(unix.SIGXFSZ), nil)
		if err == nil {
			err = cmd.Start()
		}
		w.Close()
		if err != nil {
			lines.Wait()
			started <- fmt.Errorf("%s: %w", o.Path, err)
			return
		}
		p.pid = cmd.Process.Pid
		started <- nil
		p.wait(cmd)
		lines.Wait()
		if o.Gone != nil {
			o.Gone(p.how)
		}
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// wait reaps the child while nobody sends it anything, so that no signal goes to another process with its number.
func (p *Process) wait(cmd *exec.Cmd) {
	for unix.Waitid(unix.P_PID, p.pid, nil, unix.WEXITED|unix.WNOWAIT, nil) == unix.EINTR {
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = cmd.Wait()
	p.reaped, p.how = true, cmd.ProcessState.String()
}

func only(s syscall.Signal) *unix.Sigset_t {
	var set unix.Sigset_t
	set.Val[0] = 1 << (uint(s) - 1)
	return &set
}

// maxLine bounds a line of a child's output; of a longer one the rest is dropped.
const maxLine = 64 << 10

func read(r *os.File, line func(string)) {
	defer r.Close()
	in := bufio.NewReaderSize(r, maxLine)
	for whole := true; ; {
		text, err := in.ReadSlice('\n')
		if whole && len(text) > 0 && line != nil {
			if text[len(text)-1] == '\n' {
				text = text[:len(text)-1]
			}
			line(string(text))
		}
		whole = !errors.Is(err, bufio.ErrBufferFull)
		if whole && err != nil {
			io.Copy(io.Discard, r)
			return
		}
	}
}

// Done is closed when the child has ended and been reaped.
func (p *Process) Done() <-chan struct{} { return p.done }

// Pid is the child's number.
func (p *Process) Pid() int { return p.pid }

// How tells how the child ended; it is empty while it runs.
func (p *Process) How() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.how
}

// Signal sends a signal; ErrGone where the child has ended.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reaped {
		return ErrGone
	}
	return syscall.Kill(p.pid, s)
}

// Kill ends the child by SIGKILL and returns when it has gone.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// LimitFiles lets the child write no file beyond so many bytes: 0 is a disk that takes nothing more. Its output, a pipe, is no
// file.
func (p *Process) LimitFiles(bytes uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reaped {
		return ErrGone
	}
	return unix.Prlimit(p.pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: Unlimited}, nil)
}
