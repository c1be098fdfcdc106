package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// authors is the number of clients that ask for streams.
	authors = 400
	// historyParts is the number of shared parts that the long prompts have in common; their headers stay below the limit.
	historyParts = 220
	// draftTokens are the counts of a prompt and its answer.
	draftTokens = "1000,50"
	draftLimit  = 10 * time.Second
	// growTime is how long they ask at most.
	growTime = 95 * time.Second
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 50 * time.Millisecond
	// lostBound is the largest number of lost requests that the rule allows.
	lostBound = 3
)

// parts lets clients ask for streams whose prompts have many shared parts, of which one is new. The platform kills a process that takes more
// than the memory of its machine.
func parts(r *recorder, d *deployment, trouble bool) error {
	i := d.instances[0]
	history := historyParts
	if !trouble {
		history = 1
	}
	common := commonParts(history)
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	for range authors {
		group.Go(func() {
			c := newClient(i)
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.send(request{
					path:   "/draft/1",
					key:    "key-of-crew",
					limit:  draftLimit,
					tokens: draftTokens,
					parts:  common + newParts(),
				})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.status != 200 {
					time.Sleep(askInterval)
				}
			}
		})
	}
	most, killed, err := watchMemory(r, i)
	time.Sleep(askInterval)
	close(stop)
	group.Wait()
	if err != nil {
		return err
	}
	return judgeParts(r, d, answers, most, killed)
}

func commonParts(number int) string {
	var b strings.Builder
	for n := range number {
		fmt.Fprintf(&b, "%064x:4,", 1<<40+n)
	}
	return b.String()
}

// newParts returns a new shared part, and the part of the request itself.
func newParts() string {
	n := requests.Load()
	return fmt.Sprintf("%048x%016x:40,%048x%016x:80", 1<<41, n, 1<<42, time.Now().UnixNano())
}

// watchMemory kills the process once it takes more than the memory of its machine; it returns the most bytes and whether it was killed.
func watchMemory(r *recorder, i *instance) (most int64, killed bool, err error) {
	logged := time.Time{}
	for end := time.Now().Add(growTime); time.Now().Before(end); time.Sleep(memoryInterval) {
		bytes, err := i.resident()
		if err != nil {
			return most, false, err
		}
		most = max(most, bytes)
		if time.Since(logged) > time.Second {
			logged = time.Now()
			r.log("platform: %s takes %d MiB", i.name, bytes>>20)
		}
		if bytes > memoryMegabytes<<20 {
			r.log("platform: %s takes %d MiB, more than the %d MB of its machine: killed", i.name, bytes>>20, memoryMegabytes)
			i.stop()
			return most, true, nil
		}
	}
	return most, false, nil
}

func judgeParts(r *recorder, d *deployment, answers []answer, most int64, killed bool) error {
	ran := map[string]bool{}
	for _, run := range d.book.all() {
		ran[run.request] = ran[run.request] || !run.refused
	}
	var served, lost, refused int
	for _, a := range answers {
		switch {
		case a.status == 200 && a.whole:
			served++
		case a.status == 0 && a.kept && ran[a.id]:
			lost++
			r.logAnswer(&a)
		case a.status != 0:
			refused++
			r.logAnswer(&a)
		}
	}
	seen := fmt.Sprintf("%d requests on one machine, %d served, %d refused or cut; it took %d MiB at most; killed for its memory: %t; requests on "+
		"kept channels that were passed on and got no answer: %d", len(answers), served, refused, most>>20, killed, lost)
	r.log("%s", seen)
	switch {
	case served == 0:
		return fmt.Errorf("no request was served: %s", seen)
	case killed && lost > lostBound:
		return &brokenError{what: seen}
	}
	return nil
}
