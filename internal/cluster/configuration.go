package cluster

import "github.com/cowsliparch/cowsliparch/internal/framelink"

// requestNewerConfiguration requests the peer's configuration if it is newer than the active one of this VM.
func requestNewerConfiguration(link *framelink.Link[frame], local LocalVM, peerVersion uint64) {
	if peerVersion > local.ConfigurationVersion() {
		_ = link.TrySend(frame{Request: &stateRequest{Version: local.ConfigurationVersion()}})
	}
}

// sendNewerConfiguration sends this VM's active configuration if the requesting peer has an older one.
func sendNewerConfiguration(link *framelink.Link[frame], local LocalVM, request *stateRequest) {
	if local.ConfigurationVersion() > request.Version {
		_ = link.TrySend(frame{Configuration: local.Configuration()})
	}
}
