// Package ledger accounts for accelerator memory from recorded intents and engines' reports, always pessimistically.
package ledger
