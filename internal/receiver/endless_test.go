package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

// processBytes is the memory of the smallest instances in use.
const processBytes = 184 << 20

// collectorBytes is what the garbage collector of an instance aims to stay under, without the answers.
const collectorBytes = 64 << 20

// endlessPace is the time between two parts of an answer without an end. The senders share the processors with the receiver under test: at
// full speed they keep it from its other requests.
const endlessPace = 20 * time.Millisecond

// sendForever returns a handler that repeats the bytes after a valid head until the connection is closed.
func sendForever(contentType, repeated string) http.HandlerFunc {
	part := strings.Repeat(repeated, 64<<10/len(repeated))
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n%s: receipt\r\nConnection: close\r\n\r\n",
			contentType, names.RequestID, r.Header.Get(names.RequestID), names.Receipt)
		for err == nil {
			_, err = io.WriteString(conn, part)
			time.Sleep(endlessPace)
		}
	}
}

// watchHeap returns a function that ends the measurement and returns the largest heap that was seen.
func watchHeap() func() uint64 {
	stop := make(chan struct{})
	done := make(chan uint64)
	go func() {
		var largest uint64
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapInuse)
			select {
			case <-stop:
				done <- largest
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-done
	}
}

// Guards against a garbage collector without a pause while answers hold their memory: other callers' requests failed, since the starved
// process took their connections for timed out.
func TestCollectorHasRoomForAnswers(t *testing.T) {
	for _, process := range []int64{32 << 20, processBytes, 1 << 30} {
		limit := CollectorLimit(collectorBytes, process)
		if others := limit - NewAnswerMemory(process).Free(); others < min(collectorBytes, process/2) {
			t.Errorf("a process of %d MiB: full answers leave %d MiB", process>>20, others>>20)
		}
		if limit >= process {
			t.Errorf("a process of %d MiB: the collector's limit is %d MiB", process>>20, limit>>20)
		}
	}
}

// Guards against a process that runs out of memory, and ends other callers' requests with it, when faulty targets send bytes without end
// to many requests at once (operators' report): each answer was bounded, all together were not.
func TestEndlessAnswersTogether(t *testing.T) {
	const requests = 96
	// The garbage collector runs as in the gateway.
	percent, limit := debug.SetGCPercent(50), debug.SetMemoryLimit(CollectorLimit(collectorBytes, processBytes))
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	for _, c := range []struct {
		name        string
		path        string
		contentType string
		repeated    string
	}{
		{name: "body", path: "/pay/x", contentType: "text/plain", repeated: "x"},
		{name: "body of a repeatable call", path: "/look/x", contentType: "text/plain", repeated: "x"},
		{name: "event", path: "/once/x", contentType: "text/event-stream", repeated: "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, servicePlain, io.Discard, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(soundRequest) != "" {
					answer(w, r, "paid")
					return
				}
				sendForever(c.contentType, c.repeated)(w, r)
			})
			runtime.GC()
			largest := watchHeap()
			var group sync.WaitGroup
			for range requests {
				group.Go(func() {
					if got := f.ask(context.Background(), "POST", c.path); got.err == nil && got.status/100 == 2 {
						t.Errorf("got status %d, %d bytes for an answer without an end", got.status, len(got.body))
					}
				})
			}
			for range 10 {
				got := f.ask(context.Background(), "POST", "/pay/x", func(r *http.Request) { r.Header.Set(soundRequest, "1") })
				assertStatus(t, got, http.StatusOK)
			}
			group.Wait()
			if got := largest(); got > processBytes {
				t.Errorf("the heap grew to %d MiB, the process has %d MiB", got>>20, processBytes>>20)
			}
		})
	}
}

// soundRequest marks requests that a target with faulty answers answers properly.
const soundRequest = "Test-Sound"
