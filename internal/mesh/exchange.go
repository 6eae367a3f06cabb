package mesh

import "github.com/cowsliparch/cowsliparch/internal/framelink"

// askNewer asks the other side for its configuration if it has a newer one than this VM.
func askNewer(link *framelink.Link[frame], local Local, theirs uint64) {
	if theirs > local.Version() {
		_ = link.TrySend(frame{Ask: &ask{Version: local.Version()}})
	}
}

// giveNewer hands on the configuration in force here if the other side, which asked, has an older one.
func giveNewer(link *framelink.Link[frame], local Local, a *ask) {
	if local.Version() > a.Version {
		_ = link.TrySend(frame{Configuration: local.Configuration()})
	}
}
