package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"burlpass/internal/enforcement"
	"burlpass/internal/lease"
	"burlpass/internal/limits"
	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// The record accepts the kinds of rules only if the configuration enables them.
func TestRulesOnlyWhereConfigured(t *testing.T) {
	first := &record.Write{ID: "first", By: "root"}
	for _, c := range []struct {
		kind       record.Kind
		key, value string
	}{{rules.TeamKind, "root", `{"now":{}}`}, {rules.NamespaceKind, "*/*/*", `{"now":{"owner":"root"}}`},
		{rules.RuleKind, "*/*/*#attempts#r", `{"now":{"mode":"locked","value":2}}`}} {
		first.Changes = append(first.Changes, record.Change{Kind: c.kind, Key: c.key, Value: json.RawMessage(c.value)})
	}
	second := &record.Write{ID: "second", By: "root", Changes: []record.Change{{Kind: rules.RuleKind, Key: "*/*/*#attempts#s",
		Value: json.RawMessage(`{"now":{"mode":"default","value":3}}`)}}}
	for on, want := range map[bool][]string{
		true: {"applied ", "invalid changes[0]: conflict equal: */*/*#attempts#r (root) and */*/*#attempts#s (root), " +
			"both match any-island/any-hall/any-class from any-caller: both set attempts for the same namespace"},
		false: {`invalid changes[0].kind: "team" is not known`, `invalid changes[0].kind: "rule" is not known`},
	} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m, err := Open(ctx, Config{Name: "c", Member: "v", Listen: "127.0.0.1:0", Folder: t.TempDir(), Rules: on,
				Voters: []Peer{{"v", "127.0.0.1:0"}}, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			defer m.Close()
			for i, w := range []*record.Write{first, second} {
				r, err := m.Write(ctx, w)
				if err != nil {
					t.Fatal(err)
				}
				if got := fmt.Sprint(r.Outcome, " ", r.Reason); strings.TrimSpace(got) != strings.TrimSpace(want[i]) {
					t.Errorf("%s, not %s", got, want[i])
				}
			}
		})
	}
}

// unlimited is a set of limits that never rejects a call.
type unlimited struct{}

func (unlimited) Set([]lease.Limit) {}
func (unlimited) Take([]string, time.Duration) (limits.Ticket, time.Duration, bool) {
	return limits.Ticket{}, 0, true
}
func (unlimited) Done(limits.Ticket) {}

// A rule written at one member rejects calls at all members, and a dry run predicts the outcome of a write.
func TestRuleAppliesAtAllMembers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	open := func(c Config) *Member {
		t.Helper()
		c.Name, c.Listen, c.Rules, c.Log = "c", "127.0.0.1:0", true, slog.New(slog.DiscardHandler)
		m, err := Open(ctx, c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { m.Close() })
		return m
	}
	voter := open(Config{Member: "v", Folder: t.TempDir(), Voters: []Peer{{"v", "127.0.0.1:0"}}})
	at := []Peer{{"v", voter.Addr().String()}}
	members := []*Member{voter, open(Config{Member: "o1", Voters: at}), open(Config{Member: "o2", Voters: at})}
	var enforcers []*enforcement.Enforcer
	for _, m := range members {
		g := enforcement.New(enforcement.Config{Member: m, Limits: unlimited{}, Island: "a", Hall: "h", Classes: []enforcement.Class{{Name: "booking"}}, Log: slog.New(slog.DiscardHandler)})
		follow, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); g.Run(follow) }()
		t.Cleanup(func() { stop(); <-done })
		enforcers = append(enforcers, g)
	}
	for members[1].Replica() == nil {
		time.Sleep(time.Millisecond)
	}
	change := func(kind record.Kind, key, value string) record.Change {
		return record.Change{Kind: kind, Key: key, Value: json.RawMessage(value)}
	}
	first := &record.Write{ID: "first", By: "root", Changes: []record.Change{change(rules.TeamKind, "root", `{"now":{}}`),
		change(rules.NamespaceKind, "*/*/*", `{"now":{"owner":"root"}}`),
		change(rules.RuleKind, "*/*/*#callers#r", `{"now":{"mode":"locked","callers":["app"]}}`)}}
	r, err := members[1].Write(ctx, first)
	if err != nil || r.Outcome != record.Applied {
		t.Fatal(r, err)
	}
	for i, g := range enforcers {
		for g.Version() < r.Version && ctx.Err() == nil { // a table of the empty record may come first
			time.Sleep(time.Millisecond)
		}
		enter := func(caller string) bool {
			return g.Admit(&protocol.Call{Budget: time.Second, Origin: &protocol.Origin{Caller: caller}}).Refusal == nil
		}
		if !enter("app") || enter("web") {
			t.Errorf("member %d does not apply the rule", i)
		}
	}
	post := func(m *Member, body string) string {
		t.Helper()
		a, err := post(m.Addr().String(), "/v1/dryrun", body)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	second := `{"id":"second","by":"root","base":0,"changes":[{"kind":"rule","key":"*/*/*#callers#s","value":{"now":{"mode":"default","callers":["app","web"]}}}]}`
	got := post(members[2], second)
	for _, want := range []string{`200 {"version":`, `"age_ms":`, `"conflict":"equal"`, `"owner":"root"`, `"witness":{"island":"any-island"`,
		`"key":"*/*/*#callers#r"`, `"key":"*/*/*#callers#s"`, `"decider":"root"`} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in %s", want, got)
		}
	}
	if _, ok := members[2].Replica().View().Get(rules.RuleKind, "*/*/*#callers#s"); ok {
		t.Error("the dry run changed the record")
	}
	if got := post(members[0], `{"id":"x","by":"root","base":0,"changes":[{"kind":"worker","key":"w"}]}`); !strings.HasPrefix(got, "400 ") {
		t.Error(got)
	}
}

// A dry run reports that the cluster was formed without rules.
func TestDryRunWithoutRules(t *testing.T) {
	m, err := Open(context.Background(), Config{Name: "c", Member: "v", Listen: "127.0.0.1:0", Folder: t.TempDir(),
		Voters: []Peer{{"v", "127.0.0.1:0"}}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	if _, err := m.Write(context.Background(), &record.Write{ID: "w", By: "b"}); err != nil { // creates a state
		t.Fatal(err)
	}
	got, err := post(m.Addr().String(), "/v1/dryrun", `{"id":"x","by":"root","base":0,"changes":[]}`)
	if want := `404 {"nothing":"this cluster was formed without rules"}` + "\n"; err != nil || got != want {
		t.Errorf("%s %v", got, err)
	}
}

// post sends a body to a member over a new connection and returns the status and the response body.
func post(addr, path, body string) (string, error) {
	via := &http.Transport{DisableKeepAlives: true}
	a, err := (&http.Client{Transport: via}).Post("http://"+addr+path, "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return fmt.Sprint(a.StatusCode, " ", string(b)), err
}
