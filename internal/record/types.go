// Package record is the replicated state of a cluster: a deterministic state machine that uses no I/O, clock, goroutines or
// randomness. The same entries in the same order give the same bytes in every process.
//
// This file contains the exported data types and interfaces. docs/cluster.md describes how processes agree on the entries.
package record

import (
	"encoding/json"
)

// Version counts the entries applied since the cluster was formed. Every entry raises it by one, including those that are
// refused.
type Version uint64

// Kind is a type of item. A Domain defines which items of the kind are valid.
type Kind string

// Item is one versioned key-value pair of the record.
type Item struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`   // in the canonical form defined by its Domain
	Version Version         `json:"version"` // version of the entry that set it
}

// Change sets one item, or removes it if Value is nil.
type Change struct {
	Kind  Kind            `json:"kind"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Write is a set of changes that are applied atomically.
type Write struct {
	ID      string   `json:"id"`   // idempotency key chosen by the writer, unique per write: a repeated write returns its first result
	By      string   `json:"by"`   // author: an operator, a process or a team
	Base    Version  `json:"base"` // version that the writer has seen: a change to an item set since then is refused as Stale
	Changes []Change `json:"changes"`
}

// Reading is the time reported by a voter's clock.
type Reading struct {
	Voter string `json:"voter"` // the voter's identity
	Ms    int64  `json:"ms"`    // Unix time in ms
}

// Clock holds readings of the voters' clocks. The record's time is the lower median of the readings of a majority and never
// goes back.
type Clock struct {
	Voters   int       `json:"voters"` // number of voters in the cluster
	Readings []Reading `json:"readings"`
}

// Entry is one entry of the replicated log. Exactly one of its fields is set.
type Entry struct {
	Write *Write `json:"write,omitempty"`
	Clock *Clock `json:"clock,omitempty"`
}

// Outcome is the outcome of a write.
type Outcome string

// The outcomes. Only an Applied write has changed the state.
const (
	Applied   Outcome = "applied"
	Stale     Outcome = "stale"     // an item was changed after Base, see Result.Newer
	Invalid   Outcome = "invalid"   // refused by a domain or a bound, see Result.Reason
	Forgotten Outcome = "forgotten" // Base is older than the retained write ids: the write may have been applied before
)

// Result is the result of a write, retained under the write's id. Results are part of the replicated state and of its hash,
// including the text of Reason.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Version Version `json:"version"` // version of the entry that first had this result
	Reason  string  `json:"reason,omitempty"`
	Newer   []Item  `json:"newer,omitempty"` // items that conflict with a stale write; no value if removed or if the values exceed 1 KiB
	Again   bool    `json:"again,omitempty"` // this is the retained result of an earlier entry
}

// Domain defines which items of a kind are valid. Its methods must be pure functions of their arguments.
type Domain interface {
	Kind() Kind
	// Canonical validates a value and returns the canonical form in which it is stored.
	Canonical(key string, value json.RawMessage) (json.RawMessage, error)
	// Check validates a whole write before it takes effect: before is the state without it, after the state with it. An
	// error refuses the write. It is called once per write that touches an item of the kind, with the values in canonical
	// form. The views are valid during the call only.
	Check(before, after View, w *Write) error
	// Ends returns the time, in Unix milliseconds of the record's time, at which an item expires; 0 for never.
	Ends(key string, value json.RawMessage) int64
}

// View gives read access to an immutable state.
type View interface {
	Version() Version
	TimeMs() int64 // the record's time; 0 before the first clock entry
	Hash() string  // in hex; equal versions of one cluster have equal hashes
	Get(kind Kind, key string) (Item, bool)
	// Each calls f for the items of a kind in the order of their keys, until f returns false.
	Each(kind Kind, f func(Item) bool)
	// Result returns the result of the write with the given id, as long as it is retained.
	Result(id string) (Result, bool)
	Len() int // number of items
}
