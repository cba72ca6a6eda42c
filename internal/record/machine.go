package record

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"
)

// Bounds limit the size of a record and of a single write. They are part of the state: Save writes them, Restore adopts
// them and the hash covers them, because members with different bounds would diverge at the first write that only some of
// them refuse.
type Bounds struct {
	Items       int `json:"items"`        // maximum number of items, and separately of tombstones
	ItemBytes   int `json:"item_bytes"`   // total size of the kinds, keys and values of all items
	ValueBytes  int `json:"value_bytes"`  // size of one value, both as submitted and as stored
	KeyBytes    int `json:"key_bytes"`    // size of one key
	Changes     int `json:"changes"`      // number of changes in one write
	Results     int `json:"results"`      // number of results retained
	ResultBytes int `json:"result_bytes"` // total size of the retained results in their digest encoding
}

// DefaultBounds returns the bounds of a cluster whose configuration does not set any.
func DefaultBounds() Bounds {
	return Bounds{Items: 200_000, ItemBytes: 256 << 20, ValueBytes: 64 << 10, KeyBytes: 256, Changes: 64,
		Results: 65_536, ResultBytes: 16 << 20}
}

// maxBounds returns the highest bounds accepted from a caller or from a saved state.
func maxBounds() Bounds {
	return Bounds{Items: 1 << 26, ItemBytes: 1 << 30, ValueBytes: 1 << 24, KeyBytes: 1 << 16, Changes: 1 << 12,
		Results: 1 << 26, ResultBytes: 1 << 30}
}

// fields returns pointers to all bounds, in the order of their declaration.
func (b *Bounds) fields() []*int {
	return []*int{&b.Items, &b.ItemBytes, &b.ValueBytes, &b.KeyBytes, &b.Changes, &b.Results, &b.ResultBytes}
}

// params are the inputs of Apply other than the contents of the state and the code of the domains.
type params struct {
	Bounds Bounds `json:"bounds"`
	Kinds  []Kind `json:"kinds"` // kinds with a domain, sorted
}

// state is the data that a machine updates and a view reads.
type state struct {
	params       params
	paramsDigest [sha256.Size]byte // SHA-256 of the JSON encoding of params
	version      Version
	time         int64
	// horizon is the version of the newest result that is no longer retained, or a later version. The base of an applied
	// write is older than the write's own entry. Therefore a write whose base is not older than the horizon either has its
	// result in the table or was never applied.
	horizon Version
	items   itemSet
	results resultTable
}

// Machine is the replicated state machine that holds the record. It must not be used by several goroutines at once, except
// for Prepare; the views that it returns are safe for concurrent use.
type Machine struct {
	state
	domains    map[Kind]Domain // never iterated over: map order is random
	cachedView View            // of the current state; nil if none was taken since the last entry
}

// New returns an empty record at version 0. A bound of 0 or less is replaced by its default. Writes to kinds without a
// domain are refused as Invalid. Two domains of the same kind are a programming error and cause a panic.
func New(b Bounds, domains ...Domain) *Machine {
	m := &Machine{domains: map[Kind]Domain{}}
	defaults, limits := DefaultBounds(), maxBounds()
	for i, field := range b.fields() {
		if *field <= 0 {
			*field = *defaults.fields()[i]
		}
		*field = min(*field, *limits.fields()[i])
	}
	p := params{Bounds: b, Kinds: []Kind{}}
	for _, d := range domains {
		if _, exists := m.domains[d.Kind()]; exists {
			panic("record: two domains of kind " + string(d.Kind()))
		}
		m.domains[d.Kind()] = d
		p.Kinds = append(p.Kinds, d.Kind())
	}
	slices.Sort(p.Kinds)
	m.state = newState(p)
	return m
}

func newState(p params) state {
	raw, _ := json.Marshal(p) // cannot fail: numbers and strings only
	return state{params: p, paramsDigest: sha256.Sum256(raw), items: newItemSet(), results: newResultTable()}
}

// domain returns the domain of a kind if the record's params list the kind. A cluster formed without a kind stays without
// it, even on members whose program supports it.
func (m *Machine) domain(k Kind) (Domain, bool) {
	if !slices.Contains(m.params.Kinds, k) {
		return nil, false
	}
	d, ok := m.domains[k]
	return d, ok
}

// Apply applies the next entry. It is a total function: any entry raises the version by one, and the result says what is
// wrong with an invalid one. The result shares its values with the state; they must not be modified.
func (m *Machine) Apply(e *Entry) Result { return m.ApplyPrepared(Prepared{entry: e}) }

// ApplyPrepared is like Apply, for an entry that was prepared by this machine.
func (m *Machine) ApplyPrepared(p Prepared) Result {
	m.version++
	m.cachedView = nil
	e := p.entry
	switch {
	case e == nil || (e.Write == nil) == (e.Clock == nil):
		return Result{Outcome: Invalid, Version: m.version, Reason: "entry: it must hold either a write or a clock"}
	case e.Write != nil:
		return m.applyWrite(e.Write, p.values)
	}
	r := m.applyClock(e.Clock)
	r.Version = m.version
	return r
}

// rememberResult stores a result and drops old results and tombstones that exceed the bounds.
func (m *Machine) rememberResult(r Result) {
	m.horizon = max(m.horizon, m.results.add(&r, m.params.Bounds))
	m.pruneTombstones()
}

// pruneTombstones drops the tombstones that no write can conflict with any more. If there are still too many, the horizon
// rises past the oldest ones: refusing more writes as Forgotten is always safe.
func (m *Machine) pruneTombstones() {
	m.horizon = m.items.pruneTombstones(m.horizon, m.params.Bounds.Items)
}

// View returns an immutable snapshot of the current state, in constant time. It is safe to read from any goroutine while
// the machine applies further entries. The values that it returns are shared and must not be modified.
func (m *Machine) View() View {
	if m.cachedView == nil {
		s := m.state
		s.items, s.results = m.items.snapshot(), m.results.snapshot()
		m.cachedView = &view{s}
	}
	return m.cachedView
}

// Version returns the version of the last entry applied.
func (m *Machine) Version() Version { return m.version }

// maxReasonBytes is the maximum length of Result.Reason.
const maxReasonBytes = 256

// sanitizeReason makes a text fit for storage in a result: of bounded length, and unchanged by a round trip through JSON.
func sanitizeReason(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(s, "?"))
	if len(s) <= maxReasonBytes {
		return s
	}
	end := maxReasonBytes
	for !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end]
}

// isPlainText reports whether a text survives a round trip through JSON unchanged, with any version of encoding/json.
func isPlainText(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}
