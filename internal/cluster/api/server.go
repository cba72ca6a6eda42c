package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"burlpass/internal/logging"
	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// Defaults of Options.
const (
	DefaultFollowers         = 32
	DefaultFollowerTTL       = 5 * time.Second
	DefaultMaxStateTransfers = 4
	DefaultMaxBodyBytes      = 1 << 20
	DefaultRequestTimeout    = 10 * time.Second
)

// Limits on requests.
const (
	maxWait           = 10 * time.Second // of a call to /v1/entries
	maxParameterBytes = 512              // of a query parameter
	maxHops           = 4                // members that may forward a write
	hopsHeader        = "Burlpass-Hops"
	minSendRate       = 1 << 20 // bytes per second that a follower must read, after the first RequestTimeout
)

// Options configures Handler. Zero values select the defaults.
type Options struct {
	Followers         int            // maximum number of followers
	FollowerTTL       time.Duration  // how long a follower keeps its slot after its last call
	MaxStateTransfers int            // maximum number of full states sent concurrently
	MaxBodyBytes      int64          // of a write
	RequestTimeout    time.Duration  // of a write, a consistent read or a send to a reader; below the 30 s of NewServer
	Metrics           *Metrics       // nil: new ones
	Log               *slog.Logger   // nil: none
	Rules             *rules.Decoder // for dry runs; nil: a new one
}

type server struct {
	member    Member
	options   Options
	log       *slog.Logger
	metrics   *Metrics
	followers *followerTable
	bodies    bodyCache
	states    stateCache
}

// Handler serves the API of a member, except for the calls between voters, which a voter adds to the same mux.
func Handler(member Member, options Options) *http.ServeMux {
	options.Followers = orDefault(options.Followers, DefaultFollowers)
	options.FollowerTTL, options.MaxStateTransfers = orDefault(options.FollowerTTL, DefaultFollowerTTL),
		orDefault(options.MaxStateTransfers, DefaultMaxStateTransfers)
	options.MaxBodyBytes, options.RequestTimeout = orDefault(options.MaxBodyBytes, DefaultMaxBodyBytes),
		orDefault(options.RequestTimeout, DefaultRequestTimeout)
	if options.Log == nil {
		options.Log = logging.Discard()
	}
	if options.Rules == nil {
		options.Rules = &rules.Decoder{}
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics()
	}
	s := &server{member: member, options: options, log: options.Log, metrics: options.Metrics}
	s.followers = &followerTable{capacity: options.Followers, ttl: options.FollowerTTL, now: time.Now, byName: map[string]*followerSlot{}}
	s.states = stateCache{slots: make(chan struct{}, options.MaxStateTransfers), encoding: make(chan struct{}, 1)}
	s.metrics.registerMember(member, s.followers.count)
	mux := http.NewServeMux()
	mux.Handle(s.metrics.countCalls("POST /v1/write", http.HandlerFunc(s.write)))
	mux.Handle(s.metrics.countCalls("POST /v1/lease", http.HandlerFunc(s.lease)))
	mux.Handle(s.metrics.countCalls("POST /v1/dryrun", http.HandlerFunc(s.dryRun)))
	mux.Handle(s.metrics.countCalls("GET /v1/read", http.HandlerFunc(s.read)))
	mux.Handle(s.metrics.countCalls("GET /v1/result", http.HandlerFunc(s.result)))
	mux.Handle(s.metrics.countCalls("GET /v1/entries", http.HandlerFunc(s.entries)))
	mux.Handle(s.metrics.countCalls("GET /v1/status", http.HandlerFunc(s.status)))
	mux.Handle(s.metrics.countCalls("GET /metrics", s.metrics.handler()))
	return mux
}

// NewServer returns a server for a member's address that limits the resources a client can hold. Close ends long polls;
// Shutdown waits for them, up to maxWait each.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
}

// orDefault returns v, or fallback if v is zero.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// hopsKey is the context key of the number of members that have forwarded a write.
type hopsKey struct{}

func (s *server) write(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	hops, _ := strconv.Atoi(r.Header.Get(hopsHeader))
	if hops > maxHops {
		s.metrics.observeWrite("refused", started)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"refused": "handed on in a circle"})
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(started.Add(s.options.RequestTimeout))
	var write record.Write
	if err := decodeBody(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), &write); err != nil {
		writeInvalid(w, "body, "+err.Error())
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if write.ID == "" {
		writeInvalid(w, "body: id is missing")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), hopsKey{}, hops), s.options.RequestTimeout)
	defer cancel()
	result, err := s.member.Write(ctx, &write)
	switch {
	case err == nil:
		s.metrics.observeWrite(string(result.Outcome), started)
		writeJSON(w, http.StatusOK, result)
	case errors.Is(err, ErrRefused):
		s.metrics.observeWrite("refused", started)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"refused": err.Error()})
	default: // any other error leaves the outcome unknown
		s.metrics.observeWrite("unknown", started)
		writeJSON(w, http.StatusGatewayTimeout, map[string]string{"unknown": err.Error()})
	}
}

// decodeBody decodes exactly one JSON value without unknown fields. The error names the offset.
func decodeBody(body io.Reader, dst any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return fmt.Errorf("byte %d: %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("byte %d: more than one value", d.InputOffset())
	}
	return nil
}

// ReadResponse is the response to /v1/read.
type ReadResponse struct {
	Version record.Version `json:"version"`
	TimeMs  int64          `json:"time_ms"` // time of the record
	Hash    string         `json:"hash"`
	AgeMs   int64          `json:"age_ms"` // -1 if unknown
	Items   []record.Item  `json:"items"`  // ordered by key
}

func (s *server) read(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r, "kind", "key", "consistent")
	kind := record.Kind(q["kind"])
	if err == nil && kind == "" {
		err = errors.New("kind is missing")
	}
	consistent := q["consistent"] == "1"
	if err == nil && !consistent && q["consistent"] != "" {
		err = errors.New("consistent: 1 or nothing is expected")
	}
	if err != nil {
		writeInvalid(w, "query: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.RequestTimeout)
	defer cancel()
	view, age, err := s.member.Read(ctx, consistent)
	if err != nil {
		writeReadError(w, err)
		return
	}
	resp := ReadResponse{view.Version(), view.TimeMs(), view.Hash(), Ms(age), []record.Item{}}
	if key, hasKey := q["key"]; hasKey {
		if item, ok := view.Get(kind, key); ok {
			resp.Items = append(resp.Items, item)
		}
	} else {
		view.Each(kind, func(i record.Item) bool {
			resp.Items = append(resp.Items, i)
			return true
		})
	}
	// The deadline limits how long a slow reader keeps the encoded response in memory; the items belong to the view.
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(s.options.RequestTimeout))
	writeJSON(w, http.StatusOK, resp)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}

func (s *server) result(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r, "id")
	if err == nil && q["id"] == "" {
		err = errors.New("id is missing")
	}
	if err != nil {
		writeInvalid(w, "query: "+err.Error())
		return
	}
	view, _, err := s.member.Read(r.Context(), false)
	if err != nil {
		writeReadError(w, err)
		return
	}
	if result, ok := view.Result(q["id"]); ok {
		writeJSON(w, http.StatusOK, result)
		return
	}
	writeJSON(w, http.StatusNotFound, map[string]string{"nothing": "no write of this id is remembered here"})
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	if _, err := parseQuery(r); err != nil {
		writeInvalid(w, "query: "+err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.member.Status())
}

// writeReadError responds to a read that the member could not serve.
func writeReadError(w http.ResponseWriter, err error) {
	reason := "refused"
	if errors.Is(err, ErrNothing) {
		reason = "nothing"
	}
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{reason: err.Error()})
}

// writeInvalid responds to a malformed request.
func writeInvalid(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusBadRequest, map[string]string{"invalid": reason})
}

// writeJSON writes a JSON response with a trailing newline.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil { // only a raw value that is not JSON, which no domain accepts
		status, body = http.StatusInternalServerError, []byte(`{"unknown":"an item that is no JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the client has gone
}

// parseQuery returns the query parameters of a call. Each must be known and may occur once.
func parseQuery(r *http.Request, known ...string) (map[string]string, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	q := map[string]string{}
	for _, name := range known {
		if list := values[name]; len(list) == 1 && len(list[0]) <= maxParameterBytes {
			q[name] = list[0]
		} else if len(list) > 0 {
			return nil, fmt.Errorf("%s: once, and at most %d bytes", name, maxParameterBytes)
		}
		delete(values, name)
	}
	for name := range values {
		return nil, fmt.Errorf("%.40q is not known", name)
	}
	return q, nil
}

// parseNumber returns a parameter between 0 and the maximum, or 0 if it is missing.
func parseNumber(q map[string]string, name string, maxValue uint64) (uint64, error) {
	if q[name] == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(q[name], 10, 64)
	if err != nil || n > maxValue {
		return 0, fmt.Errorf("%s: a number from 0 to %d is expected", name, maxValue)
	}
	return n, nil
}

// validateAddr checks an address that a follower wants to be given to others.
func validateAddr(addr string) error {
	if addr == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(addr)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		return errors.New("addr: host:port is expected")
	}
	return nil
}

// ceilMs converts an age to milliseconds, rounded up so that it is never reported too young.
func ceilMs(d time.Duration) int64 {
	return int64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
