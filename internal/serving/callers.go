package serving

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/callers"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

const (
	// processBytes is what the process holds without requests; requestDivisor is the part of the rest of a VM's memory that requests may
	// hold. The heap grows to twice what is in use, and responses hold a part of it besides.
	processBytes   = 20 << 20
	requestDivisor = 4
	// minRequestBytes is the least that requests may hold together, defaultRequestBytes is that if the VM's memory is unknown.
	minRequestBytes     = 4 << 20
	defaultRequestBytes = 128 << 20
	// headerTimeMargin is what a head may take beyond the configuration's limit, for the time that it is on its way.
	headerTimeMargin = time.Second
	// reservedDescriptors are for files, links and the store, at most five eighths of all. Callers' connections take half of the rest, since each
	// request in progress needs a connection to a runner, too; a fifth of that half is for those that are being closed.
	reservedDescriptors = 500
	// readBufferDivisor is the part of a VM's memory that the kernel's buffer of one connection may take.
	readBufferDivisor = 2048
	minReadBuffer     = 64 << 10
	maxReadBuffer     = 256 << 10
	// refusalLogInterval is the least time between two lines on refusals with the same reason.
	refusalLogInterval = time.Second
)

// requestBytes returns what callers' requests may hold together.
func requestBytes(vm settings.ServingVM) int64 {
	if vm.MemoryMB <= 0 {
		return defaultRequestBytes
	}
	return max(int64(vm.MemoryMB*(1<<20)-processBytes)/requestDivisor, minRequestBytes)
}

// connectionLimit returns how many connections callers may have open.
func connectionLimit(vm settings.ServingVM) int {
	descriptors := vm.Descriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors <= 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	if descriptors <= 0 {
		descriptors = maxDescriptors
	}
	return max((descriptors-min(reservedDescriptors, descriptors*5/8))/2*4/5, 1)
}

// readBuffer returns the size of the kernel's buffer for what a caller has sent and this process has not read, or 0 for the kernel's own
// choice, which grows to several MiB. It counts as memory of the VM, and a window of 64 KiB suffices for ordinary requests.
func readBuffer(vm settings.ServingVM) int {
	if vm.MemoryMB <= 0 {
		return 0
	}
	return int(min(max(vm.MemoryMB*(1<<20)/readBufferDivisor, minReadBuffer), maxReadBuffer))
}

// setReadBuffer sets the size of the buffer for all connections that a listener accepts.
func setReadBuffer(l net.Listener, bytes int) error {
	socket, ok := l.(*net.TCPListener)
	if !ok || bytes <= 0 {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}); err != nil {
		return err
	}
	return setErr
}

// maxDescriptors bounds what a process without a limit counts on.
const maxDescriptors = 1 << 20

func (s *Server) newGuard() *callers.Guard {
	refusals := &callerRefusals{
		server: s,
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_callers_refused_total",
			Help: "Requests refused before they were read, and connections closed.",
		}, []string{"reason"}),
		unlogged: make(map[callers.Reason]int),
		loggedAt: make(map[callers.Reason]time.Time),
	}
	s.registry.MustRegister(refusals.total)
	return callers.New(callers.Options{
		Bytes:       requestBytes(s.Settings.VM),
		Connections: connectionLimit(s.Settings.VM),
		HeadBytes:   s.headLimit,
		HeadTime:    s.headTime,
		OnRefuse:    refusals.count,
		Clock:       s.Clock,
	})
}

// headLimit returns the maximum size of a request's head.
func (s *Server) headLimit() int {
	if c := s.catalog.Current(); c != nil && c.Limits.HeaderBytes > 0 {
		return min(c.Limits.HeaderBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// headTime returns the time in which a request's head must arrive.
func (s *Server) headTime() time.Duration {
	if c := s.catalog.Current(); c != nil && c.Limits.HeaderTimeout > 0 {
		return min(c.Limits.HeaderTimeout+headerTimeMargin, maxHeaderTimeout)
	}
	return headerTimeout
}

// callerRefusals counts refusals and logs them, those with the same reason together.
type callerRefusals struct {
	server *Server
	total  *prometheus.CounterVec

	mu       sync.Mutex
	unlogged map[callers.Reason]int
	loggedAt map[callers.Reason]time.Time
}

func (r *callerRefusals) count(refused *callers.RefusedError) {
	r.total.WithLabelValues(string(refused.Reason)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[refused.Reason]++
	now := r.server.Clock.Now()
	if now.Sub(r.loggedAt[refused.Reason]) < refusalLogInterval {
		return
	}
	event.CallersRefused.Log(r.server.Logger,
		slog.String("Reason", string(refused.Reason)),
		slog.Int("Count", r.unlogged[refused.Reason]),
		slog.Int64("Bytes", refused.Bytes))
	r.loggedAt[refused.Reason] = now
	r.unlogged[refused.Reason] = 0
}

// trackConnections returns the ConnState hook of the callers' server.
func (s *Server) trackConnections(busy *busyConnections) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		busy.track(c, state)
		s.guardCallers.Track(c, state)
	}
}
