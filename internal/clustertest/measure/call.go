package measure

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"burlpass/internal/cluster/api"
	"burlpass/internal/clustertest/run"
)

// CallOptions of a measurement of calls.
type CallOptions struct {
	Before  string // revision of this repository that the sidecars without a cluster are held against
	ASecond int    // calls
	Rounds  int
	Each    time.Duration // of each sidecar in a round
	Idle    time.Duration // for what they do at rest
}

// connections of the client to each sidecar.
const connections = 8

// sidecar is one of those that are held against each other.
type sidecar struct {
	what string
	*member
	turns int
	times *hdrhistogram.Histogram
	costs []float64 // by round, processor time a call, us
}

// Call holds sidecars against each other in one run, by short turns under the same load: one of an earlier revision and one
// of this, both without a cluster; an observer; a voter that follows and one that leads, of three. It reports the processor
// time a call, over the round's own of the sidecar without a cluster, and the time that a call takes.
func Call(ctx context.Context, o Options, c CallOptions) error {
	now, err := o.build(ctx)
	if err != nil {
		return err
	}
	tree, remove, err := checkout(ctx, o, c.Before)
	if err != nil {
		return err
	}
	defer remove()
	before, err := run.Build(ctx, tree, o.Dir, "before")
	if err != nil {
		return err
	}
	var workers []string
	for range 4 {
		e, err := newEcho()
		if err != nil {
			return err
		}
		defer e.close()
		workers = append(workers, e.ln.Addr().String())
	}
	f, err := newFleet(o.Dir, 6, workers...)
	if err != nil {
		return err
	}
	defer f.stop()
	all, voters, err := f.sidecars(ctx, now, before)
	if err != nil {
		return err
	}
	for _, s := range all {
		s.times = newTimes()
		if err := s.turn(ctx, c); err != nil { // for what is made once
			return err
		}
		s.times, s.costs = newTimes(), nil
	}
	if err := rounds(ctx, all, c); err != nil {
		return err
	}
	say(o.Out, "%d calls a second over %d connections, %d rounds of %v each; one core each", c.ASecond, connections, c.Rounds, c.Each)
	for _, s := range all {
		middle, low, high := median(s.costs, all[1].costs)
		say(o.Out, "%-28s %5.1f us of processor a call, %+.1f%% (%+.1f%% to %+.1f%%); %s", s.what+":", mean(s.costs),
			100*(middle-1), 100*(low-1), 100*(high-1), spreadUs(s.times))
	}
	if err := rest(ctx, o, all, c.Idle); err != nil {
		return err
	}
	if leader, err := leading(ctx, voters); err != nil || leader != all[len(all)-1].member {
		return errors.Join(errors.New("the leader has changed meanwhile"), err)
	}
	return nil
}

// sidecars starts those that are held against each other, the one without a cluster second, the leader last.
func (f *fleet) sidecars(ctx context.Context, now, before string) (all []*sidecar, voters []*member, err error) {
	if voters, err = f.voters(ctx, 3, now, nil); err != nil {
		return nil, nil, err
	}
	leader, err := leading(ctx, voters)
	if err != nil {
		return nil, nil, err
	}
	follower := voters[0]
	if follower == leader {
		follower = voters[1]
	}
	all = []*sidecar{
		{what: "before there was a cluster", member: f.add("before", before, false)},
		{what: "without [cluster]", member: f.add("without", now, false)},
		{what: "an observer", member: f.add("o1", now, true)},
		{what: "a voter that follows", member: follower},
		{what: "a voter that leads", member: leader},
	}
	for _, s := range all[:3] {
		if err := f.configure(s.member, voters, nil); err != nil {
			return nil, nil, err
		}
		if err := s.start(); err != nil {
			return nil, nil, err
		}
		if err := s.listens(ctx); err != nil {
			return nil, nil, err
		}
	}
	_, err = await(ctx, "an observer that follows", []*member{all[2].member}, func(_ *member, s api.Status) bool { return s.State == "following" })
	return all, voters, err
}

// listens waits until clients can connect.
func (m *member) listens(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		c, err := newCaller(m.clients, m.name)
		if err == nil {
			return c.conn.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", m.name, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// rounds loads one sidecar after the other, each round in another order.
func rounds(ctx context.Context, all []*sidecar, c CallOptions) error {
	for r := range c.Rounds {
		for i := range all {
			s := all[(i*(1+r%2*(len(all)-2))+r)%len(all)] // forwards and backwards by turns, each time from another one on
			if err := s.turn(ctx, c); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// turn loads a sidecar once. Connections are new each time, for a sidecar closes those without a call; their first call
// does not count.
func (s *sidecar) turn(ctx context.Context, c CallOptions) error {
	s.turns++
	var callers []*caller
	for i := range connections {
		one, err := newCaller(s.clients, fmt.Sprintf("%s-%d-%d", s.name, s.turns, i))
		if err != nil {
			return fmt.Errorf("%s: %w", s.what, err)
		}
		defer one.conn.Close()
		if _, err := one.call(); err != nil {
			return fmt.Errorf("%s: %w", s.what, err)
		}
		callers = append(callers, one)
	}
	was, err := cpu(s.proc.Pid())
	if err != nil {
		return err
	}
	calls, err := load(ctx, callers, c.ASecond, c.Each, s.times)
	if err != nil {
		return fmt.Errorf("%s: %w", s.what, err)
	}
	used, err := cpu(s.proc.Pid())
	if err != nil {
		return err
	}
	s.costs = append(s.costs, float64((used-was).Nanoseconds())/1000/float64(calls))
	return nil
}

// rest reports what the sidecars do and hold without calls.
func rest(ctx context.Context, o Options, all []*sidecar, d time.Duration) error {
	was := make([]time.Duration, len(all))
	for i, s := range all {
		var err error
		if was[i], err = cpu(s.proc.Pid()); err != nil {
			return err
		}
	}
	pause(ctx, d)
	for i, s := range all {
		used, err := cpu(s.proc.Pid())
		if err != nil {
			return err
		}
		memory, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.proc.Pid()))
		if err != nil {
			return err
		}
		_, rss, _ := strings.Cut(string(memory), "VmRSS:")
		rss, _, _ = strings.Cut(rss, "\n")
		say(o.Out, "%-28s at rest %.2f ms of processor a second, %s resident", s.what+":",
			float64((used-was[i]).Microseconds())/1000/d.Seconds(), strings.TrimSpace(rss))
	}
	return nil
}

// checkout makes a working tree of a revision below the measurement's folder.
func checkout(ctx context.Context, o Options, revision string) (string, func(), error) {
	dir, err := filepath.Abs(filepath.Join(o.Dir, "tree"))
	if err != nil {
		return "", nil, err
	}
	git := func(ctx context.Context, args ...string) error {
		cmd := exec.CommandContext(ctx, "git", args...)
		cmd.Dir = o.Root
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("git %s: %w\n%s", strings.Join(args, " "), err, out)
		}
		return nil
	}
	if err := git(ctx, "worktree", "add", "--detach", dir, revision); err != nil {
		return "", nil, err
	}
	return dir, func() { _ = git(context.Background(), "worktree", "remove", "--force", dir) }, nil // the folder goes in any case
}

// median gives the middle of the rounds' ratios, and between what the true one lies at 95%, by ranks.
func median(of, over []float64) (middle, low, high float64) {
	ratios := make([]float64, len(of))
	for i := range of {
		ratios[i] = of[i] / over[i]
	}
	slices.Sort(ratios)
	n := len(ratios)
	off := int(math.Ceil(0.98 * math.Sqrt(float64(n))))
	return (ratios[(n-1)/2] + ratios[n/2]) / 2, ratios[max(0, n/2-off)], ratios[min(n-1, (n-1)/2+off)]
}

func mean(of []float64) (m float64) {
	for _, v := range of {
		m += v / float64(len(of))
	}
	return m
}

func spreadUs(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("a call takes p50 %d us, p99 %d us (%d calls)", h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.TotalCount())
}
