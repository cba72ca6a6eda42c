package observer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"burlpass/internal/record"
)

// The floor is a file of two slots, written in turn: what breaks while one is being written leaves the other, and what was
// being written had not been shown.
const (
	watermarkName   = "shown"
	slotBytes       = 1024
	slotHeaderBytes = 6 // checksum and length
)

// shownAt says how far a member was. What is shown is never older.
type watermark struct {
	identity
	ID      string         `json:"id"`
	Version record.Version `json:"version"`
}

// file is what the floor needs of an *os.File.
type storage interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Name() string
}

type watermarkFile struct {
	file       storage
	current    watermark
	activeSlot int64 // that holds now
}

// openFloor reads the file, or makes it. A file that cannot be read is told in the log and begun anew: how far the
// member was is then known from its state, if that is there.
func openWatermark(folder string, owner identity, log *slog.Logger) (*watermarkFile, error) {
	osFile, err := os.OpenFile(filepath.Join(folder, watermarkName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	w := &watermarkFile{file: osFile, current: watermark{identity: owner}}
	if err := w.load(owner, log); err != nil {
		_ = osFile.Close()
		return nil, err
	}
	return w, nil
}

func (w *watermarkFile) load(owner identity, log *slog.Logger) error {
	found, hasData := false, false
	for slot := range int64(2) {
		raw := make([]byte, slotBytes)
		n, err := w.file.ReadAt(raw, slot*slotBytes)
		if err != nil && err != io.EOF {
			return err
		}
		hasData = hasData || n > 0
		if mark, ok := readSlot(raw[:n]); ok && (!found || mark.Version >= w.current.Version) {
			w.current, w.activeSlot, found = mark, slot, true
		}
	}
	if found {
		return owner.check(w.current.identity)
	}
	if hasData {
		log.Error("cluster_disk", "file", w.file.Name(), "error", errDamaged)
	}
	if err := errors.Join(w.advance(w.current), w.advance(w.current)); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(w.file.Name()))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func readSlot(raw []byte) (mark watermark, ok bool) {
	if len(raw) < slotHeaderBytes {
		return mark, false
	}
	length := int(binary.BigEndian.Uint16(raw[4:]))
	if length == 0 || slotHeaderBytes+length > len(raw) || checksum(nil, raw[4:slotHeaderBytes+length]) != binary.BigEndian.Uint32(raw) {
		return mark, false
	}
	return mark, json.Unmarshal(raw[slotHeaderBytes:slotHeaderBytes+length], &mark) == nil
}

// raise writes how far the member is about to be. Once it returns, that outlives the machine.
func (w *watermarkFile) advance(target watermark) error {
	body, err := json.Marshal(target)
	if err != nil {
		return err
	}
	if slotHeaderBytes+len(body) > slotBytes {
		return fmt.Errorf("%s: names of %d bytes together are too long", w.file.Name(), len(body))
	}
	raw := make([]byte, slotBytes)
	binary.BigEndian.PutUint16(raw[4:], uint16(len(body)))
	copy(raw[slotHeaderBytes:], body)
	binary.BigEndian.PutUint32(raw, checksum(nil, raw[4:slotHeaderBytes+len(body)]))
	next := 1 - w.activeSlot
	if _, err := w.file.WriteAt(raw, next*slotBytes); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.current, w.activeSlot = target, next
	return nil
}
