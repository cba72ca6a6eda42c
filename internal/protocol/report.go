package protocol

import (
	"bytes"
	"math"
	"slices"
	"strconv"
)

// headerLoadReport carries a load report of the form: TEXT name=value, name=value
const headerLoadReport = "Endpoint-Load-Metrics"

// parseLoadReport returns the values of a load report in the order of columns, or nil if one is missing or not a finite
// number.
func parseLoadReport(text []byte, columns []string) []float32 {
	text = bytes.TrimSpace(text)
	text, ok := bytes.CutPrefix(text, []byte("TEXT "))
	if !ok || len(columns) == 0 {
		return nil
	}
	missing := float32(math.NaN())
	out := slices.Repeat([]float32{missing}, len(columns))
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		for i, column := range columns {
			if string(bytes.TrimSpace(name)) != column {
				continue
			}
			f, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 32)
			if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
				return nil
			}
			out[i] = float32(f)
		}
	}
	if slices.ContainsFunc(out, func(v float32) bool { return v != v }) {
		return nil
	}
	return out
}
