package outbound

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
)

// Message is an HTTP request, whose URI, header and body are sent unchanged.
type Message struct {
	Method string
	// URI is the path and query as in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the bytes of the request.
func (m *Message) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(m.Body) + 512)
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n")
	for name, values := range m.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(m.Body) > 0 || (m.Method != http.MethodGet && m.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// request returns the request that http.ReadResponse needs to know how the response ends.
func (m *Message) request() *http.Request {
	return &http.Request{
		Method: m.Method,
		URL:    &url.URL{Path: "/"},
	}
}
