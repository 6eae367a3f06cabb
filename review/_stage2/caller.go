package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	status    int
	signature string
	body      string
	// whole is set if the answer ended as complete.
	whole bool
	err   error
}

// ask sends a request on a connection of its own.
func ask(address, method, path, id, header, body string, timeout time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return askOn(c, method, path, id, header, body, timeout)
}

// askOn sends a request on a connection and reads the answer to its end.
func askOn(c net.Conn, method, path, id, header, body string, timeout time.Duration) answer {
	_ = c.SetDeadline(time.Now().Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s", method, path, names["attempt"], id,
		names["remaining"], timeout.Milliseconds(), header)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{
		status:    response.StatusCode,
		signature: response.Header.Get(names["signature"]),
		body:      string(content),
		whole:     err == nil,
		err:       err,
	}
}
