package apikey

// Customer is a customer with its API keys.
type Customer struct {
	Name string
	Keys []Key
}

// Problem is why a configured key is unusable.
type Problem string

// Problems of configured keys.
const (
	// ProblemShared means that two customers have the same key.
	ProblemShared Problem = "two customers have the same key"
	// ProblemInvalid means that the key is empty, too long or not a text.
	ProblemInvalid Problem = "a key is empty, too long or not a text"
	// ProblemNoName means that the customer has no name.
	ProblemNoName Problem = "a customer has no name"
)

// Unusable is a configured key that no call can use.
type Unusable struct {
	Customer string // the later one of two customers that share the key
	Problem  Problem
}

// owner is a key of a table and the customer to which it belongs. The customer is empty if two customers have the key.
type owner struct {
	key      Key
	customer string
}

// Table holds the keys of one version of the configuration. It does not change.
type Table struct {
	required bool
	owners   map[uint64][]owner // by Key.slot
	unusable []Unusable
}

// NewTable returns the table of a version. Without customers the version needs no keys.
func NewTable(customers []Customer) *Table {
	t := &Table{required: len(customers) > 0, owners: make(map[uint64][]owner)}
	for _, c := range customers {
		if c.Name == "" {
			t.unusable = append(t.unusable, Unusable{Problem: ProblemNoName})
			continue
		}
		for _, k := range c.Keys {
			t.add(c.Name, k)
		}
	}
	return t
}

func (t *Table) add(customer string, k Key) {
	if !k.usable {
		t.unusable = append(t.unusable, Unusable{Customer: customer, Problem: ProblemInvalid})
		return
	}
	o := t.find(k)
	switch {
	case o == nil:
		t.owners[k.slot()] = append(t.owners[k.slot()], owner{key: k, customer: customer})
	case o.customer != customer:
		o.customer = ""
		t.unusable = append(t.unusable, Unusable{Customer: customer, Problem: ProblemShared})
	}
}

// find returns the entry of a key, or nil.
func (t *Table) find(k Key) *owner {
	owners := t.owners[k.slot()]
	for i := range owners {
		if owners[i].key.equal(k) {
			return &owners[i]
		}
	}
	return nil
}

// Required reports whether calls of routes that are not public need a key.
func (t *Table) Required() bool { return t.required }

// Unusable returns the configured keys that no call can use.
func (t *Table) Unusable() []Unusable { return t.unusable }
