// Package wire is the codec of the simulator's frames and its settings. It turns records into the plain
// types of package decide and back, checks every length against what is there, and holds no policy.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"burlpass/decide"
)

// Codes of the events.
const (
	evProbed  = 16
	evLeft    = 17
	evTarget  = 18
	evFirst   = 19
	evDown    = 20
	evPeer    = 21
	evOutcome = 22
	evTimer   = 23
	evMembers = 24
	evCensus  = 25
	evRequest = 26
	evLaunch  = 27
)

// Codes of the actions.
const (
	acSend    = 16
	acRefuse  = 17
	acFail    = 18
	acCancel  = 19
	acWake    = 20
	acProbe   = 21
	acClose   = 22
	acTell    = 23
	acLog     = 24
	acBug     = 25
	acWatch   = 26
	acFetch   = 27
	acSpeaker = 28
)

const (
	batchHeader = 16
	entrySize   = 23
	maxLists    = 16
	maxFrame    = 1 << 30 // bytes; a longer frame is held to be garbage
	readChunk   = 1 << 20 // bytes allocated ahead of what has arrived

	maxClock = math.MaxInt64 / uint64(time.Microsecond)
)

// Bits of a request's bitmap.
const (
	bitHint   = 1
	bitRepeat = 2
	bitWrite  = 4
)

// Op says what a Record is.
type Op uint8

// The records as the caller sees them: lists and addressing are resolved by the Decoder.
const (
	Launch Op = iota + 1 // Seed, Settings
	Down
	Deliver // Event
)

// Record is one record of a batch, addressed to an instance.
type Record struct {
	Op       Op
	Instance uint16
	Seed     uint64
	Settings []byte
	Event    decide.Event
}

// Decoder reads batches. Slices inside the records stay valid until the next call of Batch, those of
// server lists until the list's number is used again.
type Decoder struct {
	r     *bufio.Reader
	buf   []byte
	lists [maxLists][]decide.Server
	known [maxLists]bool
	clock uint64
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// Batch reads one batch and calls f for each of its records in order. It returns the batch's clock, and
// io.EOF where the input ends between two batches.
func (d *Decoder) Batch(f func(now time.Duration, rec *Record) error) (time.Duration, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header: %w", err)
	}
	clock := binary.LittleEndian.Uint64(head[:])
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	switch {
	case clock > maxClock:
		return 0, fmt.Errorf("batch header: clock %d is out of range", clock)
	case clock < d.clock:
		return 0, fmt.Errorf("batch header: clock went back from %d to %d", d.clock, clock)
	case size < 4:
		return 0, fmt.Errorf("batch header: length %d does not cover the count", size)
	case size > maxFrame:
		return 0, fmt.Errorf("batch header: length %d is over %d", size, maxFrame)
	case uint64(count)*5 > uint64(size-4):
		return 0, fmt.Errorf("batch header: %d records do not fit into %d bytes", count, size)
	}
	d.clock = clock
	size -= 4 // the length counts the count
	if err := d.fill(int(size)); err != nil {
		return 0, fmt.Errorf("batch of %d bytes: %w", size, err)
	}
	now := micros(clock)
	rest := d.buf
	inst, addressed := uint16(0), false
	var rec Record
	for i := uint32(0); i < count; i++ {
		if len(rest) < 5 {
			return 0, fmt.Errorf("record %d: header cut short", i)
		}
		code, n := rest[0], binary.LittleEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return 0, fmt.Errorf("record %d (code %d): %d bytes of fields, %d left in the batch",
				i, code, n, len(rest)-5)
		}
		c := cursor{b: rest[5 : 5+n]}
		rest = rest[5+n:]
		switch code {
		case evTarget:
			inst, addressed = c.u16(), true
			if err := c.end(); err != nil {
				return 0, fmt.Errorf("record %d (target_instance): %w", i, err)
			}
			continue
		case evCensus:
			if err := d.census(&c); err != nil {
				return 0, fmt.Errorf("record %d (census): %w", i, err)
			}
			continue
		}
		if !addressed {
			return 0, fmt.Errorf("record %d (code %d): no target_instance before it", i, code)
		}
		rec = Record{Op: Deliver, Instance: inst}
		if err := d.record(code, &c, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
		if err := f(now, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
	}
	if len(rest) > 0 {
		return 0, fmt.Errorf("batch: %d bytes after its last record", len(rest))
	}
	return now, nil
}

// fill reads size bytes into the buffer, growing it only as bytes arrive, so that a false length field
// cannot make it allocate.
func (d *Decoder) fill(size int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(size-len(d.buf), max(readChunk, cap(d.buf)-len(d.buf)))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(make([]byte, 0, 2*(at+n)), d.buf...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func (d *Decoder) census(c *cursor) error {
	id := c.u8()
	n := c.u32()
	if c.short || uint64(n)*entrySize != uint64(len(c.b)) {
		return fmt.Errorf("%d entries do not match %d bytes", n, len(c.b))
	}
	if id >= maxLists {
		return fmt.Errorf("list number %d is over %d", id, maxLists-1)
	}
	list := make([]decide.Server, n)
	for i := range list {
		s := &list[i]
		s.ID = decide.ServerID(c.u32())
		started := c.u64()
		if started > maxClock {
			return fmt.Errorf("entry %d: start time %d is out of range", i, started)
		}
		s.Started = micros(started)
		s.Zone, s.Cell = int(c.u16()), int(c.u16())
		s.State = decide.State(c.u8())
		s.Kind = int(c.u16())
		s.Nominal = float64(math.Float32frombits(c.u32()))
		if s.State > decide.Ready {
			return fmt.Errorf("entry %d: unknown stage_state %d", i, s.State)
		}
	}
	d.lists[id], d.known[id] = list, true
	return nil
}

func (d *Decoder) record(code byte, c *cursor, rec *Record) error {
	e := &rec.Event
	name := ""
	switch code {
	case evLaunch:
		name, rec.Op = "launch", Launch
		rec.Seed = c.u64()
		rec.Settings = c.bytes(int64(c.u32()))
	case evDown:
		name, rec.Op = "down", Down
	case evMembers:
		name, e.Kind = "peers_known", decide.Members
		form, id := c.u8(), c.u8()
		e.List, e.Version = decide.ListKind(form), c.u64()
		if form > uint8(decide.ListCached) {
			return fmt.Errorf("peers_known: unknown form %d", form)
		}
		if e.List != decide.ListFailed && !c.short {
			if id >= maxLists || !d.known[id] {
				return fmt.Errorf("peers_known: list number %d was never sent", id)
			}
			e.Servers = d.lists[id]
		}
	case evRequest:
		name, e.Kind = "ask", decide.Request
		e.ID, e.Key = c.u64(), c.u64()
		e.Class, e.Budget, e.Tenant = int(c.u8()), micros(uint64(c.u32())), int(c.u32())
		work, bits := micros(uint64(c.u32())), c.u16()
		if bits&bitHint != 0 {
			e.Work = work
		}
		e.Repeat, e.Write = bits&bitRepeat != 0, bits&bitWrite != 0
	case evFirst:
		name, e.Kind = "flowing", decide.First
		c.attempt(e)
		e.Latency = micros(uint64(c.u32()))
	case evOutcome:
		name, e.Kind = "closed_attempt", decide.Outcome
		c.attempt(e)
		e.Status, e.Latency = decide.Status(c.u16()), micros(uint64(c.u32()))
		e.Done = c.u8() != 0
		e.Load = c.floats()
	case evProbed:
		name, e.Kind = "status_back", decide.Probed
		e.Server = decide.ServerID(c.u32())
		e.Status, e.Latency = decide.Status(c.u16()), micros(uint64(c.u32()))
		e.Load = c.floats()
	case evLeft:
		name, e.Kind = "abandoned", decide.Left
		e.ID = c.u64()
	case evTimer:
		name, e.Kind = "elapsed", decide.Timer
		e.Token = c.u64()
	case evPeer:
		name, e.Kind = "inbox", decide.Peer
		e.From = int(c.u16())
		e.Data = c.bytes(int64(c.u16()))
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	if err := c.end(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if e.Status > decide.Moot {
		return fmt.Errorf("%s: unknown outcome %d", name, e.Status)
	}
	return nil
}

func micros(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// cursor reads the fields of one record; short is set once a read went past the end.
type cursor struct {
	b     []byte
	short bool
}

var errShort = errors.New("fields cut short")

func (c *cursor) bytes(n int64) []byte {
	if c.short || n > int64(len(c.b)) {
		c.short, c.b = true, nil
		return nil
	}
	v := c.b[:n:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) u8() uint8 {
	if v := c.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if v := c.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if v := c.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if v := c.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (c *cursor) attempt(e *decide.Event) {
	e.ID, e.Attempt, e.Server = c.u64(), int(c.u16()), decide.ServerID(c.u32())
}

func (c *cursor) floats() []float32 {
	n := int(c.u8())
	raw := c.bytes(int64(4 * n))
	if n == 0 || c.short {
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = math.Float32frombits(binary.LittleEndian.Uint32(raw[4*i:]))
	}
	return v
}

func (c *cursor) end() error {
	switch {
	case c.short:
		return errShort
	case len(c.b) > 0:
		return fmt.Errorf("%d bytes after the last field", len(c.b))
	}
	return nil
}

// Encoder builds one reply at a time.
type Encoder struct {
	buf   []byte
	count uint32
	inst  uint16
	named bool
}

// Reset starts an empty reply.
func (e *Encoder) Reset() {
	e.buf, e.count, e.named = append(e.buf[:0], make([]byte, 8)...), 0, false
}

// Actions adds what an instance does.
func (e *Encoder) Actions(inst uint16, list []decide.Action) {
	for i := range list {
		e.speaker(inst)
		e.action(&list[i])
	}
}

// Bug adds the fault of an instance whose decision code has failed.
func (e *Encoder) Bug(inst uint16, text string) {
	e.speaker(inst)
	e.text(acBug, text)
}

// Bytes returns the finished reply; it stays valid until Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4)) // all after this field, the count too
	binary.LittleEndian.PutUint32(e.buf[4:], e.count)
	return e.buf
}

func (e *Encoder) speaker(inst uint16) {
	if e.named && e.inst == inst {
		return
	}
	e.inst, e.named = inst, true
	e.head(acSpeaker, 2)
	e.u16(inst)
}

func (e *Encoder) action(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		e.head(acSend, 16)
		e.u64(a.ID)
		e.u32(uint32(a.Server))
		e.u32(toMicros(a.Timeout))
	case decide.Refuse:
		e.head(acRefuse, 12)
		e.u64(a.ID)
		e.u32(toMicros(a.Wait))
	case decide.Fail:
		e.head(acFail, 8)
		e.u64(a.ID)
	case decide.Cancel:
		e.head(acCancel, 10)
		e.u64(a.ID)
		e.u16(uint16(a.Attempt))
	case decide.Probe:
		e.head(acProbe, 4)
		e.u32(uint32(a.Server))
	case decide.Close:
		e.head(acClose, 4)
		e.u32(uint32(a.Server))
	case decide.Wake:
		e.head(acWake, 12)
		e.u32(toMicros(a.Wait))
		e.u64(a.Token)
	case decide.Watch:
		e.head(acWatch, 1)
		e.buf = append(e.buf, b2u(a.On))
	case decide.Fetch:
		e.head(acFetch, 0)
	case decide.Tell:
		to := uint16(math.MaxUint16)
		if a.To >= 0 {
			to = uint16(a.To)
		}
		data := a.Data[:min(len(a.Data), math.MaxUint16)]
		e.head(acTell, 4+len(data))
		e.u16(to)
		e.u16(uint16(len(data)))
		e.buf = append(e.buf, data...)
	case decide.Log:
		e.text(acLog, a.Text)
	default:
		panic(fmt.Sprintf("wire: unknown action kind %d", a.Kind))
	}
}

func (e *Encoder) text(code byte, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	e.head(code, 2+len(s))
	e.u16(uint16(len(s)))
	e.buf = append(e.buf, s...)
}

func (e *Encoder) head(code byte, size int) {
	e.count++
	e.buf = append(e.buf, code)
	e.u32(uint32(size))
}

func (e *Encoder) u16(v uint16) { e.buf = binary.LittleEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }

// toMicros rounds up, so that a timer or time-out above zero never becomes "none".
func toMicros(d time.Duration) uint32 {
	us := (max(d, 0) + time.Microsecond - 1) / time.Microsecond
	return uint32(min(us, math.MaxUint32))
}

func b2u(b bool) byte {
	if b {
		return 1
	}
	return 0
}
