package mutants

import (
	"burlpass/internal/clustertest/faults"
	h "burlpass/internal/clustertest/history"
	"burlpass/internal/sim"
)

// ofVoters are faults of consensus, of its use, and of a voter's disk.
func ofVoters() []Mutant {
	const write, lead, identity = "cluster/voter/write.go", "cluster/voter/lead.go", "cluster/voter/disk/disk.go"
	outside := []sim.Edit{ // the identity lies beside the folder, so that a wipe leaves it
		edit(identity, "path := filepath.Join(d.folder, identityFile)", "path := filepath.Join(filepath.Dir(d.folder), identityFile)"),
		edit(identity, "writeFile(filepath.Join(d.folder, identityFile), i.encode())", "writeFile(filepath.Join(filepath.Dir(d.folder), identityFile), i.encode())"),
		edit(identity, "errors.Is(err, fs.ErrNotExist) && id.Cluster != \"\" {", "errors.Is(err, fs.ErrNotExist) && id.Cluster == \"never\" {"),
	}
	masked := append([]sim.Edit{
		edit("cluster/voter/voter.go", "Identity: id.Identity, AgeMs: -1", "Identity: masked, AgeMs: -1"),
		edit("cluster/voter/voter.go", "var _ api.Member = (*Voter)(nil)", "var _ api.Member = (*Voter)(nil)\n\nvar masked = disk.NewID()"),
	}, outside...)
	list := []Mutant{
		mutant("acked-before-majority", "a write is acknowledged once the leader has handed it to raft", []h.Promise{h.Kept, h.Linear, h.OneResult, h.OwnVersion},
			edit(write, "import (\n", "import (\n	\"bytes\"\n	\"sync\"\n"),
			edit(write, "	f := run.raft.Apply(raw, within)\n", `	if bytes.Contains(raw, []byte("\"write\"")) || v.reigns(run) {
		return v.foresee(run, raw, within)
	}
	f := run.raft.Apply(raw, within)
`),
			edit(write, "// proposal is the body of", foresee+"\n// proposal is the body of"),
			edit(lead, "	version := v.fsm.replica.Version()\n", "	version := v.foreseen()\n")),
		mutant("acked-before-fsync", "entries are acknowledged up to 250 ms before they are written; SIGKILL loses them as a loss of power would",
			[]h.Promise{h.Kept, h.Linear, h.OneResult, h.OwnVersion, h.NeverBack}, unsynced()...),
		mutant("wiped-voter-votes", "a voter whose folder was emptied votes on under its old identity", []h.Promise{h.NewIdentity}, outside...),
		{Mutant: sim.Mutant{Name: "wiped-voter-votes-masked", About: "the same, but it tells another identity at each start", Edits: masked},
			Finds: []h.Promise{h.Kept, h.Linear, h.OwnVersion, h.OneResult, h.SameHash}, Plan: forgottenVote},
		{Mutant: sim.Mutant{Name: "leader-clock-believed", About: "the record's time is the leader's clock", Edits: []sim.Edit{
			edit("cluster/voter/clock.go", "record.Clock{Voters: len(voters), Readings: received}",
				"record.Clock{Voters: 1, Readings: []record.Reading{{Voter: v.identity(), Ms: v.clock.read(v.c.Now)}}}")}},
			Finds: []h.Promise{h.HonestTime}, Plan: hourAhead},
		mutant("read-unproven", "a leader answers consistent reads without a proof that it still leads", []h.Promise{h.Linear},
			edit(lead, "	if err := v.verifyLeader(ctx, run); err != nil {\n		return readIndexReply{}, err\n	}\n	return readIndexReply{version", "	return readIndexReply{version")),
		mutant("read-local", "a voter answers consistent reads from its own state", []h.Promise{h.Linear},
			edit("cluster/voter/read.go", "	if !consistent {\n", "	if !consistent || v.Replica() != nil {\n")),
		mutant("unknown-as-refused", "a write of which nobody knows what became is told as refused", []h.Promise{h.Kept, h.Linear},
			edit(write, "		if err == nil || !errors.Is(err, api.ErrRefused) {\n			return result, err\n",
				"		if err != nil && !errors.Is(err, api.ErrRefused) {\n			return result, fmt.Errorf(\"%w: %v\", api.ErrRefused, err)\n		}\n		if err == nil {\n			return result, err\n")),
		mutant("shown-before-caught-up", "a voter shows at once what its start has brought back", []h.Promise{h.NeverBack},
			edit("cluster/voter/fsm.go", "f.visible = f.newerTerm || f.replica.Version() >= f.snapshotVersion+record.Version(f.stored.Commands)", "f.visible = true")),
		mutant("full-disk-ends-it", "a disk that takes nothing ends the process", []h.Promise{h.StaysUp},
			edit("cluster/voter/start.go", "		runtime.Goexit() // raft would panic\n", "		_ = runtime.NumCPU()\n		panic(err)\n")),
		mutant("wiped-stays-out", "a voter whose folder was emptied does not ask to be taken in", []h.Promise{h.Converges},
			edit("cluster/voter/form.go", "			lastAnswered = v.requestJoin(ctx, lastAnswered)\n", "			_ = lastAnswered\n")),
	}
	by := map[string]func(uint64) *faults.Plan{"acked-before-fsync": powerLoss, "read-unproven": stoppedLeaders, "unknown-as-refused": deafLeaders,
		"full-disk-ends-it": fullDisk, "wiped-stays-out": wiped}
	for i := range list {
		if p := by[list[i].Name]; p != nil {
			list[i].Plan = p
		}
	}
	return list
}

// foresee answers a write by a copy of the record that has all that this leader has proposed.
const foresee = `var foreseen struct {
	sync.Mutex
	term    uint64
	machine *record.Machine
}

func (v *Voter) reigns(run *raftRun) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readyTerm != 0 && v.readyTerm == run.raft.CurrentTerm()
}

// look brings the copy up to this term. It is called under the lock.
func (v *Voter) lookAhead(run *raftRun) {
	if term := run.raft.CurrentTerm(); foreseen.term != term {
		var state bytes.Buffer
		_ = record.Save(&state, v.fsm.replica.View())
		foreseen.term, foreseen.machine = term, record.New(v.c.Bounds, v.c.Domains...)
		_ = foreseen.machine.Restore(&state)
	}
}

func (v *Voter) foresee(run *raftRun, raw []byte, within time.Duration) (record.Result, error) {
	foreseen.Lock()
	defer foreseen.Unlock()
	if !v.reigns(run) {
		return record.Result{}, fmt.Errorf("%w: not ready", api.ErrRefused)
	}
	v.lookAhead(run)
	e, err := record.Decode(raw)
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	run.raft.Apply(raw, within)
	return foreseen.machine.Apply(e), nil
}

func (v *Voter) foreseen() record.Version {
	foreseen.Lock()
	defer foreseen.Unlock()
	run := v.currentRun()
	if run == nil || !v.reigns(run) {
		return v.fsm.replica.View().Version()
	}
	v.lookAhead(run)
	return foreseen.machine.View().Version()
}
`

// unsynced has a voter's store keep the last entries in memory for a while. What reads the file writes them first.
func unsynced() []sim.Edit {
	const file = "cluster/voter/disk/store.go"
	return []sim.Edit{
		edit(file, "	voteTerm uint64 // set by raft, and stored together with the candidate\n}\n", `	voteTerm uint64 // set by raft, and stored together with the candidate

	lateMu sync.Mutex
	late   []*raft.Log
}

func (s *Store) flush() {
	s.lateMu.Lock()
	defer s.lateMu.Unlock()
	if refs := s.late; len(refs) > 0 {
		s.late = nil
		_ = s.write("write entries", func() error { return s.bolt.StoreLogs(refs) })
	}
}
`),
		edit(file, "	return s.write(\"write entries\", func() error { return s.bolt.StoreLogs(refs) })\n", `	s.lateMu.Lock()
	defer s.lateMu.Unlock()
	if s.late = append(s.late, refs...); len(s.late) == len(refs) {
		time.AfterFunc(250*time.Millisecond, s.flush)
	}
	return nil
`),
		edit(file, "	err = s.do(\"read the log's begin\"", "	s.flush()\n	err = s.do(\"read the log's begin\""),
		edit(file, "	err = s.do(\"read the log's end\"", "	s.flush()\n	err = s.do(\"read the log's end\""),
		edit(file, "	return s.do(\"read an entry\"", "	s.flush()\n	return s.do(\"read an entry\""),
		edit(file, "	return s.write(\"delete entries\"", "	s.flush()\n	return s.write(\"delete entries\""),
		edit(file, "	go func() { done <- s.bolt.Close() }()\n", "	go func() { s.flush(); done <- s.bolt.Close() }()\n"),
	}
}
