package statefile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// writerEnv makes the test binary append lines to the file that it names; the value is "PREFIX PATH".
const writerEnv = "BURLPASS_TEST_WRITER"

const linesPerWriter = 50

func TestMain(m *testing.M) {
	if prefix, path, isWriter := strings.Cut(os.Getenv(writerEnv), " "); isWriter {
		for i := range linesPerWriter {
			if err := appendLine(New(path), prefix+strconv.Itoa(i)); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
		return
	}
	os.Exit(m.Run())
}

func appendLine(f *File, line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return f.Update(ctx, func(current []byte) ([]byte, error) {
		return append(current, line+"\n"...), nil
	})
}

// Several processes, and several goroutines of one, change the file at once: no change is lost.
func TestConcurrentUpdates(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	var writers []*exec.Cmd
	for _, prefix := range []string{"a", "b", "c"} {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), writerEnv+"="+prefix+" "+path)
		writer.Stderr = os.Stderr
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		writers = append(writers, writer)
	}
	own := make(chan error)
	file := New(path)
	for i := range linesPerWriter {
		go func() { own <- appendLine(file, "own"+strconv.Itoa(i)) }()
	}
	for range linesPerWriter {
		if err := <-own; err != nil {
			t.Error(err)
		}
	}
	for _, writer := range writers {
		if err := writer.Wait(); err != nil {
			t.Error(err)
		}
	}
	content, err := file.Read()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for line := range strings.Lines(string(content)) {
		seen[line] = true
	}
	if want := linesPerWriter * (len(writers) + 1); len(seen) != want {
		t.Errorf("%d of %d changes are in the file", len(seen), want)
	}
}

func TestUpdateErrors(t *testing.T) {
	folder := t.TempDir()
	file := New(filepath.Join(folder, "state"))
	if _, err := file.Read(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Read without a file: %v", err)
	}
	if err := appendLine(file, "one"); err != nil {
		t.Fatal(err)
	}
	refused := errors.New("refused")
	if err := file.Update(t.Context(), func([]byte) ([]byte, error) { return nil, refused }); !errors.Is(err, refused) {
		t.Errorf("a change that fails: %v", err)
	}

	var storeErr *Error
	held := make(chan error)
	go file.Update(t.Context(), func(current []byte) ([]byte, error) { // holds the lock until the test has seen that
		held <- nil
		<-held
		return current, nil
	})
	<-held
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := file.Update(ctx, nil); !errors.As(err, &storeErr) || storeErr.Op != "lock" {
		t.Errorf("an update while the lock is held: %v", err)
	}
	held <- nil

	if content, err := file.Read(); err != nil || string(content) != "one\n" {
		t.Errorf("content %q after updates that failed, %v", content, err)
	}
	if err := os.Rename(folder, folder+".lost"); err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(folder + ".lost")
	if err := appendLine(file, "two"); !errors.As(err, &storeErr) {
		t.Errorf("an update without the folder: %v", err)
	}
}
