package transport

import "time"

// EndBy limits the lifetime of all connections, including those accepted later. A response that is being passed on is not cut
// off by it.
func (l *Listener) EndBy(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
	for c := range l.clients {
		c.EndBy(end)
	}
}

// ResetBusy resets the connections with a request in progress whose response is not being passed on, and returns their number. The serving
// goroutines may not have noticed when it returns.
func (l *Listener) ResetBusy() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		if _, responding := c.responseProgress(); c.phase == PhaseBusy && !responding {
			c.Reset()
			n++
		}
	}
	return n
}

// EndStalled resets the connections whose response is being passed on and has made no progress for as long as limit. It returns
// the addresses of the clients whose response goes on.
func (l *Listener) EndStalled(limit time.Duration) (clients []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		progressAt, responding := c.responseProgress()
		switch {
		case !responding:
		case time.Since(progressAt) >= limit:
			c.Reset()
		default:
			clients = append(clients, c.RemoteAddr().String())
		}
	}
	return clients
}
