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

// The watermark file has two slots that are written in turn. A failed write leaves the other slot intact, and the version that
// was being written has not been served yet.
const (
	watermarkName   = "shown"
	slotBytes       = 1024
	slotHeaderBytes = 6 // checksum and length
)

// watermark is the newest version that a member has served. It never serves an older one.
type watermark struct {
	identity
	ID      string         `json:"id"`
	Version record.Version `json:"version"`
}

// storage is the part of *os.File that a watermarkFile needs.
type storage interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Name() string
}

// watermarkFile stores the watermark.
type watermarkFile struct {
	file       storage
	current    watermark
	activeSlot int64 // holds current
}

// openWatermark opens the file and creates it if necessary. An unreadable file is logged and overwritten; the version is then
// known from the stored state, if there is one.
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

// load reads the newer of the valid slots, or initializes the file if there is none.
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

// readSlot decodes a slot and reports whether it is valid.
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

// advance stores the version that the member is about to serve. When it returns, the watermark survives a crash of the machine.
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
