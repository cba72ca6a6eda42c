package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/leases"
	"burlpass/internal/lease"
)

// The limits of a run, by their rules' keys, and a path that no narrower one is for.
const (
	rateKey  = "*/*/*#rate#all"
	callsKey = "*/*/*#calls#all"
	anyPath  = "/availability/x"
	owner    = "ops"
)

// limited is a run's limits of the fleet: what they were set to, and what calls were answered.
type limited struct {
	f      *fleet
	worker *server
	via    *http.Transport

	writing sync.Mutex // held while a limit is set
	base    uint64
	writes  int
	was     map[string]json.RawMessage // values in force
	past    map[string][]pastValue

	mu       sync.Mutex
	settings []leases.Setting
	modes    map[string]string // what holds at a process that is cut off
	passed   []leases.Call
	answers  map[int]int // by status; 0: no answer
	made     int
}

// pastValue and keptValue are the form of an item of rules.
type pastValue struct {
	Was json.RawMessage `json:"was"`
	By  string          `json:"by"`
}

type keptValue struct {
	Now  json.RawMessage `json:"now"`
	Past []pastValue     `json:"past,omitempty"`
}

type ruleItem struct {
	Kind  string    `json:"kind"`
	Key   string    `json:"key"`
	Value keptValue `json:"value"`
}

func newLimited(f *fleet) (*limited, error) {
	worker, err := newServer()
	if err != nil {
		return nil, err
	}
	return &limited{f: f, worker: worker, via: &http.Transport{MaxIdleConnsPerHost: mostCalls, ResponseHeaderTimeout: answerTime},
		was: map[string]json.RawMessage{}, past: map[string][]pastValue{}, modes: map[string]string{}, answers: map[int]int{}}, nil
}

func (l *limited) close() {
	l.via.CloseIdleConnections()
	l.worker.close()
}

// value is a rule's with what holds at a process that is cut off.
func value(amount int64, cut lease.Cut) json.RawMessage {
	raw, _ := json.Marshal(struct {
		Mode  string    `json:"mode"`
		Value int64     `json:"value"`
		Cut   lease.Cut `json:"cut"`
	}{"bound", amount, cut})
	return raw
}

// found makes the root, its team and the two limits.
func (l *limited) found(ctx context.Context) error {
	root := []ruleItem{{"team", owner, keptValue{Now: json.RawMessage("{}")}},
		{"namespace", "*/*/*", keptValue{Now: json.RawMessage(`{"owner":"` + owner + `"}`)}}}
	l.writing.Lock()
	err := l.write(ctx, root)
	l.writing.Unlock()
	if err == nil {
		err = l.set(ctx, rateKey, 60_000, lease.Cut{Mode: lease.Nothing})
	}
	if err == nil { // who divides knows what is out of calls at once only after 33 s: until then no call would be let in
		err = l.set(ctx, callsKey, 100, lease.Cut{Mode: lease.Open})
	}
	return err
}

// space makes a namespace below the root.
func (l *limited) space(ctx context.Context, selector string) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	return l.write(ctx, []ruleItem{{"namespace", selector, keptValue{Now: json.RawMessage(`{"parent":"*/*/*","owner":"` + owner + `"}`)}}})
}

// set has a limit set, and records from when on.
func (l *limited) set(ctx context.Context, key string, amount int64, cut lease.Cut) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	next := value(amount, cut)
	if old := l.was[key]; old != nil {
		l.past[key] = append(l.past[key], pastValue{old, owner})
		l.past[key] = l.past[key][max(0, len(l.past[key])-8):]
	}
	l.mu.Lock()
	n := len(l.settings)
	l.settings = append(l.settings, leases.Setting{Limit: key, Amount: amount, Began: machineTime(), Ended: math.MaxInt64 / 2})
	l.modes[key] = cut.Mode
	l.mu.Unlock()
	if err := l.write(ctx, []ruleItem{{"rule", key, keptValue{next, l.past[key]}}}); err != nil {
		return err
	}
	l.was[key] = next
	l.mu.Lock()
	l.settings[n].Ended = machineTime()
	l.mu.Unlock()
	l.f.log.note("test", "the limit %s is %d", key, amount)
	return nil
}

// write has a write of rules applied: it asks the members one after another under one id until there is a result. It is called under
// writing.
func (l *limited) write(ctx context.Context, items []ruleItem) error {
	l.writes++
	w := struct {
		ID      string     `json:"id"`
		By      string     `json:"by"`
		Base    uint64     `json:"base"`
		Changes []ruleItem `json:"changes"`
	}{fmt.Sprint("limits-", l.writes), owner, l.base, items}
	for n := 0; ; n++ {
		var said struct {
			Outcome, Reason, Refused, Unknown, Invalid string
			Version                                    uint64
		}
		name := l.f.names[n%len(l.f.names)]
		short, cancel := context.WithTimeout(ctx, callTime)
		status, _, err := l.f.client.ask(short, name, http.MethodPost, "/v1/write", w, &said)
		cancel()
		switch {
		case err == nil && status == http.StatusOK && said.Outcome == "applied":
			l.base = said.Version
			return nil
		case err == nil && (status == http.StatusOK || status == http.StatusBadRequest):
			return fmt.Errorf("write %s: %s %s %s", w.ID, said.Outcome, said.Reason, said.Invalid)
		}
		select {
		case <-time.After(againGap):
		case <-ctx.Done():
			return errors.New("write " + w.ID + " has no result")
		}
	}
}

// change sets the limits anew over and over, until ctx ends; a write that is open then is finished within whole.
func (l *limited) change(ctx, whole context.Context, r *rand.Rand) {
	for {
		select {
		case <-time.After(time.Duration(1000+r.IntN(4000)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
		var err error
		if r.IntN(3) > 0 {
			err = l.set(whole, rateKey, int64(10+r.IntN(190))*1000, lease.Cut{Mode: lease.Nothing})
		} else {
			err = l.set(whole, callsKey, int64(2+r.IntN(100)), lease.Cut{Mode: lease.Open})
		}
		if err != nil {
			l.f.log.note("test", "a limit is not set: %v", err)
			return
		}
	}
}

// judge holds what processes went by, and the calls that they let in, against the limits.
func (l *limited) judge() (out []history.Breach) {
	const most = 5
	all, starts := l.f.seen.leased()
	over := leases.Check(all, l.settings)
	for _, o := range over[:min(len(over), most)] {
		out = append(out, history.Breach{Promise: history.Leased, At: l.f.log.at(o.At), Text: o.String()})
	}
	if l.modes[rateKey] == lease.Nothing {
		without := leases.Without(rateKey, all, l.passed, starts)
		for _, c := range without[:min(len(without), most)] {
			out = append(out, history.Breach{Promise: history.Leased, At: l.f.log.at(c.Began),
				Text: fmt.Sprintf("%s let a call in from %d to %d us, and had no lease of %s", c.Process, c.Began, c.Ended, rateKey)})
		}
	}
	l.f.log.note("test", "%d lines of leases, answers by status %v, %d settings of limits", len(all), l.answers, len(l.settings))
	return out
}
