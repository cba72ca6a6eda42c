package api

import (
	"net/http"
	"time"

	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/rules"
)

// DryRunResponse is the response to /v1/dryrun: the outcome that a write would have on the state of this member.
type DryRunResponse struct {
	Version record.Version `json:"version"`
	AgeMs   int64          `json:"age_ms"` // -1 if unknown
	rules.Answer
}

// dryRun reports every objection to a write of rules without applying it.
func (s *server) dryRun(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	_ = http.NewResponseController(w).SetReadDeadline(started.Add(s.options.RequestTimeout))
	var write record.Write
	if err := decodeBody(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), &write); err != nil {
		writeInvalid(w, "body, "+err.Error())
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	for _, c := range write.Changes {
		if !rules.Known(c.Kind) {
			writeInvalid(w, "body: a dry run is for the kinds of rules alone, not for "+string(c.Kind))
			return
		}
	}
	view, age, err := s.member.Read(r.Context(), false)
	if err != nil {
		writeReadError(w, err)
		return
	}
	if !record.Knows(view, rules.RuleKind) {
		writeJSON(w, http.StatusNotFound, map[string]string{"nothing": "this cluster was formed without rules"})
		return
	}
	writeJSON(w, http.StatusOK, DryRunResponse{view.Version(), Ms(age), rules.DryRun(s.options.Rules, view, &write, retire.Env(view))})
}
