package stage

import (
	"net"
	"syscall"
	"time"
)

// Sockets is what the stage's own side stands on: the system's sockets, or a network in memory.
type Sockets interface {
	Listen(addr string) (Listener, error)
	Dial(addr string, timeout time.Duration) (Conn, error)
}

// Listener is a listener that can fall silent.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
	// Mute lets no further connection come up, as with a machine that is cut off, or again.
	Mute(on bool)
}

// Conn is a connection as the stage needs it. Accept's connections are Conns as well.
type Conn interface {
	net.Conn
	Quiet() bool    // neither ended nor anything to read
	Readable() bool // bytes to read
	Reset()         // ends it so that the other side sees a reset
	Unread() int    // bytes sent that the other side has not read; negative where nobody can tell
}

// Sidecars starts sidecars: as child processes, or within this one.
type Sidecars interface {
	// Start starts the nth sidecar. Its configuration is the platform's JSON.
	Start(n int, p Place, config []byte) (Sidecar, error)
}

// Place is where a sidecar is: what the EDGE_ variables say.
type Place struct{ Name, Listen, Registry string }

// Sidecar is one that has been started.
type Sidecar interface {
	Signal(syscall.Signal)
	Rewrite(config []byte) error // its configuration file, before a SIGHUP
	Done() <-chan struct{}       // closed when it has ended
	Exit() (code int, text string)
	Used() (memory int64, sockets int, ok bool)
	Log() string // the end of its log
}
