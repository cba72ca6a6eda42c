package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// traffic is the application beside one sidecar: calls of one safe class, evenly spaced.
type traffic struct {
	*rig
	name, addr, class string
	client            *http.Client
	stop              chan struct{}
	done              sync.WaitGroup
}

// send starts the application of a sidecar.
func (g *rig) send(name, addr, class string, each time.Duration) *traffic {
	t := &traffic{rig: g, name: name, addr: addr, class: class, stop: make(chan struct{}),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.done.Go(func() {
		ticker := time.NewTicker(each)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				t.done.Go(func() { t.ask(fmt.Sprintf("%s-%d", name, i)) })
			case <-t.stop:
				return
			case <-g.ctx.Done():
				return
			}
		}
	})
	return t
}

// end stops the application and waits for its answers.
func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

func (t *traffic) ask(id string) {
	q, err := http.NewRequestWithContext(t.ctx, http.MethodGet, "http://"+t.addr+"/"+t.class+"/x", nil)
	if err != nil {
		return
	}
	q.Header.Set("X-Trace-Id", id)
	q.Header.Set("X-Qos", t.class)
	q.Header.Set("X-Expires-In", "2000m")
	a, err := t.client.Do(q)
	if err != nil {
		t.note("client: %s: %v", id, err)
		return
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	t.note("client: %s: %d %q", id, a.StatusCode, b)
}

// healthy reports whether a sidecar says that it can serve.
func healthy(addr string) bool {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}
