package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"golang.org/x/sync/errgroup"

	"burlpass/internal/cluster/observer"
)

// Of the fleet of followers.
const (
	perProcess = 125 // followers in one process at most
	settle     = 3 * time.Second
)

// Observers has light followers in a few processes follow five voters, measures what the leader does for them at rest and
// under writes, each for so long, and how long writes take from their client to each follower's state.
func Observers(ctx context.Context, o Options, observers, aSecond int, each time.Duration) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	f, err := newFleet(o.Dir, 5)
	if err != nil {
		return err
	}
	defer f.stop()
	between, above := counters{}, counters{}
	defer between.close()
	defer above.close()
	voters, err := f.voters(ctx, 5, binary, between.addr)
	if err != nil {
		return err
	}
	job := FollowJob{}
	for _, v := range voters {
		job.Voters = append(job.Voters, observer.Source{Name: v.name, Addr: above.addr(v)})
	}
	began := time.Now()
	followers, err := startFollowers(ctx, observers, job)
	if err != nil {
		return err
	}
	say(o.Out, "%d observers in %d processes follow 5 voters after %.1f s", observers, len(followers), time.Since(began).Seconds())
	leader, err := leading(ctx, voters)
	if err != nil {
		return err
	}
	pause(ctx, settle)
	look := func() (work, error) { return workOf(ctx, leader, above[leader], between) }
	if err := during(o.Out, "at rest", look, func() { pause(ctx, each) }); err != nil {
		return err
	}
	w := newWriter(voters, aSecond)
	if err := during(o.Out, fmt.Sprintf("%d writes a second", aSecond), look, func() {
		limited, cancel := context.WithTimeout(ctx, each)
		defer cancel()
		w.run(limited)
	}); err != nil {
		return err
	}
	if now, err := leading(ctx, voters); err != nil || now != leader {
		return errors.Join(errors.New("the leader has changed meanwhile"), err)
	}
	if len(w.all) == 0 || len(w.lost) > 0 {
		return fmt.Errorf("%d writes acknowledged, lost: %v", len(w.all), w.lost)
	}
	pause(ctx, settle)
	return arrivals(o.Out, followers, w)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// work is what a voter has done so far.
type work struct {
	out, in int64 // bytes to and from followers
	peers   int64 // bytes between all voters, both ways
	calls   float64
	cpu     time.Duration
}

func workOf(ctx context.Context, v *member, above *counter, between counters) (w work, err error) {
	w = work{out: above.from.Load(), in: above.to.Load()}
	for _, c := range between {
		w.peers += c.from.Load() + c.to.Load()
	}
	if w.calls, err = entriesCalls(ctx, v); err == nil {
		w.cpu, err = cpu(v.proc.Pid())
	}
	return w, err
}

// entriesCalls reads a member's own figure of the calls that followers have made.
func entriesCalls(ctx context.Context, m *member) (float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.listen+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, err
	}
	for _, one := range families["burlpass_cluster_calls_total"].GetMetric() {
		for _, label := range one.GetLabel() {
			if label.GetValue() == "/v1/entries" {
				return one.GetCounter().GetValue(), nil
			}
		}
	}
	return 0, nil // nobody has asked this member yet
}

// during reports what the leader did while something went on.
func during(out io.Writer, what string, look func() (work, error), f func()) error {
	before, err := look()
	if err != nil {
		return err
	}
	began := time.Now()
	f()
	after, err := look()
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	kb := func(a, b int64) float64 { return float64(b-a) / took / 1000 }
	say(out, "%s, a second: the leader takes %.1f calls of followers, sends them %.1f kB, gets %.1f kB; %.1f ms of "+
		"processor; %.1f kB between all voters", what, (after.calls-before.calls)/took, kb(before.out, after.out), kb(before.in, after.in),
		float64((after.cpu-before.cpu).Microseconds())/1000/took, kb(before.peers, after.peers))
	return nil
}

// followers is one process of them.
type followers struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// startFollowers starts this program again and again, as processes of followers, and waits until all follow.
func startFollowers(ctx context.Context, n int, job FollowJob) ([]*followers, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var all []*followers
	for first := 0; first < n; first += perProcess {
		job.First, job.Observers = first, min(perProcess, n-first)
		args := []string{"follow", "--first", strconv.Itoa(job.First), "--observers", strconv.Itoa(job.Observers)}
		for _, v := range job.Voters {
			args = append(args, "--voter", v.Name+"="+v.Addr)
		}
		p := &followers{cmd: exec.CommandContext(ctx, self, args...)}
		p.cmd.Stderr, p.cmd.SysProcAttr = os.Stderr, &syscall.SysProcAttr{}
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			return nil, err
		}
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		p.out = bufio.NewReader(out)
		if err := p.cmd.Start(); err != nil { // it ends with its input, and so with this process
			return nil, err
		}
		all = append(all, p)
	}
	for _, p := range all {
		if _, err := p.hear(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (p *followers) hear() (f followed, err error) {
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return f, fmt.Errorf("a process of followers: %w", err)
	}
	return f, json.Unmarshal(line, &f)
}

// arrivals asks the followers how the writes came, and reports it.
func arrivals(out io.Writer, all []*followers, w *writer) error {
	text, err := json.Marshal(w.all)
	if err != nil {
		return err
	}
	heard := make([]followed, len(all))
	var asking errgroup.Group
	for i, p := range all {
		asking.Go(func() error {
			if _, err := p.in.Write(append(slices.Clone(text), '\n')); err != nil {
				return err
			}
			var err error
			if heard[i], err = p.hear(); err != nil {
				return err
			}
			p.in.Close()
			return p.cmd.Wait()
		})
	}
	if err := asking.Wait(); err != nil {
		return err
	}
	effect, acked, missing, deep := newTimes(), newTimes(), 0, map[int]int{}
	for _, h := range heard {
		effect.Merge(hdrhistogram.Import(h.Times))
		missing += h.Missing
		for d, n := range h.Deep {
			deep[d] += n
		}
	}
	for _, one := range w.all {
		note(acked, time.Duration(one.Acked-one.Began))
	}
	var depths []string
	for d := 1; len(depths) < len(deep); d++ {
		if deep[d] > 0 {
			depths = append(depths, fmt.Sprintf("%d at %d", deep[d], d))
		}
	}
	say(out, "a write begun until an observer shows it:  %s", spread(effect))
	say(out, "a write begun until it is acknowledged:    %s", spread(acked))
	say(out, "observers by their distance from a voter: %s", strings.Join(depths, ", "))
	if missing > 0 {
		return fmt.Errorf("%d times a write is not shown at an observer", missing)
	}
	return nil
}
