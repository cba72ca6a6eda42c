package decide

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The files that hold decisions, all but the types in api.go and state.go, are those that the deploy file names, and a line
// fits a page.
func TestPolicyFilesMatchDeployment(t *testing.T) {
	var deploy struct{ Policy []string }
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err == nil {
		err = toml.Unmarshal(text, &deploy)
	}
	if err != nil || len(deploy.Policy) == 0 {
		t.Fatalf("the deploy file names %d files: %v", len(deploy.Policy), err)
	}
	files, _ := filepath.Glob("*.go")
	for _, name := range files {
		listed := slices.Contains(deploy.Policy, "decide/"+name)
		if decides := name != "api.go" && name != "state.go" && !strings.HasSuffix(name, "_test.go"); decides != listed {
			t.Errorf("%s holds decisions: %v; the deploy file names it: %v", name, decides, listed)
		}
	}
	for _, name := range deploy.Policy {
		text, err := os.ReadFile("../" + name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > 110 {
				t.Errorf("%s:%d has %d characters, 110 at most", name, i+1, width)
			}
		}
	}
}
