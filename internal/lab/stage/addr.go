package stage

import "fmt"

// The stage's ports. All lie below the range from which systems choose ports for outgoing connections, and each run
// has a /16 of 127.0.0.0/8 to itself, so that neither a connection nor another run takes an address that is free for a
// moment because the process behind it is down.
const (
	workerPort   = 8000
	registryPort = 8500
	sidecarPort  = 3000
	guardPort    = 7999

	registryHost  = 254
	registryHost2 = 253 // where a reload moves to
	sidecarHost   = 252
)

// network is one run's addresses: 127.block.0.0/16.
type network struct{ block int }

// Each sidecar reaches every other party at addresses of its own: that tells the parties who calls.
func (n *network) worker(sidecar, slot int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, slot+1, workerPort)
}
func (n *network) registry(sidecar int, second bool) string {
	host := registryHost
	if second {
		host = registryHost2
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, host, registryPort)
}
func (n *network) sidecar(sidecar int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, sidecarHost, sidecarPort)
}
