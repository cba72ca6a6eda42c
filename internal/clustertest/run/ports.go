package run

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are given in blocks. Whoever has a block listens on its first port as long as it does, so that no other run on this
// machine takes a port of a process that is down. They lie below those that the system hands out by itself.
const (
	firstPort = 12_000
	blocks    = 200
	blockSize = 100
)

// ports gives ports of loopback that are this run's alone until close.
type ports struct {
	held []net.Listener
	next int // in the last block
	end  int
}

// one gives the next port.
func (p *ports) one() (int, error) {
	from := rand.IntN(blocks) // by chance of the system: two runs at once begin elsewhere
	for tries := 0; tries < blocks; {
		if p.next < p.end {
			port := p.next
			p.next++
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				continue // somebody else's
			}
			l.Close()
			return port, nil
		}
		begin := firstPort + (from+tries)%blocks*blockSize
		tries++
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", begin)); err == nil {
			p.held = append(p.held, l)
			p.next, p.end = begin+1, begin+blockSize
		}
	}
	return 0, errors.New("no free port")
}

func (p *ports) close() {
	for _, l := range p.held {
		l.Close()
	}
}
