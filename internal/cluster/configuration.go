package cluster

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
)

// maxConfigurationBytes limits the size of a configuration that a peer sends.
const maxConfigurationBytes = 8 << 20

// requestNewerConfiguration requests the peer's configuration if it is newer than the active one of this VM.
func requestNewerConfiguration(link *framelink.Link[frame], local LocalVM, peerVersion uint64) {
	if peerVersion > local.ConfigurationVersion() {
		_ = link.TrySend(frame{Request: &stateRequest{
			Version:         local.ConfigurationVersion(),
			ReadsCompressed: true,
		}})
	}
}

// sendNewerConfiguration sends this VM's active configuration if the requesting peer has an older one.
func sendNewerConfiguration(link *framelink.Link[frame], local LocalVM, request *stateRequest) {
	if local.ConfigurationVersion() <= request.Version {
		return
	}
	if request.ReadsCompressed {
		_ = link.TrySend(frame{CompressedConfiguration: local.CompressedConfiguration()})
		return
	}
	_ = link.TrySend(frame{Configuration: local.Configuration()})
}

// receiveConfiguration passes a configuration of a peer on to the VM and reports whether the frame had one.
func receiveConfiguration(local LocalVM, f frame) bool {
	switch {
	case f.Configuration != nil:
		local.ReceiveConfiguration(f.Configuration)
	case f.CompressedConfiguration != nil:
		encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(f.CompressedConfiguration)), maxConfigurationBytes))
		if err != nil {
			return false
		}
		local.ReceiveConfiguration(encoded)
	default:
		return false
	}
	return true
}
