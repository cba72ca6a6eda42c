// Command adapter runs instances of the decision module for the simulator. It reads batches of events from standard
// input and writes one reply to each to standard output, in the encoding of package wire.
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
	runtime.GOMAXPROCS(2)   // one for the loop, one for the garbage collector
	debug.SetGCPercent(400) // with many small instances, fewer collections are worth some memory
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// instance is a running balancer. failed is set once it has panicked; its events are ignored from then on.
type instance struct {
	balancer *decide.Balancer
	classes  int
	failed   bool
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	var enc wire.Encoder
	instances := map[uint16]*instance{}
	for {
		enc.Reset()
		_, err := dec.Batch(func(now time.Duration, rec *wire.Record) error {
			return handle(instances, &enc, now, rec)
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

// handle applies one record. A panic of the decision code is reported in the reply and disables the instance.
func handle(instances map[uint16]*instance, enc *wire.Encoder, now time.Duration, rec *wire.Record) error {
	switch rec.Op {
	case wire.Launch:
		config, err := wire.ParseSettings(rec.Settings)
		if err != nil {
			return fmt.Errorf("launch of instance %d: %w", rec.Instance, err)
		}
		instances[rec.Instance] = &instance{decide.New(config, rec.Seed), len(config.Classes), false}
		return nil
	case wire.Down:
		delete(instances, rec.Instance)
		return nil
	}
	inst := instances[rec.Instance]
	if inst == nil {
		return fmt.Errorf("event for instance %d, which was never launched", rec.Instance)
	}
	if rec.Event.Kind == decide.Request && rec.Event.Class >= inst.classes {
		return fmt.Errorf("ask: unknown class %d", rec.Event.Class)
	}
	if inst.failed {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			inst.failed = true
			enc.Bug(rec.Instance, fmt.Sprint(p))
		}
	}()
	enc.Actions(rec.Instance, inst.balancer.Handle(now, rec.Event))
	return nil
}
