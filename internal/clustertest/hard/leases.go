package hard

import (
	"fmt"
	"net/http"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/run"
	"burlpass/internal/lease"
)

const (
	pace  = 40 // calls a second at one sidecar
	where = "/availability/x"
)

// all are all members.
func (s *Scene) members() []string { return append(s.Voters(), s.Observers()...) }

// leased waits until members have a lease of a limit.
func (s *Scene) leased(key string, members ...string) {
	s.t.Helper()
	for _, name := range members {
		s.until(name+" has a lease", soon, func() bool {
			amount, _ := s.Leased(name, key)
			return amount > 0
		})
	}
}

// dividesLate has the leader stand still for a while between dividing and answering: its proofs take long, so that it is there most of
// the time. Another one divides meanwhile.
func dividesLate(late time.Duration) func(s *Scene) {
	return func(s *Scene) {
		all := s.members()
		rest := s.Press(pace, where, all...)
		for range rounds {
			leader := s.leader()
			others := s.Others(leader)
			s.leased(run.Rate, all...)
			end := s.Net(faults.Fault{Kind: faults.Slow, Target: leader, Others: others, Delay: 30 * time.Millisecond})
			s.leased(run.Rate, all...)
			stopped := time.Now()
			s.Stop(leader)
			s.leader(others...)
			s.leased(run.Rate, append(others, s.Observers()...)...)
			time.Sleep(time.Until(stopped.Add(late)))
			s.Continue(leader)
			end()
			s.until(leader+" follows again", soon, func() bool {
				st, err := s.Status(leader)
				return err == nil && st.Leader != ""
			})
			s.leased(run.Rate, leader)
		}
		rest()
	}
}

// wakesWithLease stops an observer that has a lease, lowers the limit, and has calls wait for it when it wakes: it lets none in by what it
// had. Whether it did is judged by its lines and by the calls that were let in.
func wakesWithLease(late time.Duration) func(s *Scene) {
	return func(s *Scene) {
		sleeper, other := s.Observers()[0], s.Observers()[1]
		rest := s.Press(pace, where, sleeper, other)
		s.leased(run.Rate, sleeper, other)
		_, before := s.Leased(sleeper, run.Rate)
		began := time.Now()
		s.Stop(sleeper)
		s.must(s.SetLimit(run.Rate, 20_000, lease.Cut{Mode: lease.Nothing}))
		time.Sleep(time.Until(began.Add(late)))
		s.Continue(sleeper)
		s.leased(run.Rate, sleeper)
		if _, now := s.Leased(sleeper, run.Rate); now != before {
			s.t.Errorf("%s asks as %s, and was %s: it was started anew and tests nothing", sleeper, now, before)
		}
		rest()
	}
}

// loweredWhileOut lowers a limit all of which is out, and kills the leader at once.
func loweredWhileOut(s *Scene) {
	all := s.members()
	rest := s.Press(pace, where, all...)
	s.must(s.SetLimit(run.Rate, 100_000, lease.Cut{Mode: lease.Nothing}))
	for _, to := range []int64{10_000, 150_000, 30_000} {
		s.leased(run.Rate, all...)
		leader := s.leader()
		set := make(chan error, 1)
		go func() { set <- s.SetLimit(run.Rate, to, lease.Cut{Mode: lease.Nothing}) }()
		s.Kill(leader)
		s.must(<-set)
		s.leader(s.Others(leader)...)
		s.must(s.Start(leader))
		s.must(s.Votes(leader, joins))
		time.Sleep(lease.Length) // what was out before has ended then, or is too much
	}
	rest()
}

// startedAgain kills an observer that has a lease, and starts it under its name while that runs.
func startedAgain(s *Scene) {
	name, other := s.Observers()[0], s.Observers()[1]
	s.must(s.SetLimit(run.Rate, 20_000, lease.Cut{Mode: lease.Nothing}))
	rest := s.Press(pace, where, name, other)
	for range 2 {
		s.leased(run.Rate, name, other)
		_, before := s.Leased(name, run.Rate)
		s.Kill(name)
		s.must(s.Start(name))
		s.until(name+" has a lease of its own", soon, func() bool {
			amount, now := s.Leased(name, run.Rate)
			return amount > 0 && now != before
		})
	}
	rest()
}

// cutOffLimits cuts an observer off from all, with a limit for each of the three things that may hold then.
func cutOffLimits(s *Scene) {
	name := s.Observers()[0]
	open := lease.Cut{Mode: lease.Open}
	s.must(s.SetLimit(run.Rate, 1_000_000, open))
	s.must(s.SetLimit(run.Calls, 1000, open))
	cuts := map[string]lease.Cut{lease.Nothing: {Mode: lease.Nothing}, lease.Reserve: {Mode: lease.Reserve, Share: 500, Among: 4}, lease.Open: open}
	path := func(mode string) string { return "/availability/" + mode }
	for mode, cut := range cuts {
		space := "*/*" + path(mode)
		s.must(s.Namespace(space))
		s.must(s.SetLimit(space+"#rate#cut", 40_000, cut))
	}
	for mode := range cuts {
		rest := s.Press(10, path(mode), name)
		s.leased("*/*"+path(mode)+"#rate#cut", name)
		rest()
	}
	end := s.Net(faults.Fault{Kind: faults.Cut, Target: name})
	s.until(name+" goes without a lease", soon, func() bool { return s.Call(name, path(lease.Nothing)) == http.StatusTooManyRequests })
	time.Sleep(lease.Length) // the others' have ended too
	passed, refused := map[string]int{}, map[string]int{}
	began := time.Now()
	for time.Since(began) < 2*time.Second {
		for mode := range cuts {
			switch s.Call(name, path(mode)) {
			case http.StatusOK:
				passed[mode]++
			case http.StatusTooManyRequests:
				refused[mode]++
			}
		}
	}
	most := int(5*time.Since(began).Seconds()) + 5 // a reserve of 20 a second for 4 processes, and what was saved up
	told := fmt.Sprintf("cut off, it let in %v and refused %v", passed, refused)
	s.Note("%s", told)
	if passed[lease.Nothing] > 0 || passed[lease.Reserve] == 0 || passed[lease.Reserve] > most || refused[lease.Reserve] == 0 || passed[lease.Open] == 0 || refused[lease.Open] > 0 {
		s.t.Error(told)
	}
	end()
	s.until(name+" has a lease again", soon, func() bool { return s.Call(name, path(lease.Nothing)) == http.StatusOK })
}
