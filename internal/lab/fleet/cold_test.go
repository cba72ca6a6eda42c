package fleet

import (
	"testing"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/world"
)

// coldWorld is a small day on which half of the workers return cold, lists reach all at once and nobody falls.
func coldWorld(t *testing.T, load float64) *world.Plan {
	t.Helper()
	s, err := scenario.Parse("test", []byte(`
name = "x"
about = "y"
length = "8s"
workers = 8
sidecars = 24
halls = ["a", "b"]
clients = { skew = 1.2 }
registry = { pushed = true }
rules = { fall_chance = "60s" }
[[class]]
name = "a"
work = "30ms"
aim = "200ms"
deadline = "1s"
effect = "safe"
[[fault]]
kind = "hall_loss"
at = "1s"
length = "1s"
hall = "a"
`))
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Load = load
	return world.Draw(s, 1)
}

// The module keeps the budget of cold workers; a fleet that takes them for warm does not, and is found out as told.
func TestColdBudget(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		adjust func(int, *decide.Config)
		kept   bool
	}{
		{"as it is", nil, true},
		{"told that all start warm", func(_ int, c *decide.Config) { c.Safety.StartShare = 1 }, false},
	} {
		r, err := Play(coldWorld(t, 1.2), test.adjust)
		if err != nil {
			t.Fatal(err)
		}
		if c := r.Report.Cold; c.Lives != 4 || c.All.Ratio < 0.1 || (c.Broken() == 0) != test.kept || (c.Told.Ratio <= 1) != test.kept {
			t.Errorf("%s: %+v", test.name, c)
		}
	}
}

// Another policy plays the same day: round robin serves less of it and knows no cold worker.
func TestRoundRobinBeside(t *testing.T) {
	t.Parallel()
	serve := func(play func(p *world.Plan) (*Result, error)) *judge.Report {
		r, err := play(coldWorld(t, 0.7))
		if err != nil {
			t.Fatal(err)
		}
		return r.Report
	}
	own := serve(func(p *world.Plan) (*Result, error) { return Play(p, nil) })
	plain := serve(func(p *world.Plan) (*Result, error) {
		return PlayWith(p, nil, func(c decide.Config, seed uint64) Policy { return reference.NewRotation(c, seed) })
	})
	if own.Calls != plain.Calls || plain.Worth < 0.2 || plain.Worth >= own.Worth || plain.Cold.Broken() == 0 {
		t.Errorf("of %d and %d calls %.3f and %.3f served, round robin past %d budgets", own.Calls, plain.Calls, own.Worth, plain.Worth,
			plain.Cold.Broken())
	}
}

// Three hundred sidecars together keep the budget of workers that start while the fleet is jammed. With credits that are
// kept until they are spent, the first of these days goes to 1.26 of a budget.
func TestColdBudgetOfALargeFleet(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("../../../scenarios/fleet/cold/join.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Sidecars, s.Clients.Skew = 300, 0
	for _, seed := range []uint64{17, 2, 3} {
		r, err := Play(world.Draw(s, seed), nil)
		if err != nil {
			t.Fatal(err)
		}
		if c := r.Report.Cold; c.Lives < 20 || c.All.Ratio < 0.3 || c.All.Ratio > 1 {
			t.Errorf("seed %d: %.2f of a budget in %d lives", seed, c.All.Ratio, c.Lives)
		}
	}
}
