// Package reach tells whether this VM reaches the runners.
//
// It answers this failure: some VMs, or all of a zone, are partitioned from every runner for seconds, while callers, the store and the
// other VMs still reach them. Connections to runners hang, are refused or are reset, or the open ones live on while new ones are
// refused. Such a VM can have no request answered by itself, and must know it soon; a VM whose runners are merely silent, busy or
// partly down must not take itself for cut off.
package reach
