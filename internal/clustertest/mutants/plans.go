package mutants

import (
	"fmt"
	"slices"
	"time"

	"burlpass/internal/clustertest/faults"
)

// plan is a run of five voters and some observers with faults made by hand; the seed is that of the clients.
func plan(seed uint64, length time.Duration, observers int, list ...faults.Fault) *faults.Plan {
	p := &faults.Plan{Seed: seed, Length: length, Clients: 6, Gap: 30 * time.Millisecond, Small: true, Faults: list}
	for i := range 5 {
		p.Voters = append(p.Voters, fmt.Sprintf("v%d", i+1))
	}
	for i := range observers {
		p.Observers = append(p.Observers, fmt.Sprintf("o%d", i+1))
	}
	return p
}

const second = time.Second

// forgottenVote: v1 to v3 agree without v4 and v5; then v3 loses its disk, v1 and v2 are cut off, and the other three are left.
func forgottenVote(seed uint64) *faults.Plan {
	const ends = 5500 * time.Millisecond
	return plan(seed, 12*second, 2,
		faults.Fault{At: 2 * second, For: ends - 2*second, Kind: faults.Split, Target: "v4", Side: []string{"v5"}, Others: []string{"v1", "v2", "v3", "o1", "o2"}},
		faults.Fault{At: ends - 150*time.Millisecond, For: 5 * second, Kind: faults.Split, Target: "v1", Side: []string{"v2"}, Others: []string{"v3", "v4", "v5", "o1", "o2"}},
		faults.Fault{At: ends - 100*time.Millisecond, For: 50 * time.Millisecond, Kind: faults.Wipe, Target: "v3"})
}

// cutShort: what observers are sent breaks off after some bytes, while they are away for long enough to need a whole state.
func cutShort(seed uint64) *faults.Plan {
	var list []faults.Fault
	voters := []string{"v2", "v3", "v4", "v5"}
	for i := range 3 {
		at := time.Duration(2+3*i) * second
		list = append(list,
			faults.Fault{At: at, For: 1500 * time.Millisecond, Kind: faults.Cut, Target: "o1", Others: append([]string{"v1"}, voters...), Size: faults.Refusing},
			faults.Fault{At: at, For: 1500 * time.Millisecond, Kind: faults.Cut, Target: "o2", Others: append([]string{"v1"}, voters...), Size: faults.Refusing},
			faults.Fault{At: at + second, For: 2 * second, Kind: faults.Reset, Target: "v1", Side: voters, Others: []string{"o1", "o2"}, Size: int64(1500 + 1500*i)})
	}
	return plan(seed, 11*second, 2, list...)
}

// spoiltVoters: bits of what voters send each other are turned.
func spoiltVoters(seed uint64) *faults.Plan {
	voters := []string{"v1", "v2", "v3", "v4", "v5"}
	return plan(seed, 10*second, 1, faults.Fault{At: 2 * second, For: 7 * second, Kind: faults.Spoil, Target: "v1", Side: voters[1:], Others: voters, Size: 2500})
}

// spoiltObservers: bits of all that voters send to observers are turned.
func spoiltObservers(seed uint64) *faults.Plan {
	return plan(seed, 12*second, 3, faults.Fault{At: second, For: 10 * second, Kind: faults.Spoil, Target: "v1",
		Side: []string{"v2", "v3", "v4", "v5"}, Others: []string{"o1", "o2", "o3"}, Size: 3000})
}

// olderSource: v4 is behind, and all observers start again while they reach it.
func olderSource(seed uint64) *faults.Plan {
	list := []faults.Fault{
		{At: 2 * second, For: 7 * second, Kind: faults.Cut, Target: "v4", Others: []string{"v1", "v2", "v3", "v5"}},
		{At: 2 * second, For: 3 * second, Kind: faults.Cut, Target: "v4", Others: []string{"o1", "o2", "o3", "o4", "o5"}},
	}
	for i := range 5 {
		list = append(list, faults.Fault{At: 5200 * time.Millisecond, For: 100 * time.Millisecond, Kind: faults.Kill, Target: fmt.Sprintf("o%d", i+1)})
	}
	return plan(seed, 10*second, 5, list...)
}

// hourAhead: the leader's clock is an hour ahead.
func hourAhead(seed uint64) *faults.Plan {
	return plan(seed, 8*second, 1, faults.Fault{At: 2 * second, For: 5 * second, Kind: faults.Clock, Target: faults.Leader, Size: 3_600_000})
}

// powerLoss: all voters are killed at once, three times.
func powerLoss(seed uint64) *faults.Plan {
	var list []faults.Fault
	for _, at := range []time.Duration{2700 * time.Millisecond, 5400 * time.Millisecond, 8100 * time.Millisecond} {
		list = append(list, faults.Fault{At: at, For: 200 * time.Millisecond, Kind: faults.Power, Target: "voters"})
	}
	return plan(seed, 10*second, 2, list...)
}

// stoppedLeaders: whoever leads stands still until another one does, and goes on, over and over.
func stoppedLeaders(seed uint64) *faults.Plan {
	var list []faults.Fault
	for at := 2 * second; at < 11*second; at += 1800 * time.Millisecond {
		list = append(list, faults.Fault{At: at, For: 1100 * time.Millisecond, Kind: faults.Stop, Target: faults.Leader})
	}
	p := plan(seed, 12*second, 1, list...)
	p.Voters, p.Clients, p.Gap = p.Voters[:3], 16, 10*time.Millisecond
	return p
}

// deafLeaders: nothing comes from the other voters to each one in turn, while all of them hear it.
func deafLeaders(seed uint64) *faults.Plan {
	var list []faults.Fault
	voters := []string{"v1", "v2", "v3", "v4", "v5"}
	for n := range 10 {
		deaf := n % len(voters)
		others := slices.Delete(slices.Clone(voters), deaf, deaf+1)
		list = append(list, faults.Fault{At: 2*second + time.Duration(n)*900*time.Millisecond, For: 700 * time.Millisecond, Kind: faults.OneWay,
			Target: others[0], Side: others[1:], Others: []string{voters[deaf]}})
	}
	return plan(seed, 12*second, 2, list...)
}

// fullDisk: the leader's disk takes nothing more for a while.
func fullDisk(seed uint64) *faults.Plan {
	return plan(seed, 8*second, 1, faults.Fault{At: 2 * second, For: 2 * second, Kind: faults.Full, Target: faults.Leader})
}

// wiped: one voter loses its disk.
func wiped(seed uint64) *faults.Plan {
	return plan(seed, 5*second, 1, faults.Fault{At: 2 * second, For: 200 * time.Millisecond, Kind: faults.Wipe, Target: "v3"})
}

// longWay: what voters send to observers takes up to half a second, and observers stand still.
func longWay(seed uint64) *faults.Plan {
	list := []faults.Fault{{At: 2 * second, For: 9 * second, Kind: faults.Slow, Target: "o1", Others: []string{"v1", "v2", "v3", "v4", "v5"},
		Delay: 400 * time.Millisecond}}
	for at := 2 * second; at < 10*second; at += 2 * second {
		list = append(list, faults.Fault{At: at, For: 1200 * time.Millisecond, Kind: faults.Stop, Target: "o2"})
	}
	return plan(seed, 12*second, 2, list...)
}
