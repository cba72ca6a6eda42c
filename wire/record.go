package wire

import (
	"fmt"
	"math"

	"burlpass/decide"
)

// decodeServerList reads a server list and stores it under its number for later peers_known records.
func (d *Decoder) decodeServerList(c *cursor) error {
	id := c.u8()
	n := c.u32()
	if c.truncated || uint64(n)*serverEntrySize != uint64(len(c.data)) {
		return fmt.Errorf("%d entries do not match %d bytes", n, len(c.data))
	}
	if id >= maxServerLists {
		return fmt.Errorf("list number %d exceeds %d", id, maxServerLists-1)
	}
	list := make([]decide.Server, n)
	for i := range list {
		s := &list[i]
		s.ID = decide.ServerID(c.u32())
		started := c.u64()
		if started > maxClockMicros {
			return fmt.Errorf("entry %d: start time %d is out of range", i, started)
		}
		s.Started = fromMicros(started)
		s.Zone, s.Cell = int(c.u16()), int(c.u16())
		s.State = decide.State(c.u8())
		s.Kind = int(c.u16())
		s.Nominal = float64(math.Float32frombits(c.u32()))
		if s.State > decide.Ready {
			return fmt.Errorf("entry %d: unknown stage_state %d", i, s.State)
		}
	}
	d.lists[id], d.received[id] = list, true
	return nil
}

// decodeRecord reads the fields of a record with the given code into rec. Errors use the record names of the
// simulator's protocol.
func (d *Decoder) decodeRecord(code byte, c *cursor, rec *Record) error {
	e := &rec.Event
	name := ""
	switch code {
	case eventInstanceLaunch:
		name, rec.Op = "launch", Launch
		rec.Seed = c.u64()
		rec.Settings = c.bytes(int64(c.u32()))
	case eventInstanceDown:
		name, rec.Op = "down", Down
	case eventDiscovery:
		name, e.Kind = "peers_known", decide.Members
		form, id := c.u8(), c.u8()
		e.List, e.Version = decide.ListKind(form), c.u64()
		if form > uint8(decide.ListCached) {
			return fmt.Errorf("peers_known: unknown form %d", form)
		}
		if e.List != decide.ListFailed && !c.truncated {
			if id >= maxServerLists || !d.received[id] {
				return fmt.Errorf("peers_known: list number %d has not been sent", id)
			}
			e.Servers = d.lists[id]
		}
	case eventRequest:
		name, e.Kind = "ask", decide.Request
		e.ID, e.Key = c.u64(), c.u64()
		e.Class, e.Budget, e.Tenant = int(c.u8()), fromMicros(uint64(c.u32())), int(c.u32())
		work, flags := fromMicros(uint64(c.u32())), c.u16()
		if flags&flagWorkHint != 0 {
			e.Work = work
		}
		e.Repeat, e.Write = flags&flagRepeat != 0, flags&flagWrite != 0
	case eventFirstByte:
		name, e.Kind = "flowing", decide.StreamStarted
		c.attempt(e)
		e.Latency = fromMicros(uint64(c.u32()))
	case eventAttemptEnded:
		name, e.Kind = "closed_attempt", decide.Outcome
		c.attempt(e)
		e.Status, e.Latency = decide.Status(c.u16()), fromMicros(uint64(c.u32()))
		e.Done = c.u8() != 0
		e.Load = c.floats()
	case eventProbeResult:
		name, e.Kind = "status_back", decide.ProbeResult
		e.Server = decide.ServerID(c.u32())
		e.Status, e.Latency = decide.Status(c.u16()), fromMicros(uint64(c.u32()))
		e.Load = c.floats()
	case eventClientLeft:
		name, e.Kind = "abandoned", decide.ClientLeft
		e.ID = c.u64()
	case eventTimer:
		name, e.Kind = "elapsed", decide.Timer
		e.Token = c.u64()
	case eventPeerMessage:
		name, e.Kind = "inbox", decide.PeerMessage
		e.From = int(c.u16())
		e.Data = c.bytes(int64(c.u16()))
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	if err := c.finish(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if e.Status > decide.NotRun {
		return fmt.Errorf("%s: unknown outcome %d", name, e.Status)
	}
	return nil
}
