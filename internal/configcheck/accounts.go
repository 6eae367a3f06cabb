package configcheck

import (
	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

func (f *findings) checkAccounts(accounts []catalog.Account) {
	names := make(map[string]bool)
	// holders maps keys to the index of their first account.
	holders := make(map[catalog.KeyDigest]int)
	for i, account := range accounts {
		entry := EntryName("account", account.Name, i)
		if names[account.Name] {
			f.warn(RepeatedAccount, entry, "Another account has the same name, so runners, log lines and metrics don't tell them apart.")
		}
		names[account.Name] = true
		if len(account.Keys) == 0 {
			f.warn(NoKeys, entry, "It has no keys, so no request can belong to it.")
		}
		f.checkQuota(account.Quota, entry)
		f.checkHolders(accounts, i, holders)
	}
}

// checkHolders reports the keys of an account that earlier ones hold, by the number for each of these, and adds the others to holders.
func (f *findings) checkHolders(accounts []catalog.Account, i int, holders map[catalog.KeyDigest]int) {
	shared := make(map[int]int)
	seen := make(map[catalog.KeyDigest]bool)
	for _, key := range accounts[i].Keys {
		first, held := holders[key]
		switch {
		case !held:
			holders[key] = i
		case first != i && !seen[key]:
			shared[first]++
		}
		seen[key] = true
	}
	for first, n := range shared {
		verb := "are"
		if n == 1 {
			verb = "is"
		}
		f.warn(SharedKey, EntryName("account", accounts[i].Name, i), "%s %s held by %s too, which gets all requests with a shared key.",
			countKeys(n), verb, EntryName("account", accounts[first].Name, first))
	}
}

func (f *findings) checkQuota(quota catalog.Quota, entry string) {
	if quota.CountsTokens && quota.PlainTokens <= 0 {
		f.warn(NoPlainCost, entry, "Its quota counts tokens, but a request that does not state its tokens costs nothing.")
	}
	if !quota.Limited() {
		if quota.Burst > 0 {
			f.warn(BurstWithoutRate, entry, "It has a burst and no rate, so it has no limit at all.")
		}
		return
	}
	cost := quota.Cost(0)
	switch {
	case quota.Burst <= 0:
		f.warn(NoBurst, entry, "It has a rate and no burst.")
	case quota.Burst < cost:
		f.warn(BurstTooSmall, entry, "Its burst of %g is smaller than the %g that one request costs.", quota.Burst, cost)
	}
	if quota.CountsTokens && quota.Rate < cost {
		f.warn(RateTooSmall, entry, "Its rate of %g per second is smaller than the %g tokens that one request without a count costs.",
			quota.Rate, cost)
	}
}

func (f *findings) checkLimits(limits catalog.Limits) {
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		f.warn(HeaderTimeoutTooLong, "limits", "The header timeout of %s is longer than the %s of idle connections.",
			limits.HeaderTimeout, limits.IdleTimeout)
	}
}
