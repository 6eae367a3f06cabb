// Package ledger accounts for accelerator memory from recorded intents and engine reports. It never underestimates the
// memory in use: whatever an order may still load counts as used, and an unload frees nothing until a report shows it.
package ledger
