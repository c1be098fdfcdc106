package roller

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Change is one path whose value differs; an absent value is empty.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Diff lists the paths that differ, sorted.
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

// diffMap takes apart only the entries that differ, since most of a large bundle is the same.
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
		// Customers are compared without reflection: a bundle has tens of thousands.
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

// flatten returns the values within v by their path below it.
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
