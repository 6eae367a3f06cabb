package serving

import (
	"context"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// maintenanceInterval is the pause between two rounds of maintenance.
const maintenanceInterval = time.Second

const (
	// isolationTimeout is how long a lease holder that lost all its links keeps the lease.
	isolationTimeout = time.Second
	// isolationBackoff is how long it does not claim the lease after that.
	isolationBackoff = 6 * time.Second
	// cutOffTimeout is how long a lease holder that reaches no runner keeps the lease.
	cutOffTimeout = 2 * time.Second
)

// minVMs is the smallest number of entry VMs that is assumed, because the number is unknown while the lease holder is
// unknown.
const minVMs = 4

const (
	// slowLinkMbit is the bandwidth below which a VM's network link counts as slow: a lease holder with a hundred links sends
	// about 25 Mbit/s in its busiest second.
	slowLinkMbit = 50
	// slowLinkClaimDelay is how much later a VM with a slow link claims the lease: longer than two other VMs need to settle
	// which of them gets it.
	slowLinkClaimDelay = 600 * time.Millisecond
	// slowLinkLeaseTime is how long such a VM holds the lease before it gives it up to a VM with a faster link, and
	// slowLinkBackoff is how long it does not claim the lease after that.
	slowLinkLeaseTime = 10 * time.Second
	slowLinkBackoff   = 5 * time.Second
)

// hasSlowLink reports whether a VM's network link is too slow for the traffic of a lease holder.
func hasSlowLink(vm settings.ServingVM) bool { return vm.LinkMbit > 0 && vm.LinkMbit < slowLinkMbit }

// loops returns the background loops of the process.
func (s *Server) loops() []func(context.Context) error {
	return append(s.guard.Loops(),
		s.watcher.WatchConfiguration,
		s.watcher.WatchRunners,
		s.origins.Run,
		s.reach.Run,
		s.lease.Run,
		s.controller.Run,
		s.spoke.Run,
		s.announcer.Run,
		s.aggregator.Run,
		s.maintain,
		s.watchSettings,
	)
}

// maintain periodically closes expired idle connections, drops outdated state, gives up the lease if another VM should hold
// it, and updates the retry budget and the quotas.
func (s *Server) maintain(ctx context.Context) error {
	for {
		if !pause.For(ctx, s.Clock, maintenanceInterval) {
			return nil
		}
		s.Pool.Prune()
		s.tracker.Prune(s.roster.View(), s.Clock.Now())
		s.proxies.prune(s.Clock.Now())
		s.maintainQuotas()
		s.stepDownIfIsolated(ctx)
		s.stepDownIfCutOff(ctx)
		s.stepDownIfLinkIsSlow(ctx)
		s.retryBudget.SetLimits(retryLimits(s.currentSettings()), s.vmCount())
	}
}

// stepDownIfIsolated gives up the lease when all links to this VM are gone: it may be cut off from the other VMs, which see
// demand that it does not see.
func (s *Server) stepDownIfIsolated(ctx context.Context) {
	if !s.HoldsLease() {
		s.wasLinked = false
		return
	}
	now := s.Clock.Now()
	if s.hub.MemberCount() > 1 {
		s.wasLinked, s.lastLinked = true, now
		return
	}
	if s.wasLinked && now.Sub(s.lastLinked) >= isolationTimeout {
		s.lease.StepDown(ctx, isolationBackoff)
	}
}

// stepDownIfCutOff gives up the lease when this VM reaches no runner, so that it can't send orders, and a linked VM does.
func (s *Server) stepDownIfCutOff(ctx context.Context) {
	now := s.Clock.Now()
	if !s.HoldsLease() || !s.CutOff() {
		s.lastReaching = now
		return
	}
	if now.Sub(s.lastReaching) >= cutOffTimeout && s.hub.ReachingVMLinked() {
		s.lease.StepDown(ctx, isolationBackoff)
	}
}

// stepDownIfLinkIsSlow gives up the lease when this VM's network link is slow and a linked VM has a faster one.
func (s *Server) stepDownIfLinkIsSlow(ctx context.Context) {
	now := s.Clock.Now()
	if !s.HoldsLease() {
		s.lastWithoutLease = now
		return
	}
	if !hasSlowLink(s.Settings.VM) || now.Sub(s.lastWithoutLease) < slowLinkLeaseTime {
		return
	}
	hasFastLink := func(m cluster.Member) bool { return !m.SlowLink }
	if slices.ContainsFunc(s.hub.Members(), hasFastLink) {
		s.lease.StepDown(ctx, slowLinkBackoff)
	}
}

// vmCount returns the number of entry VMs that share the limits, as far as the lease holder knows.
func (s *Server) vmCount() int {
	if s.HoldsLease() {
		return max(s.hub.MemberCount(), minVMs)
	}
	return max(s.spoke.MemberCount(), minVMs)
}
