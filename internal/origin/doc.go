// Package origin remembers which release of the runners' software began a stream, because what two releases write doesn't fit together
// and runners don't check it: a stream may go on only at a runner of its release.
//
// It answers this failure: while releases are mixed, runners or VMs end, and callers take up their streams at VMs that did not serve
// them, also after all VMs lost power at once. While a service has several releases, and for as long afterwards as a caller may take
// up a stream, every VM reports the streams that it began, and the lease holder appends them to a log stream, from which a VM reads
// what it doesn't know. A stream is not taken up if its release is unknown and there may be several.
//
// A VM that was cut off or stood still may not know of a release that others use. So it takes a service for one of a single release only
// by a Census that began after the caller's request came: the lease holder reads the registrations for all VMs that are linked to it, and
// any other VM reads them itself. Requests that wait for a census share it.
//
// The log may come back from a copy that lacks its newest records. Each VM then reports again what it began, and the lease holder appends
// what it knows that the log named. Until that is done, a stream that the log does not name may still become known. As the holder may be lost
// as well, it has a few VMs keep what it appends, and a new holder reads the log.
//
// A VM may be lost, or out of step, when runners of a second release join, before it has reported what it began. So VMs also report streams
// while there is a single release: to the lease holder and, through it, to a few VMs that keep them.
package origin
