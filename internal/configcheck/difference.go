package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// Change tells how an entry differs between two versions.
type Change string

// The changes.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is an entry that only one of two versions has, or one field that differs.
type Difference struct {
	// Entry names the entry concerned, such as "route chat".
	Entry  string
	Change Change
	// Field, Old and New are set if Change is Changed.
	Field string `json:",omitempty"`
	Old   string `json:",omitempty"`
	New   string `json:",omitempty"`
}

// Compare returns what differs between two versions, by entry; before may be nil. Of keys, it states only numbers.
func Compare(before, after *catalog.Catalog) []Difference {
	if before == nil {
		before = catalog.New(0, catalog.Limits{}, nil, nil)
	}
	old, updated := describe(before), describe(after)
	var differences []Difference
	for name, entry := range old {
		if _, kept := updated[name]; !kept {
			differences = append(differences, newDifference(entry.name, Removed))
		}
	}
	for name, entry := range updated {
		previous, known := old[name]
		if !known {
			differences = append(differences, newDifference(entry.name, Added))
			continue
		}
		differences = append(differences, previous.compare(entry)...)
	}
	// The fields of an entry stay in their order.
	slices.SortStableFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Change, b.Change))
	})
	return differences
}

func newDifference(entry string, change Change) Difference {
	return Difference{
		Entry:  entry,
		Change: change,
	}
}

// identity tells entries apart; n counts the entries of the same kind and name before it.
type identity struct {
	kind string
	name string
	n    int
}

// entry is what Compare compares of an entry.
type entry struct {
	name   string
	fields []field
	keys   map[catalog.KeyDigest]bool
}

// field is a field of an entry with the text of its value.
type field struct {
	name  string
	value string
}

// compare returns the fields that differ; both entries are of the same kind and thus have the same fields.
func (e entry) compare(updated entry) []Difference {
	var differences []Difference
	change := func(name, from, to string) {
		differences = append(differences, Difference{
			Entry:  updated.name,
			Change: Changed,
			Field:  name,
			Old:    from,
			New:    to,
		})
	}
	for i, f := range e.fields {
		if value := updated.fields[i].value; value != f.value {
			// Values that differ only beyond what is shown of them are still reported.
			change(f.name, Printable(f.value), Printable(value))
		}
	}
	added, removed := missing(updated.keys, e.keys), missing(e.keys, updated.keys)
	if added+removed > 0 {
		change("Keys", countKeys(len(e.keys)), fmt.Sprintf("%s (%d added, %d removed)", countKeys(len(updated.keys)), added, removed))
	}
	return differences
}

// missing returns the number of keys that are in one set and not in the other.
func missing(keys, other map[catalog.KeyDigest]bool) int {
	n := 0
	for key := range keys {
		if !other[key] {
			n++
		}
	}
	return n
}

func countKeys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}
