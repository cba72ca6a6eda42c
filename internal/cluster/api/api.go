// Package api implements the HTTP API that members of a cluster offer to each other and to their users: JSON on the cluster
// address. It has no authentication and needs a closed network. docs/cluster.md lists the calls.
package api

import (
	"context"
	"errors"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// Member is a voter or an observer of a cluster. Its methods are safe for concurrent use.
type Member interface {
	// Write commits a write, locally or through another member, before ctx ends. The error is ErrRefused if the write was
	// certainly not applied and ErrUnknown if the outcome is unknown; the caller may then retry with the same ID.
	Write(ctx context.Context, w *record.Write) (record.Result, error)
	// Read returns the local state, which never goes back to an older version, and its age: the time since it was certainly
	// the newest, or AgeUnknown. A consistent read returns a state that contains every write acknowledged before the call, or
	// ErrRefused if that is impossible. The error is ErrNothing while there is no state to serve.
	Read(ctx context.Context, consistent bool) (record.View, time.Duration, error)
	// Lease asks the leader for leases, directly or through another member, before ctx ends. Errors are ErrRefused; a retry
	// under a new number supersedes the failed request.
	Lease(ctx context.Context, ask lease.Ask) (lease.Answer, error)
	// Replica returns the replica that followers are served from, or nil while there is no state to serve.
	Replica() *replica.Replica
	Status() Status
}

// AgeUnknown is the age of a state of which it is unknown when it was the newest. Any age of at least this value counts as
// unknown.
const AgeUnknown = 100 * 365 * 24 * time.Hour

// Ms converts an age to milliseconds, rounded up, or -1 if it is unknown.
func Ms(age time.Duration) int64 {
	if age >= AgeUnknown {
		return -1
	}
	return ceilMs(age)
}

// Errors of the methods of Member. They are wrapped with details.
var (
	ErrRefused = errors.New("not taken")
	ErrUnknown = errors.New("unknown whether taken; ask again under the same id")
	ErrNothing = errors.New("no state to show yet")
)

// Voter is a voter in the current configuration of the cluster.
type Voter struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Votes    bool   `json:"votes"` // false while it is catching up
}

// Status is the status that a member reports about itself.
type Status struct {
	Cluster  string   `json:"cluster"` // cluster ID, generated when the cluster was formed; empty before
	Name     string   `json:"name"`
	Role     string   `json:"role"`     // voter or observer
	State    string   `json:"state"`    // leader, follower, candidate, joining, forming, following, cut_off or failed
	Identity string   `json:"identity"` // identity of a voter's disk
	Leader   string   `json:"leader"`   // name of the leader; empty if unknown
	Version  uint64   `json:"version"`
	Hash     string   `json:"hash"`
	AgeMs    int64    `json:"age_ms"` // age of the served state; -1 if unknown or if there is none
	Path     []string `json:"path"`   // names from a voter to this member
	Voters   []Voter  `json:"voters,omitempty"`
	Fault    string   `json:"fault,omitempty"` // reason for the state failed
}
