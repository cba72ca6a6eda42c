package memory

import (
	"context"
	"testing"
	"time"
)

// A kind cannot take more than its share, leaves the shares of the others alone, and gets back exactly what a grant holds.
func TestBudget(t *testing.T) {
	const total = 1000
	b := NewBudget(total)
	var heads, bodies, more Grant
	if !b.TryAcquire(&heads, Heads, 300) || b.TryAcquire(&more, Heads, 1) || !b.TryAcquire(&bodies, Bodies, 250) {
		t.Fatalf("%+v", b.Report())
	}
	want := Report{Held: 550, Peak: 550}
	if r := b.Report(); r.Held != want.Held || r.Peak != want.Peak || r.Kinds["heads"] != (Usage{300, 300, 1}) {
		t.Errorf("%+v", r)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if b.Acquire(ctx, &more, Heads, 1) {
		t.Error("more than there is was granted")
	}
	waited := make(chan bool)
	go func() { waited <- b.Acquire(t.Context(), &more, Heads, 300) }()
	heads.Release()
	heads.Release() // has no effect
	if !<-waited {
		t.Error("what was given back is not granted to who waits")
	}
	more.Release()
	bodies.Release()
	if r := b.Report(); r.Held != 0 || r.Peak != 550 {
		t.Errorf("%+v", r)
	}
}

// Without a budget everything is granted, and nothing is counted.
func TestNoBudget(t *testing.T) {
	var b *Budget
	var g Grant
	if !b.TryAcquire(&g, Bodies, 1<<40) || !b.Acquire(t.Context(), &g, Bodies, 1<<40) || b.Report().Kinds != nil {
		t.Error("limited")
	}
	g.Release()
}
