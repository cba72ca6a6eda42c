package observer

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/logging"
	"burlpass/internal/record"
)

func TestRestartNeverGoesBack(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	v.Add(t, 3)
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	c := Config{Sources: []Source{{Name: "a", Addr: addr}}, Folder: t.TempDir()}
	o := openObserver(t, c)
	waitForVersion(t, o, 3)
	last := v.Add(t, 4) // stored as a full state followed by entries
	waitForVersion(t, o, last)
	if _, err := Open(t.Context(), o.config); err == nil || !strings.Contains(err.Error(), c.Folder) || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second observer in the same folder: %v", err)
	}
	if err := o.Close(); err != nil {
		t.Fatal(err)
	}

	// The only source now has an older state of the same cluster.
	older := apitest.NewVoter("a", 0)
	older.Add(t, 2)
	olderAddr, _ := apitest.Serve(t, older.Handler(api.Options{}))
	c.Sources = []Source{{Name: "a", Addr: olderAddr}}
	o = openObserver(t, c)
	view, age, err := o.Read(t.Context(), false)
	if err != nil || view.Version() != last || view.Hash() != v.State.View().Hash() || age < 0 {
		t.Fatalf("after the restart: %v, %v", view, err)
	}
	waitFor(t, "a response", func() bool { return o.Status().State == "following" })
	if o.state.View().Version() != last {
		t.Errorf("went back to version %d", o.state.View().Version())
	}
	if err := o.Close(); err != nil {
		t.Fatal(err)
	}

	c.Name = "another"
	if _, err := Open(t.Context(), o.config.withName(c)); err == nil || !strings.Contains(err.Error(), `belongs to member "o"`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("folder of another member: %v", err)
	}
	o.config.Folder = filepath.Join(c.Folder, databaseName)
	if _, err := Open(t.Context(), o.config); err == nil || !strings.Contains(err.Error(), o.config.Folder) {
		t.Errorf("file in place of a folder: %v", err)
	}
}

// After a restart the wall clock makes the stored state look new; the larger age reported by the source must win.
func TestSourceAgeReplacesWallClockAgeAfterRestart(t *testing.T) {
	folder, v := fillFolder(t)
	v.Age.Store(int64(4 * time.Second))
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	o := openObserver(t, Config{Sources: []Source{{Name: "a", Addr: addr}}, Folder: folder})
	waitFor(t, "a response", func() bool { return o.Status().State == "following" })
	if age := o.Status().AgeMs; age < 4000 {
		t.Errorf("an age of %d ms", age)
	}
}

// withName returns the configuration with the name of another one.
func (c Config) withName(other Config) Config {
	c.Name = other.Name
	return c
}

// fillFolder creates a folder with a full state and entries up to version 8.
func fillFolder(t *testing.T) (folder string, v *apitest.Voter) {
	t.Helper()
	folder, v = t.TempDir(), apitest.NewVoter("a", 0)
	v.Add(t, 5)
	d, _, err := openDisk(folder, identity{"test", "o"}, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.replaceState(v.State.View(), v.Cluster, time.Now()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		since := v.State.View().Version()
		v.Add(t, 1)
		entries, now, _ := v.State.Since(since)
		if err := d.appendBatch(&api.Batch{Entries: entries, Header: api.Header{Format: api.Format, Cluster: v.Cluster, Kind: api.KindEntries, Since: since,
			Version: now.Version(), Hash: now.Hash(), Path: []string{"a"}, Count: 1}}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	return folder, v
}

func TestDamagedFilesAreDetected(t *testing.T) {
	folder, v := fillFolder(t)
	intact := map[string][]byte{}
	for _, name := range []string{databaseName, watermarkName} {
		raw, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		intact[name] = raw
	}
	check := func(what string, name string, raw []byte) {
		t.Helper()
		folder := t.TempDir()
		for other, raw := range intact {
			if err := os.WriteFile(filepath.Join(folder, other), raw, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(filepath.Join(folder, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		d, stored, err := openDisk(folder, identity{"test", "o"}, logging.Discard())
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		defer d.close()
		if stored.watermark != 8 {
			t.Errorf("%s: watermark is %d", what, stored.watermark)
		}
		state := replica.New(record.New(record.Bounds{}, record.Orders()), 0, 0)
		if stored.savedState == nil {
			if _, err := os.Stat(filepath.Join(folder, damagedName)); err != nil {
				t.Errorf("%s: %v", what, err)
			}
		} else if err := stored.restore(state); err != nil || state.View().Hash() != v.State.View().Hash() {
			t.Errorf("%s: restored version %d: %v", what, state.View().Version(), err)
		}
	}
	for name, raw := range intact {
		for at := 0; at < len(raw); at += 256 {
			changed := append([]byte(nil), raw...)
			for i := range changed[at:min(at+16, len(raw))] {
				changed[at+i] ^= 0xa5
			}
			check(name+" changed", name, changed)
		}
		for _, n := range []int{1, 100, len(raw) / 2, len(raw) - 1} {
			check(name+" cut", name, raw[:n])
		}
	}
}

func TestRunningObserverRecreatesDamagedFile(t *testing.T) {
	folder, v := fillFolder(t)
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	o := openObserver(t, Config{Sources: []Source{{Name: "a", Addr: addr}}, Folder: folder})
	waitFor(t, "following", func() bool { return o.Status().State == "following" })
	f, err := os.OpenFile(filepath.Join(folder, databaseName), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	size, _ := f.Seek(0, io.SeekEnd)
	const metas = 2 * 4096
	if _, err := f.WriteAt(bytes.Repeat([]byte{0xa5}, int(size)-metas), metas); err != nil {
		t.Fatal(err)
	}
	f.Close()
	last := v.Add(t, 1)
	waitForVersion(t, o, last)
	if _, err := os.Stat(filepath.Join(folder, damagedName)); err != nil {
		t.Error(err)
	}
	if err := o.Close(); err != nil {
		t.Fatal(err)
	}
	o = openObserver(t, Config{Sources: []Source{{Name: "a", Addr: unreachableAddr}}, Folder: folder})
	if view, _, err := o.Read(t.Context(), false); err != nil || view.Version() != last {
		t.Errorf("after a restart: %v", err)
	}
}

func TestLostStateWaitsForWatermark(t *testing.T) {
	folder, v := fillFolder(t)
	if err := os.Truncate(filepath.Join(folder, databaseName), 5000); err != nil {
		t.Fatal(err)
	}
	older := apitest.NewVoter("a", 0)
	older.Add(t, 7)
	olderAddr, stop := apitest.Serve(t, older.Handler(api.Options{}))
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	var addrInUse atomic.Value
	addrInUse.Store(olderAddr)
	var resolved atomic.Int64
	o := openObserver(t, Config{Sources: []Source{{Name: "a"}}, Folder: folder, Resolve: func(string, string) string {
		resolved.Add(1)
		return addrInUse.Load().(string)
	}})
	waitFor(t, "several attempts", func() bool { return resolved.Load() > 3 })
	if view, _, err := o.Read(t.Context(), false); !errors.Is(err, api.ErrNothing) || o.Replica() != nil {
		t.Errorf("serves version %d after version 8 was served: %v", view.Version(), err)
	}
	addrInUse.Store(addr)
	stop()
	waitForVersion(t, o, 8)
}

// fullDiskFile fails writes as on a full disk while full is set.
type fullDiskFile struct {
	storage
	full atomic.Bool
}

func (f *fullDiskFile) WriteAt(p []byte, at int64) (int, error) {
	if f.full.Load() {
		return 0, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return f.storage.WriteAt(p, at)
}

func TestFullDiskPublishesNothing(t *testing.T) {
	folder, v := fillFolder(t)
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	var addrInUse atomic.Value
	addrInUse.Store(unreachableAddr)
	o := openObserver(t, Config{Sources: []Source{{Name: "a"}}, Folder: folder, Resolve: func(string, string) string { return addrInUse.Load().(string) }})
	f := &fullDiskFile{storage: o.disk.watermark.file}
	o.disk.watermark.file = f
	f.full.Store(true)
	last := v.Add(t, 2)
	addrInUse.Store(addr)
	waitFor(t, "a fault", func() bool { return o.Status().State == "failed" })
	if st := o.Status(); o.state.View().Version() != 8 || !strings.Contains(st.Fault, "no space") || !strings.Contains(st.Fault, folder) {
		t.Errorf("full disk: %+v", st)
	}
	f.full.Store(false)
	waitForVersion(t, o, last)
	waitFor(t, "no fault", func() bool { return o.Status().State == "following" })
}

func TestCompactsEntriesIntoState(t *testing.T) {
	folder, v := fillFolder(t)
	d, k, err := openDisk(folder, identity{"test", "o"}, logging.Discard())
	if err != nil || len(k.batches) != 3 || d.needsCompaction() {
		t.Fatalf("%d batches, %v", len(k.batches), err)
	}
	if d.batches = maxBatches + 1; !d.needsCompaction() {
		t.Error("no compaction beyond maxBatches")
	}
	if err := errors.Join(d.replaceState(v.State.View(), v.Cluster, time.Now()), d.close()); err != nil {
		t.Fatal(err)
	}
	d, k, err = openDisk(folder, identity{"test", "o"}, logging.Discard())
	if err != nil || len(k.batches) != 0 || k.metadata.Version != 8 || d.batches != 0 {
		t.Errorf("%+v, %v", k.metadata, err)
	}
	_ = d.close()
}
