package program

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/enforcement"
	"burlpass/internal/limits"
	"burlpass/internal/logging"
	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
)

// recordWithManyRules returns a record with 10,157 rules in 1,451 namespaces, one rule per setting in each namespace, owned by
// 50 teams and the root team.
func recordWithManyRules(tb testing.TB) *replica.Replica {
	model := record.New(record.DefaultBounds(), rules.Domains(nil)...)
	n := 0
	write := func(by string, changes []record.Change) {
		for len(changes) > 0 {
			batch := changes[:min(64, len(changes))]
			changes = changes[len(batch):]
			n++
			w := &record.Write{ID: fmt.Sprint(n), By: by, Base: model.Version(), Changes: batch}
			if r := model.Apply(&record.Entry{Write: w}); r.Outcome != record.Applied {
				tb.Fatal(r)
			}
		}
	}
	item := func(kind record.Kind, key, now string) record.Change {
		return record.Change{Kind: kind, Key: key, Value: json.RawMessage(`{"now":` + now + `}`)}
	}
	allSettings := func(in string) (out []record.Change) {
		for setting, v := range map[rules.Setting]string{rules.Rate: `"value":1000000000,"cut":{"mode":"open"}`, rules.Calls: `"value":1000000,"cut":{"mode":"open"}`,
			rules.Attempts: `"value":3`, rules.Repeat: `"value":1`, rules.Deadline: `"value":3000`, rules.Worth: `"value":5`, rules.Callers: `"callers":["app","availability"]`} {
			out = append(out, item(rules.RuleKind, in+"#"+string(setting)+"#r", `{"mode":"default",`+v+`}`))
		}
		return out
	}
	write("root", []record.Change{item(rules.TeamKind, "root", `{}`), item(rules.NamespaceKind, "*/*/*", `{"owner":"root"}`)})
	write("root", allSettings("*/*/*"))
	var teams []record.Change
	for i := range 50 {
		teams = append(teams, item(rules.TeamKind, fmt.Sprint("t", i), `{}`))
	}
	write("root", teams)
	var namespaces, ruleChanges []record.Change
	for i := range 50 {
		namespaces = append(namespaces, item(rules.NamespaceKind, fmt.Sprintf("i%d/*/*", i), fmt.Sprintf(`{"parent":"*/*/*","owner":"t%d"}`, i)))
	}
	write("root", namespaces)
	for i := range 50 {
		namespaces, ruleChanges = nil, allSettings(fmt.Sprintf("i%d/*/*", i))
		for h := range 28 {
			in := fmt.Sprintf("i%d/h%d/*", i, h)
			namespaces = append(namespaces, item(rules.NamespaceKind, in, fmt.Sprintf(`{"parent":"i%d/*/*","owner":"t%d"}`, i, i)))
			ruleChanges = append(ruleChanges, allSettings(in)...)
		}
		write(fmt.Sprint("t", i), namespaces)
		write(fmt.Sprint("t", i), ruleChanges)
	}
	return replica.New(model, 0, 0)
}

type replicaMember struct{ r *replica.Replica }

func (m replicaMember) Replica() *replica.Replica { return m.r }

// BenchmarkGate measures the call of BenchmarkCall without a gate and with a gate of 10,157 rules. The call names its caller and
// counts against a rate limit and a concurrency limit, neither of which is reached.
func BenchmarkGate(b *testing.B) {
	r := recordWithManyRules(b)
	gate := func(b *testing.B) *enforcement.Enforcer {
		g := enforcement.New(enforcement.Config{Member: replicaMember{r}, Limits: limits.New(limits.Config{Name: "b"}), Island: "i7", Hall: "h7", Log: logging.Discard(),
			Classes: []enforcement.Class{{Name: "availability"}, {Name: "booking"}, {Name: "paid-extra"}}})
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go g.Run(ctx)
		for g.Version() == 0 {
			time.Sleep(time.Millisecond)
		}
		return g
	}
	b.Run("gate only", func(b *testing.B) {
		g, call := gate(b), &protocol.Call{Budget: 2 * time.Second, Origin: &protocol.Origin{Caller: "availability", Path: "/x"}}
		b.ReportAllocs()
		for b.Loop() {
			g.Admit(call).Ended(routing.CallResult{})
		}
	})
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "none", true: "rules"}[on], func(b *testing.B) {
			o := newTestSidecar(b, nil)
			if on {
				o.gate, o.origins = gate(b), &protocol.OriginConfig{Caller: "X-Qos"}
			}
			call := o.startCalls()
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
		})
	}
}
