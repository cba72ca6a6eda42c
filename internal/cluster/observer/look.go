package observer

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"burlpass/internal/cluster/api"
)

// Limits of one search for a source.
const (
	maxTries        = 48               // members asked
	maxDepth        = 16               // length of a chain of members that name each other
	maxAlternatives = 4                // of those named by a member that are asked
	penaltyTTL      = 10 * time.Second // how long a failed member is ranked last
	maxPenalties    = 1024             // failed members remembered
)

// candidate is a member that might be followed.
type candidate struct {
	Source
	depth int // 0 if it is configured
}

// findSource asks members until one accepts this observer and is not cut off itself. The leader is the last resort, because its
// load must not grow with the fleet. If all are cut off, the one with the freshest state is returned, since a later search may
// find a better one. The error is why the last member did not qualify.
func (o *Observer) findSource(ctx context.Context) (candidate, error) { return o.searchSource(ctx, "") }

// searchSource implements findSource. If the observer follows a leader, it only looks for another member, and accepts none that
// is cut off. Configured members come first, in an order specific to this observer, then those that they name.
func (o *Observer) searchSource(ctx context.Context, leader string) (candidate, error) {
	leavingLeader := leader != ""
	asked := map[string]bool{o.config.Name: true, leader: true}
	var queue, leaders []candidate
	var freshestStale response // from members that are cut off
	var staleSource candidate
	for _, s := range o.rank(o.config.Sources, 0) {
		queue = append(queue, candidate{s, 0})
	}
	err := errors.New("no source left to ask")
	for tries := 0; ctx.Err() == nil; tries++ {
		var next candidate
		avoidLeader := len(queue) > 0 && tries < maxTries
		switch {
		case avoidLeader:
			next, queue = queue[0], queue[1:]
			if asked[next.Name] {
				continue
			}
			asked[next.Name] = true
		case len(leaders) > 0 && !leavingLeader:
			next, leaders = leaders[0], leaders[1:]
		case freshestStale.Batch != nil && !leavingLeader:
			return staleSource, nil
		default:
			return candidate{}, err
		}
		var b response
		b, err = o.requestEntries(ctx, next, 0, avoidLeader)
		if err == nil && leavingLeader && o.isStale(b) {
			err = errStale // it is not applied: the leader has a newer state
		}
		if err == nil {
			if err = o.accept(ctx, next.Source, b); err == nil && o.isStale(b) {
				if err = errStale; freshestStale.Batch == nil || o.freshnessOf(b).After(o.freshnessOf(freshestStale)) {
					freshestStale, staleSource = b, next
				}
			}
		}
		var full *api.AtCapacityError
		switch {
		case err == nil:
			o.sourceFollowed(next.Source, b)
			return next, nil
		case errors.Is(err, api.ErrSourceIsLeader):
			leaders = append(leaders, next)
		case errors.As(err, &full):
			if next.depth < maxDepth {
				for i, s := range o.rank(full.Alternatives, o.salt) {
					if i == maxAlternatives {
						break
					}
					queue = append(queue, candidate{s, next.depth + 1})
				}
			}
		default:
			o.penalize(next.Name)
			if errors.Is(err, api.ErrFormat) && !o.formatLogged { // no source is lost here, so nothing else logs it
				o.formatLogged = true
				o.log.Error("cluster_state_refused", "source", next.Name, "shown", o.state.View().Version(), "why", err)
			}
		}
	}
	return candidate{}, ctx.Err()
}

// leaveLeader switches from the leader to another member, configured or named by one, if any accepts this observer. When a fleet
// starts, those members are often not ready yet.
func (o *Observer) leaveLeader(ctx context.Context, leader candidate) (candidate, bool) {
	next, err := o.searchSource(ctx, leader.Name)
	if err != nil {
		return leader, false
	}
	return next, true
}

// rank sorts members by rendezvous hashing, so that each observer has its own order and all observers together spread evenly.
// Members that failed recently come last.
func (o *Observer) rank(list []Source, salt uint64) []Source {
	now := time.Now()
	for name, at := range o.penalties {
		if now.Sub(at) > penaltyTTL {
			delete(o.penalties, name)
		}
	}
	failed := func(s Source) int {
		if _, bad := o.penalties[s.Name]; bad {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b Source) int {
		return cmp.Or(cmp.Compare(failed(a), failed(b)),
			cmp.Compare(rendezvousWeight(o.config.Name, b.Name, salt), rendezvousWeight(o.config.Name, a.Name, salt)))
	})
	return sorted
}

// penalize ranks a member last until penaltyTTL has passed.
func (o *Observer) penalize(name string) {
	if len(o.penalties) >= maxPenalties {
		clear(o.penalties)
	}
	o.penalties[name] = time.Now()
}

// rendezvousWeight is the rendezvous hash of an observer and a source.
func rendezvousWeight(own, source string, salt uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(own + "\x00" + source))
	n := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	// The last bytes barely affect the upper bits of FNV, so the result passes through the finalizer of MurmurHash3.
	n = (n ^ n>>33) * 0xff51afd7ed558ccd
	n = (n ^ n>>33) * 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}
