// Package tenure keeps the lease under which one entry VM of the whole system sends orders to runners: records of one log
// stream, each appended only where the writer knows the end.
package tenure
