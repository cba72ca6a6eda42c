package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["stale-order"] = staleOrder }

const (
	cutLength  = 6 * time.Second
	drainGrace = 750*time.Millisecond + 50*time.Millisecond // of the site, and the 50 ms by which sockets lengthen every limit
)

// member is one of three sidecars that hold operators' orders together.
type member struct {
	name, listen, door, cluster string
}

// staleOrder: v1's hall is cut off from the others for 6 s. A worker is put back at v1, and afterwards taken out at v2, which
// acknowledges it. From v2's yes on the worker counts as draining for v2 until a call puts it back; none does.
func staleOrder(g *rig) error {
	var workers []*worker
	reg := newRegistry(g)
	for i := range 6 {
		w, err := g.newWorker(fmt.Sprintf("s-%d", i+1), 20*time.Millisecond)
		if err != nil {
			return err
		}
		workers = append(workers, w)
		reg.entries = append(reg.entries, &entry{ID: w.id, Addr: w.addr, Zone: hall(i % 3), Kind: "standard", Lifecycle: "up", Weight: 1, changed: 1})
	}
	taken := workers[1] // in hall-b, as is v2
	at, err := reg.serve("r")
	if err != nil {
		return err
	}
	wire := newNetwork()
	members, err := g.startMembers(wire, at.addr)
	if err != nil {
		return err
	}
	if err := g.await("members ready", 20*time.Second, func() bool {
		for _, m := range members {
			if answer, _ := g.order(m.name, m.door, "READY"); !strings.HasPrefix(answer, "ACK") || !healthy(m.listen) {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	v1, v2 := members[0], members[1]
	if err := g.await("an order that is agreed on", 20*time.Second, func() bool {
		answer, _ := g.order("v1", v1.door, "DISABLE "+taken.id)
		return strings.HasSuffix(answer, "everywhere")
	}); err != nil {
		return err
	}
	calls := g.send("v2", v2.listen, "availability", 40*time.Millisecond)
	defer calls.end()
	if err := g.pause(2 * time.Second); err != nil {
		return err
	}
	if g.trouble {
		g.note("network: v1 is cut off from v2 and v3 for %v", cutLength)
		wire.set(true)
	}
	healed := time.Now().Add(cutLength)
	if err := g.pause(1500 * time.Millisecond); err != nil {
		return err
	}
	if answer, err := g.order("v1", v1.door, "ENABLE "+taken.id); err != nil || !strings.HasPrefix(answer, "ACK") {
		return fmt.Errorf("ENABLE at v1: %q %v", answer, err)
	}
	if err := g.pause(1500 * time.Millisecond); err != nil {
		return err
	}
	answer, err := g.order("v2", v2.door, "DISABLE "+taken.id)
	yes := time.Now()
	if err != nil || !strings.HasPrefix(answer, "ACK") {
		return fmt.Errorf("DISABLE at v2: %q %v", answer, err)
	}
	if late := time.Since(healed); late > 0 {
		return fmt.Errorf("the machine is too busy: the cut would last %v longer than its 6 s", late)
	}
	if err := g.pause(time.Until(healed)); err != nil {
		return err
	}
	g.note("network: whole")
	wire.set(false)
	if err := g.pause(15 * time.Second); err != nil {
		return err
	}
	late := taken.after(yes.Add(drainGrace), "v2-")
	if len(late) > 0 {
		return broken(fmt.Sprintf("after v2's yes to DISABLE %s at %.3f, %d requests of v2 have come there, %s the first at %.3f; no call has put it back since",
			taken.id, g.at(yes), len(late), late[0].id, g.at(late[0].at)))
	}
	return nil
}

// startMembers starts three members, of which the first is beyond the network.
func (g *rig) startMembers(wire *network, registry string) ([]*member, error) {
	command, err := runLine()
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(9)
	if err != nil {
		return nil, err
	}
	var members []*member
	for i := range 3 {
		members = append(members, &member{fmt.Sprintf("v%d", i+1), addrs[i], addrs[3+i], addrs[6+i]})
	}
	for i, m := range members {
		folder := filepath.Join(g.dir, m.name)
		for _, dir := range []string{folder, folder + ".tmp"} {
			if err := os.Mkdir(dir, 0o700); err != nil {
				return nil, err
			}
		}
		var voters string
		for j, other := range members {
			to := other.cluster
			if i != j && (i == 0 || j == 0) {
				if to, err = wire.relay(to); err != nil {
					return nil, err
				}
			}
			voters += fmt.Sprintf("  { name = %q, addr = %q },\n", other.name, to)
		}
		config := folder + ".toml"
		text := fmt.Sprintf(memberConfig, m.name, m.listen, registry, m.door, hall(i), m.name, m.cluster, folder, voters)
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if _, err := g.run(m.name, command, []string{"EDGE_NAME=" + m.name, "EDGE_LISTEN=" + m.listen, "EDGE_DISCOVERY=" + registry,
			"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + m.door, "TMPDIR=" + folder + ".tmp"}); err != nil {
			return nil, err
		}
	}
	return members, nil
}

const memberConfig = `name = %q
listen = %q
registry = %q
operator = %q
zone = %q
zones = ["hall-a", "hall-b", "hall-c"]
sidecars = 3

[limits]
cores = 1.0
memory = "192MiB"
sockets = 1024

[[class]]
name = "availability"
effect = "safe"
aim = "600ms"
deadline = "3s"
worth = 1
late_worth = 0.2

[[class]]
name = "booking"
effect = "unsafe"
aim = "1s"
deadline = "3s"
worth = 5
late_worth = 0.3

[cluster]
name = "athens"
member = %q
listen = %q
folder = %q
voters = [
%s]
`
