package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"burlpass/internal/clustertest/history"
)

const (
	hotKeys  = 4 // that all clients write
	callTime = 4 * time.Second
	tries    = 4 // of one write by its client
)

// worker is one client: it writes, reads and asks again, one call after another, at any member.
type worker struct {
	f     *fleet
	n     int
	r     *rand.Rand
	base  uint64 // the newest version that it has seen
	count int
	done  []*history.Write // for asking again
}

// work goes on until ctx ends; a call that is open then is finished.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		switch n := w.r.IntN(100); {
		case n < 45:
			w.write(ctx)
		case n < 75:
			w.read(true)
		case n < 92:
			w.read(false)
		default:
			w.askAgain()
		}
		gap := time.Duration(w.r.ExpFloat64() * float64(w.f.plan.Gap))
		select {
		case <-time.After(min(gap, 10*w.f.plan.Gap)):
		case <-ctx.Done():
		}
	}
}

func (w *worker) anybody() string { return w.f.names[w.r.IntN(len(w.f.names))] }

func (w *worker) read(consistent bool) {
	if r, ok := w.f.read(w.anybody(), consistent); ok {
		w.base = max(w.base, r.Version)
	}
}

// read makes one recorded read.
func (f *fleet) read(member string, consistent bool) (history.Read, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	began := f.log.now()
	r, ok, why := f.client.read(ctx, member, consistent)
	if !ok {
		if consistent {
			f.log.note(member, "> consistent read: %s", why)
		}
		return r, false
	}
	r.Began, r.Ended, r.EndedMs = began, f.log.now(), time.Now().UnixMilli()
	f.seen.read(r)
	if consistent {
		f.log.note(member, "> consistent read: version %d after %v", r.Version, r.Ended-r.Began)
	}
	return r, true
}

// draw makes a write: most set one of a few keys, some two at once, some remove, some end by time, some are old.
func (w *worker) draw() *history.Write {
	w.count++
	id := fmt.Sprintf("c%d-%d", w.n, w.count)
	one := &history.Write{ID: id, Base: w.base}
	key := func(n int) string { return fmt.Sprintf("worker/w%d", n) }
	first := w.r.IntN(hotKeys)
	switch n := w.r.IntN(100); {
	case n < 70:
		one.Changes = []history.Change{{Key: key(first), Value: id}}
	case n < 80:
		one.Changes = []history.Change{{Key: key(first)}}
	case n < 90:
		one.Changes = []history.Change{{Key: key(first), Value: id + "a"}, {Key: key((first + 1) % hotKeys), Value: id + "b"}}
	case w.count%4 == 0: // a few, for they stay in every read until they end
		one.Changes = []history.Change{{Key: "worker/t-" + id, Value: id}}
		one.UntilMs = time.Now().UnixMilli() + 500 + w.r.Int64N(4000)
	default:
		one.Changes = []history.Change{{Key: key(first), Value: id}}
		one.Base = uint64(w.r.Int64N(int64(w.base) + 1))
	}
	return one
}

// write has one write taken: what was refused or unknown is asked again at other members, or given up.
func (w *worker) write(ctx context.Context) {
	one := w.draw()
	w.f.seen.write(one)
	for try := range tries {
		a := w.f.write(w.anybody(), one)
		if !a.Refused && !a.Unknown {
			w.base = max(w.base, a.Version)
			w.done = append(w.done, one)
			return
		}
		if w.r.IntN(5) == 0 || try > 0 && ctx.Err() != nil {
			return // unknown ones are asked again at the end
		}
		time.Sleep(time.Duration(w.r.IntN(200)) * time.Millisecond)
	}
}

// write makes one recorded call with a write.
func (f *fleet) write(member string, one *history.Write) history.Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	began := f.log.now()
	a, why := f.client.write(ctx, member, one)
	a.Began, a.Ended = began, f.log.now()
	f.seen.attempt(one, a)
	switch {
	case a.Refused:
		f.log.note(member, "> write %s refused: %s", one.ID, why)
	case a.Unknown:
		f.log.note(member, "> write %s unknown: %s", one.ID, why)
	default:
		f.log.note(member, "> write %s on %d %v: %s, version %d after %v %s", one.ID, one.Base, one.Changes, a.Outcome, a.Version, a.Ended-a.Began, why)
	}
	return a
}

// askAgain asks for a write that has its result already.
func (w *worker) askAgain() {
	if len(w.done) > 0 {
		w.f.write(w.anybody(), w.done[w.r.IntN(len(w.done))])
	}
}

// sampleGap is between two looks at one member.
const sampleGap = 80 * time.Millisecond

// watch looks at one member's state over and over, one look after another, until ctx ends.
func (f *fleet) watch(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%3 == 0 {
			f.look(name)
		} else {
			f.read(name, false)
		}
		select {
		case <-time.After(sampleGap):
		case <-ctx.Done():
		}
	}
}

// look asks a member for its status.
func (f *fleet) look(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := f.log.now()
	s, err := f.client.status(ctx, name)
	if err != nil {
		return
	}
	if s.Name != name {
		f.breach(history.NewIdentity, "%s answers in the place of %s", s.Name, name)
		return
	}
	f.heard(sample{s, began})
	if s.AgeMs >= 0 && s.Version > 0 {
		f.seen.read(history.Read{Process: name, Began: began, Ended: f.log.now(), EndedMs: time.Now().UnixMilli(), Version: s.Version,
			Hash: s.Hash, AgeMs: s.AgeMs, Bare: true})
	}
}
