package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// The Go runtime asks for the time about 1.4 million times in a simulated day, and each look leaves the guest: three
// quarters of a day's cost. The edits below, applied to the guest's build alone by -overlay, keep the host's clock in
// the guest until it has slept, and count the looks there. They fit Go 1.26; where they do not fit, the guest is built
// without them, slower and as true.
var runtimeEdits = []struct{ file, old, new string }{
	{"os_wasip1.go", "func walltime1() (sec int64, nsec int32) {\n\tvar time timestamp\n\tif clock_time_get(clockRealtime, 0, &time) != 0 {\n\t\tthrow(\"clock_time_get failed\")\n\t}\n",
		"func walltime1() (sec int64, nsec int32) {\n\tsimLook()\n\ttime := timestamp(simWall + simLooked)\n"},
	{"os_wasip1.go", "func nanotime1() int64 {\n\tvar time timestamp\n\tif clock_time_get(clockMonotonic, 0, &time) != 0 {\n\t\tthrow(\"clock_time_get failed\")\n\t}\n\treturn int64(time)\n}\n",
		`func nanotime1() int64 {
	simLook()
	return simMono + simLooked
}

var (
	simFresh                    bool  // the clocks below are the host's of now
	simMono, simWall, simLooked int64 // nanoseconds; the last is what the looks have added since the start
)

//go:nosplit
func simLook() {
	simLooked += 50
	if simFresh {
		return
	}
	simFresh = true
	var time timestamp
	if clock_time_get(clockMonotonic, 0, &time) != 0 {
		throw("clock_time_get failed")
	}
	simMono = int64(time)
	if clock_time_get(clockRealtime, 0, &time) != 0 {
		throw("clock_time_get failed")
	}
	simWall = int64(time)
}
`},
	{"os_wasip1.go", "	if poll_oneoff(&in, &out, 1, &nevents) != 0 {\n", "	simFresh = false\n	if poll_oneoff(&in, &out, 1, &nevents) != 0 {\n"},
	{"netpoll_wasip1.go", "	var nevents size\n	errno := poll_oneoff(&pollsubs[0]", "	var nevents size\n	simFresh = false\n	errno := poll_oneoff(&pollsubs[0]"},
}

// overlayFor writes the overlay of a guest's build into dir: the runtime's edits and a mutant's, where there is one.
func overlayFor(ctx context.Context, dir, mutant string) (string, error) {
	replace := map[string]string{}
	if mutant != "" {
		text, err := os.ReadFile(mutant)
		if err != nil {
			return "", err
		}
		var file struct{ Replace map[string]string }
		if err := json.Unmarshal(text, &file); err != nil {
			return "", fmt.Errorf("%s: %w", mutant, err)
		}
		replace = file.Replace
	}
	root, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	texts := map[string][]byte{}
	fits := true
	for _, e := range runtimeEdits {
		path := filepath.Join(strings.TrimSpace(string(root)), "src", "runtime", e.file)
		text, known := texts[path]
		if !known {
			if text, err = os.ReadFile(path); err != nil {
				return "", err
			}
		}
		fits = fits && bytes.Count(text, []byte(e.old)) == 1
		texts[path] = bytes.Replace(text, []byte(e.old), []byte(e.new), 1)
	}
	for path, text := range texts {
		if !fits {
			break
		}
		to := filepath.Join(dir, "runtime-"+filepath.Base(path))
		if err := os.WriteFile(to, text, 0o600); err != nil {
			return "", err
		}
		replace[path] = to
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	to := filepath.Join(dir, "overlay.json")
	return to, os.WriteFile(to, text, 0o600)
}
