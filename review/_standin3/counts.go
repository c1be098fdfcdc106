package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// oddRequests is the number of requests that each uncontrolled client sends at a time, oddTime the longest time for that, and oddTimes
	// how often it does so.
	oddRequests = 50
	oddTime     = 8 * time.Second
	oddTimes    = 4
	oddGap      = 8 * time.Second
	oddPause    = 20 * time.Millisecond
	oddLimit    = 2 * time.Second
	// oddTokens has counts that are larger than an engine's memory, and largeTokens has such counts whose sum is no problem.
	oddTokens   = "9223372036854775807,9223372036854775807"
	largeTokens = "1000000,1000000"
	// calmTime is how long ordinary clients ask before they come, and laterTime after they have left.
	calmTime  = 5 * time.Second
	laterTime = 20 * time.Second
	// draftTokens and draftParts are those of ordinary prompts.
	draftTokens = "1000,50"
	draftParts  = "5c1e07a2:40,e4402b7d:960"
	draftLimit  = 10 * time.Second
	// lookers is the number of clients of each instance that ask the plain service.
	lookers = 3
	// writers is the number of clients of each instance that ask for streams.
	writers = 8
	// lateTime is the time after a route's timeout at which requests must have been answered, and lateBound and lateShare are the number
	// and the share of them from which those that haven't been break the rule.
	lateTime  = 500 * time.Millisecond
	lateBound = 8
	lateShare = 0.5
)

// counts lets a client of each instance name counts of tokens that no engine can hold, and leave after some seconds.
func counts(r *recorder, d *deployment, trouble bool) error {
	var mu sync.Mutex
	var answers []answer
	ask := func(i *instance, q request) {
		c := newClient(i)
		defer c.close()
		for d.sleep(askInterval) {
			a := c.send(q)
			r.logAnswer(&a)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}
	}
	for _, i := range d.instances {
		for range writers {
			d.group.Go(func() {
				ask(i, request{
					path:   "/draft/1",
					key:    "key-of-crew",
					limit:  draftLimit,
					tokens: draftTokens,
					parts:  draftParts,
				})
			})
		}
		for range lookers {
			d.group.Go(func() {
				ask(i, request{
					path:  "/look/1",
					key:   "key-of-crew",
					limit: lookLimit,
				})
			})
		}
	}
	time.Sleep(calmTime)
	for n := range oddTimes {
		if n > 0 {
			time.Sleep(oddGap)
		}
		var group sync.WaitGroup
		for _, i := range d.instances {
			group.Go(func() { odd(r, i, trouble) })
		}
		group.Wait()
	}
	time.Sleep(laterTime)
	mu.Lock()
	defer mu.Unlock()
	return judgeCounts(r, d, answers)
}

// odd sends the requests of an uncontrolled client, one after the other.
func odd(r *recorder, i *instance, trouble bool) {
	c := newClient(i)
	defer c.close()
	tokens := largeTokens
	if trouble {
		tokens = oddTokens
	}
	statuses := map[int]int{}
	end := time.Now().Add(oddTime)
	for n := 0; n < oddRequests && time.Now().Before(end); n++ {
		time.Sleep(oddPause)
		a := c.send(request{
			path:   "/draft/odd",
			key:    "key-of-clerk",
			limit:  oddLimit,
			tokens: tokens,
			parts:  fmt.Sprintf("5c1e07a2:40,%08x:960", n),
		})
		r.logAnswer(&a)
		statuses[a.status]++
	}
	r.log("client: requests with the counts %s at %s were answered with (status: number) %v", tokens, i.name, statuses)
}

// judgeCounts checks that ordinary requests to the plain service are answered by the timeout of their route.
func judgeCounts(r *recorder, d *deployment, answers []answer) error {
	r.logRuns(d.book.all())
	var looks, served, unanswered, late int
	for _, a := range answers {
		if a.request.path != "/look/1" {
			continue
		}
		looks++
		if a.status == http.StatusOK {
			served++
		}
		if a.took > lookTimeout {
			unanswered++
		}
		if a.took > lookTimeout+lateTime {
			late++
		}
	}
	ready := 0
	for _, i := range d.instances {
		if i.running() && i.ready() {
			ready++
		}
	}
	seen := fmt.Sprintf("%d of %d ordinary requests to the plain service were served; %d had no answer at the timeout of their route, and %d of "+
		"these none %s later; %d instances run and say that they are ready", served, looks, unanswered, late, lateTime, ready)
	r.log("%s", seen)
	switch {
	case served == 0:
		return fmt.Errorf("the deployment didn't serve: %s", seen)
	case late >= lateBound && float64(late) > lateShare*float64(unanswered):
		return &brokenError{what: seen}
	}
	return nil
}
