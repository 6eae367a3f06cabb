package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// request is what a client sends.
type request struct {
	id      string
	path    string
	body    string
	header  map[string]string
	timeout time.Duration
}

func newRequest(path, body string, timeout time.Duration) request {
	return request{
		id:      fmt.Sprintf("%016x", 0x1000+attempts.Add(1)),
		path:    path,
		body:    body,
		timeout: timeout,
		header:  map[string]string{},
	}
}

// answer is what a client got. err is set if there is no complete answer; head is set if the head of one arrived.
type answer struct {
	status int
	head   bool
	header http.Header
	body   string
	err    error
}

// connection is a kept connection of a client.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
}

func connect(address string) (*connection, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{
		socket: socket,
		reader: bufio.NewReader(socket),
	}, nil
}

// do sends a request and waits for its answer until its time is over.
func (c *connection) do(r request) answer {
	_ = c.socket.SetDeadline(time.Now().Add(r.timeout))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		r.path, names["attempt"], r.id, names["remaining"], r.timeout.Milliseconds(), len(r.body))
	for name, value := range r.header {
		head += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(c.socket, head+"\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return answer{
		status: response.StatusCode,
		head:   true,
		header: response.Header,
		body:   string(body),
		err:    err,
	}
}
