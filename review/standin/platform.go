package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// acceptFD is the descriptor under which a sidecar inherits the clients' socket, where the platform holds that.
const acceptFD = 4

// sidecar is one process of the program, started as the deploy file says.
type sidecar struct {
	run      *run
	name     string
	operator string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// runCommand reads the command of a sidecar from the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml names no run")
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// holdSocket opens the clients' socket as the platform holds it on days with an upgrade.
func holdSocket() (held *os.File, addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	defer ln.Close()
	held, err = ln.(*net.TCPListener).File()
	return held, ln.Addr().String(), err
}

// settings are those of a small deployment: four halls, three classes, a list that is asked for.
func settings(sidecars int) map[string]any {
	class := func(name, repeat, group string, aim, deadline, window int, worth, late float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "group": group, "aim_us": aim, "deadline_us": deadline,
			"dedup_window_us": window, "importance": worth, "late_worth": late, "stream": false}
	}
	return map[string]any{
		"balancers": sidecars, "ordinal": 0, "period_us": 5000, "zone": 0, "stage": 0,
		"zones":         []string{"hall-a", "hall-b", "hall-c", "hall-d"},
		"machine_types": []string{"new", "standard", "old"}, "tiers": []string{"rental-api"},
		"discovery": "subscribe", "weights": "rough", "worth_by": "request", "workload": "mesh",
		"clients": map[string]any{"marks_retry": false},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout_us": 250000, "idle_close_us": 5000000,
			"max_attempts": 3, "max_retry_after_us": 1500000, "may_duplicate": false, "may_tell": false, "open_cap": 24693,
			"probing": true, "retry_after": true, "streams_per_conn": 1},
		"prices": map[string]any{"cross_zone": 0.06, "late_fail": 0.055, "probe": 0.0081, "waste": 0.02},
		"report": map[string]any{"columns": []string{"util", "eps", "queue"}, "via": "pull"},
		"safety": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 750000,
			"fall_multiple": 2.5, "start_capacity": 0.14, "tip_after_us": 1000000, "warm_after_us": 24000000},
		"classes": []any{
			class("availability", "safe", "all", 600000, 3000000, 5000000, 1, 0.2),
			class("booking", "unsafe", "all", 1000000, 3000000, 5000000, 5, 0.3),
			class("paid-extra", "keyed", "zone", 1000000, 2500000, 12000000, 10, 0.25),
		},
	}
}

// place is where a sidecar is started: its addresses and, where the platform holds it, the clients' socket.
type place struct {
	listen, operator string
	held             *os.File
}

// startSidecar starts the program with the deploy file's command. label tells two processes of one sidecar apart in the
// record.
func (r *run) startSidecar(label string, at place, reg *registry) (*sidecar, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(r.temp, "config-"+label+".json")
	text, err := json.MarshalIndent(map[string]any{"name": "n1", "listen": at.listen, "discovery": reg.addr,
		"operator": at.operator, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  reg.whole(), "settings": settings(1)}, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	state := filepath.Join(r.temp, "tmp") // common to all processes of the sidecar, and kept
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.temp, "log-"+label))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s := &sidecar{run: r, name: label, operator: at.operator, cmd: exec.Command("/bin/sh", "-c", command), ended: make(chan struct{})}
	s.cmd.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+at.listen, "EDGE_DISCOVERY="+reg.addr, "EDGE_CONFIG="+config,
		"TMPDIR="+state)
	if at.operator != "" {
		s.cmd.Env = append(s.cmd.Env, "EDGE_OPERATOR="+at.operator)
	}
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if at.held != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		s.cmd.ExtraFiles = []*os.File{null, at.held} // descriptors 3 and 4
		s.cmd.Env = append(s.cmd.Env, fmt.Sprintf("EDGE_ACCEPT_FD=%d", acceptFD))
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program, however that ends
	if err := onStarter(s.cmd.Start); err != nil {
		return nil, err
	}
	r.note(label, "started, pid %d", s.cmd.Process.Pid)
	r.mu.Lock()
	r.started = append(r.started, s)
	r.mu.Unlock()
	go func() {
		err := s.cmd.Wait()
		r.note(label, "ended: %v", err)
		close(s.ended)
	}()
	return s, nil
}

// starter is where all processes are started from: they get their death signal when the thread ends that has started them, so
// that thread lives as long as the program.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// onStarter calls start on the thread of starter.
func onStarter(start func() error) error {
	done := make(chan error)
	starter() <- func() { done <- start() }
	return <-done
}

// signal sends a signal to the process.
func (s *sidecar) signal(sig syscall.Signal) {
	s.run.note(s.name, "signal %v", sig)
	s.cmd.Process.Signal(sig)
}

// stop ends the process as a planned restart does: SIGTERM, and SIGKILL 3.7 s later.
func (s *sidecar) stop() {
	select {
	case <-s.ended:
		return
	default:
	}
	s.signal(syscall.SIGTERM)
	select {
	case <-s.ended:
	case <-time.After(3700 * time.Millisecond):
		s.signal(syscall.SIGKILL)
		<-s.ended
	}
}

// log returns what the process has written.
func (s *sidecar) log() string {
	b, _ := os.ReadFile(filepath.Join(s.run.temp, "log-"+s.name))
	return string(b)
}

// awaitHealthy waits until GET /_health at the clients' address answers 200.
func (s *sidecar) awaitHealthy(listen string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if healthy(listen) {
			s.run.note(s.name, "healthy")
			return nil
		}
	}
	return fmt.Errorf("%s is not healthy after 10 s: %s", s.name, s.log())
}

func healthy(listen string) bool {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == 200
}

// order sends one line to the operators' door and returns the answer.
func (s *sidecar) order(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", s.operator, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	answer, err := io.ReadAll(conn)
	text := strings.TrimSpace(string(answer))
	s.run.note("operator", "%s to %s: %s", line, s.name, text)
	return text, err
}
