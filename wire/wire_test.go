package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/decide"
)

// frame builds a batch from a clock and records, each given as a code and fields in hex.
func frame(clock uint64, records ...string) []byte {
	var body []byte
	for _, r := range records {
		code, fields, _ := strings.Cut(r, " ")
		c, _ := hex.DecodeString(code)
		f, err := hex.DecodeString(strings.ReplaceAll(fields, " ", ""))
		if err != nil {
			panic(err)
		}
		body = append(body, c[0])
		body = binary.LittleEndian.AppendUint32(body, uint32(len(f)))
		body = append(body, f...)
	}
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)+4))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

// decodeAll returns the records of all batches in b, up to the first error.
func decodeAll(t *testing.T, b []byte) ([]Record, error) {
	t.Helper()
	d := NewDecoder(bytes.NewReader(b))
	var got []Record
	for {
		_, err := d.Batch(func(_ time.Duration, r *Record) error {
			got = append(got, *r)
			return nil
		})
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
}

// The example frames of the protocol's documentation.
const (
	exampleEmptyBatch = "5a5c80000000000004000000" + "00000000"
	exampleBatch      = "5a5c8000000000005000000005000000" +
		"12020000000300" +
		"1a1f000000c4913a5d436b0500640ad2557c3bf0910080a9030000000000e02e00000100" +
		"17080000004d00000000000000" +
		"12020000000500" +
		"1108000000192b6f0e21de0d00"
	exampleReply = "5000000005000000" +
		"1c020000000300" +
		"1010000000c4913a5d436b0500074a120380380100" +
		"140c00000020a107004d00000000000000" +
		"1c020000000500" +
		"1813000000110074776f2073657276657273206b6e6f776e"
	exampleServerList = "02000000 074a1203 0000000000000000 0000 0000 02 0000 0000803f " +
		"f211902c 20145d0000000000 0100 0000 02 0000 0000c03f"
)

func mustDecodeHex(s string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

func TestDecodeDocumentedExample(t *testing.T) {
	got, err := decodeAll(t, mustDecodeHex(exampleEmptyBatch+exampleBatch))
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{Op: Deliver, Instance: 3, Event: decide.Event{Kind: decide.Request, ID: 0x56b435d3a91c4,
			Key: 0x91f03b7c55d20a64, Budget: 240 * time.Millisecond, Work: 12 * time.Millisecond}},
		{Op: Deliver, Instance: 3, Event: decide.Event{Kind: decide.Timer, Token: 0x4d}},
		{Op: Deliver, Instance: 5, Event: decide.Event{Kind: decide.ClientLeft, ID: 0xdde210e6f2b19}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestDecodeEveryEvent(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		record string
		want   decide.Event
	}{
		{"18 03 02 2900000000000000", decide.Event{Kind: decide.Members, List: decide.ListCached, Version: 41,
			Servers: []decide.Server{
				{ID: 0x03124a07, State: decide.Ready, Nominal: 1},
				{ID: 0x2c9011f2, Started: 0x5d1420 * time.Microsecond, Zone: 1, State: decide.Ready, Nominal: 1.5},
			}}},
		{"18 01 09 0000000000000000", decide.Event{Kind: decide.Members, List: decide.ListFailed}},
		{"13 0700000000000000 0200 05000000 e8030000",
			decide.Event{Kind: decide.StreamStarted, ID: 7, Attempt: 2, Server: 5, Latency: ms}},
		{"16 0700000000000000 0200 05000000 0300 e8030000 01 02 0000803f 00000040",
			decide.Event{Kind: decide.Outcome, ID: 7, Attempt: 2, Server: 5, Status: decide.TimedOut,
				Latency: ms, Done: true, Load: []float32{1, 2}}},
		{"10 05000000 0100 e8030000 00",
			decide.Event{Kind: decide.ProbeResult, Server: 5, Status: decide.OK, Latency: ms}},
		{"15 0200 0400 68692037", decide.Event{Kind: decide.PeerMessage, From: 2, Data: []byte("hi 7")}},
		{"1a 0700000000000000 0000000000000000 02 e8030000 03000000 e8030000 0600",
			decide.Event{Kind: decide.Request, ID: 7, Class: 2, Budget: ms, Tenant: 3, Repeat: true, Write: true}},
	}
	for _, tt := range tests {
		got, err := decodeAll(t, frame(9, "12 0100", "19 02"+exampleServerList, tt.record))
		if err != nil || len(got) != 1 {
			t.Errorf("%s: %v, %d records", tt.record, err, len(got))
			continue
		}
		if diff := cmp.Diff(tt.want, got[0].Event); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", tt.record, diff)
		}
	}
	got, err := decodeAll(t, frame(9, "12 0100", "1b 0500000000000000 03000000 613d62", "14"))
	if err != nil || len(got) != 2 || got[0].Op != Launch || got[0].Seed != 5 ||
		string(got[0].Settings) != "a=b" || got[1].Op != Down {
		t.Errorf("launch and down: %v %+v", err, got)
	}
}

func TestDecodeBadInput(t *testing.T) {
	target := "12 0100"
	tests := []struct {
		name  string
		input []byte
		want  string
	}{
		{"truncated header", mustDecodeHex(exampleEmptyBatch)[:9], "batch header"},
		{"length too short for the count", mustDecodeHex("5a5c800000000000 03000000 00000000"), "length 3"},
		{"large length without body", mustDecodeHex("5a5c800000000000 ffffff3f 00000000"), "unexpected EOF"},
		{"length over the limit", mustDecodeHex("5a5c800000000000 ffffffff 00000000"), "exceeds 1073741824"},
		{"more records than bytes", mustDecodeHex("5a5c800000000000 04000000 09000000"), "9 records do not fit"},
		{"clock out of range", mustDecodeHex("ffffffffffffffff 04000000 00000000"), "out of range"},
		{"clock goes backwards", append(frame(9), frame(8)...), "went backwards"},
		{"trailing bytes", append(mustDecodeHex("5a5c800000000000 05000000 00000000"), 1), "after the last record"},
		{"record longer than the batch", mustDecodeHex("5a5c800000000000 0b000000 01000000 12ff0000000100"), "left in the batch"},
		{"record too short", frame(9, target, "17 4d00"), "elapsed: fields truncated"},
		{"record too long", frame(9, target, "17 4d0000000000000000"), "elapsed: 1 bytes after"},
		{"count beyond its record", frame(9, target, "15 0200 ff00 6869"), "inbox: fields truncated"},
		{"settings beyond their record", frame(9, target, "1b 0500000000000000 ffffffff 61"), "launch: fields truncated"},
		{"load report beyond its record", frame(9, target, "10 05000000 0100 e8030000 ff"), "status_back: fields truncated"},
		{"server list count", frame(9, "19 02 ffffffff"), "census): 4294967295 entries"},
		{"server list number", frame(9, "19 10 00000000"), "list number 16"},
		{"server list state", frame(9, "19 02 01000000 074a1203 0000000000000000 0000 0000 07 0000 0000803f"), "stage_state 7"},
		{"unknown list", frame(9, target, "18 00 05 0000000000000000"), "list number 5 has not been sent"},
		{"unknown form", frame(9, target, "18 07 05 0000000000000000"), "unknown form 7"},
		{"unknown code", frame(9, target, "63"), "unknown code 99"},
		{"unknown outcome", frame(9, target, "10 05000000 6300 e8030000 00"), "unknown outcome 99"},
		{"no instance addressed", frame(9, "14"), "no preceding target_instance"},
	}
	for _, tt := range tests {
		_, err := decodeAll(t, tt.input)
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q", tt.name, err, tt.want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %v", tt.name, err)
		}
	}
}

func TestEncodeDocumentedExample(t *testing.T) {
	var e Encoder
	e.Reset()
	if got := hex.EncodeToString(e.Bytes()); got != "0400000000000000" {
		t.Errorf("empty reply: %s", got)
	}
	e.Reset()
	e.Actions(3, []decide.Action{
		{Kind: decide.Send, ID: 0x56b435d3a91c4, Server: 0x03124a07, Timeout: 80 * time.Millisecond},
		{Kind: decide.SetTimer, Wait: 500 * time.Millisecond, Token: 0x4d}})
	e.Actions(5, []decide.Action{{Kind: decide.Log, Text: "two servers known"}})
	if got := hex.EncodeToString(e.Bytes()); got != exampleReply {
		t.Errorf("got  %s\nwant %s", got, exampleReply)
	}
}

func TestEncodeEveryAction(t *testing.T) {
	tests := []struct {
		action decide.Action
		want   string
	}{
		{decide.Action{Kind: decide.Refuse, ID: 7, Wait: time.Millisecond}, "110c0000000700000000000000e8030000"},
		{decide.Action{Kind: decide.Fail, ID: 7}, "12080000000700000000000000"},
		{decide.Action{Kind: decide.Cancel, ID: 7, Attempt: 2}, "130a00000007000000000000000200"},
		{decide.Action{Kind: decide.Probe, Server: 5}, "150400000005000000"},
		{decide.Action{Kind: decide.Close, Server: 5}, "160400000005000000"},
		{decide.Action{Kind: decide.Watch, On: true}, "1a0100000001"},
		{decide.Action{Kind: decide.Watch}, "1a0100000000"},
		{decide.Action{Kind: decide.Fetch}, "1b00000000"},
		{decide.Action{Kind: decide.SendPeer, To: -1, Data: []byte("hi 7")}, "1708000000ffff040068692037"},
		{decide.Action{Kind: decide.SetTimer, Wait: 1, Token: 1}, "140c000000010000000100000000000000"},
		{decide.Action{Kind: decide.Send, Timeout: 1 << 62}, "1010000000000000000000000000000000ffffffff"},
	}
	for _, tt := range tests {
		var e Encoder
		e.Reset()
		e.Actions(1, []decide.Action{tt.action})
		if got := hex.EncodeToString(e.Bytes()[8+7:]); got != tt.want {
			t.Errorf("%+v: got %s, want %s", tt.action, got, tt.want)
		}
	}
	var e Encoder
	e.Reset()
	e.Bug(2, "oh")
	if got := hex.EncodeToString(e.Bytes()[8:]); got != "1c020000000200"+"190400000002006f68" {
		t.Errorf("bug: %s", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(mustDecodeHex(exampleEmptyBatch + exampleBatch))
	f.Add(frame(9, "12 0100", "19 02"+exampleServerList, "18 03 02 2900000000000000"))
	f.Add(frame(9, "19 02 ffffffff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		decodeAll(t, b)
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(testSettings))
	f.Add([]byte("classes.count=999999999"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := ParseSettings(b); err == nil && len(c.Classes) > maxItems {
			t.Errorf("%d classes", len(c.Classes))
		}
	})
}
