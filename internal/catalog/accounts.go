package catalog

// WithAccounts returns a copy of the catalog with accounts. A key of several accounts belongs to the first of them.
func (c *Catalog) WithAccounts(accounts []Account) *Catalog {
	copied := *c
	copied.accounts = accounts
	copied.accountsByKey = make(map[KeyDigest]*Account)
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			if _, held := copied.accountsByKey[key]; !held && !key.IsZero() {
				copied.accountsByKey[key] = &accounts[i]
			}
		}
	}
	copied.rankRequests()
	copied.services = make(map[string]Service, len(c.services))
	for name, service := range c.services {
		service.MinObjective, service.FirstPriority = copied.urgency(name)
		copied.services[name] = service
	}
	return &copied
}

// HasAccounts reports whether there are accounts; otherwise nobody needs a key.
func (c *Catalog) HasAccounts() bool { return len(c.accounts) > 0 }

// Accounts returns all accounts.
func (c *Catalog) Accounts() []Account { return c.accounts }

// AccountNamed returns the account with a name.
func (c *Catalog) AccountNamed(name string) (*Account, bool) {
	for i := range c.accounts {
		if c.accounts[i].Name == name {
			return &c.accounts[i], true
		}
	}
	return nil, false
}

// Account returns the account with a key. The time that it takes does not depend on the number of keys or on how much of a key is right.
func (c *Catalog) Account(key KeyDigest) (*Account, bool) {
	account, ok := c.accountsByKey[key]
	return account, ok
}
