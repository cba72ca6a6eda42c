package mutants

import (
	h "burlpass/internal/clustertest/history"
)

// ofObservers are faults of those that follow.
func ofObservers() []Mutant {
	const run, wire, restore = "cluster/observer/run.go", "cluster/api/wire.go", "record/restore.go"
	unchecked := edit(run, "v := trial.View(); v.Version() != b.Version || v.Hash() != b.Hash {", "v := trial.View(); v.Version() != b.Version {")
	half := mutant("half-state", "a whole state whose end did not come is shown", []h.Promise{h.Kept, h.SameHash},
		edit(wire, "			b.SavedState, err = readLine(r, b.SavedState, maxBytes)\n", `			whole := b.SavedState
			if b.SavedState, err = readLine(r, b.SavedState, maxBytes); err != nil && i > 0 {
				b.SavedState = whole
				return b, nil
			}
`),
		edit(restore, "		if err := m.readItem(in); err != nil {\n			return err", "		if err := m.readItem(in); err != nil {\n			return nil"),
		edit(restore, "		if err := m.readTombstone(in); err != nil {\n			return err", "		if err := m.readTombstone(in); err != nil {\n			return nil"),
		edit(restore, "		if err := m.readResult(in); err != nil {\n			return err", "		if err := m.readResult(in); err != nil {\n			return nil"),
		edit(restore, "	if line, err = in.next(); err != nil {\n		return err\n	}\n	var tail trailer", "	if line, err = in.next(); err != nil {\n		return nil\n	}\n	var tail trailer"),
		unchecked)
	half.Plan = cutShort
	const frames = "cluster/frames/frames.go"
	spoilt := edit(frames, "if crc32.Checksum(payload, c.table) != binary.BigEndian.Uint32(c.undecoded[4:]) {", "if crc32.Checksum(payload, c.table) != binary.BigEndian.Uint32(c.undecoded[4:]) && n == 0 {")
	bytes := mutant("frames-unchecked", "what members send each other is taken whatever its checksum", []h.Promise{h.Kept, h.SameHash, h.Converges}, spoilt)
	bytes.Plan = spoiltVoters
	blind := mutant("hash-unchecked", "an observer compares no hash; frames are not checked either, or none would be wrong", []h.Promise{h.Kept, h.SameHash},
		edit("cluster/replica/stage.go", "if after.Version() != version || after.Hash() != hash {", "if after.Version() != version {"),
		edit(run, "if b.Version == current.Version() && b.Hash != current.Hash() {", "if b.Version == current.Version() && b.Hash == \"\" {"),
		edit(restore, "!tail.End || got != tail.Hash {", "!tail.End || got == \"\" {"),
		unchecked, spoilt)
	blind.Plan = spoiltObservers
	floor := mutant("floor-ignored", "an observer forgets at a restart what it has shown", []h.Promise{h.NeverBack},
		edit("cluster/observer/observer.go", "	o.disk, o.watermark, o.clusterID = d, stored.watermark, stored.id\n	if stored.savedState == nil {", "	o.disk, o.clusterID = d, stored.id\n	if stored.savedState = nil; stored.savedState == nil {"))
	floor.Plan = olderSource
	way := mutant("age-ignores-way", "the age of a state leaves out the way that it came", []h.Promise{h.HonestAge},
		edit("cluster/api/follow.go", "	b.AgeMs += max(0, ceilMs(time.Since(sentAt))-b.WaitedMs)\n", "	_ = sentAt\n"))
	way.Plan = longWay
	return []Mutant{half, bytes, blind, floor, way}
}
