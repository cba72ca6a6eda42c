package program

import (
	"time"

	"burlpass/internal/invariant"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

const (
	responseStallLimit  = 3 * time.Second        // without progress of a response, after which a process that stops gives it up
	stopCheckInterval   = 100 * time.Millisecond // between two looks at the responses that are still passed on
	stopReportInterval  = 5 * time.Second        // between two log lines about them
	maxReportedClients  = 4                      // addresses in such a line
	forcedStopTolerance = 2 * finalWritePeriod   // for connections to end once nothing is owed on them
)

// awaitStop waits for the end of everything that was taken. Until exitBy that is every call. What is left then are responses that
// are being passed on: cutting off what a worker still gives loses the call, so they go on until they are whole, one of the two sides stalls,
// or the platform kills the process.
func (s *Sidecar) awaitStop(finished <-chan struct{}, exitBy time.Time, router *routing.Router, invariants *invariant.Monitor) {
	if awaitUntil(finished, exitBy.Add(finalWritePeriod)) || s.awaitResponses(finished, exitBy, router, invariants) {
		s.log.Info("stop", "invariants_broken", invariants.Total())
		return
	}
	s.log.Error("stop_forced", "invariants_broken", invariants.Total())
}

// awaitResponses waits while responses make progress, and for the longest that a client may take at most. A call without an answer
// is a fault by now. It reports whether everything has ended.
func (s *Sidecar) awaitResponses(finished <-chan struct{}, exitBy time.Time, router *routing.Router, invariants *invariant.Monitor) bool {
	s.listener.EndStalled(responseStallLimit)
	if awaitUntil(finished, exitBy.Add(forcedStopTolerance)) {
		return true
	}
	clients := s.listener.EndStalled(responseStallLimit)
	if reset := s.listener.ResetBusy(); reset > 0 || router.OpenCalls() > 0 || len(clients) == 0 {
		invariants.ReportViolation(invariant.ExitInTime, "", "open", router.OpenCalls(), "reset", reset)
	}
	if len(clients) == 0 {
		return false
	}
	lastReport := time.Time{}
	for until := exitBy.Add(protocol.MaxResponseTime()); len(clients) > 0 && time.Now().Before(until); {
		if time.Since(lastReport) >= stopReportInterval {
			lastReport = time.Now()
			s.log.Info("stop_waiting", "responses", len(clients), "clients", clients[:min(len(clients), maxReportedClients)])
		}
		if awaitUntil(finished, time.Now().Add(stopCheckInterval)) {
			return true
		}
		clients = s.listener.EndStalled(responseStallLimit)
	}
	return awaitUntil(finished, time.Now().Add(forcedStopTolerance))
}

// awaitUntil waits until done is closed or the time has come, and reports whether done is closed.
func awaitUntil(done <-chan struct{}, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
