package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"burlpass/internal/lab/address"
)

const (
	readyTimeout = 10 * time.Second
	readyPoll    = 10 * time.Millisecond
	quotaPeriod  = 100 * time.Millisecond // in which the process gets its share of a core
	samplePeriod = 20 * time.Millisecond
)

// sidecar is the process under test and its successors after restarts and upgrades.
type sidecar struct {
	program []string
	dir     string
	config  string // path
	addr    string
	limits  Limits
	socket  *os.File // the listening socket that each process inherits

	alive     atomic.Bool // running, or being ended in an orderly way
	accepting atomic.Bool // new connections are owed an answer
	kills     atomic.Int64
	peak      int64 // bytes, of all processes that ran together
	mu        sync.Mutex
	processes []*process
	operator  string // the operators' address of the newest process; guarded by mu
	log       *os.File
}

// process is one process of a sidecar.
type process struct {
	cmd       *exec.Cmd
	done      chan struct{}
	expected  atomic.Bool // the play has ended it
	highWater int64       // guarded by the sidecar's mutex
	ended     bool        // guarded by the sidecar's mutex
}

// newSidecar writes the configuration and opens the clients' socket.
func newSidecar(o Options, w *world) (*sidecar, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	s := &sidecar{program: o.Program, dir: o.Dir, addr: ln.Addr().String(), limits: o.Limits, config: filepath.Join(o.Dir, "config.json")}
	if s.socket, err = ln.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(filepath.Join(o.Dir, "sidecar.log")); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.addr, "discovery": w.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": o.Limits.Cores, "memory_mb": o.Limits.MemoryMB, "sockets": o.Limits.Sockets},
		"known":    list{Generation: 1, Reset: true, Instances: w.instances},
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	return s, os.WriteFile(s.config, text, 0o600)
}

// operatorAddress returns the address at which operators reach the newest process.
func (s *sidecar) operatorAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operator
}

// start starts a process and returns when it answers its health check. The processes of an upgrade have an operators' address each.
func (s *sidecar) start(ctx context.Context) (*process, error) {
	operator, err := address.Reserve()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(s.program[0], s.program[1:]...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+s.addr, "EDGE_CONFIG="+s.config, "EDGE_DISCOVERY="+s.discovery(), "EDGE_OPERATOR="+operator.String(),
		"EDGE_ACCEPT_FD=4", "TMPDIR="+s.dir)
	p.cmd.Stdout, p.cmd.Stderr = s.log, s.log
	p.cmd.ExtraFiles = []*os.File{s.log, s.socket} // descriptors 3 and 4
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		operator.Close()
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		operator.Close()
		close(p.done)
	}()
	descriptors := uint64(s.limits.Sockets)
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		p.end(syscall.SIGKILL)
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.operator = operator.String()
	s.mu.Unlock()
	return p, s.awaitReady(ctx, p)
}

// discovery returns the address that the configuration names.
func (s *sidecar) discovery() string {
	var c struct{ Discovery string }
	text, _ := os.ReadFile(s.config)
	json.Unmarshal(text, &c)
	return c.Discovery
}

func (s *sidecar) awaitReady(ctx context.Context, p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < readyTimeout && ctx.Err() == nil; sleep(ctx, readyPoll) {
		select {
		case <-p.done:
			text, _ := os.ReadFile(s.log.Name())
			return fmt.Errorf("the sidecar ended at its start: %v\n%s", p.cmd.ProcessState, text)
		default:
		}
		if response, err := client.Get("http://" + s.addr + "/_health"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.alive.Store(true)
				s.accepting.Store(true)
				return nil
			}
		}
	}
	return errors.Join(ctx.Err(), errors.New("the sidecar was not ready in time"))
}

// signal sends a signal to a process that has not ended.
func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(sig)
	}
}

// end sends the signal that the process is to end by, and waits until it has ended.
func (p *process) end(sig syscall.Signal) {
	p.expected.Store(true)
	p.signal(sig)
	p.signal(syscall.SIGCONT)
	<-p.done
}

// running returns the processes that have not ended.
func (s *sidecar) running() (running []*process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.ended {
			running = append(running, p)
		}
	}
	return running
}

// monitor holds each process to its share of a core and records the memory of all, until ctx is done.
func (s *sidecar) monitor(ctx context.Context) {
	run := time.Duration(s.limits.grantedCores() * float64(quotaPeriod))
	for ctx.Err() == nil {
		s.sample()
		if run >= quotaPeriod {
			sleep(ctx, samplePeriod)
			continue
		}
		sleep(ctx, run)
		running := s.running()
		for _, p := range running {
			p.signal(syscall.SIGSTOP)
		}
		sleep(ctx, quotaPeriod-run)
		for _, p := range running {
			p.signal(syscall.SIGCONT)
		}
	}
	s.sample()
}

// sample records the high-water marks of the processes. What runs together counts together.
func (s *sidecar) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	together := int64(0)
	for _, p := range s.processes {
		select {
		case <-p.done:
			p.ended = true
			continue
		default:
		}
		if mark, err := highWaterMark(p.cmd.Process.Pid); err == nil {
			p.highWater = max(p.highWater, mark)
		}
		together += p.highWater
	}
	s.peak = max(s.peak, together)
}

// highWaterMark reads the most memory, in bytes, that a process has had resident.
func highWaterMark(pid int) (int64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kilobytes, err := strconv.ParseInt(string(bytes.Fields(value)[0]), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("no VmHWM")
}

// processorWait returns the time for which the threads of a process were ready to run and got no processor.
func processorWait(pid int) (wait time.Duration) {
	paths, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/schedstat")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		fields := bytes.Fields(text)
		if err != nil || len(fields) < 2 {
			continue
		}
		nanoseconds, _ := strconv.ParseInt(string(fields[1]), 10, 64)
		wait += time.Duration(nanoseconds)
	}
	return wait
}

// processorWait returns the processorWait of the processes that run.
func (s *sidecar) processorWait() (wait time.Duration) {
	for _, p := range s.running() {
		wait += processorWait(p.cmd.Process.Pid)
	}
	return wait
}

// unexpectedEnds describes the processes that ended by themselves.
func (s *sidecar) unexpectedEnds() (ends []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.done:
			if !p.expected.Load() {
				ends = append(ends, p.cmd.ProcessState.String())
			}
		default:
		}
	}
	return ends
}

// close ends what still runs.
func (s *sidecar) close() {
	for _, p := range s.running() {
		p.end(syscall.SIGKILL)
	}
	s.socket.Close()
	s.log.Close()
}
