package program

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// isClusterCode reports whether a line of a stack trace belongs to code that [cluster] starts.
func isClusterCode(line string) bool {
	for _, part := range []string{"burlpass/internal/cluster", "burlpass/internal/orders", "burlpass/internal/record", "burlpass/internal/rules",
		"burlpass/internal/enforcement", "burlpass/internal/limits", "burlpass/internal/lease", "github.com/hashicorp/",
		"go.etcd.io/bbolt", "github.com/prometheus/"} {
		if strings.Contains(line, part) {
			return true
		}
	}
	return false
}

// descriptors returns the targets of this process's open file descriptors.
func descriptors(t *testing.T) map[string]bool {
	all, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	targets := map[string]bool{}
	for _, fd := range all {
		if at, err := os.Readlink(fd); err == nil { // the descriptor of the listing itself is closed already
			targets[at] = true
		}
	}
	return targets
}

// clusterAllocations counts the objects allocated so far in cluster code.
func clusterAllocations() (objects int64) {
	runtime.GC() // a profile reflects the second to last collection
	runtime.GC()
	n, _ := runtime.MemProfile(nil, true)
	records := make([]runtime.MemProfileRecord, n+1000)
	n, _ = runtime.MemProfile(records, true)
	for _, r := range records[:n] {
		for frames := runtime.CallersFrames(r.Stack()); ; {
			f, more := frames.Next()
			if isClusterCode(f.Function) {
				objects += r.AllocObjects
				break
			}
			if !more {
				break
			}
		}
	}
	return objects
}

// Without [cluster], the cluster's code has no goroutine, descriptor or allocation. The case with a cluster shows that the same
// checks would find them.
func TestNoClusterResourcesWithoutConfig(t *testing.T) {
	rate := runtime.MemProfileRate
	runtime.MemProfileRate = 1
	defer func() { runtime.MemProfileRate = rate }()
	for name, c := range map[string]struct {
		cluster     *ClusterConfig
		wantCluster bool
	}{"without": {nil, false}, "with": {singleVoterConfig(t), true}} {
		t.Run(name, func(t *testing.T) {
			before, allocated := descriptors(t), clusterAllocations()
			sidecar := newTestSidecar(t, c.cluster)
			var fresh []string
			for to := range descriptors(t) {
				if !before[to] && !strings.Contains(to, "anon_inode") { // the runtime's poller, opened once per process
					fresh = append(fresh, to)
				}
			}
			if more := len(fresh) > 2; more != c.wantCluster { // the listeners for the worker and for clients
				t.Errorf("descriptors: %q", fresh)
			}
			call := sidecar.startCalls()
			for range 200 {
				call()
			}
			stacks := make([]byte, 4<<20)
			found := ""
			for line := range strings.Lines(string(stacks[:runtime.Stack(stacks, true)])) {
				if isClusterCode(line) {
					found = line
				}
			}
			if (found != "") != c.wantCluster {
				t.Errorf("goroutines: %q", found)
			}
			if n := clusterAllocations() - allocated; (n > 0) != c.wantCluster {
				t.Errorf("%d allocations", n)
			}
		})
	}
}
