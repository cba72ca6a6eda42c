// Package hard has the hard cases of the cluster: directed faults against real processes of the program, each a test of its
// own, with all that clients have seen judged in the end. docs/cluster-proof.md has their table.
package hard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/run"
)

// Case is one hard case.
type Case struct {
	Name              string
	Small             bool // the build with small bounds
	Long              bool // takes more than some 10 s
	Voters, Observers int
	Limits            bool // of the fleet
	Impostors         bool // stand between observers and voters
	Play              func(s *Scene)
}

// Cases lists them all.
func Cases() []Case {
	return []Case{
		{Name: "LeaderWipedBetweenWrites", Voters: 5, Observers: 2, Play: leaderWiped},
		{Name: "TwoAndTwoAndOne", Voters: 5, Observers: 2, Play: twoAndTwoAndOne},
		{Name: "LeaderNotHeard", Voters: 5, Observers: 1, Play: leaderNotHeard},
		{Name: "LeaderDeaf", Voters: 5, Observers: 1, Play: leaderDeaf},
		{Name: "ReplacedWhileAnotherRestarts", Small: true, Voters: 5, Observers: 1, Play: replacedWhileRestart},
		{Name: "SnapshotWhoseSenderDies", Small: true, Voters: 5, Observers: 1, Play: senderDies},
		{Name: "LeadersDiskFull", Voters: 5, Observers: 1, Play: diskFull},
		{Name: "ObserverWakesLate", Small: true, Voters: 3, Observers: 2, Play: wakesLate(6 * time.Second)},
		{Name: "ObserverWakesLate30s", Small: true, Long: true, Voters: 3, Observers: 2, Play: wakesLate(30 * time.Second)},
		{Name: "FleetComesBackAtOnce", Voters: 3, Play: comeBack(300)},
		{Name: "SameIDAgain", Small: true, Voters: 5, Observers: 2, Play: sameID},
		{Name: "OldDiskComesBack", Voters: 3, Observers: 1, Play: oldDisk},
		{Name: "ForeignAnswers", Voters: 3, Observers: 1, Impostors: true, Play: foreignAnswers(foreigners())},
		{Name: "BrokenAnswers", Voters: 3, Observers: 1, Impostors: true, Play: foreignAnswers(broken())},
		{Name: "NewerSnapshot", Small: true, Voters: 3, Observers: 1, Play: newerSnapshot},
		{Name: "LeaderDividesLate", Limits: true, Voters: 3, Observers: 2, Play: dividesLate(6 * time.Second)},
		{Name: "LeaderDividesLate20s", Limits: true, Long: true, Voters: 3, Observers: 2, Play: dividesLate(20 * time.Second)},
		{Name: "WakesWithOldLease", Small: true, Limits: true, Voters: 3, Observers: 2, Play: wakesWithLease(6 * time.Second)},
		{Name: "WakesWithOldLease30s", Small: true, Limits: true, Long: true, Voters: 3, Observers: 2, Play: wakesWithLease(30 * time.Second)},
		{Name: "LimitLoweredWhileAllIsOut", Limits: true, Voters: 3, Observers: 2, Play: loweredWhileOut},
		{Name: "SidecarStartedAgain", Limits: true, Voters: 3, Observers: 2, Play: startedAgain},
		{Name: "LimitsCutOff", Limits: true, Voters: 3, Observers: 1, Play: cutOffLimits},
	}
}

// Scene is a case that is being played. Its methods end the test where something does not come about.
type Scene struct {
	*run.Directed
	t         testing.TB
	impostors impostors
}

// Play plays a case with a program and judges it. The journal of one that fails is kept in dir.
func Play(t testing.TB, c Case, program, dir string, within time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	s := &Scene{t: t}
	o := run.Setting{Name: c.Name, Binary: program, Dir: dir, Voters: c.Voters, Observers: c.Observers, Limits: c.Limits}
	if c.Impostors {
		o.Via = s.before
	}
	var err error
	s.Directed, err = run.Direct(ctx, o)
	s.must(err)
	over := false
	end := func() {
		if over {
			return
		}
		over = true
		out, err := s.End(t.Failed())
		if err != nil {
			t.Error(err)
		}
		if out.Bad() || t.Failed() {
			t.Errorf("%s: %v", c.Name, out)
			return
		}
		t.Log(out)
	}
	defer end() // also after Fatal
	c.Play(s)
	end()
}

// Bounds of what is waited for: none is a promise, all are far more than is seen on a busy machine.
const (
	soon  = time.Minute     // an election, a restart, a state that travels
	joins = 2 * time.Minute // a voter that is taken in, a large fleet that comes at once
)

func (s *Scene) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *Scene) until(what string, within time.Duration, is func() bool) {
	s.t.Helper()
	s.must(s.Until(what, within, is))
}

func (s *Scene) leader(among ...string) string {
	s.t.Helper()
	name, err := s.Leader(among...)
	s.must(err)
	return name
}

func (s *Scene) put(key string, at ...string) history.Attempt {
	s.t.Helper()
	a, err := s.Put(key, at...)
	s.must(err)
	return a
}

func (s *Scene) status(member string) (st run.Status) {
	s.t.Helper()
	s.until(member+" tells its status", soon, func() bool {
		var err error
		st, err = s.Status(member)
		return err == nil
	})
	return st
}

// healthy waits until a member's sidecar answers for its health.
func (s *Scene) healthy(member string) {
	s.t.Helper()
	s.until("the sidecar of "+member+" answers", soon, func() bool { return s.Healthy(member) == nil })
}

// logs waits for lines of a member that hold all the texts, which come through a pipe some time after what they tell of; a line
// too many fails the test.
func (s *Scene) logs(member string, lines int, texts ...string) {
	s.t.Helper()
	s.until(fmt.Sprint(member, " logs ", texts), soon, func() bool { return s.Logged(member, texts...) >= lines })
	if n := s.Logged(member, texts...); n != lines {
		s.t.Errorf("%s has %d lines of %q, not %d", member, n, texts, lines)
	}
}

// shows waits until members show a version.
func (s *Scene) shows(version uint64, members ...string) {
	s.t.Helper()
	for _, name := range members {
		s.until(name+" shows what was acknowledged", soon, func() bool {
			r, ok := s.Read(name, false)
			return ok && r.Version >= version
		})
	}
}

// noResult makes one call with a new write at each member at once and wants none to be told that it was taken.
func (s *Scene) noResult(key string, members ...string) {
	s.t.Helper()
	told := make(chan history.Attempt, len(members))
	for _, name := range members {
		go func() { told <- s.Try(s.New(key+"-"+name), name) }()
	}
	for range members {
		if a := <-told; !a.Refused && !a.Unknown {
			s.t.Errorf("%s says %s, version %d, without a majority", a.Process, a.Outcome, a.Version)
		}
	}
}

// oneWay cuts what one member sends to others.
func oneWay(from string, to ...string) faults.Fault {
	return faults.Fault{Kind: faults.OneWay, Target: from, Others: to}
}
