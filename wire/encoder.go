package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"burlpass/decide"
)

// Encoder builds one reply at a time.
type Encoder struct {
	buf      []byte
	count    uint32
	instance uint16
	named    bool
}

// Reset starts an empty reply.
func (e *Encoder) Reset() {
	e.buf, e.count, e.named = append(e.buf[:0], make([]byte, 8)...), 0, false
}

// Actions adds what an instance does.
func (e *Encoder) Actions(inst uint16, list []decide.Action) {
	for i := range list {
		e.address(inst)
		e.action(&list[i])
	}
}

// Bug adds the fault of an instance whose decision code has failed.
func (e *Encoder) Bug(inst uint16, text string) {
	e.address(inst)
	e.text(actionBug, text)
}

// Bytes returns the finished reply; it stays valid until Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4)) // all after this field, the count too
	binary.LittleEndian.PutUint32(e.buf[4:], e.count)
	return e.buf
}

func (e *Encoder) address(inst uint16) {
	if e.named && e.instance == inst {
		return
	}
	e.instance, e.named = inst, true
	e.head(actionInstance, 2)
	e.u16(inst)
}

func (e *Encoder) action(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		e.head(actionSend, 16)
		e.u64(a.ID)
		e.u32(uint32(a.Server))
		e.u32(toMicros(a.Timeout))
	case decide.Refuse:
		e.head(actionRefuse, 12)
		e.u64(a.ID)
		e.u32(toMicros(a.Wait))
	case decide.Fail:
		e.head(actionFail, 8)
		e.u64(a.ID)
	case decide.Cancel:
		e.head(actionCancel, 10)
		e.u64(a.ID)
		e.u16(uint16(a.Attempt))
	case decide.Probe:
		e.head(actionProbe, 4)
		e.u32(uint32(a.Server))
	case decide.Close:
		e.head(actionClose, 4)
		e.u32(uint32(a.Server))
	case decide.Wake:
		e.head(actionTimer, 12)
		e.u32(toMicros(a.Wait))
		e.u64(a.Token)
	case decide.Watch:
		e.head(actionWatch, 1)
		e.buf = append(e.buf, boolByte(a.On))
	case decide.Fetch:
		e.head(actionFetch, 0)
	case decide.Tell:
		to := uint16(math.MaxUint16)
		if a.To >= 0 {
			to = uint16(a.To)
		}
		data := a.Data[:min(len(a.Data), math.MaxUint16)]
		e.head(actionPeerMessage, 4+len(data))
		e.u16(to)
		e.u16(uint16(len(data)))
		e.buf = append(e.buf, data...)
	case decide.Log:
		e.text(actionLog, a.Text)
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

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
