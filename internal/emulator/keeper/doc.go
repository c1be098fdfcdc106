// Package keeper is a store in memory with faults to order, for tests of the parts that use the platform's object API.
package keeper
