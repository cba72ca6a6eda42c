package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"burlpass/decide"
)

// Encoder builds the reply to a batch. Call Reset before each reply.
type Encoder struct {
	buf       []byte
	count     uint32
	instance  uint16 // that the following records are addressed to
	addressed bool   // whether instance has been set in this reply
}

// Reset discards the current reply and starts an empty one.
func (e *Encoder) Reset() {
	e.buf, e.count, e.addressed = append(e.buf[:0], make([]byte, 8)...), 0, false
}

// Actions appends the actions of an instance.
func (e *Encoder) Actions(inst uint16, list []decide.Action) {
	for i := range list {
		e.selectInstance(inst)
		e.action(&list[i])
	}
}

// Bug appends a record saying that the decision code of an instance panicked.
func (e *Encoder) Bug(inst uint16, text string) {
	e.selectInstance(inst)
	e.textRecord(actionBug, text)
}

// Bytes returns the finished reply. The slice is valid until Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4)) // the length covers everything after itself, including the count
	binary.LittleEndian.PutUint32(e.buf[4:], e.count)
	return e.buf
}

// selectInstance addresses the following records to an instance, unless they already are.
func (e *Encoder) selectInstance(inst uint16) {
	if e.addressed && e.instance == inst {
		return
	}
	e.instance, e.addressed = inst, true
	e.beginRecord(actionInstance, 2)
	e.u16(inst)
}

func (e *Encoder) action(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		e.beginRecord(actionSend, 16)
		e.u64(a.ID)
		e.u32(uint32(a.Server))
		e.u32(toMicros(a.Timeout))
	case decide.Refuse:
		e.beginRecord(actionRefuse, 12)
		e.u64(a.ID)
		e.u32(toMicros(a.Wait))
	case decide.Fail:
		e.beginRecord(actionFail, 8)
		e.u64(a.ID)
	case decide.Cancel:
		e.beginRecord(actionCancel, 10)
		e.u64(a.ID)
		e.u16(uint16(a.Attempt))
	case decide.Probe:
		e.beginRecord(actionProbe, 4)
		e.u32(uint32(a.Server))
	case decide.Close:
		e.beginRecord(actionClose, 4)
		e.u32(uint32(a.Server))
	case decide.SetTimer:
		e.beginRecord(actionTimer, 12)
		e.u32(toMicros(a.Wait))
		e.u64(a.Token)
	case decide.Watch:
		e.beginRecord(actionWatch, 1)
		e.buf = append(e.buf, boolByte(a.On))
	case decide.Fetch:
		e.beginRecord(actionFetch, 0)
	case decide.SendPeer:
		to := uint16(math.MaxUint16)
		if a.To >= 0 {
			to = uint16(a.To)
		}
		data := a.Data[:min(len(a.Data), math.MaxUint16)]
		e.beginRecord(actionPeerMessage, 4+len(data))
		e.u16(to)
		e.u16(uint16(len(data)))
		e.buf = append(e.buf, data...)
	case decide.Log:
		e.textRecord(actionLog, a.Text)
	default:
		panic(fmt.Sprintf("wire: unknown action kind %d", a.Kind))
	}
}

// textRecord appends a record that holds a text, truncated to what its 16-bit length can express.
func (e *Encoder) textRecord(code byte, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	e.beginRecord(code, 2+len(s))
	e.u16(uint16(len(s)))
	e.buf = append(e.buf, s...)
}

func (e *Encoder) beginRecord(code byte, size int) {
	e.count++
	e.buf = append(e.buf, code)
	e.u32(uint32(size))
}

func (e *Encoder) u16(v uint16) { e.buf = binary.LittleEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }

// toMicros converts to whole microseconds, rounded up so that a positive timer or timeout never becomes 0, which
// means none.
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
