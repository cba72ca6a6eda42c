// Command adapter hosts instances of the decision module behind the simulator's wire: batches of events
// on standard input, one reply for each on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"burlpass/decide"
	"burlpass/wire"
)

func main() {
	runtime.GOMAXPROCS(2)   // one for the loop, one for the collector
	debug.SetGCPercent(400) // many small instances: fewer collections for some memory
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

type instance struct {
	balancer *decide.Balancer
	classes  int
	failed   bool
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	var enc wire.Encoder
	hosted := map[uint16]*instance{}
	for {
		enc.Reset()
		_, err := dec.Batch(func(now time.Duration, rec *wire.Record) error {
			return handle(hosted, &enc, now, rec)
		})
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(enc.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

func handle(hosted map[uint16]*instance, enc *wire.Encoder, now time.Duration, rec *wire.Record) error {
	switch rec.Op {
	case wire.Launch:
		config, err := wire.ParseSettings(rec.Settings)
		if err != nil {
			return fmt.Errorf("launch of instance %d: %w", rec.Instance, err)
		}
		hosted[rec.Instance] = &instance{decide.New(config, rec.Seed), len(config.Classes), false}
		return nil
	case wire.Down:
		delete(hosted, rec.Instance)
		return nil
	}
	it := hosted[rec.Instance]
	if it == nil {
		return fmt.Errorf("event for instance %d, which was never launched", rec.Instance)
	}
	if rec.Event.Kind == decide.Request && rec.Event.Class >= it.classes {
		return fmt.Errorf("ask: unknown class %d", rec.Event.Class)
	}
	if it.failed {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			it.failed = true
			enc.Bug(rec.Instance, fmt.Sprint(p))
		}
	}()
	enc.Actions(rec.Instance, it.balancer.Handle(now, rec.Event))
	return nil
}
