package roller

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Change is a path whose values differ between two bundles; an absent value is empty.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Diff returns the differences between two bundles, sorted by path.
func Diff(old, new Bundle) []Change {
	var changes []Change
	changes = diffValue(changes, "sequence", old.Sequence, new.Sequence)
	changes = diffValue(changes, "author", old.Author, new.Author)
	changes = diffValue(changes, "note", old.Note, new.Note)
	changes = diffMap(changes, "customers", old.Customers, new.Customers)
	changes = diffMap(changes, "models", old.Models, new.Models)
	changes = diffMap(changes, "services", old.Services, new.Services)
	changes = diffValue(changes, "rules.default_deadline", old.Rules.DefaultDeadline, new.Rules.DefaultDeadline)
	changes = diffValue(changes, "rules.max_deadline", old.Rules.MaxDeadline, new.Rules.MaxDeadline)
	changes = diffMap(changes, "orders", old.Orders, new.Orders)
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(a.Path, b.Path)
	})
	return changes
}

func diffValue[V comparable](changes []Change, path string, old, new V) []Change {
	if old == new {
		return changes
	}
	return append(changes, Change{
		Path: path,
		Old:  fmt.Sprint(old),
		New:  fmt.Sprint(new),
	})
}

// diffMap flattens only the entries that differ, because most entries of a large bundle are unchanged.
func diffMap[K ~string, V any](changes []Change, section string, old, new map[K]V) []Change {
	for key, before := range old {
		after, kept := new[key]
		if kept && equal(before, after) {
			continue
		}
		var leaves map[string]string
		if kept {
			leaves = flatten(after)
		}
		changes = diffLeaves(changes, section+"."+string(key), flatten(before), leaves)
	}
	for key, after := range new {
		if _, kept := old[key]; !kept {
			changes = diffLeaves(changes, section+"."+string(key), nil, flatten(after))
		}
	}
	return changes
}

func equal[V any](a, b V) bool {
	if customer, ok := any(a).(Customer); ok {
		// A bundle has tens of thousands of customers, so they are compared without reflection.
		return customer == any(b)
	}
	return reflect.DeepEqual(a, b)
}

func diffLeaves(changes []Change, prefix string, old, new map[string]string) []Change {
	for path, before := range old {
		if after := new[path]; after != before {
			changes = append(changes, Change{
				Path: prefix + path,
				Old:  before,
				New:  after,
			})
		}
	}
	for path, after := range new {
		if _, kept := old[path]; !kept {
			changes = append(changes, Change{
				Path: prefix + path,
				New:  after,
			})
		}
	}
	return changes
}

// flatten returns the scalar values in v by their path relative to v.
func flatten(v any) map[string]string {
	leaves := map[string]string{}
	encoded, err := json.Marshal(v)
	if err != nil {
		return leaves
	}
	var decoded any
	if json.Unmarshal(encoded, &decoded) == nil {
		collect(leaves, "", decoded)
	}
	return leaves
}

func collect(leaves map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			collect(leaves, path+"."+key, inner)
		}
	case []any:
		for i, inner := range v {
			collect(leaves, path+"."+strconv.Itoa(i), inner)
		}
	default:
		leaves[path] = fmt.Sprint(v)
	}
}
