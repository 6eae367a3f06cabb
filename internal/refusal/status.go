package refusal

import "net/http"

// StatesNotRun reports whether callers take a status for the statement that their call was not executed and never will be, so that
// they may repeat one that must not run twice.
func StatesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
