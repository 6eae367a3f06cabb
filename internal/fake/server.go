package fake

import (
	"context"
	"net"
	"net/http"
)

// Server is the HTTP server of a fake, on a loopback port chosen by the kernel.
type Server struct {
	// Address is the IP address and port, such as "127.0.0.1:41234".
	Address string
	server  *http.Server
}

// Serve starts a server for handler on a loopback port.
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

// Close stops the server and closes its connections immediately.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown stops the server once its open requests have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
