package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// changes and changeGap are the desired states that the operator sends after the copy was made, one after the other.
	changes   = 4
	changeGap = time.Second
	// awayTime is how long the store is away.
	awayTime = time.Second
	// contactTime is the time without disturbance after which a machine is in touch.
	contactTime = 3 * time.Second
	// configurationTime is the time after the acknowledgement of a desired state from which it must be in force.
	configurationTime = 2 * time.Second
	// watchedTime is how long the requests after that are judged.
	watchedTime = 15 * time.Second
	askInterval = 200 * time.Millisecond
	lookLimit   = 3 * time.Second
)

// drill lets the store come back from a copy that is some seconds old; then the operator takes a key away and adds a route.
func drill(r *recorder, d *deployment, trouble bool) error {
	var mu sync.Mutex
	var answers []answer
	ask := func(i *instance, path, key string) {
		c := newClient(i)
		defer c.close()
		for d.sleep(askInterval) {
			a := c.send(request{
				path:  path,
				key:   key,
				limit: lookLimit,
			})
			r.logAnswer(&a)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}
	}
	for _, i := range d.instances {
		d.group.Go(func() { ask(i, "/look/1", "key-of-crew") })
		d.group.Go(func() { ask(i, "/look/2", "key-of-clerk") })
		d.group.Go(func() { ask(i, "/new/1", "key-of-crew") })
	}
	time.Sleep(2 * time.Second)
	kept := d.store.copy()
	r.log("store: a copy is made at revision %d", kept.revision)
	for n := range changes {
		d.change(func(r *rules) { r.routes = append(r.routes, fmt.Sprintf("look-%d", n)) })
		time.Sleep(changeGap)
	}
	if trouble {
		d.store.leave()
		r.log("store: away at revision %d", d.store.revision())
		time.Sleep(awayTime)
		d.store.restore(&kept)
		r.log("store: back from the copy with revision %d, in the next era", kept.revision)
		revision := d.store.put("config", "main", d.rules.encode())
		r.log("operator: written again, %s, revision %d", d.rules.String(), revision)
	}
	time.Sleep(contactTime + beatInterval)
	from := d.change(func(r *rules) {
		r.customers = r.customers[:1]
		r.routes = append(r.routes, "new")
	}).Add(configurationTime)
	time.Sleep(configurationTime + watchedTime)
	mu.Lock()
	defer mu.Unlock()
	return judgeDrill(r, d, answers, from)
}

// judgeDrill checks what was sent after a desired state has to be in force that takes a key away and adds a route.
func judgeDrill(r *recorder, d *deployment, answers []answer, from time.Time) error {
	runs := d.book.all()
	r.logRuns(runs)
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.request] = !run.refused
	}
	var judged, dropped, missing, sound int
	for _, a := range answers {
		switch {
		case a.sent.Before(from):
			continue
		case a.request.key == "key-of-clerk" && ran[a.id]:
			dropped++
		case a.request.path == "/new/1" && a.status == http.StatusNotFound:
			missing++
		case a.request.path == "/look/1" && a.status == http.StatusOK:
			sound++
		}
		judged++
	}
	seen := fmt.Sprintf("of %d requests sent later than %s after the acknowledgement, %d ran with the key that was taken away, %d on the new "+
		"route were answered 404, %d on an old route were served", judged, configurationTime, dropped, missing, sound)
	r.log("%s", seen)
	switch {
	case sound == 0:
		return fmt.Errorf("no request was served: %s", seen)
	case dropped+missing > 0:
		return &brokenError{what: seen}
	}
	return nil
}
