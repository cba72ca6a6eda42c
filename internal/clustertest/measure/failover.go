package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/clustertest/run"
	"burlpass/internal/record"
)

// Options of a measurement.
type Options struct {
	Root string    // of the module
	Dir  string    // for folders and logs, made by the caller
	Out  io.Writer // of the report
}

// build makes this revision's program.
func (o Options) build(ctx context.Context) (string, error) {
	return run.Build(ctx, o.Root, o.Dir, "now")
}

// voters starts the voters of a cluster, and waits until they have formed it.
func (f *fleet) voters(ctx context.Context, n int, binary string, addr func(to *member) string) (voters []*member, err error) {
	for i := range n {
		voters = append(voters, f.add(fmt.Sprintf("v%d", i+1), binary, true))
	}
	for _, v := range voters {
		if err := f.configure(v, voters, addr); err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	_, err = formed(ctx, voters)
	return voters, err
}

// Failover has a client write at five voters, ends the leader by SIGKILL so many times and starts it again each time. It
// reports the time from the kill to the next acknowledged write. An error is also an acknowledged write that is missing at
// the end.
func Failover(ctx context.Context, o Options, kills, aSecond int) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	f, err := newFleet(o.Dir, 5)
	if err != nil {
		return err
	}
	defer f.stop()
	voters, err := f.voters(ctx, 5, binary, nil)
	if err != nil {
		return err
	}
	w := newWriter(voters, aSecond)
	writing, enough := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(writing)
	}()
	defer func() {
		enough()
		<-ended
	}()
	fresh, any, back := newTimes(), newTimes(), newTimes()
	worst, slowest := "", time.Duration(0)
	for n := range kills {
		time.Sleep(100*time.Millisecond + rand.N(200*time.Millisecond)) // not in step with any timer
		leader, err := leading(ctx, voters)
		if err != nil {
			return err
		}
		at := monotonic()
		leader.proc.Kill()
		limited, cancel := context.WithTimeout(ctx, patience)
		first, begun, err := w.after(limited, at)
		cancel()
		if err != nil {
			return fmt.Errorf("kill %d, of %s: %w", n+1, leader.name, err)
		}
		took := time.Duration(begun - at)
		note(any, time.Duration(first-at))
		note(fresh, took)
		if took > slowest {
			slowest, worst = took, fmt.Sprintf("kill %d, of %s", n+1, leader.name)
		}
		started := time.Now()
		if err := leader.start(); err != nil {
			return err
		}
		least, err := await(ctx, "the new leader", voters, func(m *member, s api.Status) bool { return m != leader && s.State == "leader" })
		if err != nil {
			return err
		}
		s, err := least.status(ctx)
		if err != nil {
			return err
		}
		if _, err := await(ctx, leader.name+" again", []*member{leader}, func(_ *member, own api.Status) bool {
			return own.AgeMs >= 0 && own.Version >= s.Version && own.Leader != ""
		}); err != nil {
			return err
		}
		note(back, time.Since(started))
	}
	enough()
	<-ended
	say(o.Out, "%d times the leader of 5 voters ended by SIGKILL, %d writes a second begun, at all members by turns", kills, aSecond)
	say(o.Out, "kill to the first acknowledged write that was begun after it: %s; the slowest was %s", spread(fresh), worst)
	say(o.Out, "kill to any acknowledged write:                               %s", spread(any))
	say(o.Out, "killed voter started until it has caught up:                  %s", spread(back))
	return w.settled(ctx, o, voters)
}

// settled reports the writes, and holds that none is missing.
func (w *writer) settled(ctx context.Context, o Options, voters []*member) error {
	leader, err := leading(ctx, voters)
	if err != nil {
		return err
	}
	state, err := leader.ask.Read(ctx, record.OrderKind, "", true)
	if err != nil {
		return err
	}
	took, tries := newTimes(), 0
	for _, one := range w.all {
		note(took, time.Duration(one.Acked-one.Began))
		tries = max(tries, one.Tries)
	}
	missing := w.missing(state.Items)
	say(o.Out, "writes: %d acknowledged, %s, at most %d tries; %d not begun, %d without a result; %d acknowledged ones missing",
		len(w.all), spread(took), tries, w.held, len(w.lost), missing)
	for i, text := range w.lost {
		if i < 5 {
			say(o.Out, "  %s", text)
		}
	}
	if missing > 0 {
		return errors.New("acknowledged writes are missing")
	}
	return nil
}

// Folder makes the folder of a measurement below dir, and gives what removes it.
func Folder(dir string) (string, func(), error) {
	made, err := os.MkdirTemp(dir, "burlpass-measure-")
	if err != nil {
		return "", nil, err
	}
	made, err = filepath.Abs(made)
	return made, func() { os.RemoveAll(made) }, err
}
