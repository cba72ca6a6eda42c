package run

import "burlpass/internal/sim"

// Faulty is the program with clocks and disks that files beside a member's folder make wrong; without the files it is as it is.
// In clock are the milliseconds by which a voter's clock, and the wall clock of an observer, is off; in sync those that a
// voter's log and an observer's state take longer for each commit, before and after what they write.
func Faulty() sim.Mutant {
	const config, store, disk, observer = "internal/cluster/voter/config.go", "internal/cluster/voter/disk/store.go",
		"internal/cluster/observer/disk.go", "internal/cluster/observer/observer.go"
	return sim.Mutant{Name: "faulty", About: "a clock that can be wrong and a disk that can be slow", Edits: []sim.Edit{
		// Every line of a lease is looked at.
		{File: "internal/logging/logging.go", Old: "	LinesPerSecond   = 20 ", New: "	LinesPerSecond   = 5000 "},
		{File: "internal/logging/logging.go", Old: "	LineBurst        = 60 ", New: "	LineBurst        = 5000 "},
		{File: config, Old: "import (\n", New: "import (\n\t\"os\"\n\t\"path/filepath\"\n\t\"strconv\"\n"},
		{File: config, Old: "\t\tc.Now = time.Now\n", New: `		beside := filepath.Join(filepath.Dir(c.Folder), "clock")
		c.Now = func() time.Time {
			text, _ := os.ReadFile(beside)
			ms, _ := strconv.ParseInt(string(text), 10, 64)
			return time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
`},
		{File: store, Old: "import (\n", New: "import (\n\t\"os\"\n\t\"path/filepath\"\n\t\"strconv\"\n"},
		{File: store, Old: "	return s.do(op, f)\n}\n\n// CurrentWriteTime", New: `	return s.do(op, func() error {
		s.late()
		defer s.late()
		return f()
	})
}

// late is half of what a commit of a slow disk takes longer.
func (s *Store) late() {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(filepath.Dir(s.path)), "sync"))
	ms, _ := strconv.ParseInt(string(text), 10, 64)
	time.Sleep(time.Duration(ms) * time.Millisecond / 2)
}

// CurrentWriteTime`},
		{File: disk, Old: "import (\n", New: "import (\n\t\"strconv\"\n"},
		{File: disk, Old: "func (d *disk) update(f func(*bolt.Tx) error) error { return d.db.Update(f) }\n", New: `func (d *disk) update(f func(*bolt.Tx) error) error {
	late := time.Duration(beside(d.folder, "sync")) * time.Millisecond / 2
	time.Sleep(late)
	defer time.Sleep(late)
	return d.db.Update(f)
}

// beside is a number in a file beside the folder.
func beside(folder, name string) int64 {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(folder), name))
	n, _ := strconv.ParseInt(string(text), 10, 64)
	return n
}
`},
		{File: disk, Old: "b.Version, b.Hash, freshAt.UnixMilli()}", New: "b.Version, b.Hash, freshAt.UnixMilli() + beside(d.folder, \"clock\")}"},
		{File: disk, Old: "v.Version(), v.Hash(), freshAt.UnixMilli()}", New: "v.Version(), v.Hash(), freshAt.UnixMilli() + beside(d.folder, \"clock\")}"},
		{File: observer, Old: "time.Since(stored.freshAt)", New: "time.Since(stored.freshAt)+time.Duration(beside(o.config.Folder, \"clock\"))*time.Millisecond"},
	}}
}
