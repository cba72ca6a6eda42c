package program

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"burlpass/internal/maintenance"
	"burlpass/internal/statefile"
)

const (
	followsPerGrace   = 4 // how often within the grace on drains the file is read, so that every process keeps that grace
	minFollowInterval = 10 * time.Millisecond
	maxFollowInterval = 250 * time.Millisecond
)

// errNotSaved refuses an order that could not be persisted for the other processes of the sidecar.
var errNotSaved = errors.New("it could not be kept for the next process")

// sharedOrders holds the orders of operators that are in force at this process. A sidecar has several processes during an
// upgrade, and an order acknowledged by one of them binds all: each changes the same file, and follows the changes of the
// others.
type sharedOrders struct {
	file  *statefile.File          // nil without a state directory: orders then last as long as the process
	apply func(maintenance.Orders) // puts orders into force at this process; called one at a time
	log   *slog.Logger

	mu            sync.Mutex
	inForce       maintenance.Orders
	content       []byte // of the file, as this process last read or wrote it
	loaded        bool   // the file has been read, or there is none
	readFailed    bool   // the last read failed, which has been logged
	restoreFailed bool   // the last attempt to restore the file failed, which has been logged
}

// loadOrders reads the orders that the sidecar's other processes were given. Nothing is in force if there is no file, or if it
// cannot be read or is invalid, which is logged. The caller sets apply.
func (s *Sidecar) loadOrders() *sharedOrders {
	o := &sharedOrders{log: s.log, apply: func(maintenance.Orders) {}}
	if s.config.StateDir == "" {
		o.loaded = true
		return o
	}
	o.file = statefile.New(filepath.Join(s.config.StateDir, "burlpass-"+s.config.Name+".maintenance"))
	o.readAndAdopt()
	return o
}

// current returns a copy of the orders in force.
func (o *sharedOrders) current() maintenance.Orders {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inForce.Clone()
}

// load reports whether this process knows the orders that the sidecar was given before it started. If it does not, it reads
// the file again.
func (o *sharedOrders) load() bool {
	if !o.isLoaded() {
		o.readAndAdopt()
	}
	return o.isLoaded()
}

func (o *sharedOrders) isLoaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

// change makes edit change the orders in force, stores them for the other processes, and then applies them here. If edit
// returns an error, or the orders cannot be stored by the end of ctx, nothing changes and the error is returned: edit's, or
// errNotSaved.
func (o *sharedOrders) change(ctx context.Context, edit func(*maintenance.Orders) error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	err := o.changeLocked(ctx, edit)
	var storeErr *statefile.Error
	if errors.As(err, &storeErr) {
		o.log.Error("maintenance_not_kept", "path", o.file.Path(), "err", err)
		return errNotSaved
	}
	return err
}

func (o *sharedOrders) changeLocked(ctx context.Context, edit func(*maintenance.Orders) error) error {
	var next maintenance.Orders
	editLatest := func(current []byte) ([]byte, error) {
		o.adoptLocked(current)
		next = o.inForce.Clone()
		if err := edit(&next); err != nil {
			return nil, err
		}
		return next.Encode(), nil
	}
	if o.file == nil {
		if _, err := editLatest(nil); err != nil {
			return err
		}
	} else if err := o.file.Update(ctx, editLatest); err != nil {
		return err
	}
	o.content = next.Encode()
	o.inForce = next
	o.apply(next.Clone())
	return nil
}

// adoptLocked puts the orders in the file's content into force if the content has changed. If there is no content, or it is
// invalid, the orders in force stay.
func (o *sharedOrders) adoptLocked(content []byte) {
	if content == nil || o.content != nil && bytes.Equal(content, o.content) {
		return
	}
	o.content = content
	orders, err := maintenance.Decode(content)
	if err != nil {
		o.log.Error("maintenance_ignored", "path", o.file.Path(), "err", err)
		return
	}
	if orders.Equal(&o.inForce) {
		return
	}
	o.inForce = orders
	o.apply(orders.Clone())
	o.log.Info("maintenance", "out", strings.Join(orders.Disabled.WorkerIDs(), ","), "halls", strings.Join(orders.Disabled.Zones(), ","),
		"drained", orders.Drained, "reloads", orders.Reloads)
}

// follow applies the orders given at the sidecar's other processes until ctx is done.
func (o *sharedOrders) follow(ctx context.Context, interval time.Duration) {
	if o.file == nil {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if o.readAndAdopt() {
				o.restore(ctx, interval)
			}
		}
	}
}

// readAndAdopt reads the file and applies what has changed. It reports whether orders are in force whose file is missing.
func (o *sharedOrders) readAndAdopt() (missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, err := o.file.Read()
	if errors.Is(err, os.ErrNotExist) {
		o.loaded = true
		return !o.inForce.IsZero()
	}
	if err != nil {
		if !o.readFailed {
			o.log.Error("maintenance_ignored", "path", o.file.Path(), "err", err)
		}
		o.readFailed = true
		return false
	}
	o.loaded, o.readFailed = true, false
	o.adoptLocked(content)
	return false
}

// restore writes the orders in force to the file that went missing, so that the next process finds them.
func (o *sharedOrders) restore(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	err := o.changeLocked(ctx, func(*maintenance.Orders) error { return nil })
	if err != nil && !o.restoreFailed {
		o.log.Error("maintenance_not_kept", "path", o.file.Path(), "err", err)
	}
	o.restoreFailed = err != nil
}

// followInterval returns how often the file is read, for a deployment in which a worker may still get calls for grace after it
// has begun to drain.
func followInterval(grace time.Duration) time.Duration {
	return min(max(grace/followsPerGrace, minFollowInterval), maxFollowInterval)
}
