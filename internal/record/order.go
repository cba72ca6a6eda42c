package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// OrderKind is the kind of operators' orders.
const OrderKind Kind = "order"

// The actions of an order. There is none to enable: removing the order in force does that.
const (
	Disable = "disable" // no further calls
	Drain   = "drain"   // no further calls, as for a worker that drains by itself
)

// The kinds of targets of an order: the first part of its key.
const (
	OfWorker = "worker"
	OfZone   = "hall"
)

// Order takes one worker, or all workers of a zone, out of use.
type Order struct {
	Of      string  // OfWorker or OfZone
	Name    string  // the worker's id in the registry, or the zone's name
	Do      string  // Disable or Drain
	By      string  // who gave the order
	UntilMs int64   // expiry by the record's time, Unix ms; 0: in force until removed
	Version Version // version of the entry that set it
}

// Key returns the key of the order's item.
func (o Order) Key() string { return o.Of + "/" + o.Name }

// orderValue is the canonical form of an order's value.
type orderValue struct {
	Do      string `json:"do"`
	By      string `json:"by"`
	UntilMs int64  `json:"until_ms"`
}

// DecodeOrder parses an item of OrderKind. Its error names the field that is invalid.
func DecodeOrder(i Item) (Order, error) {
	if i.Kind != OrderKind {
		return Order{}, fmt.Errorf("kind: %.40q is not %q", i.Kind, OrderKind)
	}
	of, name, _ := strings.Cut(i.Key, "/")
	if of != OfWorker && of != OfZone {
		return Order{}, fmt.Errorf("key: %.40q begins with neither %s/ nor %s/", i.Key, OfWorker, OfZone)
	}
	if name == "" || !printable(name) || strings.Contains(name, " ") {
		return Order{}, fmt.Errorf("key: %.40q must name 1 to %d printable characters without spaces", i.Key, maxNameRunes)
	}
	var v orderValue
	dec := json.NewDecoder(bytes.NewReader(i.Value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return Order{}, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Order{}, errors.New("more than one value")
	}
	switch {
	case v.Do != Disable && v.Do != Drain:
		return Order{}, fmt.Errorf("do: %.40q is neither %s nor %s", v.Do, Disable, Drain)
	case !printable(v.By):
		return Order{}, fmt.Errorf("by: it must be up to %d printable characters", maxNameRunes)
	case v.UntilMs < 0:
		return Order{}, fmt.Errorf("until_ms: %d is before 1970", v.UntilMs)
	}
	return Order{of, name, v.Do, v.By, v.UntilMs, i.Version}, nil
}

// Orders returns the domain of OrderKind: the workers and zones that operators have taken out of use.
func Orders() Domain { return orderDomain{} }

type orderDomain struct{}

func (orderDomain) Kind() Kind { return OrderKind }

func (orderDomain) Canonical(key string, value json.RawMessage) (json.RawMessage, error) {
	o, err := DecodeOrder(Item{Kind: OrderKind, Key: key, Value: value})
	if err != nil {
		return nil, err
	}
	return json.Marshal(orderValue{o.Do, o.By, o.UntilMs})
}

// Check accepts every order: how much capacity may be taken out of use is up to the operator.
func (orderDomain) Check(View, View, *Write) error { return nil }

// Ends extracts the last field of the canonical form without parsing the rest, because Restore calls it for each item.
func (orderDomain) Ends(_ string, value json.RawMessage) int64 {
	const field = `"until_ms":`
	start := bytes.LastIndex(value, []byte(field))
	if start < 0 {
		return 0
	}
	ms, _ := strconv.ParseInt(strings.TrimSuffix(string(value[start+len(field):]), "}"), 10, 64)
	return ms
}

// maxNameRunes is the maximum number of characters in a name.
const maxNameRunes = 200

// unprintableRanges returns the ranges of control characters, of spaces other than U+0020, and of characters that are
// invisible or change the direction of text. The tables of package unicode are not used because they grow with Go
// releases, and all members must agree.
func unprintableRanges() [][2]rune {
	return [][2]rune{
		{0, 0x1f}, {0x7f, 0xa0}, {0xad, 0xad}, {0x61c, 0x61c}, {0x1680, 0x1680}, {0x180e, 0x180e}, {0x2000, 0x200f},
		{0x2028, 0x202f}, {0x205f, 0x206f}, {0x3000, 0x3000}, {0xd800, 0xf8ff}, {0xfeff, 0xfeff}, {0xfff0, 0xffff},
		{0xe0000, utf8.MaxRune},
	}
}

// printable reports whether a name has at most maxNameRunes characters, all of them printable.
func printable(name string) bool {
	if utf8.RuneCountInString(name) > maxNameRunes {
		return false
	}
	for _, c := range name { // an invalid UTF-8 byte is decoded as 0xfffd, which is in a range
		for _, r := range unprintableRanges() {
			if r[0] <= c && c <= r[1] {
				return false
			}
		}
	}
	return true
}
