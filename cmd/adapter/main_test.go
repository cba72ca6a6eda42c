package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

func record(code byte, fields ...byte) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{code}, uint32(len(fields)))
	return append(b, fields...)
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint64(nil, 1000)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)+4))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

const settings = "zone=0\nceilings.max_attempts=2\nclasses.count=1\nclasses.0.aim_us=1000\n" +
	"classes.0.deadline_us=2000\nclasses.0.importance=1\nclasses.0.repeat=safe\nsafety.answer_slack_us=1\n" +
	"safety.drain_grace_us=1\nsafety.fall_multiple=2\nsafety.start_capacity=0.5\nsafety.tip_after_us=1\n" +
	"safety.warm_after_us=1\n"

func launchRecord(text string) []byte {
	f := binary.LittleEndian.AppendUint64(nil, 7)
	f = binary.LittleEndian.AppendUint32(f, uint32(len(text)))
	return record(27, append(f, text...)...)
}

func requestRecord(class byte) []byte {
	f := make([]byte, 31)
	f[0], f[16] = 9, class
	binary.LittleEndian.PutUint32(f[17:], 2000)
	return record(26, f...)
}

func TestRun(t *testing.T) {
	target := record(18, 3, 0)
	tests := []struct {
		name  string
		input []byte
		want  string // in the error; empty for none
	}{
		{"no input", nil, ""},
		{"empty batch", batch(), ""},
		{"a request without servers", batch(target, launchRecord(settings), requestRecord(0)), ""},
		{"event before launch", batch(target, requestRecord(0)), "never launched"},
		{"event after shutdown", batch(target, launchRecord(settings), record(20), requestRecord(0)), "never launched"},
		{"unknown class", batch(target, launchRecord(settings), requestRecord(1)), "unknown class 1"},
		{"bad settings", batch(target, launchRecord("zone=0")), "setting safety.answer_slack_us: missing"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		err := run(bytes.NewReader(tt.input), &out)
		if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.want)
		}
		if tt.want == "" && len(tt.input) > 0 && out.Len() < 8 {
			t.Errorf("%s: no reply", tt.name)
		}
	}
}
