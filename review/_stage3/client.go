package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

var attempts atomic.Uint64

// client is what sends requests of a caller; it keeps its connections.
var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     10 * time.Second,
	},
}

// answer is what a client got; status is 0 if there was no whole answer.
type answer struct {
	id     string
	sent   time.Time
	status int
	signed bool
	body   string
	err    error
	// retryAfter is when the client may come back.
	retryAfter time.Duration
}

// send sends a request to a process with more headers, and returns the answer.
func (s *stage) send(v *vm, method, path, body string, patience time.Duration, header map[string]string) answer {
	a := answer{
		id:   fmt.Sprintf("%016x", 0x5e00000000000000+attempts.Add(1)),
		sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(s.ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.ip+":"+s.ports["front"]+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set(names.Headers["attempt"], a.id)
	request.Header.Set(names.Headers["remaining"], fmt.Sprint(patience.Milliseconds()))
	for name, value := range header {
		request.Header.Set(names.Headers[name], value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = response.StatusCode, string(content)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	a.retryAfter = time.Duration(seconds * float64(time.Second))
	a.signed = response.Header.Get(names.Headers["signature"]) != ""
	return a
}
