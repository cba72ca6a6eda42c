package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burlpass/internal/invariant"
	"burlpass/internal/lab/faultnet"
)

const (
	syscallFailureRate  = 0.1 // of the system calls of one kind
	failureTestClients  = 4
	failureTestCalls    = 30 // per client
	failureTestResponse = "the whole response of the worker"
)

// countingWorkers starts two workers that count the attempts of each call by its ID. mostAttempts returns the call with the
// most attempts.
func countingWorkers(t *testing.T) (addrs string, mostAttempts func() (id string, times int)) {
	var mu sync.Mutex
	times := map[string]int{}
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // an incomplete request never ran
		}
		mu.Lock()
		if id := r.Header.Get("X-Trace-Id"); id != "" {
			times[id]++
		}
		mu.Unlock()
		io.WriteString(w, failureTestResponse)
	})
	one, other := httptest.NewServer(serve), httptest.NewServer(serve)
	t.Cleanup(one.Close)
	t.Cleanup(other.Close)
	return one.Listener.Addr().String() + "," + other.Listener.Addr().String(), func() (id string, n int) {
		mu.Lock()
		defer mu.Unlock()
		for i, k := range times {
			if k > n {
				id, n = i, k
			}
		}
		return id, n
	}
}

// callOnce makes a call on a new connection and checks that exactly one whole response arrives before the connection closes.
func callOnce(addr, call string) (status int, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(conn, strings.Replace(call, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)); err != nil {
		return 0, err
	}
	r := bufio.NewReader(conn)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err
	}
	if a.StatusCode == http.StatusOK && string(body) != failureTestResponse {
		return 0, fmt.Errorf("200 with %q", body)
	}
	if more, _ := io.ReadAll(r); len(more) > 0 {
		return 0, fmt.Errorf("%q after the response", more)
	}
	return a.StatusCode, nil
}

// While a tenth of the system calls of one kind fail, every call gets exactly one response, and no call that may have run is
// sent again. The calls are of a class that must not be repeated.
func TestFailingSystemCalls(t *testing.T) {
	allowedStatus := map[int]bool{http.StatusOK: true, http.StatusBadGateway: true, http.StatusServiceUnavailable: true, http.StatusGatewayTimeout: true}
	for _, kind := range faultnet.Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			t.Setenv(failingSyscallEnv, strconv.Itoa(int(kind)))
			workers, mostAttempts := countingWorkers(t)
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			if err != nil {
				t.Fatal(err)
			}
			defer log.Close()
			_, addr := startSidecarWithLog(t, workers, 256, log)
			var mu sync.Mutex
			answers := map[int]int{}
			var clients sync.WaitGroup
			for range failureTestClients {
				clients.Go(func() {
					for range failureTestCalls {
						status, err := callOnce(addr, bookingCall())
						mu.Lock()
						answers[status]++
						if err != nil || !allowedStatus[status] {
							t.Errorf("%d, %v", status, err)
						}
						mu.Unlock()
					}
				})
			}
			clients.Wait()
			t.Log(answers)
			if text, err := os.ReadFile(log.Name()); err != nil || strings.Contains(string(text), invariant.ViolationEvent) {
				t.Errorf("an invariant was broken: %v\n%s", err, text)
			}
			if id, times := mostAttempts(); times > 1 {
				t.Errorf("the workers received %s %d times", id, times)
			}
			if answers[http.StatusOK] == 0 {
				t.Error("nothing was served")
			}
			// Failures of these kinds must not affect any call.
			if kind == faultnet.Accept || kind == faultnet.ShortRead {
				if served := answers[http.StatusOK]; served != failureTestClients*failureTestCalls {
					t.Errorf("%d of %d were served", served, failureTestClients*failureTestCalls)
				}
			}
		})
	}
}
