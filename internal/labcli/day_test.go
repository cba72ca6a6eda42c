package labcli

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"burlpass/internal/lab/report"
)

// buildLaboratory builds the laboratory and the sidecar without the race detector, as they are released, and returns the path of
// the laboratory.
func buildLaboratory(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", folder, "burlpass/cmd/burlpass", "burlpass/cmd/burlpass-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return filepath.Join(folder, "burlpass-lab")
}

func readDay(t *testing.T, path string) *report.Day {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	day, err := report.ReadDay(f)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// Plays a whole small day with the released program: no rule is broken, nearly all requests are served, the hung worker is
// detected, and all reports are written. Three days run in parallel on one machine without interfering.
func TestSmallDay(t *testing.T) {
	program := buildLaboratory(t)
	for seed := 1; seed <= 3; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			reportPath, pagePath := filepath.Join(dir, "day.json"), filepath.Join(dir, "day.html")
			var out []byte
			for attempt := range 6 { // a broken rule proves nothing if the laboratory ran late
				var err error
				out, err = exec.Command(program, "run", "../../scenarios/small-day.toml", "--seed", strconv.Itoa(seed),
					"--json", reportPath, "--html", pagePath).CombinedOutput()
				if err == nil || bytes.Contains(out, []byte("VOID")) && !bytes.Contains(out, []byte("BROKEN")) {
					break
				}
				if !bytes.Contains(out, []byte("VOID")) || attempt == 5 {
					t.Fatalf("%v\n%s", err, out)
				}
			}
			day := readDay(t, reportPath)
			r := day.Result.Report
			if r.Calls < 100 || r.Worth < 0.8 || r.G <= 0 || len(r.Violations) > 0 {
				t.Errorf("%d calls, worth %v, figure %v, broken %v", r.Calls, r.Worth, r.G, r.Violations)
			}
			if len(r.Belief.Notice) != 1 || r.Belief.Notice[0].To-r.Belief.Notice[0].From < 2 {
				t.Errorf("failures seen: %+v, one hang of 3 s was played", r.Belief.Notice)
			}
			html, err := os.ReadFile(pagePath)
			if err != nil || !bytes.Contains(html, []byte("<svg")) || bytes.Contains(html, []byte("src=")) || bytes.Contains(html, []byte("href=\"http")) {
				t.Errorf("the page is not one whole file: %v", err)
			}
			if again, err := exec.Command(program, "report", reportPath, reportPath).CombinedOutput(); err != nil || !bytes.Contains(again, []byte("worst class")) {
				t.Errorf("read again: %v\n%s", err, again)
			}
		})
	}
}

// SIGINT leaves no sidecar process behind, and the report of the part that was played is still written.
func TestInterruptStopsSidecars(t *testing.T) {
	program := buildLaboratory(t)
	dir := t.TempDir()
	logs := filepath.Join(dir, "logs")
	reportPath := filepath.Join(dir, "day.json")
	c := exec.Command(program, "run", "../../scenarios/hall-loss.toml", "--json", reportPath, "--logs", logs)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) { // until every sidecar has started
		if ready, _ := filepath.Glob(filepath.Join(logs, "*.log")); len(ready) == 4 {
			break
		}
		if time.Since(started) > 30*time.Second {
			c.Process.Kill()
			t.Fatalf("no sidecar came up\n%s", out.String())
		}
	}
	time.Sleep(time.Second) // play part of the day
	c.Process.Signal(os.Interrupt)
	err := c.Wait()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && strings.Contains(out.String(), "VOID")) {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if day := readDay(t, reportPath); !day.Result.Cut || len(day.Result.Report.Violations) > 0 {
		t.Errorf("cut %v, broken %v", day.Result.Cut, day.Result.Report.Violations)
	}
	configs, _ := filepath.Glob(filepath.Join(logs, "*.json"))
	var config struct{ Listen string }
	text, _ := os.ReadFile(configs[0])
	if json.Unmarshal(text, &config) != nil || config.Listen == "" {
		t.Fatalf("no configuration of a sidecar: %s", text)
	}
	processes, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, p := range processes {
		if env, err := os.ReadFile(p); err == nil && bytes.Contains(env, []byte("EDGE_LISTEN="+config.Listen)) {
			t.Errorf("a sidecar is left: %s", p)
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(p)))
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}
