// Package bundler reads bundles (versioned sets of customers, models, services, rules and orders) from files and from the store,
// and rolls them out for operators.
package bundler
