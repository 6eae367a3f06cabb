package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sockets is how many sockets a process may have on the sheet; otherFiles is for what else it has open.
	sockets    = 4100 - 200
	otherFiles = 10
	// zoneClients is the number of clients in the smallest zone of the site, which has two machines.
	zoneClients = 20
	// clientPause is the time between two requests of a client: 40.3 requests a second in all.
	clientPause = zoneClients * time.Second * 10 / 403
	// lostAt is when one machine of the zone is lost for good.
	lostAt   = 3 * time.Second
	idleCase = 109 * time.Second
	// stableWindow is the time on the sheet for which a ready machine must not refuse all connections, and triers how many
	// clients must have tried.
	stableWindow = 4 * time.Second
	triers       = 7
)

// idle: clients open a connection for each request, and leave it idle. The other machine of the zone must still take connections.
func idle(w *world, trouble bool) (bool, error) {
	if err := raiseOwnLimit(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		id := fmt.Sprintf("i-desk-%d", i)
		if _, err := w.addRunner(id, "desk", zone, 12, nil, func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			_, _ = rw.Write([]byte("booked"))
		}); err != nil {
			return false, err
		}
	}
	limit := &unix.Rlimit{Cur: sockets + otherFiles, Max: sockets + otherFiles}
	for i := range 2 {
		v, err := w.addVM(fmt.Sprintf("front-%d", i+1), "trujillo-a")
		if err != nil {
			return false, err
		}
		if err := unix.Prlimit(v.command.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
			return false, err
		}
	}
	for _, v := range w.vms {
		if !v.awaitReady(15 * time.Second) {
			return false, errors.New(v.name + " isn't ready")
		}
	}
	began := time.Now()
	kept, lost := w.vms[0], w.vms[1]
	var lostDown, broken atomic.Bool
	var mu sync.Mutex
	lastTaken, opened := time.Now(), 0
	tried := make(map[int]time.Time)
	// tryOnce sends one request on a new connection, which is then left idle.
	var open []*connection
	tryOnce := func(client int) {
		v := w.vms[rand.IntN(2)]
		if lostDown.Load() {
			v = kept
		}
		if v == kept {
			mu.Lock()
			tried[client] = time.Now()
			mu.Unlock()
		}
		r := newRequest("/desk/1/", "{}", 6*time.Second)
		c, err := connect(v.front)
		if err != nil {
			w.logf("request %s of client %d: no connection to %s: %v", r.id, client, v.name, err)
			return
		}
		a := c.do(r)
		w.logf("request %s of client %d to %s: status %d, error %v", r.id, client, v.name, a.status, a.err)
		mu.Lock()
		defer mu.Unlock()
		if v == kept && a.head {
			lastTaken = time.Now()
		}
		if a.err != nil {
			_ = c.socket.Close()
			return
		}
		open = append(open, c)
		opened++
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range zoneClients {
		clients.Go(func() {
			pause := clientPause
			time.Sleep(rand.N(pause))
			for ticker := time.NewTicker(pause); ; {
				clients.Go(func() { tryOnce(client) })
				select {
				case <-ticker.C:
				case <-stop:
					return
				}
			}
		})
	}
	if trouble {
		time.AfterFunc(lostAt, func() {
			_ = lost.command.Process.Kill()
			lostDown.Store(true)
			w.logf("%s is lost for good", lost.name)
		})
	}
	ready := w.probe(kept, stop)
	for ; time.Since(began) < idleCase && !broken.Load(); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		mu.Lock()
		trying := 0
		for _, at := range tried {
			if now.Sub(at) < stableWindow {
				trying++
			}
		}
		silentFor := now.Sub(lastTaken)
		mu.Unlock()
		if silentFor >= stableWindow && trying >= triers && ready() >= stableWindow && !broken.Swap(true) {
			w.logf("%s has said for %v that it is ready, and has taken no connection for %v, while %d clients tried", kept.name, ready().Round(time.Second), silentFor.Round(time.Millisecond), trying)
		}
	}
	close(stop)
	mu.Lock()
	w.logf("%s: %d files open, %d connections answered and left idle in all, rule broken: %v", kept.name, kept.openFiles(), opened, broken.Load())
	mu.Unlock()
	return broken.Load(), nil
}
