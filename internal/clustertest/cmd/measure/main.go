// Command measure times a cluster of real processes on loopback; `make measure-cluster` runs all of it, docs/cluster.md has
// the figures. It is run in the module's root.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"burlpass/internal/cluster/observer"
	"burlpass/internal/clustertest/measure"
)

// lastWithout is the last revision before there was a cluster.
const lastWithout = "8fc1c67"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var dir string
	root := &cobra.Command{Use: "measure", Short: "time a cluster of real processes", SilenceErrors: true, SilenceUsage: true}
	root.PersistentFlags().StringVar(&dir, "dir", "", "where the folders of the processes are made, on the disk to be measured")
	in := func(f func(context.Context, measure.Options) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			made, remove, err := measure.Folder(dir)
			if err != nil {
				return err
			}
			defer remove()
			return f(c.Context(), measure.Options{Root: ".", Dir: made, Out: os.Stdout})
		}
	}
	var kills, pace int
	failover := &cobra.Command{Use: "failover", Short: "the leader's SIGKILL to the next acknowledged write", Args: cobra.NoArgs,
		RunE: in(func(ctx context.Context, o measure.Options) error { return measure.Failover(ctx, o, kills, pace) })}
	failover.Flags().IntVar(&kills, "kills", 100, "how many times")
	failover.Flags().IntVar(&pace, "writes", 100, "begun a second")
	var observers, writes int
	var each time.Duration
	fleet := &cobra.Command{Use: "observers", Short: "a write's way to many observers, and the leader's work for them", Args: cobra.NoArgs,
		RunE: in(func(ctx context.Context, o measure.Options) error {
			return measure.Observers(ctx, o, observers, writes, each)
		})}
	fleet.Flags().IntVar(&observers, "observers", 300, "how many")
	fleet.Flags().IntVar(&writes, "writes", 10, "begun a second")
	fleet.Flags().DurationVar(&each, "each", 15*time.Second, "time at rest, and under writes")
	var calls measure.CallOptions
	call := &cobra.Command{Use: "call", Short: "what a call costs a sidecar without and with a cluster", Args: cobra.NoArgs,
		RunE: in(func(ctx context.Context, o measure.Options) error { return measure.Call(ctx, o, calls) })}
	call.Flags().StringVar(&calls.Before, "before", lastWithout, "revision that this one is held against")
	call.Flags().IntVar(&calls.ASecond, "calls", 2000, "made a second")
	call.Flags().IntVar(&calls.Rounds, "rounds", 100, "that each sidecar is loaded in")
	call.Flags().DurationVar(&calls.Each, "each", 200*time.Millisecond, "time of a sidecar in a round")
	call.Flags().DurationVar(&calls.Idle, "idle", 10*time.Second, "time at rest")
	root.AddCommand(failover, fleet, call, follow())
	return root
}

// follow is a process of followers, which observers starts.
func follow() *cobra.Command {
	var job measure.FollowJob
	var voters []string
	c := &cobra.Command{Use: "follow", Short: "some light followers", Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, v := range voters {
				name, addr, _ := strings.Cut(v, "=")
				job.Voters = append(job.Voters, observer.Source{Name: name, Addr: addr})
			}
			return measure.Follow(c.Context(), os.Stdin, os.Stdout, job)
		}}
	c.Flags().IntVar(&job.First, "first", 0, "number of the first one")
	c.Flags().IntVar(&job.Observers, "observers", 1, "how many")
	c.Flags().StringArrayVar(&voters, "voter", nil, "name=address")
	return c
}
