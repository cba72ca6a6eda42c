// Package link carries raft's traffic between voters over connections that begin as an HTTP request on the cluster's
// address. Each names the cluster and the identity that it means to reach; who is another one refuses it. So a machine that
// has lost its disk is never asked as the one that it was.
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

// Path is where a Layer's handler belongs.
const Path = "/v1/raft"

const (
	protocol      = "burlpass-raft-1"
	headerCluster = "Burlpass-Cluster"
	headerTo      = "Burlpass-To"
	headerFrom    = "Burlpass-From"

	maxIncoming     = 64 // connections; seven voters hold some thirty of one another
	maxRefusalBytes = 512
	idleTimeout     = 2 * time.Minute // until a connection that says nothing is closed
	writeTimeout    = 10 * time.Second
)

// Config of a Layer.
type Config struct {
	Cluster  string                   // its id
	Name     string                   // this voter's
	Identity string                   // this voter's
	Address  func(name string) string // host:port of a configured voter, "" for another
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	// Refused is told of each connection that was refused: by whom, of whom, why.
	OnRefused func(by, of, reason string)
}

// Layer is raft's stream layer. It is made anew for every start of raft.
type Layer struct {
	c        Config
	incoming chan net.Conn
	done     chan struct{}

	mu            sync.Mutex
	conns         map[net.Conn]bool // true for those that came in
	incomingCount int
	silent        bool
	closed        bool
}

// Address joins a voter's name and identity to what raft takes for its address.
func Address(name, identity string) raft.ServerAddress {
	return raft.ServerAddress(name + "/" + identity)
}

// Split is Address backwards.
func Split(a raft.ServerAddress) (name, identity string) {
	name, identity, _ = strings.Cut(string(a), "/")
	return name, identity
}

// New returns a Layer that takes connections until it is closed.
func New(c Config) *Layer {
	return &Layer{c: c, incoming: make(chan net.Conn), done: make(chan struct{}), conns: map[net.Conn]bool{}}
}

type address string

func (address) Network() string  { return "cluster" }
func (a address) String() string { return string(a) }

// Addr is this voter's address as raft knows it.
func (l *Layer) Addr() net.Addr { return address(Address(l.c.Name, l.c.Identity)) }

// Accept waits for the next connection.
func (l *Layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends all connections, both ways.
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

// Silence ends all connections and lets none come about, or allows them again.
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

// add keeps a connection to be closed with the layer.
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

// ServeHTTP takes a connection from another voter, or refuses it with 421 and why.
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

// Dial connects to the voter at raft's address.
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
		return nil, fmt.Errorf("%q is no voter of the configuration", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() { // a closing layer waits for no dial
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
		return errors.New("it spoke before it was asked")
	}
	return nil
}
