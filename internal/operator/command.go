// Package operator implements the admin listener. Each connection carries one command line and gets one response:
// STATS returns figures, every other command a line that begins with ACK or NAK. Parse does no I/O; Listener does.
package operator

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is the action that a command requests.
type Verb uint8

// The verbs.
const (
	Ready       Verb = iota + 1 // report whether this process can serve
	Stats                       // report the figures, followed by a line "--"
	Disable                     // take worker ID out of use
	Enable                      // put worker ID back into use
	Drain                       // direct clients away from this sidecar
	Undrain                     // end draining
	DisableZone                 // take all workers of zone ID out of use
	EnableZone                  // put zone ID back into use
)

// verbs maps command words to verbs and to what their ID identifies, "" if they take no ID. Commands and responses call
// a zone a hall.
var verbs = map[string]struct {
	verb   Verb
	idKind string
}{
	"READY": {Ready, ""}, "STATS": {Stats, ""}, "DISABLE": {Disable, "worker"}, "ENABLE": {Enable, "worker"},
	"DISABLE-HALL": {DisableZone, "hall"}, "ENABLE-HALL": {EnableZone, "hall"}, "DRAIN": {Drain, ""}, "UNDRAIN": {Undrain, ""},
}

// MaxLine is the longest line that the listener reads, in bytes, including the line ending.
const MaxLine = 256

// Command is a parsed command line.
type Command struct {
	Verb Verb
	ID   string // a worker for Disable and Enable, a zone for DisableZone and EnableZone
}

// ErrNoCommand is returned for an empty line.
var ErrNoCommand = errors.New("no command")

// Parse parses one line, given without its line ending. Words are separated by spaces or tabs; the verb is upper case.
// The text of the error is sent with NAK.
func Parse(line string) (Command, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrNoCommand
	}
	v, ok := verbs[words[0]]
	switch {
	case !ok:
		return Command{}, fmt.Errorf("unknown command %.32q", words[0])
	case v.idKind != "" && len(words) < 2:
		return Command{}, fmt.Errorf("%s: the id of a %s is missing", words[0], v.idKind)
	case v.idKind != "" && len(words) > 2, v.idKind == "" && len(words) > 1:
		return Command{}, fmt.Errorf("%s: too many words", words[0])
	}
	c := Command{Verb: v.verb}
	if v.idKind != "" {
		c.ID = words[1]
	}
	return c, nil
}
