package fake

import (
	"context"
	"net"
	"net/http"
)

// Server is an HTTP server of a stand-in on a loopback port chosen by the kernel.
type Server struct {
	// Address is the IP and port, such as "127.0.0.1:41234".
	Address string
	server  *http.Server
}

// Serve starts a server for handler on loopback.
func Serve(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address: listener.Addr().String(),
		server: &http.Server{
			Handler: handler,
		},
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// Close ends the server and its connections at once.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown lets open requests end first.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
