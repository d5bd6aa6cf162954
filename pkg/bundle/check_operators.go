package bundle

import (
	"fmt"
)

// CheckOperators validates a list of operators, such as the bootstrap operators
// in a daemon's settings, and returns every problem in one *CheckError.
func CheckOperators(operators []Operator) error {
	c := &checker{}
	c.operatorList(operators)
	return c.err()
}

func (c *checker) operators(b Bundle) {
	c.operatorList(b.Operators)
	if len(b.Operators) > 0 {
		c.intRange("required_signoffs", int64(b.RequiredSignoffs), 1, int64(len(b.Operators)))
	}
}

func (c *checker) operatorList(operators []Operator) {
	if len(operators) < 1 || len(operators) > MaxOperators {
		c.report("operators", fmt.Sprintf("%d entries", len(operators)), fmt.Sprintf("1 to %d operators", MaxOperators))
	}
	names := make(map[string]string)
	keys := make(map[string]string)
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.id(path+".name", o.Name)
		c.unique(names, path+".name", o.Name)
		key, err := o.Key()
		if err != nil {
			c.report(path+".public_key", o.PublicKey, "an Ed25519 public key: 32 bytes in standard base64")
			continue
		}
		c.unique(keys, path+".public_key", encodeKey(key))
	}
}
