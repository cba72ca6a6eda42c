package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/observer"
	"burlpass/internal/record"
)

// Follow is one process of light followers: observers that keep nothing on a disk, each with an address at which others
// follow it. It tells by a line when all follow, reads the writes by a line, and answers how they came.
func Follow(ctx context.Context, in io.Reader, out io.Writer, job FollowJob) error {
	all := make([]*light, job.Observers)
	defer func() {
		var ending sync.WaitGroup
		for _, l := range all {
			if l != nil {
				ending.Go(l.close)
			}
		}
		ending.Wait()
	}()
	for i := range all {
		l, err := openLight(ctx, fmt.Sprintf("o%d", job.First+i), job.Voters)
		if err != nil {
			return err
		}
		all[i] = l
	}
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for _, l := range all {
		for l.observer.Status().State != "following" {
			select {
			case <-limited.Done():
				return fmt.Errorf("%s does not follow: %w", l.observer.Status().Name, limited.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	tell := json.NewEncoder(out)
	if err := tell.Encode(followed{Following: len(all)}); err != nil {
		return err
	}
	line, err := bufio.NewReader(in).ReadBytes('\n')
	if err != nil {
		return err // whoever started this process has ended
	}
	var writes []written
	if err := json.Unmarshal(line, &writes); err != nil {
		return err
	}
	answer := followed{Deep: map[int]int{}}
	times := newTimes()
	for _, l := range all {
		answer.Missing += l.times(writes, times)
		path := l.observer.Status().Path
		answer.Deep[len(path)-1]++
		if len(path) == 2 {
			answer.AtVoters++
		}
	}
	answer.Times = times.Export()
	return tell.Encode(answer)
}

// FollowJob is what a process of followers is told.
type FollowJob struct {
	First, Observers int
	Voters           []observer.Source
}

// followed is what such a process tells.
type followed struct {
	Following int
	Deep      map[int]int // observers by how many members are between them and the record: 1 at a voter
	AtVoters  int
	Missing   int // writes, times observers, without an effect
	Times     *hdrhistogram.Snapshot
}

// light is one observer and the times at which it has shown each version.
type light struct {
	observer *observer.Observer
	server   *http.Server
	ended    sync.WaitGroup
	enough   chan struct{}

	mu    sync.Mutex
	first record.Version
	shown []int64 // by version, from first on
}

func openLight(ctx context.Context, name string, voters []observer.Source) (*light, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	metrics := api.NewMetrics()
	o, err := observer.Open(ctx, observer.Config{Cluster: clusterName, Name: name, Addr: ln.Addr().String(), Sources: voters,
		Bounds: record.DefaultBounds(), Domains: []record.Domain{record.Orders()}, Metrics: metrics})
	if err != nil {
		ln.Close()
		return nil, err
	}
	l := &light{observer: o, server: api.NewServer(api.Handler(o, api.Options{Metrics: metrics})), enough: make(chan struct{})}
	l.ended.Go(func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	l.ended.Go(l.watch)
	return l, nil
}

func (l *light) close() {
	close(l.enough)
	l.server.Close()
	_ = l.observer.Close() // which has no folder
	l.ended.Wait()
}

// watch notes when each version is shown.
func (l *light) watch() {
	for l.observer.Replica() == nil {
		select {
		case <-l.enough:
			return
		case <-time.After(time.Millisecond):
		}
	}
	state := l.observer.Replica()
	for {
		changed, now := state.Changed(), state.View().Version()
		at := monotonic()
		l.mu.Lock()
		if l.first == 0 {
			l.first = now
		}
		for l.first+record.Version(len(l.shown)) <= now {
			l.shown = append(l.shown, at)
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-l.enough:
			return
		}
	}
}

// times notes how long each write took to be shown, and gives how many are not shown.
func (l *light) times(writes []written, to *hdrhistogram.Histogram) (missing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range writes {
		if w.Version < l.first || w.Version >= l.first+record.Version(len(l.shown)) {
			missing++
			continue
		}
		note(to, time.Duration(l.shown[w.Version-l.first]-w.Began))
	}
	return missing
}
