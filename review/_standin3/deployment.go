package main

import (
	"fmt"
	"sync"
	"time"
)

// beatInterval is how often servers write their entries.
const beatInterval = 1200 * time.Millisecond

// deployment is three instances, their store, engines and the servers of a plain service.
type deployment struct {
	store     *store
	book      *book
	instances []*instance
	record    *recorder
	rules     rules
	stop      chan struct{}
	group     sync.WaitGroup
}

func newDeployment(r *recorder, folder string) (*deployment, error) {
	d := &deployment{
		book:   &book{},
		record: r,
		stop:   make(chan struct{}),
		rules:  newRules(),
	}
	var err error
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	d.store.put("config", "main", d.rules.encode())
	for n := range plainServers + engines {
		service := plainService
		if n >= plainServers {
			service = engineService
		}
		s, err := newServer(fmt.Sprintf("i-%02d", n), zones[n%len(zones)], service, d.book)
		if err != nil {
			return nil, err
		}
		d.group.Go(func() { d.beat(s) })
	}
	if d.instances, err = newInstances(folder, d.store.addr, len(zones)); err != nil {
		return nil, err
	}
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			d.end()
			return nil, err
		}
	}
	for _, i := range d.instances {
		if err := i.waitReady(); err != nil {
			d.end()
			return nil, err
		}
	}
	return d, nil
}

// end stops clients, servers and instances.
func (d *deployment) end() {
	close(d.stop)
	d.group.Wait()
	for _, i := range d.instances {
		i.stop()
	}
}

// sleep returns false if the deployment has ended meanwhile.
func (d *deployment) sleep(t time.Duration) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(t):
		return true
	}
}

func (d *deployment) beat(s *server) {
	for {
		d.store.put("servers", s.id, s.entry())
		if !d.sleep(beatInterval) {
			return
		}
	}
}

// change sends the next desired state and returns the time of the acknowledgement.
func (d *deployment) change(change func(*rules)) time.Time {
	d.rules.version += 3
	change(&d.rules)
	revision := d.store.put("config", "main", d.rules.encode())
	d.record.log("operator: desired state acknowledged, %s, revision %d", d.rules.String(), revision)
	return time.Now()
}
