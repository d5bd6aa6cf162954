package bundle

import "github.com/peppertrail/peppertrail/pkg/access"

// Index is a bundle in force with lookup tables. It is immutable and safe for
// concurrent use.
type Index struct {
	Bundle   *Bundle
	Digest   string                      // Digest of Bundle, SHA-256 in hex
	byKey    *access.KeyIndex[*Customer] // customers by API key hash
	byID     map[string]*Customer        // customers by id
	services map[string]*Service         // services by name
	models   map[string]*Service         // engine services by model name
}

// NewIndex builds the lookup tables of a bundle. The caller must not modify the
// bundle afterwards.
func NewIndex(b Bundle) (*Index, error) {
	digest, err := Digest(b)
	if err != nil {
		return nil, err
	}
	n := Normalized(b)
	index := &Index{
		Bundle:   &n,
		Digest:   digest,
		byKey:    access.NewKeyIndex[*Customer](),
		byID:     make(map[string]*Customer),
		services: make(map[string]*Service),
		models:   make(map[string]*Service),
	}
	for i := range n.Customers {
		index.addCustomer(&n.Customers[i])
	}
	for i := range n.Services {
		index.addService(&n.Services[i])
	}
	return index, nil
}

func (x *Index) addCustomer(c *Customer) {
	x.byID[c.ID] = c
	for _, hash := range c.KeyHashes {
		x.byKey.Add(hash, c)
	}
}

func (x *Index) addService(s *Service) {
	x.services[s.Name] = s
	if s.Model != "" {
		x.models[s.Model] = s
	}
}

// CustomerByKeyHash returns the customer that owns the API key with the given
// hash, as computed by access.HashAPIKey.
func (x *Index) CustomerByKeyHash(hash string) (*Customer, bool) {
	return x.byKey.Find(hash)
}

// Customer returns the customer with the given id.
func (x *Index) Customer(id string) (*Customer, bool) {
	c, ok := x.byID[id]
	return c, ok
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// ServiceByModel returns the engine service that serves a model.
func (x *Index) ServiceByModel(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}
