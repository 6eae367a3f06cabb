package logservice

// Page is the result of one read of a stream.
type Page struct {
	Records []Record
	// First is the offset of the oldest record that is still retained.
	First Offset
	// Next is the offset at which the next page starts.
	Next Offset
	// Era is the era of the offsets.
	Era Era
	// End is the offset after the newest record, or 0 if the reader did not learn it.
	End Offset
}
