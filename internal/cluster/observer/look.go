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

// Bounds of one round of looking for a source.
const (
	maxTries        = 48 // members asked
	maxDepth        = 16 // members asked because another named them, one after another
	maxAlternatives = 4  // of those that a member names
	penaltyTTL      = 10 * time.Second
	maxPenalties    = 1024 // remembered as having failed
)

// candidate is a member that might be followed.
type candidate struct {
	Source
	depth int // 0: configured
}

// look asks members until one takes this observer in and is not cut off itself. The leader, whose work must not grow with
// the fleet, comes when all else has failed. Where all are cut off it gives the one that was so last: another round may find
// better. The error is why the last one was not it.
func (o *Observer) findSource(ctx context.Context) (candidate, error) { return o.searchSource(ctx, "") }

// search is look; from a leader that is followed it looks for another member alone, and takes none that is cut off. Those
// that are configured come first, in an order of this observer's own, then those that they name.
func (o *Observer) searchSource(ctx context.Context, leader string) (candidate, error) {
	leavingLeader := leader != ""
	asked := map[string]bool{o.config.Name: true, leader: true}
	var queue, leaders []candidate
	var freshestStale response // of those that are cut off
	var staleSource candidate
	for _, s := range o.rank(o.config.Sources, 0) {
		queue = append(queue, candidate{s, 0})
	}
	err := errors.New("no source is left to ask")
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
			err = errStale // nothing of it is shown, for the leader that is followed knows better
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
			if errors.Is(err, api.ErrFormat) && !o.formatLogged { // nobody is followed, so nobody is lost: it would not be told
				o.formatLogged = true
				o.log.Error("cluster_state_refused", "source", next.Name, "shown", o.state.View().Version(), "why", err)
			}
		}
	}
	return candidate{}, ctx.Err()
}

// besides goes over from the leader to another member, if one takes this observer in: a configured one, or one that such a
// member names. At a fleet's start those are often not ready yet.
func (o *Observer) leaveLeader(ctx context.Context, leader candidate) (candidate, bool) {
	next, err := o.searchSource(ctx, leader.Name)
	if err != nil {
		return leader, false
	}
	return next, true
}

// order sorts members by rendezvous hashing, so that each observer has its own order and all of them together spread evenly;
// those that have failed lately come last.
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
		return cmp.Or(cmp.Compare(failed(a), failed(b)), cmp.Compare(rendezvousWeight(o.config.Name, b.Name, salt), rendezvousWeight(o.config.Name, a.Name, salt)))
	})
	return sorted
}

func (o *Observer) penalize(name string) {
	if len(o.penalties) >= maxPenalties {
		clear(o.penalties)
	}
	o.penalties[name] = time.Now()
}

// weight is the rendezvous hash of an observer and a source.
func rendezvousWeight(own, source string, salt uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(own + "\x00" + source))
	n := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	// FNV's last bytes hardly reach the upper bits; this is the finalizer of MurmurHash3.
	n = (n ^ n>>33) * 0xff51afd7ed558ccd
	n = (n ^ n>>33) * 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}
