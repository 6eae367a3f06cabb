package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the pause between two registrations of a runner, lapse is after how much silence its entry is removed.
	heartbeatInterval = 1200 * time.Millisecond
	lapse             = 3 * heartbeatInterval
)

// runner stands in for a runner. Its life is that of one process: crash ends it as the kernel ends a process, by closing its sockets.
type runner struct {
	stage   *stage
	ID      string
	Service string
	Domain  string
	Address string
	Slots   int
	Models  string
	Born    int64
	Beat    int
	State   string
	// Accepted counts the orders that the runner has accepted. order carries one out and returns the status; if it is nil, another order is
	// said to be in progress, as the layout needs no change.
	Accepted int
	order    func(r *runner, body []byte) int
	// serve answers a request, whose body was read; it returns whether the connection is kept.
	serve func(r *runner, c net.Conn, request *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	dead     bool
	done     chan struct{}
}

// startRunner starts a runner at an address, or at a free one if that is empty.
func (s *stage) startRunner(r *runner) error {
	address := r.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.stage, r.listener = s, listener
	r.Address = listener.Addr().String()
	r.Born = time.Now().UnixMilli()
	r.State = "ready"
	r.conns = make(map[net.Conn]bool)
	r.done = make(chan struct{})
	s.mu.Lock()
	s.runners = append(s.runners, r)
	s.mu.Unlock()
	r.register()
	go r.beat()
	go r.accept()
	return nil
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.Beat++
	r.stage.store.Put(names["registrations"], r.ID, []byte(render(registrationText, r)))
}

func (r *runner) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.register()
		case <-r.done:
			return
		}
	}
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.dead {
			_ = c.Close()
		} else {
			r.conns[c] = true
		}
		r.mu.Unlock()
		go r.handle(c)
	}
}

func (r *runner) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.respond(c, request, body) {
			return
		}
	}
}

func (r *runner) respond(c net.Conn, request *http.Request, body []byte) bool {
	expected := request.Header.Get(names["expected"])
	switch {
	case expected != "" && expected != r.ID:
		return writeAnswer(c, http.StatusMisdirectedRequest, names["instance"]+": "+r.ID+"\r\n", "")
	case request.URL.Path == names["report"]:
		r.mu.Lock()
		report := render(reportText, r)
		r.mu.Unlock()
		return writeAnswer(c, http.StatusOK, "Content-Type: application/json\r\n", report)
	case request.URL.Path == names["order"]:
		status := http.StatusConflict
		if r.order != nil {
			status = r.order(r, body)
		}
		return writeAnswer(c, status, "", "")
	default:
		return r.serve(r, c, request, body)
	}
}

// writeAnswer writes an answer with a length.
func writeAnswer(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// answerHeader returns the header by which the runner signs its answer to a request.
func (r *runner) answerHeader(request *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n%s: 1,0,%d\r\n", names["attempt"], request.Header.Get(names["attempt"]),
		names["signature"], r.ID, request.Header.Get(names["attempt"]), names["load"], r.Slots)
}

// close ends the runner without a trace in the store, and reports whether it had not ended before.
func (r *runner) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return false
	}
	r.dead = true
	close(r.done)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	return true
}

// crash ends the runner, whose entry lapses later, and reports whether it had not ended before.
func (r *runner) crash() bool {
	if !r.close() {
		return false
	}
	time.AfterFunc(lapse, func() { r.stage.store.Put(names["registrations"], r.ID, nil) })
	return true
}
