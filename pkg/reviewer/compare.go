package reviewer

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"bergamothollow.example/bergamothollow/pkg/matcher"
)

// Change is an entry, or a field of one, that differs between two versions; an absent value is empty.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Compare returns what differs between two versions of the rules, in order of the paths. Keys are secrets, so that only their numbers are
// told.
func Compare(before, after matcher.Rules) []Change {
	changes := compareLeaves("version", before.Version, after.Version)
	changes = append(changes, compareLeaves("keys required", before.KeyRequired, after.KeyRequired)...)
	changes = append(changes, compareFields("limits", before.Limits, after.Limits)...)
	changes = append(changes, compareLists("route ", before.Routes, after.Routes, func(r matcher.Route) string { return r.Name })...)
	changes = append(changes, compareLists("service ", before.Services, after.Services, func(s matcher.Service) string { return string(s.Name) })...)
	changes = append(changes, compareCustomers(before.Customers, after.Customers)...)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

func compareLeaves(path string, before, after any) []Change {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	return []Change{{
		Path: path,
		Old:  describe(before),
		New:  describe(after),
	}}
}

// describe writes a value for people; a pointer stands for what it points to.
func describe(value any) string {
	v := reflect.ValueOf(value)
	if v.Kind() == reflect.Pointer && !v.IsNil() {
		v = v.Elem()
	}
	if !v.IsValid() || v.Kind() == reflect.Pointer {
		return ""
	}
	return fmt.Sprintf("%+v", v.Interface())
}

// compareFields compares plain structs field by field.
func compareFields[V any](path string, before, after V) []Change {
	var changes []Change
	old, new := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		name := path + "." + old.Type().Field(i).Name
		changes = append(changes, compareLeaves(name, old.Field(i).Interface(), new.Field(i).Interface())...)
	}
	return changes
}

// compareLists compares entries of the same name. Those that are in one version only are one change each.
func compareLists[V any](section string, before, after []V, name func(V) string) []Change {
	old, new := byName(before, name), byName(after, name)
	var changes []Change
	for n, entry := range old {
		next, kept := new[n]
		switch {
		case kept:
			changes = append(changes, compareFields(section+n, entry, next)...)
		default:
			changes = append(changes, Change{
				Path: section + n,
				Old:  "present",
			})
		}
	}
	for n := range new {
		if _, kept := old[n]; !kept {
			changes = append(changes, Change{
				Path: section + n,
				New:  "present",
			})
		}
	}
	return changes
}

func byName[V any](list []V, name func(V) string) map[string]V {
	entries := make(map[string]V, len(list))
	for _, v := range list {
		entries[name(v)] = v
	}
	return entries
}

func compareCustomers(before, after []matcher.Customer) []Change {
	name := func(c matcher.Customer) string { return string(c.Name) }
	old, new := byName(before, name), byName(after, name)
	var changes []Change
	for _, n := range slices.Sorted(maps.Keys(old)) {
		c, kept := new[n]
		if !kept {
			continue
		}
		gone, added := missing(old[n].Keys, c.Keys), missing(c.Keys, old[n].Keys)
		if gone+added > 0 {
			changes = append(changes, Change{
				Path: "customer " + n + ".Keys",
				Old:  fmt.Sprintf("%d taken away", gone),
				New:  fmt.Sprintf("%d added", added),
			})
		}
	}
	withoutKeys := func(list []matcher.Customer) []matcher.Customer {
		public := slices.Clone(list)
		for i := range public {
			public[i].Keys = nil
		}
		return public
	}
	return append(changes, compareLists("customer ", withoutKeys(before), withoutKeys(after), name)...)
}

// missing counts the keys of one list that the other lacks.
func missing(keys, from []string) int {
	count := 0
	for _, k := range keys {
		if !slices.Contains(from, k) {
			count++
		}
	}
	return count
}
