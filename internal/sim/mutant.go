package sim

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is a fault put into the program at build time, to see whether the simulation finds it.
type Mutant struct {
	Name  string
	About string
	Edits []Edit
}

// Edit replaces a text that stands once in a file, named from the module's root.
type Edit struct{ File, Old, New string }

// Mutants are the faults that the simulation must find.
func Mutants() []Mutant {
	one := func(name, about, file, old, new string) Mutant {
		return Mutant{name, about, []Edit{{file, old, new}}}
	}
	return []Mutant{
		one("unsafe-resent", "the module sends a call again though it may have run", "decide/rules.go",
			"b.mayRunAgainOn(r, s) && (b.minCapacityShare(s)", "(b.minCapacityShare(s)"),
		one("keyed-anywhere", "a keyed call is repeated in any hall", "decide/rules.go",
			"|| s.Zone == first.listed.Zone", "|| true"),
		one("refuses-what-ran", "a call that may have run is refused", "decide/rules.go",
			"return r.firstPossiblyRun() == nil || r.class.Effect == Safe ||", "return true ||"),
		one("cold-unguarded", "a cold worker's credit is forgotten", "decide/rules.go",
			"(b.minCapacityShare(s) >= 1 || s.credit >= 1)", "true"),
		one("drain-ignored", "draining counts as up", "internal/routing/registry.go",
			"state = decide.Draining", "state = decide.Ready"),
		one("reset-never-ran", "a reset after the last byte counts as never run", "internal/routing/call.go",
			"	case result.Sent:\n		return decide.Reset", "	case result.Sent:\n		return decide.ConnectFailed"),
		one("error-never-ran", "an error counts as turned away", "internal/routing/call.go",
			"	return decide.Errored\n}\n\n// failureStatus", "	return decide.Full\n}\n\n// failureStatus"),
		one("cancel-leaves-open", "giving up leaves the connection open", "internal/transport/attempt.go",
			"		a.conn.Close() // returns once", "		// returns once"),
		one("aborted-reused", "a connection is used again after a cancel", "internal/transport/attempt.go",
			"		a.conn.Close() // returns once the descriptor is closed, so the next attempt goes out after it\n	}\n	a.completeLocked(a.maybeSent(), ErrAborted)",
			"		a.conn.current = nil\n	}\n	a.completeLocked(false, ErrAborted)"),
		{"surplus-reused", "bytes beyond an answer are taken for the next one", []Edit{
			{"internal/transport/pool.go", "if c.reader.Buffered() > 0 || p.idleTimeout <= 0 {", "if p.idleTimeout <= 0 {"},
			{"internal/transport/pool.go", "		err := c.Await()\n", "		var err error\n		if c.reader.Buffered() == 0 {\n			err = c.Await()\n		}\n"}}},
		one("two-answers", "a failure is written twice", "internal/protocol/answer.go",
			"	return c.writeResponse(502, nil, a.Header, nil)", "	c.writeResponse(502, nil, a.Header, nil)\n	return c.writeResponse(502, nil, a.Header, nil)"),
		one("held-back", "a refusal waits until near its client's end", "internal/routing/call.go",
			"				final = &protocol.Answer{Verdict: protocol.Refused, Wait: cmd.Wait}",
			"				time.Sleep(time.Until(active.deadline) * 9 / 10)\n				final = &protocol.Answer{Verdict: protocol.Refused, Wait: cmd.Wait}"),
		one("calls-leak", "a call is never let go", "internal/routing/call.go",
			"	delete(r.calls, active.id)\n", "	_ = active.id\n"),
		one("late-answer", "a client's time is taken for half as long again", "internal/protocol/time.go",
			"max(expires-answerMargin-c.overload.delay(), 0)", "expires*3/2"),
		one("hup-ends", "SIGHUP ends the program", "internal/program/run.go",
			"if signal == syscall.SIGHUP {", "if signal == syscall.SIGKILL {"),
		one("ends-early", "a planned end does not wait for what is open", "internal/program/run.go",
			"	s.listener.Wait()\n", ""),
		one("late-list", "the old registry's late list is believed after a move", "internal/routing/registry.go",
			"	if from.epoch < r.listEpoch {\n		r.mu.Unlock()\n		return\n	}\n	outdated", "	outdated"),
		one("older-list", "a list that is older than the one at hand is believed", "internal/routing/registry.go",
			"outdated := list.Generation < r.generation && from.epoch == r.listEpoch && !r.anyGeneration", "outdated := false"),
		one("cut-body-served", "an answer that ends early is served", "internal/protocol/worker.go",
			"if r.Body, err = body.readUpTo(nil, r.reserveBody(h)); err != nil {", "if r.Body, err = body.readUpTo(nil, r.reserveBody(h)); err != nil && len(r.Body) == 0 {"),
		one("lengths-ignored", "two lengths are let pass, the last one counts", "internal/protocol/head.go",
			"h.chunked || h.length >= 0 && h.length != int64(n)", "h.chunked"),
		one("key-lost", "the idempotency key is not passed on", "internal/protocol/worker.go",
			"!equalFold(h.name(f), headerExpires) && !equalFold(h.name(f), \"Host\")", "!equalFold(h.name(f), headerExpires) && !equalFold(h.name(f), \"Host\") && !equalFold(h.name(f), headerIdempotencyKey)"),
		one("still-unasked", "nobody asks again before writing", "internal/routing/guard.go",
			" && a.activeCall.clientPresent() && a.router.mayStart(a.command)", ""),
		one("watch-not-renewed", "where lists are pushed the first answer is the last that is heard", "internal/routing/feed.go",
			"		full = outdated //", "		_ = outdated\n		return //"),
		{"unsafe-copied", "a second copy of a call that must not run twice goes out", []Edit{
			{"decide/request.go", "len(r.attempts) >= b.config.Limits.MaxAttempts || r.class.Effect == Unsafe {", "len(r.attempts) >= b.config.Limits.MaxAttempts {"},
			{"decide/rules.go", "b.mayRunAgainOn(r, s) && (b.minCapacityShare(s)", "(b.minCapacityShare(s)"}}},
		one("copy-unasked", "nobody asks again before a second copy's first byte", "internal/routing/guard.go",
			" && a.activeCall.clientPresent() && a.router.mayStart(a.command)", " && (a.number > 0 || a.activeCall.clientPresent() && a.router.mayStart(a.command))"),
		one("cell-forgotten", "a keyed repeat leaves its cell", "decide/rules.go",
			"|| s.Cell == first.listed.Cell", "|| s.Zone == first.listed.Zone"),
		{"retry-past-window", "what has been passed on in part goes out again, from its beginning", []Edit{
			{"internal/routing/call.go", "case final == nil && call.Upload != nil && call.Upload.ReadStarted():", "case false:"},
			{"internal/protocol/upload.go", "if u.started || u.stopped {", "if u.stopped {"},
			{"internal/protocol/upload.go", "defer close(u.readerDone)", "defer func() { defer func() { recover() }(); close(u.readerDone) }()"}}},
		one("long-answer-cut", "an answer is passed on up to what has come with its head, and no further", "internal/protocol/answer.go",
			"err != nil || reply.rest.done {", "err != nil || reply.rest.done || len(piece) > 0 {"),
		{"silence-backed-off", "a watch that fell silent is taken for an outage, after which discovery is left alone for long", []Edit{
			{"decide/members.go", "silent := e.List == ListFailed && e.Status == TimedOut", "silent := false"},
			{"decide/decide.go", "firstWatchBackoff = 0.14", "firstWatchBackoff = 2.0"}}},
		{"silence-after-refusal", "the same, only where the call before the watch was refused", []Edit{
			{"decide/members.go", "silent := e.List == ListFailed && e.Status == TimedOut",
				"silent := e.List == ListFailed && e.Status == TimedOut && b.discoveryFailures == 0"},
			{"decide/decide.go", "nextWatchBackoff  = 0.3", "nextWatchBackoff  = 2.0"}}},
		one("first-call-late", "a new process's first call for the list is spread over up to 8 s", "decide/members.go",
			"min(time.Duration(b.config.Balancers)*initialWatchSpread, b.config.Safety.DrainGrace*4/5)", "min(time.Duration(b.config.Balancers)*initialWatchSpread, 8*time.Second)"),
		one("watch-waits-on", "a watch that fell silent is waited for much longer", "internal/routing/times.go",
			"watchGraceShare   = 0.12", "watchGraceShare   = 1.0"),
		one("feed-alone", "where lists are pushed no second call goes out beside a silent one", "internal/routing/feed.go",
			"} else if inFlight <= agentMaxHedges {", "} else if false {"),
		{"late-calls-dropped", "after a SIGTERM's time calls are still read, and the process ends without their answers", []Edit{
			{"internal/program/run.go", "	startClose()\n	finished :=", "	finished :="},
			{"internal/program/run.go", "		<-acceptDone\n		s.listener.Wait()\n", "		<-acceptDone\n		time.Sleep(2 * time.Second)\n"}}},
		{"late-calls-taken", "after a SIGTERM's time connections stay open and calls on them are taken, up to SIGKILL", []Edit{
			{"internal/program/run.go", "	startClose()\n	finished :=", "	finished :="},
			{"internal/program/run.go", "	s.listener.EndBy(exitBy.Add(finalWritePeriod))\n	defer time.AfterFunc(time.Until(exitBy), router.EndCalls).Stop()\n", ""}}},
		one("slots-leak", "a client's slot is never given back", "internal/transport/listen.go",
			"	<-l.slots\n", ""),
	}
}

// Overlay writes the mutant's files into dir and returns the path of a file for go build -overlay. root is the
// module's root. An edit whose text does not stand there exactly once is an error: the mutant is out of date.
func (m Mutant) Overlay(root, dir string) (string, error) {
	texts := map[string]string{}
	for _, e := range m.Edits {
		path, err := filepath.Abs(filepath.Join(root, e.File))
		if err != nil {
			return "", err
		}
		text, known := texts[path]
		if !known {
			b, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			text = string(b)
		}
		if n := strings.Count(text, e.Old); n != 1 {
			return "", fmt.Errorf("mutant %s: its text stands %d times in %s:\n%s", m.Name, n, e.File, e.Old)
		}
		texts[path] = strings.Replace(text, e.Old, e.New, 1)
	}
	replace := map[string]string{}
	for path, text := range texts {
		rel, err := filepath.Rel(root, path)
		if err != nil || !filepath.IsLocal(rel) {
			rel = filepath.Base(path)
		}
		to := filepath.Join(dir, m.Name+"-"+strings.ReplaceAll(rel, string(filepath.Separator), "-")) // two files may have one base name
		if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
			return "", err
		}
		replace[path] = to
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	to := filepath.Join(dir, m.Name+".json")
	return to, os.WriteFile(to, overlay, 0o600)
}
