package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, awayTime for how long it is away before.
	copyAge  = 8 * time.Second
	awayTime = 300 * time.Millisecond
	// stableTime is how long after that the store counts as stable again.
	stableTime = 4 * time.Second
	// streamClients is how many clients read streams, each one after the other.
	streamClients = 80
	// minTaken is how many streams must be taken up for the rule to count.
	minTaken = 12
)

// reader reads streams through the processes in turn.
type reader struct {
	s      *stage
	number int
	// cut ends the connection of the stream that is being read.
	mu  sync.Mutex
	cut func()
	// fresh and begun count new streams and those that began; taken and wentOn those taken up again after the cut.
	fresh, begun, taken, wentOn int
}

// read reads a stream from an event on and returns the last event's ID; began tells whether any event arrived.
func (r *reader) read(v *vm, id, path string, after int, resumes string) (last int, began bool, status int) {
	ctx, cancel := context.WithTimeout(r.s.ctx, 12*time.Second)
	defer cancel()
	r.mu.Lock()
	r.cut = cancel
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+v.ip+":"+r.s.ports["front"]+path, strings.NewReader("a question"))
	if err != nil {
		return after, false, 0
	}
	request.Host = host
	for name, value := range map[string]string{"attempt": id, "remaining": "12000", "model": "m0", "usage": "100,60", "prefix": "a1:50,b2:50"} {
		request.Header.Set(names.Headers[name], value)
	}
	if after > 0 {
		request.Header.Set(names.Headers["after"], strconv.Itoa(after))
		request.Header.Set(names.Headers["resumes"], resumes)
	}
	response, err := client.Do(request)
	if err != nil {
		return after, false, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return after, false, response.StatusCode
	}
	last = after
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
			began = true
		}
	}
	return last, began, response.StatusCode
}

// run reads streams until the end. isCut tells whether the connections were cut meanwhile.
func (r *reader) run(end <-chan struct{}, isCut func() bool) {
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		v := r.s.vms[(r.number+n)%len(r.s.vms)]
		id := fmt.Sprintf("%016x", 0x7000000000000000+attempts.Add(1))
		path := "/quote/" + id
		cutBefore := isCut()
		last, began, status := r.read(v, id, path, 0, "")
		r.mu.Lock()
		if r.fresh++; began {
			r.begun++
		}
		r.mu.Unlock()
		r.s.log("stream %s at %s: %d, up to event %d", id, v.name, status, last)
		if !began || last == r.s.events || cutBefore || !isCut() {
			continue
		}
		// The client takes the stream up at the next process.
		next := r.s.vms[(r.number+n+1)%len(r.s.vms)]
		again := fmt.Sprintf("%016x", 0x7000000000000000+attempts.Add(1))
		now, wentOn, status := r.read(next, again, path, last, id)
		r.s.log("stream %s taken up at %s after event %d: %d, up to event %d", id, next.name, last, status, now)
		r.mu.Lock()
		if r.taken++; wentOn {
			r.wentOn++
		}
		r.mu.Unlock()
	}
}

// restored has the store come back from a copy some seconds old, while two versions of the runners serve side by side; later the connections
// of all clients break, and they take their streams up at other processes. Without the disruption, the store stays.
func restored(s *stage, trouble bool) (bool, error) {
	s.events, s.pause = 58, 200*time.Millisecond
	s.putConfiguration(1, "pedidos")
	for i := range 6 {
		if err := s.addRunner(fmt.Sprintf("i-model-%d", i), "asistente", fmt.Sprintf("v%d", 1+i%2), zones[i/2], "m0"); err != nil {
			return false, err
		}
	}
	if err := s.startVMs(6); err != nil {
		return false, err
	}
	s.sleep(6 * time.Second)
	var work sync.WaitGroup
	end, cut := make(chan struct{}), make(chan struct{})
	isCut := func() bool {
		select {
		case <-cut:
			return true
		default:
			return false
		}
	}
	var readers []*reader
	for i := range streamClients {
		r := &reader{s: s, number: i}
		readers = append(readers, r)
		work.Go(func() {
			s.sleep(11600 * time.Millisecond / streamClients * time.Duration(i))
			r.run(end, isCut)
		})
	}
	s.sleep(25*time.Second - copyAge)
	copied := s.store.copy()
	s.sleep(copyAge - awayTime)
	if trouble {
		s.log("the store is away")
		s.store.leave()
		s.sleep(awayTime)
		s.store.restore(copied)
		s.putConfiguration(1, "pedidos")
		s.log("the store is back from a copy that is %s old", copyAge)
	} else {
		s.sleep(awayTime)
	}
	s.sleep(stableTime + 100*time.Millisecond)
	s.log("the connections of the clients break")
	close(cut)
	for _, r := range readers {
		r.mu.Lock()
		r.cut()
		r.mu.Unlock()
	}
	s.sleep(13 * time.Second)
	close(end)
	work.Wait()
	fresh, begun, taken, wentOn := 0, 0, 0, 0
	for _, r := range readers {
		fresh, begun, taken, wentOn = fresh+r.fresh, begun+r.begun, taken+r.taken, wentOn+r.wentOn
	}
	s.log("of %d streams that clients took up again, %d went on; of %d new ones %d began", taken, wentOn, fresh, begun)
	if taken < minTaken || begun < fresh/2 {
		return false, fmt.Errorf("too few streams")
	}
	return float64(wentOn)/float64(taken) < float64(begun)/float64(fresh)/2, nil
}
