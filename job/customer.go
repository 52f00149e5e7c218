package job

// CustomerLimits are the share and the cap that the configuration sets for a customer.
type CustomerLimits struct {
	// Weight is the customer's share of a pool that is full, relative to the weights of the others. It is also the number of
	// jobs a second to which the customer is entitled.
	Weight float64
	// Cap bounds what the customer has running in all pools together. Zero in a dimension means no limit.
	Cap Resources
}

// SetCustomers sets the limits of the customers, by name. They replace all earlier ones.
func (p *Pool) SetCustomers(limits map[string]CustomerLimits) {
	p.customers = limits
	p.shares.set(limits)
}

// SetCustomersVersion sets the version of the configuration from which the limits of the customers come. It appears in events.
func (p *Pool) SetCustomersVersion(version int64) { p.shares.version = version }
