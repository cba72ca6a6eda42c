package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"burlpass/internal/lab/scenario"
)

// What a drawn day about news needs of time.
const (
	newsNotice  = 300 * time.Millisecond // as base has it: from a change to the list
	newsAsked   = 15 * time.Second       // what a silent watch with the longest wait missed is judged within
	newsPushed  = 9 * time.Second        // the same where lists are pushed and waits are short
	newsDrain   = 30 * time.Second       // a drain that outlasts any day: the worker still takes what it should not get
	manyOthers  = "balancers=300"        // a fleet so large that a sidecar's back-off is long
	keptLoad    = 0.35
	newsRefused = 2400 * time.Millisecond // from a short outage to the silence of the watches opened after it
	firstWatch  = 8 * time.Second         // the watch that falls silent there is not the first
	newsAway    = 1200 * time.Millisecond // of a registry that is down as sidecars come back
)

// drawNews draws what the operators' page on the full fleet adds: watches that fall silent without an end, agents that
// answer late, and calls that keep coming after SIGTERM.
func drawNews(rnd *rand.Rand, x *Script) {
	s := x.Scenario
	hard := -1
	if x.Seed%8 == 4 {
		hard = int(x.Seed/8) % 3
	}
	if hard == 2 || rnd.IntN(4) == 0 {
		s.Clients.Load = min(s.Clients.Load, keptLoad) // each call after SIGTERM takes a connection, and some are to last
		s.Faults = append(s.Faults, scenario.Fault{Kind: "term", At: time.Duration(1000+rnd.IntN(7000)) * time.Millisecond,
			Count: 1 + rnd.IntN(drawnSidecars), Size: float64(3 + rnd.IntN(10)), Extra: time.Duration(1+rnd.IntN(800)) * time.Millisecond})
	}
	if hard == 1 {
		s.Registry.Pushed = true
	}
	if s.Registry.Pushed && (hard == 1 || rnd.IntN(3) == 0) {
		lateAgent(rnd, s)
	}
	if hard == 0 || rnd.IntN(4) == 0 {
		silentWatch(rnd, x)
	}
	if x.Seed%16 == 2 || rnd.IntN(6) == 0 {
		oldList(rnd, x)
	}
}

// oldList kills sidecars that come back 2 to 5 s later with the list of before, while workers drain and still take calls,
// and in half of the days a hall goes and comes back as well; the day lasts until that is judged. In half, the registry is
// down for a moment as they come back. Where lists are asked for, the fleet is a large one.
func oldList(rnd *rand.Rand, x *Script) {
	s := x.Scenario
	at, away := time.Duration(1000+rnd.IntN(3000))*time.Millisecond, time.Duration(2000+rnd.IntN(3000))*time.Millisecond
	s.Faults = append(s.Faults, scenario.Fault{Kind: "kill", At: at, Count: 1 + rnd.IntN(drawnSidecars), Extra: away},
		missedDrain(rnd, at+newsNotice, away))
	if rnd.IntN(2) == 0 {
		s.Faults = append(s.Faults, scenario.Fault{Kind: "hall_loss", At: at + away/4, Length: away, Hall: s.Halls[rnd.IntN(len(s.Halls))]})
	}
	if rnd.IntN(2) == 0 {
		s.Faults = append(s.Faults, scenario.Fault{Kind: "registry_down", At: at + away - 200*time.Millisecond, Length: newsAway},
			missedDrain(rnd, at+away, newsAway))
	}
	if !s.Registry.Pushed && !slices.Contains(x.Settings, manyOthers) {
		x.Settings = append(x.Settings, manyOthers)
	}
	s.Length = max(s.Length, at+away+newsPushed)
}

// lateAgent lets agents answer late while workers drain: each answer by up to two fifths of the grace, or nothing at all
// for so long. That is what a sidecar can make up for.
func lateAgent(rnd *rand.Rand, s *scenario.Scenario) {
	f := scenario.Fault{Kind: "list_late", At: moment(rnd), Part: 0.3 + 0.7*rnd.Float64()}
	late := time.Duration((0.05 + 0.35*rnd.Float64()) * float64(s.Rules.DrainGrace))
	if s.Rules.DrainGrace > 500*time.Millisecond && rnd.IntN(2) == 0 {
		f.Silent, f.Length = true, late
	} else {
		f.Extra, f.Length = late, time.Duration(500+rnd.IntN(4000))*time.Millisecond
	}
	s.Faults = append(s.Faults, f, missedDrain(rnd, f.At, f.Length))
}

// silentWatch lets watches fall silent without an end, and workers drain meanwhile; the day lasts until that is judged. In
// half of the days with lists that are asked for, the fleet is a large one.
func silentWatch(rnd *rand.Rand, x *Script) {
	s := x.Scenario
	at, judged := time.Duration(1000+rnd.IntN(5000))*time.Millisecond, newsPushed
	if !s.Registry.Pushed {
		judged = newsAsked
		if rnd.IntN(2) == 0 {
			x.Settings = append(x.Settings, manyOthers)
			at = firstWatch + time.Duration(rnd.IntN(1500))*time.Millisecond
		}
	}
	if rnd.IntN(2) == 0 { // a change that all have heard of just before: their watches have all of their wait before them
		s.Faults = append(s.Faults, scenario.Fault{Kind: "replace", At: at - newsNotice - 100*time.Millisecond, Count: 1, Extra: 50 * time.Millisecond})
	}
	if !s.Registry.Pushed && at > newsRefused && rnd.IntN(2) == 0 { // the watch that falls silent follows a call that failed
		s.Faults = append(s.Faults, scenario.Fault{Kind: "registry_down", At: at - newsRefused, Length: newsRefused / 8})
	}
	s.Faults = append(s.Faults, scenario.Fault{Kind: "watch_silent", At: at, Part: 0.3 + 0.7*rnd.Float64()},
		missedDrain(rnd, at, 3*time.Second))
	s.Length = max(s.Length, at+judged)
}

// missedDrain drains workers for good, so that the list says so within a time.
func missedDrain(rnd *rand.Rand, from, within time.Duration) scenario.Fault {
	at := from + time.Duration(rnd.Float64()*float64(within)) - newsNotice
	return scenario.Fault{Kind: "shrink", At: max(0, at), Length: newsDrain, Size: 0.5 + 0.4*rnd.Float64(), Extra: newsDrain}
}
