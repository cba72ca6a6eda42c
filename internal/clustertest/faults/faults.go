// Package faults draws what goes wrong in one run of a cluster from a seed. It is pure: the same seed and members give the
// same schedule, whatever comes of it on real machines.
package faults

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind names a sort of fault.
type Kind string

// The kinds. Between processes:
const (
	Cut     Kind = "cut"     // nothing passes between Target and Others, either way
	OneWay  Kind = "one_way" // nothing passes from Target to Others; the other way it does
	Split   Kind = "split"   // nothing passes between Target with its side and Others; Side has the rest of Target's
	Slow    Kind = "slow"    // Delay and jitter between Target and Others, both ways
	Trickle Kind = "trickle" // Size bytes a second from Target to Others
	Reset   Kind = "reset"   // connections between Target and Others are reset after Size bytes from Target
	Spoil   Kind = "spoil"   // a bit in every Size bytes from Target to Others is turned
	Refuse  Kind = "refuse"  // new connections from Target to Others are refused
	Silent  Kind = "silent"  // new connections from Target to Others are accepted and nothing more
)

// And of processes:
const (
	Kill  Kind = "kill"  // SIGKILL; started again when it ends
	Power Kind = "power" // SIGKILL to all voters at once; started again when it ends
	Term  Kind = "term"  // SIGTERM; started again when it ends
	Stop  Kind = "stop"  // SIGSTOP; SIGCONT when it ends
	Hup   Kind = "hup"   // SIGHUP
	Wipe  Kind = "wipe"  // SIGKILL, and the folder is emptied; started again when it ends
	Tear  Kind = "tear"  // SIGKILL, and the end of what was kept last is spoilt; started again when it ends
	Full  Kind = "full"  // the disk takes nothing more; the process is started anew when it ends
	Rot   Kind = "rot"   // a bit of what was kept long ago is turned while the process runs; it is started anew when it ends
	Clock Kind = "clock" // the clock is off by Size milliseconds
	Jump  Kind = "jump"  // the clock jumps each Delay, to and fro by up to Size milliseconds
	Fsync Kind = "fsync" // the disk takes Delay longer for each commit
)

// Leader is a Target: whoever leads when the fault begins.
const Leader = "*leader"

// Refusing is the Size of a Cut, OneWay or Split whose new connections are refused; else they are accepted and silent.
const Refusing = 1

// Fault is one thing that goes wrong for a time.
type Fault struct {
	At, For time.Duration // since the run began, and how long
	Kind    Kind
	Target  string   // a member's name, or Leader
	Side    []string // Split: who is with Target
	Others  []string // whom it is from; empty: everybody else
	Delay   time.Duration
	Size    int64
}

// End is when the fault ends.
func (f Fault) End() time.Duration { return f.At + f.For }

// String is the fault as a line of a schedule.
func (f Fault) String() string {
	text := fmt.Sprintf("%6.2fs to %6.2fs  %-8s %s", f.At.Seconds(), f.End().Seconds(), f.Kind, strings.Join(append([]string{f.Target}, f.Side...), ","))
	if len(f.Others) > 0 {
		text += " | " + strings.Join(f.Others, ",")
	}
	if f.Delay > 0 {
		text += fmt.Sprintf(" %v", f.Delay)
	}
	if f.Size != 0 {
		text += fmt.Sprintf(" %d", f.Size)
	}
	return text
}

// Plan is one run.
type Plan struct {
	Seed      uint64
	Length    time.Duration // clients write and faults go on for so long; then all heals
	Voters    []string
	Observers []string
	Faults    []Fault       // by their begin
	Gap       time.Duration // between two calls of a client, on average
	Clients   int
	Limits    bool    // limits of the fleet are set and used
	Press     float64 // with limits: calls a second at each sidecar; 0: a number that changes
	Small     bool    // the build with small bounds is played, so that snapshots and whole states are common
}

// Options bound what a seed draws.
type Options struct {
	Voters, Observers int // 0: 5, in one plan of eight 7, and 8
	Length            time.Duration
	Without           []Kind // are not drawn
}

// Draw gives the plan of a seed.
func Draw(seed uint64, o Options) *Plan {
	r := rand.New(rand.NewPCG(seed, 0x6275726c70617373))
	p := &Plan{Seed: seed, Length: o.Length, Clients: 4 + r.IntN(5), Gap: time.Duration(20+r.IntN(60)) * time.Millisecond, Small: r.IntN(4) > 0}
	if p.Length <= 0 {
		p.Length = time.Duration(10+r.IntN(51)) * time.Second
	}
	p.Limits = r.IntN(2) == 0
	usual := 5
	if r.IntN(8) == 0 {
		usual = 7
	}
	p.Voters = names("v", cmp.Or(o.Voters, usual))
	p.Observers = names("o", cmp.Or(o.Observers, 8))
	// About one fault begins each 1.2 s, and lasts up to a third of the run: two to five at a time.
	count := 3 + int(p.Length/(1200*time.Millisecond))
	for range count {
		if f := p.draw(r); !slices.Contains(o.Without, f.Kind) {
			p.Faults = append(p.Faults, f)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i+1)
	}
	return list
}

// share is how often a kind is drawn against the others.
type share struct {
	kind  Kind
	share int
}

func shares() []share {
	return []share{{Cut, 12}, {OneWay, 8}, {Split, 10}, {Slow, 6}, {Trickle, 4}, {Reset, 6}, {Spoil, 3}, {Refuse, 3}, {Silent, 4},
		{Kill, 14}, {Power, 3}, {Term, 4}, {Stop, 8}, {Hup, 1}, {Wipe, 7}, {Tear, 3}, {Full, 4}, {Rot, 3}, {Clock, 5}, {Jump, 3}, {Fsync, 5}}
}

func (p *Plan) draw(r *rand.Rand) Fault {
	sum := 0
	for _, s := range shares() {
		sum += s.share
	}
	n := r.IntN(sum)
	var f Fault
	for _, s := range shares() {
		if n -= s.share; n < 0 {
			f.Kind = s.kind
			break
		}
	}
	f.At = between(r, p.Length/20, p.Length*17/20)
	f.For = min(between(r, 300*time.Millisecond, p.Length/3), p.Length*19/20-f.At)
	f.Target = p.target(r, f.Kind)
	p.detail(r, &f)
	return f
}

// target draws whom a fault meets: voters more often than their number, and often the leader.
func (p *Plan) target(r *rand.Rand, k Kind) string {
	switch n := r.IntN(10); {
	case n < 3 && k != Split:
		return Leader
	case n < 7:
		return p.Voters[r.IntN(len(p.Voters))]
	default:
		return p.Observers[r.IntN(len(p.Observers))]
	}
}

// detail draws what else a kind needs.
func (p *Plan) detail(r *rand.Rand, f *Fault) {
	switch f.Kind {
	case Cut, OneWay:
		f.Others, f.Size = p.some(r, f.Target), r.Int64N(Refusing+1)
	case Split:
		all := append(slices.Clone(p.Voters), p.Observers...)
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		at := 1 + r.IntN(len(all)-1)
		f.Target, f.Side, f.Others, f.Size = all[0], all[1:at], all[at:], r.Int64N(Refusing+1)
	case Slow:
		f.Others, f.Delay = p.some(r, f.Target), between(r, 5*time.Millisecond, 400*time.Millisecond)
	case Trickle:
		f.Others, f.Size = p.some(r, f.Target), 500+r.Int64N(20_000)
	case Reset:
		f.Others, f.Size = p.some(r, f.Target), 100+r.Int64N(8000)
	case Spoil:
		f.Others, f.Size = p.some(r, f.Target), 1000+r.Int64N(20_000)
	case Refuse, Silent:
		f.Others = p.some(r, f.Target)
	case Kill, Term, Wipe, Tear, Rot:
		f.For = min(f.For, between(r, 50*time.Millisecond, 4*time.Second))
	case Power:
		f.Target, f.For = "voters", between(r, 50*time.Millisecond, 2*time.Second)
	case Stop, Full:
		f.For = min(f.For, between(r, 300*time.Millisecond, 6*time.Second))
	case Hup:
		f.For = 0
	case Jump:
		f.Delay, f.Size = between(r, 100*time.Millisecond, time.Second), []int64{500, 30_000, 3_600_000}[r.IntN(3)]
	case Fsync:
		f.Delay = between(r, 50*time.Millisecond, 2*time.Second)
	case Clock:
		f.Size = []int64{-3_600_000, -30_000, -500, 500, 30_000, 3_600_000}[r.IntN(6)]
	}
}

// some draws whom a fault between processes is from: nobody named means everybody else.
func (p *Plan) some(r *rand.Rand, target string) []string {
	if r.IntN(2) == 0 {
		return nil
	}
	all := append(slices.Clone(p.Voters), p.Observers...)
	if r.IntN(2) == 0 {
		all = slices.Clone(p.Voters)
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = slices.DeleteFunc(all, func(s string) bool { return s == target })
	return all[:1+r.IntN(min(3, len(all)))]
}

// Wrong tells how many voters' clocks may be wrong at once, and how many of them ahead, so that the record's time is never ahead: it
// is the lower median of what a majority says, and with only just a majority answering no more than half of it may be ahead.
func Wrong(voters int) (all, ahead int) { return (voters - 1) / 2, (voters/2 + 1) / 2 }

func between(r *rand.Rand, from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// Pair names two kinds that go on at once, whichever began first.
func Pair(a, b Kind) string { return string(min(a, b)) + "+" + string(max(a, b)) }

// Overlaps counts how often two kinds of fault go on at once, by Pair.
func (p *Plan) Overlaps() map[string]int {
	of := map[string]int{}
	for i, a := range p.Faults {
		for _, b := range p.Faults[i+1:] {
			if b.At < a.End() {
				of[Pair(a.Kind, b.Kind)]++
			}
		}
	}
	return of
}

// String is the whole schedule, a line for each fault.
func (p *Plan) String() string {
	text := fmt.Sprintf("seed %d: %v, %d voters, %d observers, %d clients with %v between calls, small bounds %v, limits %v\n", p.Seed, p.Length, len(p.Voters),
		len(p.Observers), p.Clients, p.Gap, p.Small, p.Limits)
	for _, f := range p.Faults {
		text += "  " + f.String() + "\n"
	}
	return text
}
