package run

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// journal is the one merged log of a run: what was done to the processes, what they logged, what clients were answered.
type journal struct {
	began time.Time // all times of a run count from here, by the monotonic clock
	path  string

	mu    sync.Mutex
	lines []string
	lost  int
}

// stampWidth is how long the time at a line's beginning is, in runs below a day.
const stampWidth = 10

// mostLines bounds a journal; what comes after is counted.
const mostLines = 200_000

func newJournal(folder string) *journal {
	return &journal{began: time.Now(), path: filepath.Join(folder, "run.log")}
}

func (j *journal) now() time.Duration { return time.Since(j.began) }

// at is the time of a run that a time of the machine's clock, in microseconds, is.
func (j *journal) at(us int64) time.Duration {
	return j.now() - time.Duration(machineTime()-us)*time.Microsecond
}

// note adds a line of somebody: a member's name, or what the test does.
func (j *journal) note(who, format string, args ...any) {
	line := fmt.Sprintf("%9.3f %-6s %s\n", j.now().Seconds(), who, fmt.Sprintf(format, args...))
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.lines) >= mostLines {
		j.lost++
		return
	}
	j.lines = append(j.lines, line)
}

// write puts the journal into its file.
func (j *journal) write() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, err := os.Create(j.path)
	if err != nil {
		return err
	}
	for _, line := range j.lines {
		if _, err := f.WriteString(line); err != nil {
			f.Close()
			return err
		}
	}
	if j.lost > 0 {
		fmt.Fprintf(f, "%d more lines were not kept\n", j.lost)
	}
	return f.Close()
}

// count is how many lines of somebody hold all the texts.
func (j *journal) count(who string, texts ...string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, line := range j.lines {
		said, ok := strings.CutPrefix(line[min(len(line), stampWidth):], fmt.Sprintf("%-6s ", who))
		if ok && !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(said, t) }) {
			n++
		}
	}
	return n
}
