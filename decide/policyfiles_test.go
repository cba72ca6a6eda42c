package decide

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The deployment file must list exactly the files that contain decisions, which are all but api.go, state.go and tests.
// Their lines have a maximum width.
func TestPolicyFilesMatchDeployment(t *testing.T) {
	var deploy struct{ Policy []string }
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err == nil {
		err = toml.Unmarshal(text, &deploy)
	}
	if err != nil || len(deploy.Policy) == 0 {
		t.Fatalf("the deployment file lists %d files: %v", len(deploy.Policy), err)
	}
	files, _ := filepath.Glob("*.go")
	for _, name := range files {
		listed := slices.Contains(deploy.Policy, "decide/"+name)
		if decides := name != "api.go" && name != "state.go" && !strings.HasSuffix(name, "_test.go"); decides != listed {
			t.Errorf("%s contains decisions: %v; listed in the deployment file: %v", name, decides, listed)
		}
	}
	for _, name := range deploy.Policy {
		text, err := os.ReadFile("../" + name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > 110 {
				t.Errorf("%s:%d has %d characters, the limit is 110", name, i+1, width)
			}
		}
	}
}
