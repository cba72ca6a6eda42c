package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// header is the first line of a saved state: everything that Apply depends on, except for what the further lines hold.
type header struct {
	Format  int     `json:"f"`
	Version Version `json:"version"`
	TimeMs  int64   `json:"time_ms"`
	Horizon Version `json:"horizon"`
	params
	Items      int `json:"items"` // number of lines of each, in this order
	Tombstones int `json:"gone"`
	Results    int `json:"results"`
}

// trailer is the last line of a saved state.
type trailer struct {
	End  bool   `json:"end"`
	Hash string `json:"hash"`
}

// Save writes a view that was returned by Machine.View as JSON lines: a header, the items and the tombstones in the order
// of their keys, the results from the oldest on, and a trailer with the hash. Equal states give equal bytes. Apart from
// views of other types, it fails only if w does.
func Save(w io.Writer, v View) error {
	s, ok := v.(*view)
	if !ok {
		return fmt.Errorf("record: a %T cannot be saved, only what a machine gave", v)
	}
	out := bufio.NewWriterSize(w, 64<<10)
	enc := json.NewEncoder(out) // terminates each value with a newline
	err := enc.Encode(header{formatVersion, s.version, s.time, s.horizon, s.params,
		s.items.byKey.Len(), s.items.tombstone.Len(), s.results.byVersion.Len()})
	put := func(line any) bool {
		if err == nil {
			err = enc.Encode(line)
		}
		return err == nil
	}
	s.items.byKey.Ascend(func(item *storedItem) bool { return put(&item.Item) })
	s.items.tombstone.Ascend(func(t *tombstone) bool { return put(t) })
	s.results.byVersion.Ascend(func(r storedResult) bool { return put(r.Result) })
	put(trailer{true, s.hash()})
	if err == nil {
		err = out.Flush()
	}
	return err
}
