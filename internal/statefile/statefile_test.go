package statefile

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func appendLine(f *File, line string) error {
	return f.Update(context.Background(), func(current []byte) ([]byte, error) {
		return append(current, line+"\n"...), nil
	})
}

// Changes made at once are all kept. Each comes from a File of its own, whose lock excludes the others as those of other
// processes do.
func TestConcurrentUpdates(t *testing.T) {
	const changes = 100
	path := filepath.Join(t.TempDir(), "state")
	results := make(chan error)
	for i := range changes {
		go func() { results <- appendLine(New(path), strconv.Itoa(i)) }()
	}
	for range changes {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	content, err := New(path).Read()
	if lines := strings.Fields(string(content)); err != nil || len(lines) != changes {
		t.Errorf("%d of %d changes are in the file, %v", len(lines), changes, err)
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
