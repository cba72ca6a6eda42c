package voter

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burlpass/internal/lease"
	"burlpass/internal/limits"
)

const (
	limitPerSecond = 1000                  // the fleet's limit
	bucketLength   = 10 * time.Millisecond // resolution of the counters
)

// roundRobinMember sends lease requests to one voter, and on an error to the next, as an observer does.
type roundRobinMember struct {
	members   []atomic.Pointer[Voter]
	lastIndex atomic.Int32
}

func (a *roundRobinMember) Lease(ctx context.Context, ask lease.Ask) (lease.Answer, error) {
	err := errors.New("no voter is open")
	for i := range a.members {
		n := (int(a.lastIndex.Load()) + i) % len(a.members)
		if v := a.members[n].Load(); v != nil {
			var got lease.Answer
			one, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
			got, err = v.Lease(one, ask)
			cancel()
			if err == nil {
				a.lastIndex.Store(int32(n))
				return got, nil
			}
		}
	}
	return lease.Answer{}, err
}

// fleet is a set of processes with calls that all count for one limit.
type fleet struct {
	b            *testing.B
	c            *cluster
	start        time.Time
	admitted     []atomic.Int64 // calls admitted, by bucket
	offeredCalls []atomic.Int64 // calls offered, by bucket
	members      []*roundRobinMember
	ctx          context.Context
	wg           sync.WaitGroup
}

// process starts a process that offers calls at a rate that may change each second.
func (f *fleet) process(i int, rate func(second int) float64) {
	a := &roundRobinMember{members: make([]atomic.Pointer[Voter], len(f.c.nodes))}
	for n, d := range f.c.nodes {
		a.members[n].Store(d.v)
	}
	a.lastIndex.Store(int32(i % len(a.members)))
	f.members = append(f.members, a)
	l := limits.New(limits.Config{Member: a, Name: fmt.Sprint("p", i)})
	l.Set([]lease.Limit{{ID: "worker/w", Kind: lease.Rate, Amount: limitPerSecond * 1000}})
	f.wg.Add(2)
	go func() { defer f.wg.Done(); l.Run(f.ctx) }()
	go func() {
		defer f.wg.Done()
		ids, next := []string{"worker/w"}, f.start
		for f.ctx.Err() == nil {
			now := time.Now()
			r := rate(int(now.Sub(f.start) / time.Second))
			for ; !next.After(now); next = next.Add(time.Duration(rand.ExpFloat64() / r * float64(time.Second))) {
				bucket := min(int(time.Since(f.start)/bucketLength), len(f.admitted)-1)
				f.offeredCalls[bucket].Add(1)
				if _, _, ok := l.Take(ids, 0); ok {
					f.admitted[bucket].Add(1)
				}
			}
			if r < 1 {
				next = now
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
}

func newFleet(b *testing.B, seconds int) (*fleet, func()) {
	c := newLimitedCluster(b, 5)
	c.leader().write("a", "w", 0)
	ctx, cancel := context.WithCancel(context.Background())
	buckets := seconds * int(time.Second/bucketLength)
	f := &fleet{b: b, c: c, start: time.Now(), ctx: ctx, admitted: make([]atomic.Int64, buckets+200), offeredCalls: make([]atomic.Int64, buckets+200)}
	return f, func() { cancel(); f.wg.Wait() }
}

// report adds the maximum number of calls admitted within any second, and the admitted share of the calls that the limit
// allowed.
func (f *fleet) report(name string, from, to int) {
	n := int(time.Second / bucketLength)
	var admitted, possible, most, window int64
	for i := from * n; i < to*n; i++ {
		if window += f.admitted[i].Load(); i >= from*n+n {
			window -= f.admitted[i-n].Load()
		}
		most = max(most, window)
	}
	for s := from; s < to; s++ {
		offered := int64(0)
		for i := s * n; i < s*n+n; i++ {
			offered += f.offeredCalls[i].Load()
			admitted += f.admitted[i].Load()
		}
		possible += min(limitPerSecond, offered)
	}
	f.b.ReportMetric(float64(most)/limitPerSecond*100, name+"-most-%")
	f.b.ReportMetric(float64(admitted)/float64(possible)*100, name+"-used-%")
	f.b.ReportMetric(0, "ns/op")
}

// randomRates returns the rates of 8 processes for each second. Their sum always exceeds the limit.
func randomRates(seconds int) [][]float64 {
	r := rand.New(rand.NewPCG(1, 2))
	all := make([][]float64, seconds+10)
	for s := range all {
		all[s] = make([]float64, 8)
		sum := 0.0
		for i := range all[s] {
			all[s][i] = r.Float64() * 400
			sum += all[s][i]
		}
		for i := range all[s] {
			all[s][i] *= math.Max(1, 1.1*limitPerSecond/sum)
		}
	}
	return all
}

// BenchmarkLeases shares a limit of 1,000 calls per second between 8 processes whose demand changes each second, with 5 voters.
func BenchmarkLeases(b *testing.B) {
	const seconds = 25
	rates := randomRates(seconds)
	for _, name := range []string{"calm", "killed"} {
		b.Run(name, func(b *testing.B) {
			f, end := newFleet(b, seconds)
			defer end()
			for i := range 8 {
				f.process(i, func(s int) float64 { return rates[min(s, len(rates)-1)][i] })
			}
			for s := 6; s < seconds; s += 5 {
				time.Sleep(time.Until(f.start.Add(time.Duration(s) * time.Second)))
				if name != "killed" {
					continue
				}
				leader := f.c.leader()
				for i, d := range f.c.nodes {
					if d == leader {
						for _, a := range f.members {
							a.members[i].Store(nil)
						}
						leader.kill()
						leader.open()
						for _, a := range f.members {
							a.members[i].Store(leader.v)
						}
					}
				}
			}
			time.Sleep(time.Until(f.start.Add(seconds * time.Second)))
			f.report(name, 5, seconds)
		})
	}
}

// BenchmarkLeaseCost measures the CPU time of lease holders and five voters together, without calls.
func BenchmarkLeaseCost(b *testing.B) {
	for _, n := range []int{0, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, end := newFleet(b, 20)
			defer end()
			var answered atomic.Int64
			for i := range n {
				f.wg.Add(1)
				go f.requestLeases(i, &answered)
			}
			time.Sleep(4 * time.Second)
			from, answeredBefore := cpuTime(b), answered.Load()
			time.Sleep(10 * time.Second)
			b.ReportMetric(float64(cpuTime(b)-from)/float64(10*time.Millisecond), "cpu-ms/s")
			b.ReportMetric(float64(answered.Load()-answeredBefore)/10, "answers/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// requestLeases runs a holder of one limit that sends a request four times a second.
func (f *fleet) requestLeases(i int, answered *atomic.Int64) {
	defer f.wg.Done()
	h := lease.NewHolder(fmt.Sprint("p", i), 0)
	h.Set([]lease.Limit{{ID: "worker/w", Kind: lease.Rate, Amount: limitPerSecond * 1000}})
	time.Sleep(time.Duration(rand.Int64N(int64(250 * time.Millisecond))))
	for t := time.NewTicker(250 * time.Millisecond); f.ctx.Err() == nil; <-t.C {
		now := time.Since(f.start)
		ask := h.Ask(now, now, func(*lease.Held) lease.Use { return lease.Use{Demand: 3000 + rand.Int64N(3000), Most: -1} })
		if a, err := f.c.nodes[i%len(f.c.nodes)].v.Lease(f.ctx, ask); err == nil {
			h.Answer(&a)
			answered.Add(1)
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
