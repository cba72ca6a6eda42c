package lease

import "time"

// Holder tracks the leases of one process. Callers pass two times, of a monotonic clock (now) and of the wall clock (wall): a lease has
// expired as soon as either says so. It is not safe for concurrent use.
type Holder struct {
	name           string
	tail           time.Duration
	epoch          uint64
	number         uint64
	awaitingAnswer bool // the last request has no answer yet
	sentAt         [2]time.Duration
	held           map[string]*Held
	askOrder       []*Held
	askCursor      int // index in askOrder at which the next request starts, as one request may not have room for all limits
}

// Held is the state of one limit at its holder.
type Held struct {
	Limit
	amount    int64
	expiresAt [2]time.Duration
	removed   bool
}

// Use is the usage of a limit that a process reports.
type Use struct {
	Demand int64 // the amount that it could use
	Under  int64 // calls in flight, for limits of kind Calls
	Most   int64 // the process uses no more than this from now on, even if more is leased; negative: all that is leased
}

// NewHolder returns a holder without leases. The name is unique, also among earlier starts of the same process. The tail is how long a call may
// continue after its lease has expired; it is capped at MostTail.
func NewHolder(name string, tail time.Duration) *Holder {
	return &Holder{name: name, tail: max(0, min(tail, MostTail)), held: map[string]*Held{}}
}

// Tail returns how long a call that a limit of kind Calls counts may last.
func (h *Holder) Tail() time.Duration { return h.tail }

// Set replaces the limits in force at this process. Leases of other limits are dropped.
func (h *Holder) Set(limits []Limit) {
	held := make(map[string]*Held, len(limits))
	h.askOrder = h.askOrder[:0]
	for _, l := range limits {
		existing := h.held[l.ID]
		if held[l.ID] != nil {
			continue
		}
		if existing == nil || existing.Kind != l.Kind {
			existing = &Held{}
		}
		existing.Limit = l
		held[l.ID] = existing
		h.askOrder = append(h.askOrder, existing)
	}
	for id, existing := range h.held {
		if held[id] != existing {
			existing.removed = true
		}
	}
	h.held, h.askCursor = held, 0
}

// Held returns the limit with the given id, or nil if it is not in force.
func (h *Holder) Held(id string) *Held { return h.held[id] }

// Epoch returns the leader's epoch in the last answer, or 0 before the first one.
func (h *Holder) Epoch() uint64 { return h.epoch }

// Ask builds the next request, which is sent after now. It supersedes the request before it, whose answer will be ignored.
func (h *Holder) Ask(now, wall time.Duration, use func(*Held) Use) Ask {
	h.number++
	h.awaitingAnswer, h.sentAt = true, [2]time.Duration{now, wall}
	a := Ask{Holder: h.name, Number: h.number, Epoch: h.epoch, TailMs: int64(h.tail / time.Millisecond)}
	size := 0
	for i := range h.askOrder {
		index := (h.askCursor + i) % len(h.askOrder)
		l := h.askOrder[index]
		size += len(l.ID) + 80
		if len(a.Wants) == MostWants || size > maxAskBytes {
			h.askCursor = index
			break
		}
		u := use(l)
		if u.Most >= 0 {
			l.amount = min(l.amount, u.Most)
		}
		w := Want{ID: l.ID, Under: u.Under, Demand: max(0, min(u.Demand, l.Amount))}
		if l.inForce(now, wall) {
			w.Holds = l.amount
		}
		a.Wants = append(a.Wants, w)
	}
	return a
}

// Leave builds the last request, which returns all leases. They end at once at this holder.
func (h *Holder) Leave(now, wall time.Duration, use func(*Held) Use) Ask {
	for _, l := range h.askOrder {
		l.expiresAt = [2]time.Duration{}
	}
	a := h.Ask(now, wall, use)
	a.Leaves, h.awaitingAnswer = true, false
	return a
}

// Answer applies an answer. It returns false and ignores the answer if it is a duplicate or does not belong to the last request. Limits that
// the answer does not name stay as they are.
func (h *Holder) Answer(a *Answer) bool {
	if !h.awaitingAnswer || a.Number != h.number {
		return false
	}
	h.awaitingAnswer, h.epoch = false, a.Epoch
	const length = Length - Length/Drift
	for _, g := range a.Given {
		if l := h.held[g.ID]; l != nil {
			l.amount = max(0, g.Amount)
			l.expiresAt = [2]time.Duration{h.sentAt[0] + length, h.sentAt[1] + length}
		}
	}
	return true
}

// inForce reports whether the lease has not expired by either clock.
func (l *Held) inForce(now, wall time.Duration) bool {
	return now < l.expiresAt[0] && wall < l.expiresAt[1]
}

// Now returns the amount in force, and whether it comes from a lease. If unlimited is true there is no limit.
func (l *Held) Now(now, wall time.Duration) (amount int64, leased, unlimited bool) {
	switch {
	case l.removed:
		return 0, false, true
	case l.inForce(now, wall):
		return min(max(l.amount, l.Part()), l.Amount), true, false
	case l.Cut.Mode == Open:
		return 0, false, true
	}
	return l.Part(), false, false
}

// Until returns the expiry time of the lease by the monotonic clock.
func (l *Held) Until() time.Duration { return l.expiresAt[0] }

// Leased returns the amount of the lease, even if it has expired.
func (l *Held) Leased() int64 { return l.amount }
