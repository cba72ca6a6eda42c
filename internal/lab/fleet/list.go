package fleet

import (
	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// watch makes one call of a watch; what it brings, or its failure, comes later.
func (s *sidecar) watch() {
	s.counts.ListCalls++
	life := s.life
	at, ok := s.registry.Call(s.now)
	s.at(at+s.Delay.Cross, func() {
		switch {
		case s.life != life:
		case !ok:
			s.listFailed(life)
		case s.version < s.registry.Version:
			s.deliver(life)
		default:
			s.parked = true
			s.after(watchTime, func() {
				if s.life == life && s.parked {
					s.parked = false
					s.watch()
				}
			})
		}
	})
}

func (s *sidecar) listFailed(life int) {
	if s.life == life {
		s.counts.ListFailed++
		s.failing = true
		s.observe(judge.Event{Kind: judge.Denied, Sidecar: s.n})
		s.tell(decide.Event{Kind: decide.Members, List: decide.ListFailed})
	}
}

// deliver brings what has changed, and asks again where it was asked for.
func (s *sidecar) deliver(life int) {
	s.after(s.oneWay(s.hall(), -1), func() {
		if s.life != life || !s.running {
			return
		}
		changed := s.registry.Since(s.version, false)
		s.version = s.registry.Version
		for _, e := range changed {
			if s.view[e.Worker] = e; e.State == world.Removed {
				delete(s.view, e.Worker)
			}
			if e.State != world.Up {
				s.release(e.Worker)
			}
			s.observe(judge.Event{Kind: judge.Told, Sidecar: s.n, Worker: e.Worker, State: uint8(e.State), Started: e.Started})
		}
		if s.failing {
			s.failing = false
			s.observe(judge.Event{Kind: judge.Resumed, Sidecar: s.n})
		}
		s.tell(decide.Event{Kind: decide.Members, List: decide.ListDelta, Servers: s.servers(changed), Version: s.version})
		s.after(watchPace, func() {
			if s.life == life && !s.Registry.Pushed {
				s.watch()
			}
		})
	})
}
