package dispatch

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets that the budget's window is divided into.
	windowBuckets = 20
	// usableShare is the fraction of its share that a VM uses; the rest covers requests that other VMs count later.
	usableShare = 0.8
)

// RetryLimits limits the retries of a service's requests over all VMs.
type RetryLimits struct {
	Window time.Duration
	// Ratio is the number of retries per request; Slack is the number allowed in addition in each window.
	Ratio float64
	Slack float64
}

// RetryBudget limits this VM's retries to its share of the limits, separately for each service.
type RetryBudget struct {
	mu       sync.Mutex
	limits   RetryLimits
	vms      int
	services map[string]*usage
	// start is the time from which buckets are counted, so that adjustments of the wall clock have no effect.
	start time.Time
}

// usage counts the requests and retries of one service in a ring of buckets.
type usage struct {
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	bucket   int64
}

// NewRetryBudget returns an unused budget for a deployment of one VM.
func NewRetryBudget(limits RetryLimits, now time.Time) *RetryBudget {
	return &RetryBudget{
		start:    now,
		limits:   limits,
		vms:      1,
		services: make(map[string]*usage),
	}
}

// SetLimits sets the limits and the number of VMs among which the slack is divided.
func (b *RetryBudget) SetLimits(limits RetryLimits, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.vms = max(vms, 1)
}

// RecordRequest counts a request to a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usageAt(service, now)
	u.requests[u.bucket%windowBuckets]++
}

// TakeRetry reports whether the budget allows a retry at a service and, if so, counts it.
func (b *RetryBudget) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usageAt(service, now)
	if !b.hasRoom(u) {
		return false
	}
	u.retries[u.bucket%windowBuckets]++
	return true
}

// RetryAllowed reports whether the budget would allow a retry now.
func (b *RetryBudget) RetryAllowed(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(b.usageAt(service, now))
}

func (b *RetryBudget) hasRoom(u *usage) bool {
	var requests, retries float64
	for i := range windowBuckets {
		requests += u.requests[i]
		retries += u.retries[i]
	}
	return retries+1 <= usableShare*(b.limits.Ratio*requests+b.limits.Slack/float64(b.vms))
}

// usageAt returns the usage of a service after clearing the buckets that have left the window.
func (b *RetryBudget) usageAt(service string, now time.Time) *usage {
	bucketWidth := max(b.limits.Window/(windowBuckets-1), time.Millisecond)
	bucket := int64(now.Sub(b.start) / bucketWidth)
	u, ok := b.services[service]
	if !ok {
		u = &usage{bucket: bucket}
		b.services[service] = u
	}
	for cleared := 0; u.bucket < bucket && cleared < windowBuckets; cleared++ {
		u.bucket++
		u.requests[u.bucket%windowBuckets] = 0
		u.retries[u.bucket%windowBuckets] = 0
	}
	u.bucket = max(u.bucket, bucket)
	return u
}
