// Package operator is the admin listener: each connection carries one line, a command, and gets one answer that begins
// with ACK or NAK. Parse is pure; Listener does the I/O.
package operator

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is what a command asks for.
type Verb uint8

// The verbs of commands.
const (
	Ready       Verb = iota + 1 // whether this process can serve
	Stats                       // the figures, then a line "--"
	Disable                     // leave worker ID out
	Enable                      // use worker ID again
	Drain                       // steer the clients away from this sidecar
	Undrain                     // back to work
	DisableHall                 // leave all workers of hall ID out
	EnableHall                  // use hall ID again
)

// verbs names each verb and what its id is of, "" where it takes none.
var verbs = map[string]struct {
	verb Verb
	of   string
}{
	"READY": {Ready, ""}, "STATS": {Stats, ""}, "DISABLE": {Disable, "worker"}, "ENABLE": {Enable, "worker"},
	"DISABLE-HALL": {DisableHall, "hall"}, "ENABLE-HALL": {EnableHall, "hall"}, "DRAIN": {Drain, ""}, "UNDRAIN": {Undrain, ""},
}

// MaxLine is the longest line that the listener reads, in bytes, its end of line included.
const MaxLine = 256

// Command is one parsed line.
type Command struct {
	Verb Verb
	ID   string // of a worker, for Disable and Enable; of a hall, for DisableHall and EnableHall
}

// ErrEmpty is the error of a line with no command on it.
var ErrEmpty = errors.New("no command")

// Parse reads one line, without its end of line. Words are split by spaces or tabs; the verb is upper case. The
// error is the reason given with NAK.
func Parse(line string) (Command, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrEmpty
	}
	v, ok := verbs[words[0]]
	switch {
	case !ok:
		return Command{}, fmt.Errorf("unknown command %.32q", words[0])
	case v.of != "" && len(words) < 2:
		return Command{}, fmt.Errorf("%s: the id of a %s is missing", words[0], v.of)
	case v.of != "" && len(words) > 2, v.of == "" && len(words) > 1:
		return Command{}, fmt.Errorf("%s: too many words", words[0])
	}
	c := Command{Verb: v.verb}
	if v.of != "" {
		c.ID = words[1]
	}
	return c, nil
}
