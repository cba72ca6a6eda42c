package hard

import "burlpass/internal/sim"

// Mutant is a fault put into the program that a case must find.
type Mutant struct {
	sim.Mutant
	Case string // by its name
}

// Mutants lists them all: they show that the cases can fail.
func Mutants() []Mutant {
	one := func(of, name, about, file, old, by string) Mutant {
		return Mutant{sim.Mutant{Name: name, About: about, Edits: []sim.Edit{{File: file, Old: old, New: by}}}, of}
	}
	return []Mutant{
		one("OldDiskComesBack", "says-nothing", "a voter that was replaced does not ask why nobody leads",
			"internal/cluster/voter/voter.go", "\tv.spawn(v.watchIdentity)\n", ""),
		one("OldDiskComesBack", "any-identity", "a voter answers whoever means another identity of its name",
			"internal/cluster/voter/link/link.go", "case h.Get(headerTo) != l.c.Identity:", "case false:"),
		one("ObserverWakesLate", "no-age", "an observer tells the age 0, whatever it is",
			"internal/cluster/observer/observer.go", "return o.state.View(), time.Since(freshAt), nil", "return o.state.View(), time.Since(freshAt) * 0, nil"),
		one("ForeignAnswers", "any-cluster", "an observer takes the state of another cluster",
			"internal/cluster/observer/run.go", `clusterID != "" && clusterID != b.Cluster`, "false"),
		one("BrokenAnswers", "any-hash", "entries count whatever the hash is that they lead to",
			"internal/cluster/replica/stage.go", "|| after.Hash() != hash {", "{"),
		one("SameIDAgain", "ids-forgotten", "a write asked again is applied again",
			"internal/record/write.go", "first, ok := m.results.get(w.ID); ok", "first, ok := m.results.get(w.ID); ok && w.ID == \"\""),
		one("LeadersDiskFull", "disk-faults-ignored", "a voter goes on though its disk has failed",
			"internal/cluster/voter/start.go", "\t\tv.fail(err)\n\t\truntime.Goexit() // raft would panic\n", "\t\t_ = runtime.Goexit\n"),
		one("NewerSnapshot", "any-format", "a saved state of any format is read as one of this program's",
			"internal/record/restore.go", "err := known(line); err != nil", "err := known(line); err != nil && false"),
	}
}
