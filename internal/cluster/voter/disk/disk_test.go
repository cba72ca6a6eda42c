package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

func open(t *testing.T, folder string) *Disk {
	t.Helper()
	d, err := Open(folder, "plant", "v1", hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func appendEntries(t *testing.T, d *Disk, n uint64) {
	t.Helper()
	for i := uint64(1); i <= n; i++ {
		l := &raft.Log{Index: i, Term: 3, Type: raft.LogCommand, Data: fmt.Appendf(nil, "the entry number %d", i)}
		if err := d.Store.StoreLog(l); err != nil {
			t.Fatal(err)
		}
		if l.Extensions != nil {
			t.Fatal("StoreLog modified the entry, which raft also sends to followers")
		}
	}
}

func TestIdentityPersists(t *testing.T) {
	folder := t.TempDir()
	d := open(t, folder)
	id := d.Identity()
	if !ValidID(id.Identity) || id.Cluster != "" || id.Voted {
		t.Fatalf("%+v", id)
	}
	if state, err := d.HasState(); state || err != nil {
		t.Fatal(state, err)
	}
	if _, err := Open(folder, "plant", "v1", hclog.NewNullLogger()); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatalf("opened twice: %v", err)
	}
	cluster := NewID()
	if err := errors.Join(d.SetCluster(cluster), d.SetVoted(), d.Close()); err != nil {
		t.Fatal(err)
	}
	d = open(t, folder)
	defer d.Close()
	if again := d.Identity(); again.Identity != id.Identity || again.Cluster != cluster || !again.Voted {
		t.Fatalf("%+v after %+v", again, id)
	}
}

func TestOpenRefusesFolder(t *testing.T) {
	newFolder := func(change func(folder string)) string {
		folder := t.TempDir()
		d := open(t, folder)
		if err := errors.Join(d.SetCluster(NewID()), d.Close()); err != nil {
			t.Fatal(err)
		}
		change(folder)
		return folder
	}
	rewrite := func(from, to string) func(string) {
		return func(folder string) {
			path := filepath.Join(folder, identityFile)
			text, _ := os.ReadFile(path)
			if err := os.WriteFile(path, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	remove := func(name string) func(string) {
		return func(folder string) { os.Remove(filepath.Join(folder, name)) }
	}
	foreign := t.TempDir()
	if err := os.WriteFile(filepath.Join(foreign, "photos.tar"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ folder, want string }{
		{filepath.Join(t.TempDir(), "none"), "missing"},
		{filepath.Join(foreign, "photos.tar"), "not a folder"},
		{foreign, "photos.tar: the folder holds a file that is not a voter"},
		{newFolder(rewrite(`"plant"`, `"other"`)), `belongs to cluster "other"`},
		{newFolder(rewrite(`"v1"`, `"v2"`)), `belongs to voter "v2"`},
		{newFolder(rewrite(`"format": 1`, `"format": 2`)), "format 2, but this program reads format 1"},
		{newFolder(rewrite(`"voted"`, `"noted"`)), "not a voter's identity"},
		{newFolder(remove(identityFile)), "a log without an identity"},
		{newFolder(remove(logFile)), "missing beside the identity"},
	} {
		_, err := Open(c.folder, "plant", "v1", hclog.NewNullLogger())
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "/") {
			t.Errorf("got %v, expected %q", err, c.want)
		}
	}
}

// TestVoteIsAtomic sets the term of a vote without its candidate. After a restart the store must still have the previous vote.
func TestVoteIsAtomic(t *testing.T) {
	folder := t.TempDir()
	d := open(t, folder)
	vote := func(term uint64, cand string) {
		if err := errors.Join(d.Store.SetUint64([]byte(keyVoteTerm), term), d.Store.Set([]byte(keyVoteCand), []byte(cand))); err != nil {
			t.Fatal(err)
		}
	}
	vote(4, "a")
	if err := d.Store.SetUint64([]byte(keyVoteTerm), 5); err != nil { // a crash follows, before the candidate is set
		t.Fatal(err)
	}
	d.Close()
	d = open(t, folder)
	defer d.Close()
	term, err := d.Store.GetUint64([]byte(keyVoteTerm))
	cand, err2 := d.Store.Get([]byte(keyVoteCand))
	if err != nil || err2 != nil || term != 4 || string(cand) != "a" {
		t.Fatal(term, string(cand), err, err2)
	}
}

// newFilledFolder makes a folder with 20 entries, a snapshot of the first 10 and a vote.
func newFilledFolder(t *testing.T) (folder string, contents Contents) {
	folder = t.TempDir()
	d := open(t, folder)
	appendEntries(t, d, 20)
	sink, err := d.Snapshots.Create(1, 10, 3, raft.Configuration{}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(sink, "a whole state")
	err = errors.Join(err, sink.Close(), d.Store.SetUint64([]byte(keyTerm), 3), d.Store.SetUint64([]byte(keyVoteTerm), 3),
		d.Store.Set([]byte(keyVoteCand), []byte("a candidate")))
	if err != nil {
		t.Fatal(err)
	}
	if contents, err = d.Check(); err != nil || contents != (Contents{Last: 20, Term: 3, Commands: 10}) {
		t.Fatal(contents, err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return folder, contents
}

// checkDamage opens a folder in which a file was changed. Either the contents are unaffected, or it fails with an ErrDamaged
// that names the folder, and checkDamage returns true.
func checkDamage(t *testing.T, folder, what string, contents Contents) (damaged bool) {
	t.Helper()
	d, err := Open(folder, "plant", "v1", hclog.NewNullLogger())
	if d == nil {
		t.Fatalf("%s: no disk: %v", what, err)
	}
	defer d.Close()
	if err == nil {
		var now Contents
		if now, err = d.Check(); err == nil {
			term, _ := d.Store.GetUint64([]byte(keyVoteTerm))
			cand, _ := d.Store.Get([]byte(keyVoteCand))
			if now != contents || term != 3 || string(cand) != "a candidate" {
				t.Fatalf("%s: damage not detected: %+v after %+v, a vote in %d for %q", what, now, contents, term, cand)
			}
			return false
		}
	}
	if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), folder) || strings.Contains(err.Error(), "\n") {
		t.Fatalf("%s: the error must be an ErrDamaged on one line that names the folder: %v", what, err)
	}
	return true
}

func TestDamageIsDetected(t *testing.T) {
	page := os.Getpagesize()
	flipBit := func(i int) func([]byte) []byte { return func(b []byte) []byte { b[i] ^= 4; return b } }
	for name, c := range map[string]struct {
		file   string
		change func([]byte) []byte
	}{
		"the first meta page":     {logFile, flipBit(metaOffset + 50)},
		"the second meta page":    {logFile, flipBit(page + metaOffset + 50)},
		"the log is cut":          {logFile, func(b []byte) []byte { return b[:3*page] }},
		"pages of zeros":          {logFile, func(b []byte) []byte { clear(b[2*page:]); return b }},
		"a snapshot":              {"state.bin", flipBit(5)},
		"a snapshot is cut":       {"state.bin", func(b []byte) []byte { return b[:5] }},
		"a snapshot's own record": {"meta.json", func(b []byte) []byte { return b[:20] }},
	} {
		t.Run(name, func(t *testing.T) {
			folder, contents := newFilledFolder(t)
			path := filepath.Join(folder, c.file)
			if c.file != logFile {
				files, _ := filepath.Glob(filepath.Join(folder, snapshotsDir, "*", c.file))
				path = files[0]
			}
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, c.change(b), 0o600); err != nil {
				t.Fatal(err)
			}
			if !checkDamage(t, folder, name, contents) {
				t.Fatal("damage not detected")
			}
		})
	}
}

// TestFlippedBits flips a random bit of the log file at a time.
func TestFlippedBits(t *testing.T) {
	folder, contents := newFilledFolder(t)
	path := filepath.Join(folder, logFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	used := whole[:len(bytes.TrimRight(whole, "\x00"))+1]
	const seed, times = 1, 300
	r := rand.New(rand.NewPCG(seed, 0))
	detected := 0
	for i := range times {
		bit := r.IntN(8 * len(used))
		b := bytes.Clone(used)
		b[bit/8] ^= 1 << (bit % 8)
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = f.WriteAt(b, 0); err != nil {
			t.Fatal(err)
		}
		f.Close()
		if checkDamage(t, folder, fmt.Sprintf("flip %d, bit %d of byte %d", i, bit%8, bit/8), contents) {
			detected++
		}
	}
	if detected == 0 {
		t.Fatal("no flip was detected")
	}
	t.Logf("%d of %d flips were detected, the others had no effect", detected, times)
}

func TestFaultIsReported(t *testing.T) {
	d := open(t, t.TempDir())
	defer d.Close()
	appendEntries(t, d, 3)
	var reported error
	d.Store.OnFault(func(err error) { reported = err })
	if err := d.Store.GetLog(9, &raft.Log{}); err != raft.ErrLogNotFound || reported != nil {
		t.Fatalf("an entry after the end: %v, %v", err, reported)
	}
	d.Store.Interpose(func(op string) error { return errors.New("no space left") })
	if err := d.Store.SetUint64([]byte(keyTerm), 9); !errors.Is(err, ErrDamaged) || !errors.Is(reported, ErrDamaged) {
		t.Fatalf("%v, %v", err, reported)
	}
}
