package roller

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxNameLength is the maximum length of a name in bytes, which keeps object names and log lines short.
const maxNameLength = 128

// Validate checks all fields and returns the first fault, in the order of the file format.
func (b Bundle) Validate() error {
	checks := []func() error{
		b.validateHead,
		b.validateCustomers,
		b.validateModels,
		b.validateServices,
		b.validateRules,
		b.validateOrders,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (b Bundle) validateHead() error {
	return cmp.Or(
		require(b.Sequence >= 1, b.Sequence, "at least 1", "sequence"),
		require(b.Author != "", b.Author, "the name of a person", "author"),
		require(strings.TrimSpace(b.Author) == b.Author, b.Author, "without white space around it", "author"),
	)
}

func (b Bundle) validateCustomers() error {
	for _, name := range slices.Sorted(maps.Keys(b.Customers)) {
		c := b.Customers[name]
		if c.valid() && validName(string(name)) {
			// A bundle has tens of thousands of customers, so paths and errors are built for invalid ones only.
			continue
		}
		path := []string{"customers", string(name)}
		err := cmp.Or(
			requireName(string(name), path...),
			require(positive(c.Weight), c.Weight, "a number above 0", append(path, "weight")...),
			require(positive(c.RequestsPerSecond), c.RequestsPerSecond, "a number above 0", append(path, "requests_per_second")...),
			require(c.Concurrency >= 1, c.Concurrency, "at least 1", append(path, "concurrency")...),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c Customer) valid() bool {
	return positive(c.Weight) && positive(c.RequestsPerSecond) && c.Concurrency >= 1
}

func (b Bundle) validateModels() error {
	for _, name := range slices.Sorted(maps.Keys(b.Models)) {
		m := b.Models[name]
		path := []string{"models", string(name)}
		err := cmp.Or(
			require(name != "", name, "a name", path...),
			require(m.MaxPromptTokens >= 1, m.MaxPromptTokens, "at least 1", append(path, "max_prompt_tokens")...),
			require(m.MaxOutputTokens >= 1, m.MaxOutputTokens, "at least 1", append(path, "max_output_tokens")...),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (b Bundle) validateServices() error {
	for _, name := range slices.Sorted(maps.Keys(b.Services)) {
		path := []string{"services", string(name)}
		calls := b.Services[name].Calls
		err := cmp.Or(
			requireName(string(name), path...),
			require(len(calls) > 0, len(calls), "a list with at least one call", append(path, "calls")...),
		)
		if err != nil {
			return err
		}
		for _, call := range slices.Sorted(maps.Keys(calls)) {
			if err := requireName(call, append(path, "calls", call)...); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b Bundle) validateRules() error {
	return cmp.Or(
		require(b.Rules.DefaultDeadline > 0, b.Rules.DefaultDeadline, "above 0s", "rules", "default_deadline"),
		require(b.Rules.MaxDeadline >= b.Rules.DefaultDeadline, b.Rules.MaxDeadline, "at least default_deadline", "rules", "max_deadline"),
	)
}

func (b Bundle) validateOrders() error {
	for _, target := range slices.Sorted(maps.Keys(b.Orders)) {
		for i, order := range b.Orders[target] {
			path := []string{"orders", string(target), strconv.Itoa(i)}
			err := cmp.Or(
				require(order.Kind.known(), order.Kind, "load_model, load_adapter, load_version or change_role", append(path, "kind")...),
				require(order.Name != "", order.Name, "a name", append(path, "name")...),
			)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (k OrderKind) known() bool {
	switch k {
	case OrderLoadModel, OrderLoadAdapter, OrderLoadVersion, OrderChangeRole:
		return true
	default:
		return false
	}
}

// requireName requires a name that is valid in object names and URL paths.
func requireName(name string, path ...string) error {
	return require(validName(name), name, "a name of letters, digits, dots, hyphens and underscores", path...)
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.IndexFunc(name, notInName) < 0
}

func notInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return r != '.' && r != '-' && r != '_'
	}
}

func positive(f float64) bool {
	return f > 0 && !math.IsInf(f, 0)
}

func require(ok bool, value any, rule string, path ...string) error {
	if ok {
		return nil
	}
	return &FieldError{
		Path:  slices.Clone(path),
		Value: fmt.Sprint(value),
		Rule:  rule,
	}
}
