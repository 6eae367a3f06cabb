package fakeengine

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// memory tracks which models each accelerator holds. It executes every load, also beyond capacity, and counts the loads that
// exceeded it.
type memory struct {
	capacity int64
	loaded   [][]endpoint.LoadedModel
	breaches int
	loads    int
}

func newMemory(accelerators int, capacity int64) *memory {
	return &memory{
		capacity: capacity,
		loaded:   make([][]endpoint.LoadedModel, accelerators),
	}
}

func (m *memory) load(order endpoint.Order) bool {
	if order.Accelerator < 0 || order.Accelerator >= len(m.loaded) {
		return false
	}
	for _, loaded := range m.loaded[order.Accelerator] {
		if loaded.Model == order.Model {
			return true
		}
	}
	m.loads++
	m.loaded[order.Accelerator] = append(m.loaded[order.Accelerator], endpoint.LoadedModel{
		Model: order.Model,
		Bytes: order.Bytes,
	})
	if m.usedBytes(order.Accelerator) > m.capacity {
		m.breaches++
	}
	return true
}

func (m *memory) markReady(order endpoint.Order) {
	for i := range m.loaded[order.Accelerator] {
		if m.loaded[order.Accelerator][i].Model == order.Model {
			m.loaded[order.Accelerator][i].Ready = true
		}
	}
}

func (m *memory) unload(order endpoint.Order) bool {
	if order.Accelerator < 0 || order.Accelerator >= len(m.loaded) {
		return false
	}
	m.loaded[order.Accelerator] = slices.DeleteFunc(m.loaded[order.Accelerator], func(l endpoint.LoadedModel) bool {
		return l.Model == order.Model
	})
	return true
}

func (m *memory) usedBytes(accelerator int) int64 {
	var sum int64
	for _, loaded := range m.loaded[accelerator] {
		sum += loaded.Bytes
	}
	return sum
}

func (m *memory) serves(model string) bool {
	for _, accelerator := range m.loaded {
		for _, loaded := range accelerator {
			if loaded.Model == model && loaded.Ready {
				return true
			}
		}
	}
	return false
}

func (m *memory) report() []endpoint.Accelerator {
	out := make([]endpoint.Accelerator, 0, len(m.loaded))
	for _, loaded := range m.loaded {
		out = append(out, endpoint.Accelerator{
			CapacityBytes: m.capacity,
			Loaded:        slices.Clone(loaded),
		})
	}
	return out
}
