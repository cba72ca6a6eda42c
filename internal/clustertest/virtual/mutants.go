package virtual

import (
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/mutants"
	"burlpass/internal/sim"
)

// Mutants are faults of leases, and some that only a disk shows which loses what was not synced: SIGKILL leaves the page cache.
func Mutants() []mutants.Mutant {
	one := func(name, about string, finds []history.Promise, file, old, new string) mutants.Mutant {
		return mutants.Mutant{Mutant: sim.Mutant{Name: name, About: about, Edits: []sim.Edit{{File: "internal/cluster/" + file, Old: old, New: new}}}, Finds: finds}
	}
	lost := []history.Promise{history.Converges, history.TakesAgain, history.Kept, history.Linear, history.OneResult, history.OwnVersion, history.NeverBack, history.SameHash}
	lease := func(name, about, file, old, new string) mutants.Mutant {
		return mutants.Mutant{Mutant: sim.Mutant{Name: name, About: about, Edits: []sim.Edit{{File: "internal/lease/" + file, Old: old, New: new}}}, Finds: []history.Promise{Leased}}
	}
	return []mutants.Mutant{
		lease("lease-outlives", "a lease is used after its end", "holder.go", "const length = Length - Length/Drift", "const length = 3 * Length"),
		lease("leases-forgotten", "a new leader counts nothing as out", "book.go", "startedAt: now, limits:", "startedAt: now - time.Hour, limits:"),
		one("log-unsynced", "a voter's log, term and vote are written and not synced", lost,
			"voter/disk/store.go", "raftboltdb.New(raftboltdb.Options{Path: s.path,", "raftboltdb.New(raftboltdb.Options{NoSync: true, Path: s.path,"),
		{Mutant: sim.Mutant{Name: "observer-unsynced", About: "what an observer has shown is written and not synced, in either file", Edits: []sim.Edit{
			{File: "internal/cluster/observer/disk.go", Old: "&bolt.Options{Timeout: lockTimeout,", New: "&bolt.Options{NoSync: true, Timeout: lockTimeout,"},
			{File: "internal/cluster/observer/floor.go", Old: "	if err := w.file.Sync(); err != nil {", New: "	if err := error(nil); err != nil {"},
		}}, Finds: []history.Promise{history.NeverBack}},
	}
}
