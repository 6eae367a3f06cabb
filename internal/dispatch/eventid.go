package dispatch

import (
	"cmp"
	"strings"
)

// follows reports whether an event ID may come after another one, which is empty if there is none. Of IDs that aren't numbers, it is only
// known that the same one must not.
func follows(last, id string) bool {
	if last != "" && id == last {
		return false
	}
	if !isDecimal(last) || !isDecimal(id) {
		return true
	}
	return compareDecimals(id, last) > 0
}

// isDecimal reports whether an ID is a decimal integer, which may have a sign.
func isDecimal(id string) bool {
	_, digits := cutSign(id)
	return digits != "" && strings.Trim(digits, "0123456789") == ""
}

// compareDecimals compares two decimal integers of any size.
func compareDecimals(a, b string) int {
	aNegative, aDigits := cutSign(a)
	bNegative, bDigits := cutSign(b)
	aDigits, bDigits = strings.TrimLeft(aDigits, "0"), strings.TrimLeft(bDigits, "0")
	aNegative, bNegative = aNegative && aDigits != "", bNegative && bDigits != ""
	switch {
	case aNegative && bNegative:
		aDigits, bDigits = bDigits, aDigits
	case aNegative:
		return -1
	case bNegative:
		return 1
	}
	return cmp.Or(cmp.Compare(len(aDigits), len(bDigits)), cmp.Compare(aDigits, bDigits))
}

// cutSign returns whether a decimal integer has a minus sign, and its digits.
func cutSign(id string) (negative bool, digits string) {
	if digits, ok := strings.CutPrefix(id, "-"); ok {
		return true, digits
	}
	return false, strings.TrimPrefix(id, "+")
}
