// Package judge tells from what passed on the laboratory's own sockets whether sidecars kept the rules, and what
// they were worth. It believes nothing that a sidecar says of itself, does no I/O and reads no clock: it is handed
// Events in the order of their time, and gives a Report.
package judge

import (
	"fmt"
	"slices"
	"time"

	"burlpass/internal/lab/scenario"
)

// Kind is what happened.
type Kind uint8

// The events. Call is a try's id; Serial is an attempt's, given by the laboratory in order of arrival.
const (
	Asked     Kind = iota // Call, Arrival, Sidecar, Class, Budget, Again: the last byte of a call is out to its sidecar
	Answered              // Call, Status, RetryAfter, Body: its last byte has come
	Ended                 // Call, On: the sidecar ended the connection without a whole answer; On where it had read the call for sure
	Quit                  // Call: the client left early, by its own will
	GaveUp                // Call: the client stopped waiting, well after its deadline
	Arrived               // Call, Serial, Sidecar, Worker, First, Unread, Spoilt: the last byte of an attempt has reached a worker's machine
	Ran                   // Serial, Body: the worker did the work and made this answer
	Unrun                 // Serial: the worker turned it away, saying so
	Closed                // Serial: the attempt is over on its connection: answered whole, or the connection ended
	Probed                // Sidecar, Worker
	Told                  // Sidecar, Worker, State, Started: the registry has written this to a sidecar
	Listed                // Worker, State, Started: it stands on the registry's list
	Able                  // Worker, On: whether it could serve, in truth
	Fell                  // Worker, From: it was pushed over while cold
	Killed                // Sidecar, by the laboratory
	Termed                // Sidecar got SIGTERM
	Exited                // Sidecar, Status, Wanted: its process ended; Wanted where the laboratory brought that about
	Began                 // Sidecar: it answers its health check
	Used                  // Sidecar, Memory, Sockets: a sample
	Pipelined             // Serial, Worker: bytes of another call before the answer
	BadCall               // Worker, Text: what no client sent came to a worker
	Hushed                // Sidecar, Budget: a watch that it has open will never be answered; Budget is what is left of its wait
	Denied                // Sidecar: a call of its for the list failed
	Resumed               // Sidecar: the first answer to a call for the list after Hushed or Denied is out
	Reloaded              // Sidecar gets SIGHUP with its registry moved
	Pushed                // Worker, Sidecar, Started, Work: work has come to a process, whatever becomes of it
	Stopped               // Sidecar, Took, Text: a client stopped within a request, and got its first byte or the end after Took; Text is where
	Reached               // On: whether the registry can be reached; it can at first
)

// Event is something that happened, with the fields that its kind names.
type Event struct {
	At         time.Duration
	Kind       Kind
	Call       uint64
	Serial     int64
	Arrival    int
	Sidecar    int
	Worker     int
	Class      int
	Status     int
	State      uint8 // as world.State
	On         bool
	Again      bool
	Wanted     bool
	First      time.Duration // of the attempt's first byte
	Unread     time.Duration // for which the attempt's last byte had lain at the machine before At, where that is known
	Budget     time.Duration
	RetryAfter time.Duration
	Started    time.Duration
	Work       time.Duration // on a standard core
	Took       time.Duration
	Body       uint64 // a hash
	Memory     int64
	Sockets    int
	From       map[int]float64
	Text       string
}

// Rule names what was broken.
type Rule string

// The rules. The first four are PROTOCOL's and WIRE's; a broken one voids the day.
const (
	Answer   Rule = "answer"   // exactly one final answer, in time, and the worker's own
	Effect   Rule = "effect"   // no repeated effect, no second copy, lawful refusals
	Drain    Rule = "drain"    // nothing new to a worker told to drain
	Cold     Rule = "cold"     // no cold worker pushed over
	Stop     Rule = "stop"     // a client that stops within a request gets an error or a close in time
	Crash    Rule = "crash"    // the process ended, or went over its limits
	Verbatim Rule = "verbatim" // what a call carries passes byte for byte
)

// stopOwed is what a client that stops within a request is owed: an error or a close, counted from its last byte.
const stopOwed = 3 * time.Second

// Violation is one breach of a rule.
type Violation struct {
	At      time.Duration `json:"at"`
	Rule    Rule          `json:"rule"`
	Sidecar int           `json:"sidecar"`
	Text    string        `json:"text"`
}

// String is the violation as a report's line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %-8s n%d %s", v.At.Seconds(), v.Rule, v.Sidecar, v.Text)
}

// call is one try of a client.
type call struct {
	id       uint64
	arrival  int
	sidecar  int
	life     int // of the sidecar's process
	class    int
	asked    time.Duration
	budget   time.Duration
	over     bool // answered, or nobody waits
	attempts []*attempt
}

// attempt is one attempt.
type attempt struct {
	serial  int64
	call    *call
	worker  int
	hall    int
	at      time.Duration
	got     time.Duration // when its last byte had reached the machine, which may have fallen silent
	sidecar int
	ran     bool
	unrun   bool
	body    uint64
	closed  bool
	shut    time.Duration
}

type sidecar struct {
	life     int
	up       bool
	began    time.Duration // of this life
	termed   time.Duration // negative where it was not
	killed   bool
	before   []ending // how the lives before this one ended, by life
	told     map[int]told
	silences []silence     // calls for the list that are never answered, in order
	failed   time.Duration // its last call for the list failed then; negative where it did not
	moved    time.Duration // of the last SIGHUP, negative where there was none
	used     []Sample
}

// ending is how a life of a sidecar ended.
type ending struct {
	termed time.Duration
	killed bool
}

// ending returns how a life has ended, or what has been done to it so far.
func (s *sidecar) ending(life int) ending {
	if life < len(s.before) {
		return s.before[life]
	}
	return ending{s.termed, s.killed}
}

// Sample is what one sidecar used at a moment.
type Sample struct {
	At      time.Duration `json:"at"`
	Sidecar int           `json:"sidecar"`
	Memory  int64         `json:"memory"`
	Sockets int           `json:"sockets"`
}

// Fleet is what the judge must know of the day: halls by worker and sidecar.
type Fleet struct {
	Scenario *scenario.Scenario
	Worker   []int     // hall by worker
	Cell     []int     // cell by worker
	Sidecar  []int     // hall by sidecar
	Able     []float64 // seconds of standard work a second, warm, by worker; where empty cold workers' budgets are not counted
	Arrivals []ArrivalOf
	Until    time.Duration // calls that came later do not count for or against the day's worth
}

// ArrivalOf is when a client's call came, and of which class.
type ArrivalOf struct {
	At      time.Duration
	Class   int
	Sidecar int
	Kept    bool // comes on a kept connection or not at all, and counts only where it came
}

// Judge follows one day.
type Judge struct {
	fleet      Fleet
	rules      scenario.Rules
	calls      map[uint64]*call
	attempts   map[int64]*attempt
	sidecars   []*sidecar
	listed     map[int]told
	down       bool          // the registry cannot be reached
	back       time.Duration // since when it can
	now        time.Duration
	violations []Violation
	dropped    int // violations beyond maxViolations
	tally      tally
	belief     *belief
	cold       *cold
}

const maxViolations = 200

// New returns a Judge of one day.
func New(f Fleet) *Judge {
	j := &Judge{fleet: f, rules: f.Scenario.Rules, calls: map[uint64]*call{}, attempts: map[int64]*attempt{},
		listed: map[int]told{}, belief: newBelief(f), cold: newCold(f)}
	for range f.Sidecar {
		j.sidecars = append(j.sidecars, &sidecar{told: map[int]told{}, termed: -1, failed: -1, moved: -1})
	}
	j.tally.init(f)
	return j
}

// slack is the allowance for what the laboratory cannot order exactly: two sockets' events.
const slack = 50 * time.Millisecond

func (j *Judge) broke(rule Rule, sidecar int, format string, args ...any) {
	if len(j.violations) >= maxViolations {
		j.dropped++
		return
	}
	j.violations = append(j.violations, Violation{j.now, rule, sidecar, fmt.Sprintf(format, args...)})
}

// Until sets the time after which calls do not count for or against the day's worth.
func (j *Judge) Until(t time.Duration) { j.tally.fleet.Until = t }

// Violations are the breaches so far.
func (j *Judge) Violations() []Violation { return j.violations }

// Observe takes in the next event.
func (j *Judge) Observe(e Event) {
	j.now = max(j.now, e.At)
	j.cold.observe(&e)
	switch e.Kind {
	case Asked:
		j.asked(&e)
	case Answered:
		j.answered(&e)
	case Ended:
		j.ended(&e)
	case Quit:
		if c := j.calls[e.Call]; c != nil {
			c.over = true
			j.tally.quit++
		}
	case GaveUp:
		j.gaveUp(&e)
	case Arrived:
		j.arrived(&e)
	case Ran:
		if a := j.attempts[e.Serial]; a != nil {
			a.ran, a.body = true, e.Body
		}
	case Unrun:
		if a := j.attempts[e.Serial]; a != nil {
			a.unrun = true
			j.tally.turnedAway++
		}
	case Closed:
		if a := j.attempts[e.Serial]; a != nil {
			a.closed, a.shut = true, e.At
			j.belief.closed(a, e.At)
		}
	case Stopped:
		if e.Took > stopOwed+slack {
			j.broke(Stop, e.Sidecar, "a client that stopped %s was ended after %v", e.Text, e.Took)
		}
	case Probed:
		j.tally.probes++
	case Told:
		j.told(&e)
	case Listed:
		if old, ok := j.listed[e.Worker]; !ok || old.state != e.State || old.started != e.Started {
			j.listed[e.Worker] = told{e.State, e.At, e.Started}
		}
	case Able:
		j.belief.able(e.Worker, e.At, e.On)
	case Fell:
		j.fell(&e)
	case Killed:
		j.sidecars[e.Sidecar].up = false
		j.sidecars[e.Sidecar].killed = true
		j.sidecars[e.Sidecar].silences = nil
	case Termed:
		j.sidecars[e.Sidecar].termed = e.At
	case Exited:
		s := j.sidecars[e.Sidecar]
		s.up, s.silences = false, nil
		if !e.Wanted {
			j.broke(Crash, e.Sidecar, "its process ended by itself: %s", e.Text)
		} else if e.Status != 0 && e.Text == "term" {
			j.broke(Crash, e.Sidecar, "it ended with code %d after SIGTERM", e.Status)
		}
	case Began:
		s := j.sidecars[e.Sidecar]
		*s = sidecar{life: s.life + 1, up: true, began: e.At, termed: -1, failed: -1, moved: -1, told: j.begins(s), used: s.used,
			silences: s.silences, before: append(s.before, ending{s.termed, s.killed})}
	case Used:
		s := j.sidecars[e.Sidecar]
		s.used = append(s.used, Sample{e.At, e.Sidecar, e.Memory, e.Sockets})
		if limit := int64(j.fleet.Scenario.Limits.Memory); e.Memory > limit {
			j.broke(Crash, e.Sidecar, "%d MiB resident, %d allowed", e.Memory>>20, limit>>20)
		}
	case Pipelined:
		j.broke(Effect, e.Sidecar, "a second call on w%03d's connection before the answer to the first", e.Worker)
	case BadCall:
		j.broke(Verbatim, e.Sidecar, "w%03d got what no client sent: %s", e.Worker, e.Text)
	case Hushed:
		j.hushed(&e)
	case Denied:
		j.sidecars[e.Sidecar].failed = e.At
	case Resumed:
		j.resumed(&e)
	case Reached:
		j.down, j.back = !e.On, e.At
	case Reloaded:
		j.reloaded(&e)
	}
}

// Finish closes the day: what is still owed is lost, and copies that were out together are found.
func (j *Judge) Finish(now time.Duration) {
	j.now = max(j.now, now)
	ids := []uint64{}
	for id, c := range j.calls {
		if s := j.sidecars[c.sidecar]; !c.over && s.up && s.life == c.life && now-c.asked > c.budget+j.rules.AnswerSlack {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := j.calls[id]
		j.broke(Answer, c.sidecar, "%s %x never answered", j.className(c), c.id)
	}
	for _, pair := range j.tally.overlaps {
		first, second := pair[0], pair[1]
		if !first.closed || first.shut > second.at+slack {
			until := "the end"
			if first.closed {
				until = first.shut.String()
			}
			j.broke(Effect, second.sidecar, "%s %x out twice at once, at w%03d from %v to %s and at w%03d from %v", j.className(second.call),
				second.call.id, first.worker, first.at, until, second.worker, second.at)
		}
	}
}
