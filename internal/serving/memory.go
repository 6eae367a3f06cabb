package serving

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/settings"
)

const (
	// bufferDivisor is the part of a VM's memory that runners' responses may hold together until they are passed on. The heap
	// grows to twice what is in use, and each request takes some 64 KiB besides.
	bufferDivisor = 8
	// attemptBytes is by how much each attempt at a request lowers that, so that many requests leave room for what each takes.
	attemptBytes = 16 << 10
	// defaultBufferBytes is the same if the VM's memory is unknown.
	defaultBufferBytes = 32 << 20
	// imageBytes is what the program takes besides its heap, and heapLimitPercent the part of the rest up to which the heap may grow
	// before the garbage collector runs more often. The rest is for what is allocated until that has run.
	imageBytes       = 32 << 20
	heapLimitPercent = 80
	// minHeapPercent is the part of the memory that the heap may take at least before that.
	minHeapPercent = 60
)

// bufferBytes returns what runners' responses may hold together until they are passed on.
func bufferBytes(vm settings.ServingVM) int64 {
	if vm.MemoryMB <= 0 {
		return defaultBufferBytes
	}
	return int64(vm.MemoryMB * (1 << 20) / bufferDivisor)
}

// HeapLimit returns the soft limit in bytes that the process is to set for its heap, or 0 if the VM's memory is unknown.
func HeapLimit(vm settings.ServingVM) int64 {
	bytes := vm.MemoryMB * (1 << 20)
	return int64(max((bytes-imageBytes)*heapLimitPercent/100, bytes*minHeapPercent/100))
}

func (s *Server) registerBufferMetrics() {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowsliparch_held_response_bytes",
			Help: "Bytes of runners' responses that are held until they can be passed on.",
		}, func() float64 { return float64(s.buffers.Held()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowsliparch_held_request_bytes",
			Help: "Bytes that callers' requests are charged for.",
		}, func() float64 { return float64(s.guardCallers.Held()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cowsliparch_caller_connections",
			Help: "Connections of callers that are open.",
		}, func() float64 { return float64(s.guardCallers.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cowsliparch_responses_evicted_total",
			Help: "Responses given up because all together held too much.",
		}, func() float64 { return float64(s.buffers.Evicted()) }),
	)
}
