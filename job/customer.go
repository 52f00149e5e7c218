package job

// CustomerLimits are the share and the cap that the configuration sets for a customer.
type CustomerLimits struct {
	// Weight is the customer's share of a pool that is full, relative to the weights of the others. It is also the number of
	// jobs a second to which the customer is entitled.
	Weight float64
	// Cap bounds what the customer has running in all pools together. Zero in a dimension means no limit.
	Cap Resources
}

// CustomerOf returns the customer and the queue of a job. The last result is false when there is no such job.
func (p *Pool) CustomerOf(id string) (customer, queue string, known bool) {
	j := p.jobs[id]
	if j == nil || j.removed {
		return "", "", false
	}
	return j.spec.Customer, j.spec.Queue, true
}

// SetCustomers sets the limits of the customers, by name. They replace all earlier ones.
func (p *Pool) SetCustomers(limits map[string]CustomerLimits) {
	p.customers = limits
	p.shares.set(limits)
}

// SetCustomersVersion sets the version of the configuration from which the limits of the customers come. It appears in events.
func (p *Pool) SetCustomersVersion(version int64) { p.shares.version = version }
