package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
)

// A case that is killed cannot end its processes, and a sidecar that goes over into another program of its folder loses the
// signal that it would get at its parent's death. So a second process is told each id, and ends what is left when this one goes.

// watcher is that second process.
type watcher struct {
	cmd   *exec.Cmd
	input io.WriteCloser
}

func startWatcher() (*watcher, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &watcher{cmd: exec.Command(self, "watch")}
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if w.input, err = w.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	return w, w.cmd.Start()
}

// tell names a process that has started, or has ended.
func (w *watcher) tell(id int, running bool) { fmt.Fprintf(w.input, "%d %t\n", id, running) }

// end lets the watcher go.
func (w *watcher) end() {
	w.input.Close()
	w.cmd.Wait()
}

// watch ends the processes that run when the input ends.
func watch(input io.Reader) {
	running := map[int]bool{}
	for lines := bufio.NewScanner(input); lines.Scan(); {
		var id int
		var state string
		if _, err := fmt.Sscan(lines.Text(), &id, &state); err == nil {
			running[id], _ = strconv.ParseBool(state)
		}
	}
	for id, runs := range running {
		if runs {
			syscall.Kill(id, syscall.SIGKILL)
		}
	}
}
