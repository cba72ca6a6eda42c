package mutants

import (
	"slices"

	h "burlpass/internal/clustertest/history"
	"burlpass/internal/sim"
)

// All are the faults of the cluster that runs must find.
func All() []Mutant { return slices.Concat(ofRecord(), ofVoters(), ofObservers(), ofLimits()) }

func edit(file, old, new string) sim.Edit {
	return sim.Edit{File: "internal/" + file, Old: old, New: new}
}

func mutant(name, about string, finds []h.Promise, edits ...sim.Edit) Mutant {
	return Mutant{Mutant: sim.Mutant{Name: name, About: about, Edits: edits}, Finds: finds}
}

// ofRecord are faults of the state machine that all processes share.
func ofRecord() []Mutant {
	const write = "record/write.go"
	return []Mutant{
		mutant("last-writer-wins", "a write that rests on an old version is taken", []h.Promise{h.Linear},
			edit(write, "newer := m.newerItems(after, w.Base); newer != nil {", "newer := m.newerItems(after, w.Base); newer != nil && w.ID == \"\" {")),
		mutant("applied-partly", "of a write with several changes those without a conflict stand", []h.Promise{h.Kept},
			edit(write, "		i := newer[0]\n", `		for _, c := range changes {
			if !slices.ContainsFunc(newer, func(n Item) bool { return n.Key == c.Key }) {
				m.items.put(c)
			}
		}
		i := newer[0]
`)),
		mutant("removed-comes-back", "a write that has not seen a removal sets the item again", []h.Promise{h.Linear},
			edit(write, "ok && removed.Version > base {", "ok && removed.Version > base && base > m.version {")),
		mutant("ids-not-in-snapshot", "a snapshot has no table of ids", []h.Promise{h.OneResult},
			edit("record/save.go", "s.items.tombstone.Len(), s.results.byVersion.Len()})", "s.items.tombstone.Len(), 0})"),
			edit("record/save.go", "	s.results.byVersion.Ascend(func(r storedResult) bool { return put(r.Result) })\n", ""),
			edit("record/sum.go", "total[i] += s.results.sum[i]", "total[i] += 0")),
		mutant("ids-of-one-leader", "the table of ids is each leader's own", []h.Promise{h.OneResult},
			edit(write, "	if first, ok := m.results.get(w.ID); ok {\n		first.Again = true\n		return first\n	}\n",
				`	if _, ok := m.results.get(w.ID); ok {
		r := m.evaluate(w, values)
		r.ID, r.Version, r.Reason = w.ID, m.version, sanitizeReason(r.Reason)
		return r
	}
`),
			edit("cluster/voter/write.go", "	\"net/http\"\n", "	\"net/http\"\n	\"sync\"\n"),
			edit("cluster/voter/write.go", "	f := run.raft.Apply(raw, within)\n", `	key := ""
	if e, err := record.Decode(raw); err == nil && e.Write != nil {
		key = fmt.Sprint(run.raft.CurrentTerm(), " ", e.Write.ID)
		if r, ok := answered.Load(key); ok {
			return r.(record.Result), nil
		}
	}
	f := run.raft.Apply(raw, within)
`),
			edit("cluster/voter/write.go", "	return a.result, nil\n}\n", "	answered.Store(key, a.result)\n	return a.result, nil\n}\n\nvar answered sync.Map\n")),
		mutant("own-clock", "each process moves the record's time by its own clock", []h.Promise{h.SameHash},
			edit("record/clock.go", "	\"slices\"\n", "	\"slices\"\n	\"time\"\n"),
			edit("record/clock.go", "m.time = median\n", "m.time = time.Now().UnixMilli()\n")),
	}
}
