package outbound

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
)

// Request is an HTTP request, whose URI, header and body are sent unchanged.
type Request struct {
	Method string
	// URI is the path and query as in the request line.
	URI    string
	Host   string
	Header http.Header
	// BodyPrefix is sent before Body, as a part of the body.
	BodyPrefix []byte
	Body       []byte
}

// encode returns the request in the format of HTTP/1.1.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	length := len(r.BodyPrefix) + len(r.Body)
	b.Grow(length + 512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(length))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.BodyPrefix)
	b.Write(r.Body)
	return b.Bytes()
}

// httpRequest returns the request that http.ReadResponse needs to find the end of the response.
func (r *Request) httpRequest() *http.Request {
	return &http.Request{
		Method: r.Method,
		URL:    &url.URL{Path: "/"},
	}
}
