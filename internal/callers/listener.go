package callers

import "net"

// Listener accepts the connections that a guard admits.
type Listener struct {
	net.Listener
	guard *Guard
}

// Listen returns a listener whose connections the guard counts.
func (g *Guard) Listen(l net.Listener) *Listener {
	return &Listener{
		Listener: l,
		guard:    g,
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		socket, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &Conn{
			TCPConn: socket,
			guard:   l.guard,
		}
		c.progress.Store(l.guard.Clock.Now().UnixNano())
		if l.guard.admit(c) {
			return c, nil
		}
		writeRefusal(socket, &RefusedError{Reason: Connections})
		_ = socket.Close()
	}
}
