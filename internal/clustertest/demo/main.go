// Command demo starts three members of a cluster on loopback from deploy/cluster.toml, gives an order at one admin listener, ends the
// leader together with its disk, shows that the order still holds at all three, and ends.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/clustertest/process"
)

// patience bounds each step of the show.
const patience = 30 * time.Second

// voter is one of the three processes.
type voter struct {
	name, folder, config, admin, addr string
	*process.Process
}

func main() {
	if err := show(); err != nil {
		fmt.Fprintln(os.Stderr, "cluster demo:", err)
		os.Exit(1)
	}
}

func show() error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()
	dir, err := os.MkdirTemp("", "burlpass-cluster-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	text, err := os.ReadFile("deploy/cluster.toml")
	if err != nil {
		return err
	}
	free, err := ports(9)
	if err != nil {
		return err
	}
	var all []*voter
	for i := range 3 {
		v, err := prepare(dir, string(text), i, free)
		if err != nil {
			return err
		}
		all = append(all, v)
	}
	defer func() {
		for _, v := range all {
			if v.Process != nil {
				v.Kill()
			}
		}
	}()
	for _, v := range all {
		if err := v.start(dir); err != nil {
			return err
		}
	}
	leader, err := await(ctx, all, func(s api.Status) bool { return s.State == "leader" })
	if err != nil {
		return fmt.Errorf("no leader: %w", err)
	}
	fmt.Println("three voters run;", leader.name, "leads")
	other := all[0]
	if other == leader {
		other = all[1]
	}
	answer, err := ask(ctx, other.admin, "DISABLE s-1")
	if err != nil {
		return err
	}
	fmt.Printf("DISABLE s-1 at %s: %s\n", other.name, answer)
	if answer != "ACK disabled s-1 everywhere" {
		return errors.New("the order was not agreed on")
	}
	before, err := await(ctx, []*voter{leader}, func(s api.Status) bool { return s.State == "leader" })
	if err != nil {
		return err
	}
	old, _ := before.status(ctx)
	leader.Kill()
	if err := os.RemoveAll(leader.folder); err != nil {
		return err
	}
	if err := os.Mkdir(leader.folder, 0o700); err != nil {
		return err
	}
	fmt.Println(leader.name, "was killed, and its disk is gone; it starts again with an empty one")
	if err := leader.start(dir); err != nil {
		return err
	}
	if _, err := await(ctx, []*voter{leader}, func(s api.Status) bool {
		return s.Identity != old.Identity && votes(s) && s.Version > old.Version
	}); err != nil {
		return fmt.Errorf("%s is not taken in again: %w", leader.name, err)
	}
	for _, v := range all {
		if err := v.holds(ctx); err != nil {
			return fmt.Errorf("%s: the order does not hold there: %w", v.name, err)
		}
		fmt.Println("at", v.name, "the worker is out of use")
	}
	fmt.Println("the order has outlived the leader and its disk")
	return nil
}

func votes(s api.Status) bool {
	for _, v := range s.Voters {
		if v.Identity == s.Identity && v.Votes {
			return true
		}
	}
	return false
}

// prepare writes one member's configuration from the file that is v1's.
func prepare(dir, text string, i int, free []string) (*voter, error) {
	name := fmt.Sprintf("v%d", i+1)
	v := &voter{name: name, folder: filepath.Join(dir, name), config: filepath.Join(dir, name+".toml"), admin: free[3+i], addr: free[6+i]}
	change := []string{`name = "v1"` + "\nlisten", fmt.Sprintf("name = %q\nlisten", name), `member = "v1"`, fmt.Sprintf("member = %q", name),
		`folder = "v1"`, fmt.Sprintf("folder = %q", v.folder), "127.0.0.1:3001", free[i], "127.0.0.1:3101", v.admin,
		`listen = "127.0.0.1:3201"`, fmt.Sprintf("listen = %q", v.addr),
		"127.0.0.1:3201", free[6], "127.0.0.1:3202", free[7], "127.0.0.1:3203", free[8]}
	if err := os.Mkdir(v.folder, 0o700); err != nil {
		return nil, err
	}
	return v, os.WriteFile(v.config, []byte(strings.NewReplacer(change...).Replace(text)), 0o600)
}

func (v *voter) start(dir string) (err error) {
	log, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.Process, err = process.Start(process.Options{Path: "bin/burlpass", Args: []string{"serve", "--config", v.config},
		Env:  []string{"TMPDIR=" + v.folder},
		Line: func(line string) { fmt.Fprintln(log, line) }, Gone: func(string) { log.Close() }})
	return err
}

// ports gives addresses on loopback that were free a moment ago.
func ports(n int) ([]string, error) {
	var free []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		free = append(free, ln.Addr().String())
	}
	return free, nil
}

// await asks until one of the voters is in a state.
func await(ctx context.Context, of []*voter, is func(api.Status) bool) (*voter, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		for _, v := range of {
			if s, err := v.status(ctx); err == nil && is(s) {
				return v, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (v *voter) status(ctx context.Context) (s api.Status, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.addr+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return s, err
	}
	defer a.Body.Close()
	return s, json.NewDecoder(a.Body).Decode(&s)
}

// holds waits until a sidecar does not choose the worker.
func (v *voter) holds(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		if down, err := v.down(ctx); err != nil || down == 1 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// down is how many workers a sidecar does not choose now.
func (v *voter) down(ctx context.Context) (int, error) {
	var figures struct {
		Down int `json:"hosts_down"`
	}
	answer, err := ask(ctx, v.admin, "STATS")
	if err == nil {
		err = json.Unmarshal([]byte(strings.TrimSuffix(answer, "\n--")), &figures)
	}
	return figures.Down, err
}

// ask gives one line to an admin listener and returns the answer.
func ask(ctx context.Context, addr, line string) (string, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(conn)
	return strings.TrimSpace(string(b)), err
}
