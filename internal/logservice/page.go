package logservice

// Page is one read of a stream.
type Page struct {
	Records []Record
	// First is the oldest offset still retained.
	First Offset
	// Next is the offset to read from after this page.
	Next Offset
}
