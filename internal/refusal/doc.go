// Package refusal defines the typed error responses that callers receive. Each one states whether the call was executed.
package refusal
