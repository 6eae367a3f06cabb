package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// oddInterval is the pause between two odd requests to a process, requestInterval that between two ordinary ones.
	oddInterval     = 2 * time.Second
	requestInterval = 100 * time.Millisecond
	// otherRoutes is how many routes the configuration has besides those in use.
	otherRoutes = 350
	// changes is how many versions the operator puts in force, each changeInterval after the one before.
	changes        = 4
	changeInterval = 12 * time.Second
	// applyTime is the time within which a version is in force, from the store's acknowledgement.
	applyTime = 3 * time.Second
)

// ordinary is an ordinary request and its answer.
type ordinary struct {
	answer
	vm *vm
}

// putConfiguration puts a version in force, in which the first route leads to a service, and returns when the store has acknowledged it.
func (s *stage) putConfiguration(version int, service string) time.Time {
	document := clone(names.Configuration)
	document["version"] = version
	routes := document["routes"].([]any)
	routes[0].(map[string]any)[names.RouteService] = service
	for i := range otherRoutes {
		route := clone(routes[0].(map[string]any))
		route["name"] = "r-other-" + strconv.Itoa(i)
		route[names.RoutePrefix] = "/other-" + strconv.Itoa(i) + "/"
		routes = append(routes, route)
	}
	document["routes"] = routes
	at := s.store.put(names.Topics["operator"], "config", encode(document))
	s.log("version %d is acknowledged: the route leads to %s", version, service)
	return at
}

// oddNames has clients name a model in bytes that are no UTF-8 while the operator moves a route to another service and back. Without the
// disruption, the same clients name a model that does not exist in plain text.
func oddNames(s *stage, trouble bool) (bool, error) {
	services := []string{"pedidos", "pedidos-2"}
	version := 1
	s.putConfiguration(version, services[0])
	for i, zone := range zones {
		for _, service := range services {
			if err := s.addRunner(fmt.Sprintf("i-%s-%d", service, i), service, "v1", zone); err != nil {
				return false, err
			}
		}
		if err := s.addRunner(fmt.Sprintf("i-model-%d", i), "asistente", "v1", zone, "m0"); err != nil {
			return false, err
		}
	}
	if err := s.startVMs(8); err != nil {
		return false, err
	}
	s.sleep(6 * time.Second)
	odd := "none"
	if trouble {
		odd = "m\xff"
	}
	var work sync.WaitGroup
	stop := make(chan struct{})
	every := func(interval time.Duration, do func()) {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					do()
				}
			}
		})
	}
	var mu sync.Mutex
	var requests []ordinary
	for _, v := range s.vms {
		every(oddInterval, func() {
			a := s.send(v, "POST", "/quote/1", "", 5*time.Second, map[string]string{"model": odd, "usage": "100,10", "prefix": "a1:50,b2:50"})
			s.log("odd request %s to %s: %d %v", a.id, v.name, a.status, a.err)
		})
		every(requestInterval, func() {
			a := s.send(v, "POST", "/pickup/1", "pickup", 3*time.Second, nil)
			s.log("request %s to %s: %d %v", a.id, v.name, a.status, a.err)
			mu.Lock()
			requests = append(requests, ordinary{answer: a, vm: v})
			mu.Unlock()
		})
	}
	s.sleep(4 * time.Second)
	// inForce[i] is from when on requests must go to the service of the i-th change, ended[i] until when.
	var acknowledged []time.Time
	for i := range changes {
		version += 3
		acknowledged = append(acknowledged, s.putConfiguration(version, services[(i+1)%2]))
		s.sleep(changeInterval)
	}
	acknowledged = append(acknowledged, time.Now())
	close(stop)
	work.Wait()
	for _, v := range s.vms {
		if v.hasEnded() {
			return false, fmt.Errorf("%s has ended", v.name)
		}
	}
	late, old, served := 0, make(map[string]int), 0
	for _, r := range requests {
		if r.status == 200 && r.signed {
			served++
		}
		for i := range changes {
			if r.sent.Sub(acknowledged[i]) <= applyTime || !r.sent.Before(acknowledged[i+1].Add(-time.Second)) {
				continue
			}
			late++
			for _, by := range s.runsOf(r.id) {
				if by.service != services[(i+1)%2] {
					old[r.vm.name]++
					s.log("broken: %s, sent to %s %.3f s after the acknowledgement, was run by %s", r.id, r.vm.name,
						r.sent.Sub(acknowledged[i]).Seconds(), by.service)
				}
			}
		}
	}
	s.log("%d of %d requests served; of %d sent later than %s after an acknowledgement, run as only an older version allows: %v", served,
		len(requests), late, applyTime, old)
	if late == 0 || served < len(requests)/2 {
		return false, fmt.Errorf("too few requests were served")
	}
	return len(old) > 0, nil
}
