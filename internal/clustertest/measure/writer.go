package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"burlpass/internal/record"
)

// Of a writer.
const (
	keys    = 200              // that it writes by turns, so that the record stays small
	attempt = time.Second      // for one member to answer
	giveUp  = 20 * time.Second // for one write
)

// written is one write as its client saw it. Times are of the clock that only runs on, in ns; 0: not yet.
type written struct {
	Key     int            `json:"key"`
	Version record.Version `json:"version"`
	Began   int64          `json:"began"`
	Acked   int64          `json:"acked"`
	Tries   int            `json:"tries"`
}

// writer begins writes at an even pace, each at the next member by turns. One that is not answered, refused or unknown is
// asked again at the member after, under the same id. It begins none to a key whose last write is still open.
type writer struct {
	members []*member
	pace    time.Duration

	mu     sync.Mutex
	base   record.Version
	open   [keys]bool
	all    []written
	lost   []string      // writes without a result, or with another than applied
	held   int           // writes that were not begun: their key's last one was open
	change chan struct{} // closed at the next acknowledgement
}

func newWriter(members []*member, aSecond int) *writer {
	return &writer{members: members, pace: time.Second / time.Duration(aSecond), change: make(chan struct{})}
}

// run writes until ctx ends, and returns when all that was begun has ended.
func (w *writer) run(ctx context.Context) {
	tick := time.NewTicker(w.pace)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		key, base := n%keys, w.base
		busy := w.open[key]
		if w.open[key] = true; busy {
			w.held++
		}
		w.mu.Unlock()
		if !busy {
			open.Go(func() { w.write(n, key, base) })
		}
	}
}

func (w *writer) write(n, key int, base record.Version) {
	value, _ := json.Marshal(map[string]any{"do": "disable", "by": "measure", "until_ms": 0}) // of plain values
	order := &record.Write{ID: fmt.Sprintf("w-%d", n), By: "measure", Base: base,
		Changes: []record.Change{{Kind: record.OrderKind, Key: fmt.Sprintf("worker/k-%d", key), Value: value}}}
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	one := written{Key: key, Began: monotonic()}
	var result record.Result
	var err error
	for {
		at := w.members[(n+one.Tries)%len(w.members)]
		one.Tries++
		short, end := context.WithTimeout(ctx, attempt)
		result, err = at.ask.Write(short, order)
		end()
		if err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Millisecond) // a dead member refuses at once
	}
	one.Acked, one.Version = monotonic(), result.Version
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[key] = false
	if err != nil || result.Outcome != record.Applied {
		w.lost = append(w.lost, fmt.Sprintf("%s: %v %s %s", order.ID, err, result.Outcome, result.Reason))
		return
	}
	w.base = max(w.base, result.Version)
	w.all = append(w.all, one)
	close(w.change)
	w.change = make(chan struct{})
}

// after waits for the first acknowledgement after a time, and the first one of a write that was begun after it.
func (w *writer) after(ctx context.Context, t int64) (first, begun int64, err error) {
	for from := 0; ; {
		w.mu.Lock()
		news, change := w.all[from:], w.change
		from = len(w.all)
		w.mu.Unlock()
		for _, one := range news {
			if one.Acked >= t && (first == 0 || one.Acked < first) {
				first = one.Acked
			}
			if one.Began >= t && (begun == 0 || one.Acked < begun) {
				begun = one.Acked
			}
		}
		if begun != 0 {
			return first, begun, nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return 0, 0, fmt.Errorf("no write begun since was acknowledged: %w", ctx.Err())
		}
	}
}

// missing looks for what was acknowledged and is not in a member's state, nor anything newer in its place.
func (w *writer) missing(items []record.Item) (missing int) {
	has := map[string]record.Version{}
	for _, i := range items {
		has[i.Key] = i.Version
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.all {
		if has[fmt.Sprintf("worker/k-%d", one.Key)] < one.Version {
			missing++
		}
	}
	return missing
}
