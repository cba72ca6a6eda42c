package program

import (
	"bytes"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

const (
	memoryShare      = 0.8      // of the memory limit: a process that passes the limit is killed, and the system counts in pages
	smallMemory      = 38 << 20 // bytes; up to this limit memorySmallShare applies
	smallMemoryShare = 0.95     // below smallMemory there is nothing to spare

	defaultMapped    = 6 << 20 // bytes of the program's file that are resident, where the system does not tell
	laterPages       = 1 << 20 // bytes of files and of the stacks of threads that become resident later
	runtimeBase      = 3 << 20 // bytes that the runtime holds without any peer
	liveShare        = 0.7     // of the runtime's memory that may be live; the rest is garbage not collected yet
	connectionShare  = 0.6     // of the live memory, for connections and their goroutines
	connectionBytes  = 25 << 9 // of one connection, clients' and workers' averaged, with its goroutines and the call's state
	minPeerMemory    = 2 << 20 // bytes for peers with which a deployment can be served
	transferShare    = 0.75    // of the connections, for long messages
	processesUpgrade = 2       // share the limit where a new version starts beside the old one
)

// memoryPlan divides the memory that the platform grants.
type memoryPlan struct {
	allowance   int64 // bytes that this process may have resident
	runtime     int64 // limit of the Go runtime, in bytes
	descriptors int   // connections for which there is memory
	peers       int64 // bytes for the messages of peers
}

// planMemory divides the memory of a process with the given footprint.
func (c *Config) planMemory(f footprint) memoryPlan {
	limit := int64(c.Limits.MemoryMB) << 20
	share := memoryShare
	if limit <= smallMemory {
		share = smallMemoryShare
	}
	p := memoryPlan{allowance: int64(share * float64(limit))}
	if c.Inherit {
		p.allowance /= processesUpgrade
	}
	resident := max(p.allowance-f.mapped-laterPages, runtimeBase+minPeerMemory)
	p.runtime = resident + f.untouched
	live := int64(liveShare * float64(resident-runtimeBase))
	p.descriptors = min(int(connectionShare*float64(live)/connectionBytes), c.Limits.Sockets)
	p.peers = live - int64(p.descriptors)*connectionBytes
	return p
}

// leastMemoryMB returns the memory limit with which the plan has room for minPeerMemory.
func (c *Config) leastMemoryMB(f footprint) int {
	needed := float64(f.mapped + laterPages + runtimeBase + minPeerMemory)
	if c.Inherit {
		needed *= processesUpgrade
	}
	return int(math.Ceil(needed / smallMemoryShare / (1 << 20)))
}

// ApplyLimits sets GOMAXPROCS and the runtime's memory limit from the resources that the platform grants.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(c.planMemory(measureFootprint()).runtime)
}

// footprint is what this process holds before it serves anyone.
type footprint struct {
	mapped    int64 // bytes of its files that are resident
	untouched int64 // bytes that the runtime counts against its limit and that are not resident
}

// measureFootprint reads the process's footprint from the system.
func measureFootprint() footprint {
	text, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 3 {
		return footprint{mapped: defaultMapped}
	}
	resident, shared := parsePages(fields[1]), parsePages(fields[2])
	return footprint{mapped: shared, untouched: max(runtimeBytes()-(resident-shared), 0)}
}

// parsePages converts a number of pages to bytes; anything else counts as 0.
func parsePages(text []byte) int64 {
	pages, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// runtimeBytes returns what the runtime counts against its memory limit.
func runtimeBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// budget returns the budget of the peers' messages.
func (p *memoryPlan) budget() *memory.Budget { return memory.NewBudget(p.peers) }

// splitDescriptors divides the connections for which there are descriptors and memory.
func (p *memoryPlan) splitDescriptors(c *Config) (clients, spare, workers int) {
	operators := operatorSockets(c)
	return transport.SplitDescriptors(min(c.Limits.Sockets, p.descriptors+transport.ReservedDescriptors+operators), operators)
}
