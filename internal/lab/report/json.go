package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// JSON writes a day whole, as ReadDay reads it.
func (d *Day) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(d)
}

// ReadDay reads what JSON wrote.
func ReadDay(r io.Reader) (*Day, error) {
	d := &Day{}
	if err := json.NewDecoder(r).Decode(d); err != nil {
		return nil, err
	}
	if d.Result == nil || d.Result.Report == nil {
		return nil, errors.New("no report of a day")
	}
	return d, nil
}

// Verdict is nil for a day that proves something and broke nothing.
func (d *Day) Verdict() error {
	switch r := d.Result; {
	case r.Lateness.Void != "":
		return fmt.Errorf("void: %s", r.Lateness.Void)
	case d.Broken():
		return fmt.Errorf("%d rules broken", len(r.Report.Violations)+r.Report.MoreBroken)
	}
	return nil
}
