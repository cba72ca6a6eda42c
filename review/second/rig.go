// Command second plays the cases of the second review: the project's own programs as separate processes on loopback, with
// stand-ins for clients, workers, the registry and the platform. "second NAME FOLDER" plays one case and writes record.txt
// to the folder. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseLimit bounds a whole case.
const caseLimit = 110 * time.Second

// rig is what every case has: a folder of its own, the record, and the processes that it started.
type rig struct {
	ctx     context.Context
	dir     string // temporary
	trouble bool   // the disruption takes place

	start  time.Time
	mu     sync.Mutex
	out    *bufio.Writer
	procs  []*process
	watch  *watcher
	closed bool // no further process may start
}

func newRig(ctx context.Context, folder string) (*rig, func(), error) {
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		return nil, nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, nil, err
	}
	watch, err := startWatcher()
	if err != nil {
		return nil, nil, err
	}
	g := &rig{watch: watch, ctx: ctx, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), out: bufio.NewWriter(file)}
	return g, func() {
		g.mu.Lock()
		g.closed = true
		procs := g.procs
		g.mu.Unlock()
		for _, p := range procs {
			p.kill()
		}
		watch.end()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.out.Flush()
		file.Close()
		os.RemoveAll(dir)
	}, nil
}

// note writes a line of the record, with the time since the start.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	fmt.Fprintf(g.out, "%9.3f %s\n", time.Since(g.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time of the record at a moment.
func (g *rig) at(t time.Time) float64 { return t.Sub(g.start).Seconds() }

// pause waits, and returns an error if the case has run for too long.
func (g *rig) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

// await waits until a condition holds.
func (g *rig) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		if err := g.pause(30 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// process is one of the project's programs.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// run starts a shell command from the root of the repository, as the platform does, and keeps its log in the rig's folder.
func (g *rig) run(name, command string, env []string) (*process, error) {
	log, err := os.Create(filepath.Join(g.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process, also where that is killed
	p, err := g.begin(cmd)
	if err == nil {
		g.note("platform: %s started", name)
	}
	return p, err
}

// begin starts a process unless the case has ended.
func (g *rig) begin(cmd *exec.Cmd) (*process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, make(chan struct{})}
	g.watch.tell(cmd.Process.Pid, true)
	go func() {
		cmd.Wait()
		g.watch.tell(cmd.Process.Pid, false)
		close(p.done)
	}()
	g.procs = append(g.procs, p)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// runLine returns the command by which the platform starts a sidecar.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml: no line run")
}

// freeAddrs returns addresses on loopback that were free a moment ago.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// order gives one line to a sidecar's door for operators and returns its answer.
func (g *rig) order(name, addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(conn)
	answer := strings.TrimSpace(string(b))
	if line != "READY" && line != "STATS" {
		g.note("operator: %s to %s: %q", line, name, answer)
	}
	return answer, err
}

// broken is the error of a case whose rule did not hold.
type broken string

func (b broken) Error() string { return string(b) }

var cases = map[string]func(*rig) error{}

// init keeps main on the first thread: a process that is to end with its parent ends with the thread that started it.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) == 2 && os.Args[1] == "watch" {
		watch(os.Stdin)
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second NAME FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play returns the exit code of a case.
func play(name, folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGQUIT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	g, end, err := newRig(ctx, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var once sync.Once
	defer once.Do(end)
	over := context.AfterFunc(ctx, func() { // cut short
		once.Do(end)
		os.Exit(2)
	})
	err = cases[name](g)
	if !over() {
		select {} // the process is about to exit
	}
	var b broken
	switch {
	case errors.As(err, &b):
		g.note("verdict: broken: %v", err)
		fmt.Println("broken:", err)
		return 1
	case err != nil:
		g.note("verdict: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	g.note("verdict: held")
	fmt.Println("held")
	return 0
}
