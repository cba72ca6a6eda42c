// Package link carries raft's traffic between voters. Each connection begins as an HTTP upgrade request on the cluster's
// address that names the target's cluster and identity, and a voter refuses a request meant for another one. So a voter that
// has lost its disk never answers under its previous identity.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Path is the URL path of a Layer's handler.
const Path = "/v1/raft"

const (
	protocol      = "burlpass-raft-1"
	headerCluster = "Burlpass-Cluster"
	headerTo      = "Burlpass-To"
	headerFrom    = "Burlpass-From"

	maxIncoming     = 64 // connections; each of seven voters gets about thirty from the others
	maxRefusalBytes = 512
	idleTimeout     = 2 * time.Minute // of an incoming connection
	writeTimeout    = 10 * time.Second
)

// Config configures a Layer.
type Config struct {
	Cluster  string                   // the cluster's id
	Name     string                   // this voter's name
	Identity string                   // this voter's identity
	Address  func(name string) string // host:port of a configured voter, "" for an unknown name
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnRefused is called for each refused connection, with the voter that refused it, the one that dialled, and the reason.
	OnRefused func(by, of, reason string)
}

// Layer implements raft.StreamLayer. Each start of raft needs a new one.
type Layer struct {
	c        Config
	incoming chan net.Conn
	done     chan struct{}

	mu            sync.Mutex
	conns         map[net.Conn]bool // true for incoming connections
	incomingCount int
	silent        bool
	closed        bool
}

// Address joins a voter's name and identity to the server address used by raft.
func Address(name, identity string) raft.ServerAddress {
	return raft.ServerAddress(name + "/" + identity)
}

// Split splits a server address made by Address.
func Split(a raft.ServerAddress) (name, identity string) {
	name, identity, _ = strings.Cut(string(a), "/")
	return name, identity
}

// New returns a Layer that accepts connections until it is closed.
func New(c Config) *Layer {
	return &Layer{c: c, incoming: make(chan net.Conn), done: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// address is a raft server address as a net.Addr.
type address string

func (address) Network() string  { return "cluster" }
func (a address) String() string { return string(a) }

// Addr returns this voter's raft server address.
func (l *Layer) Addr() net.Addr { return address(Address(l.c.Name, l.c.Identity)) }

// Accept waits for the next incoming connection.
func (l *Layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes all incoming and outgoing connections.
func (l *Layer) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.done)
	l.mu.Unlock()
	l.closeConns()
	return nil
}

// Silence closes all connections and refuses new ones, or allows them again.
func (l *Layer) Silence(on bool) {
	l.mu.Lock()
	l.silent = on
	l.mu.Unlock()
	if on {
		l.closeConns()
	}
}

func (l *Layer) closeConns() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// add registers a connection, to be closed with the layer. It fails if the layer allows no more connections.
func (l *Layer) add(c net.Conn, incomingCount bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	if l.silent {
		return errors.New("silent")
	}
	if incomingCount && l.incomingCount >= maxIncoming {
		return errors.New("too many connections")
	}
	if incomingCount {
		l.incomingCount++
	}
	l.conns[c] = incomingCount
	return nil
}

func (l *Layer) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incomingCount, ok := l.conns[c]; ok {
		delete(l.conns, c)
		if incomingCount {
			l.incomingCount--
		}
	}
}

// ServeHTTP accepts a connection from another voter, or refuses it with status 421 and the reason.
func (l *Layer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	if reason := l.checkRequest(r); reason != "" {
		l.c.OnRefused(l.c.Name, from, reason)
		http.Error(w, reason, http.StatusMisdirectedRequest)
		return
	}
	raw, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = raw.SetDeadline(time.Now().Add(writeTimeout))
	c := &incoming{Conn: raw, l: l}
	if buffered.Reader.Buffered() > 0 {
		raw.Close()
		return
	}
	if err := l.add(c, true); err != nil {
		l.c.OnRefused(l.c.Name, from, err.Error())
		_, _ = io.WriteString(raw, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		raw.Close()
		return
	}
	_, err = io.WriteString(raw, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err == nil {
		err = raw.SetDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return
	}
	select {
	case l.incoming <- c:
	case <-l.done:
		c.Close()
	}
}

// checkRequest returns why a request has to be refused, or "".
func (l *Layer) checkRequest(r *http.Request) string {
	h := r.Header
	switch {
	case !strings.EqualFold(h.Get("Upgrade"), protocol):
		return "not the protocol that is spoken here: " + protocol
	case h.Get(headerCluster) != l.c.Cluster:
		return fmt.Sprintf("another cluster is meant: %.32q, and this is %q", h.Get(headerCluster), l.c.Cluster)
	case h.Get(headerTo) != l.c.Identity:
		return fmt.Sprintf("another identity is meant: %.32q, and this is %q", h.Get(headerTo), l.c.Identity)
	}
	return ""
}

// Dial connects to the voter with a raft server address.
func (l *Layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	raw, err := l.dial(to, timeout)
	if err != nil {
		return nil, err
	}
	c := &outgoing{l: l, to: to, timeout: timeout, conn: raw, lastUsed: time.Now()}
	if err := l.add(c, false); err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

func (l *Layer) dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	name, identity := Split(to)
	addr := l.c.Address(name)
	if addr == "" {
		return nil, fmt.Errorf("%q is not a configured voter", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() { // closing the layer cancels the dial
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := l.c.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	if err := l.handshake(c, name, identity); err != nil {
		c.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// handshake sends the upgrade request on a new connection and checks the response.
func (l *Layer) handshake(c net.Conn, name, identity string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n\r\n",
		Path, name, protocol, headerCluster, l.c.Cluster, headerTo, identity, headerFrom, Address(l.c.Name, l.c.Identity))
	if err != nil {
		return err
	}
	r := bufio.NewReader(io.LimitReader(c, 16<<10))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		reason := strings.TrimSpace(string(text))
		l.c.OnRefused(name, string(Address(l.c.Name, l.c.Identity)), resp.Status+" "+reason)
		return fmt.Errorf("%s %s", resp.Status, reason)
	}
	if r.Buffered() > 0 {
		return errors.New("unexpected data after the upgrade response")
	}
	return nil
}
